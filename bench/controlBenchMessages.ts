/** Messages between the control bench and its measured child process. */

/** Order to the child, given as its only argument in JSON. */
export interface ControlOrder {
  readonly storeUrl: string
  readonly instanceListUrl: string
  /** Number of the first daemon of this child process. */
  readonly firstIndex: number
  /** Daemons in this child process, all of one region. */
  readonly daemons: number
  /** Time before the measurement, so that connections and members are known, in milliseconds. */
  readonly settleMs: number
  readonly measureMs: number
}

/** Sent by a child once all its daemons hold a revision. */
export interface ControlReady {
  readonly kind: 'ready'
  readonly startMs: number
  readonly startCpuSeconds: number
  /** Bytes in both directions between the child and the store during the start. */
  readonly startStoreBytes: number
}

/** Sent by a child after the measurement; all figures are of the whole process. */
export interface ControlSample {
  readonly kind: 'sample'
  readonly seconds: number
  readonly cpuSeconds: number
  /** Bytes between the daemons, counted once. */
  readonly peerBytes: number
  readonly storeBytes: number
  /** Objects and buffers after a collection, in bytes. */
  readonly heldBytes: number
  readonly residentBytes: number
  /** Held bytes of the process before it had any daemon. */
  readonly emptyHeldBytes: number
  readonly revision: number
  /** When the last daemon took each revision, in milliseconds since the epoch. */
  readonly inForceAtMs: readonly (readonly [revision: number, atMs: number])[]
}
