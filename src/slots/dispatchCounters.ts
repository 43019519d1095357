/** Counters of the dispatcher, for metrics and for the load of the region. */

/** Totals since the start of the process. */
export interface DispatchCounters {
  readonly ownGrants: number
  readonly borrowedGrants: number
  /** Attempts beyond the slots. */
  readonly beyondGrants: number
  readonly refused: number
  /** Releases after the first one of a grant; above 0 means a fault of the caller. */
  readonly repeatedReleases: number
  /** Holds that ended by their deadline and not by a release. */
  readonly expiredHolds: number
  /** Calls to other gateways. */
  readonly calls: number
  /** Sum of the waits of granted requests, in milliseconds. */
  readonly waitedMs: number
}

/** Present load of a service at this gateway. */
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
  /** Requests of this gateway that wait. */
  readonly queued: number
  /** Mean time that a request holds a slot; 0 before the first completion. */
  readonly meanServiceMs: number
}

/** Mutable form, owned by the dispatcher. */
export type MutableCounters = { -readonly [Key in keyof DispatchCounters]: number }

export function newCounters(): MutableCounters {
  return {
    ownGrants: 0,
    borrowedGrants: 0,
    beyondGrants: 0,
    refused: 0,
    repeatedReleases: 0,
    expiredHolds: 0,
    calls: 0,
    waitedMs: 0,
  }
}
