/** Cost of running a request at a server: the expected time until completion, and small terms. */

/** Cost of a server in another zone, in milliseconds: the round-trip time between zones. */
const CROSS_ZONE_COST_MS = 4
/** Weight of the load of a server, relative to the usual duration; spreads work over servers. */
const LOAD_WEIGHT = 0.1
/** Weight of the hash-based preference of an object for a server; instances agree on the hash. */
const OBJECT_AFFINITY_WEIGHT = 0.4

/** A server that a request may run at. */
export interface ServerOption {
  /** Whether the server is expected to have the request's object. */
  readonly isCached: boolean
  /** Usual duration of the request's work, by whether the server has its object cached. */
  readonly usualMs: number
  /** Expected duration at the server relative to the usual one, with the cost of failures. */
  readonly slowdown: number
  /** As `slowdown`, without failures. */
  readonly pace: number
  /** Time since which nothing runs at the server, in milliseconds. */
  readonly idleMs: number
  /** Expected wait until the server has a free slot. */
  readonly waitMs: number
  /** Fraction of the slots in use. */
  readonly load: number
  /** Hash-based distance of the object from the server, in 0..1. */
  readonly preference: number
  readonly isInOtherZone: boolean
  /** Milliseconds by which each one in a slot delays queued requests, added to one. */
  readonly slotTimeWeight: number
}

/** Terms that spread work over servers, in milliseconds. */
export function spreadingCostMs({ usualMs, load, preference }: ServerOption): number {
  return usualMs * (LOAD_WEIGHT * load + OBJECT_AFFINITY_WEIGHT * preference)
}

/** Cost of the way to the server, in milliseconds. */
export function wayCostMs({ isInOtherZone }: ServerOption): number {
  return isInOtherZone ? CROSS_ZONE_COST_MS : 0
}
