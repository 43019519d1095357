/** Messages between the control bench and its child processes. */

/** Options of a child process, passed as JSON in its only argument. */
export interface ControlChildOptions {
  readonly storeUrl: string
  readonly instanceListUrl: string
  /** Index of the first daemon in this child process, unique over all child processes. */
  readonly firstIndex: number
  /** Number of daemons in this child process, all in one region. */
  readonly daemons: number
  /** Wait before the measurement, in which connections open and members discover each other. */
  readonly settleMs: number
  readonly measureMs: number
}

/** Sent by a child once all its daemons have a configuration. */
export interface ControlReadyMessage {
  readonly kind: 'ready'
  readonly startMs: number
  readonly startCpuSeconds: number
  /** Bytes sent to and received from the store during the start. */
  readonly startStoreBytes: number
}

/** Sent by a child after the measurement; all values are totals of the process. */
export interface ControlSampleMessage {
  readonly kind: 'sample'
  readonly seconds: number
  readonly cpuSeconds: number
  /** Bytes sent and received on the connections that the child opened to peers. */
  readonly peerBytes: number
  readonly storeBytes: number
  /** Heap objects and buffers after a garbage collection. */
  readonly heldBytes: number
  readonly residentBytes: number
  /** Heap objects and buffers before the first daemon was created. */
  readonly emptyHeldBytes: number
  readonly revision: number
  /** When the last daemon applied each revision, in milliseconds since the epoch. */
  readonly inForceAtMs: readonly (readonly [revision: number, atMs: number])[]
}
