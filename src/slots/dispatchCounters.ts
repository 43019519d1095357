/** Counters and load of the dispatcher, for metrics and for region load reports. */

/** Totals since the start of the process. */
export interface DispatchCounters {
  readonly ownGrants: number
  readonly borrowedGrants: number
  /** Overcommitted attempts, made without a slot. */
  readonly overcommitGrants: number
  readonly refused: number
  /** Releases after the first one of a grant; above 0 indicates a bug in the code that releases. */
  readonly repeatedReleases: number
  /** Holds that reached their deadline without a release. */
  readonly expiredHolds: number
  /** RPC calls to other gateways. */
  readonly calls: number
  /** Total time that queued requests waited, granted or refused, in milliseconds. */
  readonly waitedMs: number
}

/** Current load of a service at this gateway. */
export interface ServiceDispatchLoad {
  readonly service: string
  /** Slots of the live workers in the region. */
  readonly regionSlots: number
  /** Slots that this gateway owns. */
  readonly ownSlots: number
  /** Own slots that could be granted now. */
  readonly freeSlots: number
  /** Own slots that other gateways hold. */
  readonly lentSlots: number
  /** Requests of this gateway that hold a slot. */
  readonly inFlight: number
  /** Requests of this gateway that wait for a slot. */
  readonly queued: number
  /** Mean time that a request holds a slot; 0 before the first completion. */
  readonly meanServiceMs: number
}

/** Writable counters inside the dispatcher. */
export type MutableCounters = { -readonly [Key in keyof DispatchCounters]: number }

export function newCounters(): MutableCounters {
  return {
    ownGrants: 0,
    borrowedGrants: 0,
    overcommitGrants: 0,
    refused: 0,
    repeatedReleases: 0,
    expiredHolds: 0,
    calls: 0,
    waitedMs: 0,
  }
}
