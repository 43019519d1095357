/** Remote share of a service, with a limited rate of change, and its assumed initial demand. */
import { isPlacedRemotely } from '../placement/objectPlacement.js'

/**
 * Largest change of the remote share per second. Operators accept a change of 15% between
 * two windows of 2 s; using two thirds of that leaves a margin for random variation.
 */
const MAX_SHARE_CHANGE_PER_SECOND = 0.05
/**
 * Time after the first request with unlimited change, in ms; after a cold start, other regions lend
 * slots after an exchange or two.
 */
const UNLIMITED_START_MS = 2500
/** Time after the first request in which a handover is still accepted, in milliseconds. */
const HANDOVER_ACCEPTED_MS = 2000
/**
 * Time after a handover in which the change is limited even before the first request, in ms;
 * several exchanges between regions.
 */
const LIMITED_AFTER_HANDOVER_MS = 3000
/** Tolerance around the remote share, for moments in which all slots of one region are in use. */
const SHARE_TOLERANCE = 0.03
/** Time constant of the measured share, in milliseconds. */
const MEASUREMENT_TIME_CONSTANT_MS = 1500

/** Share of the requests that runs in other regions, moved at a limited rate towards a target. */
export class RemoteShare {
  #share = 0
  #updatedAtMs: number
  #remoteCount = 0
  #totalCount = 0
  #decayedAtMs: number
  #firstRequestAtMs: number | undefined
  #unlimitedMs = UNLIMITED_START_MS
  #handedOverAtMs = Number.NEGATIVE_INFINITY

  constructor(nowMs: number) {
    this.#updatedAtMs = nowMs
    this.#decayedAtMs = nowMs
  }

  /** Current share, in 0..1. */
  get share(): number {
    return this.#share
  }

  /** Share of the recent requests that were sent to other regions. */
  measuredShare(nowMs: number): number {
    this.#decay(nowMs)
    return this.#totalCount < 1 ? this.#share : this.#remoteCount / this.#totalCount
  }

  /**
   * Continues with the share of a previous coordinator, unless own requests have
   * determined it already.
   * @returns whether the share was accepted
   */
  acceptHandover(share: number, nowMs: number): boolean {
    const hasConverged =
      this.#firstRequestAtMs !== undefined && nowMs - this.#firstRequestAtMs > HANDOVER_ACCEPTED_MS
    if (hasConverged) return false
    this.#share = share
    this.#unlimitedMs = 0
    this.#handedOverAtMs = nowMs
    return true
  }

  /** Marks the share as converged before the first request; its change is limited from then on. */
  markConverged(): void {
    this.#unlimitedMs = 0
  }

  /**
   * Moves the share towards `target`, which is in 0..1.
   * @param hasTraffic whether more than single requests arrive; without, any change is harmless
   */
  moveTowards(target: number, nowMs: number, hasTraffic: boolean): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs)
    this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs)
    if (this.isUnlimited(nowMs, hasTraffic)) {
      this.#share = target
      return
    }
    const maxChange = (elapsedMs * MAX_SHARE_CHANGE_PER_SECOND) / 1000
    this.#share += Math.max(-maxChange, Math.min(maxChange, target - this.#share))
  }

  /** Whether the share follows its target at once, before it has converged. */
  isUnlimited(nowMs: number, hasTraffic: boolean): boolean {
    if (nowMs - this.#handedOverAtMs < LIMITED_AFTER_HANDOVER_MS) return false
    return (
      !hasTraffic ||
      this.#firstRequestAtMs === undefined ||
      nowMs - this.#firstRequestAtMs < this.#unlimitedMs
    )
  }

  /** Whether the next request may run in another region. */
  mayRunRemotely(nowMs: number): boolean {
    return this.measuredShare(nowMs) < this.#share + SHARE_TOLERANCE && this.#share > 0
  }

  /** Whether the next request should run in another region even if there are free slots here. */
  mustRunRemotely(nowMs: number): boolean {
    return (
      this.#share > SHARE_TOLERANCE && this.measuredShare(nowMs) < this.#share - SHARE_TOLERANCE
    )
  }

  /** As {@link mustRunRemotely}, for a request for an object. @param position in 0..1 */
  mustRunObjectRemotely(position: number, nowMs: number): boolean {
    if (this.#share <= SHARE_TOLERANCE) return false
    const measured = this.measuredShare(nowMs)
    return isPlacedRemotely(position, { intended: this.#share, measured })
  }

  recordRequest(isRemote: boolean, nowMs: number): void {
    this.#decay(nowMs)
    this.#firstRequestAtMs ??= nowMs
    this.#totalCount += 1
    if (isRemote) this.#remoteCount += 1
  }

  #decay(nowMs: number): void {
    const factor = Math.exp(-Math.max(0, nowMs - this.#decayedAtMs) / MEASUREMENT_TIME_CONSTANT_MS)
    this.#decayedAtMs = Math.max(nowMs, this.#decayedAtMs)
    this.#remoteCount *= factor
    this.#totalCount *= factor
  }
}

/**
 * Time by which requested slots run ahead of the remote share, in seconds; covers an exchange or two
 * between regions.
 */
const LOOKAHEAD_SECONDS = 2

/**
 * Slots that a region can use: its own, and as many of other regions as its remote share
 * can use soon. Further borrowed slots would be idle here and missing in their own region.
 */
export function usableSlots(neededSlots: number, ownSlots: number, share: number): number {
  const remoteSlots = neededSlots * (share + MAX_SHARE_CHANGE_PER_SECOND * LOOKAHEAD_SECONDS)
  return Math.min(neededSlots, ownSlots * FULL_LOAD_FRACTION + remoteSlots)
}

/** Load fraction above which a region's own slots are considered full. */
const FULL_LOAD_FRACTION = 0.85

/**
 * Share of the requests that run which exceeds the own slots and fits into the lent ones. Requests
 * that don't fit anywhere are refused and run nowhere: if they counted, an overloaded region would
 * leave lent slots idle.
 */
export function targetRemoteShare(
  neededSlots: number,
  ownSlots: number,
  lentSlots: number,
): number {
  if (neededSlots <= 0 || lentSlots <= 0) return 0
  const excess = neededSlots - ownSlots * FULL_LOAD_FRACTION
  const remoteSlots = Math.max(0, Math.min(excess, lentSlots))
  return remoteSlots / Math.min(neededSlots, ownSlots + remoteSlots)
}

/** Load assumed for all regions together before traffic starts, as a fraction of all slots. */
const ASSUMED_LOAD_FRACTION = 0.6
/**
 * Time after the start of the traffic in which measurements replace the assumption, in ms; enough
 * for some requests to complete.
 */
const ASSUMPTION_FADE_OUT_MS = 3000
/** Demand from which traffic has started, as a fraction of the assumed one. */
const TRAFFIC_FRACTION = 0.1
/** Time after the first request after which also a lower demand counts as traffic, in ms. */
const MAX_ASSUMPTION_MS = 20_000

/**
 * Slots that a region is assumed to need before its traffic starts: an even fraction of a usual
 * load.
 *
 * Needed when traffic starts at full rate and backend servers are unevenly distributed. With
 * measurements alone, the region with the fewest servers would refuse callers until its remote
 * share has grown at the limited rate. Single requests, such as those by which operators test a
 * configuration, don't end the assumption.
 */
export class AssumedDemand {
  #neededSlots = 0
  #firstRequestAtMs: number | undefined
  #trafficSinceMs: number | undefined

  /** Whether a slot has been requested. */
  get hasRequests(): boolean {
    return this.#firstRequestAtMs !== undefined
  }

  /** Whether the region's callers have started to send requests. */
  get hasTraffic(): boolean {
    return this.#neededSlots === 0 ? this.hasRequests : this.#trafficSinceMs !== undefined
  }

  get isSet(): boolean {
    return this.#neededSlots > 0
  }

  /** @param neededSlots from a previous coordinator or from {@link evenDemand} */
  assume(neededSlots: number): void {
    this.#neededSlots = neededSlots
  }

  recordRequest(nowMs: number): void {
    this.#firstRequestAtMs ??= nowMs
  }

  /** Needed slots, weighted between the assumption and the measurement. */
  blend(measuredSlots: number, nowMs: number): number {
    if (this.#neededSlots === 0) return measuredSlots
    const isMeasurable =
      measuredSlots >= this.#neededSlots * TRAFFIC_FRACTION ||
      nowMs - (this.#firstRequestAtMs ?? nowMs) > MAX_ASSUMPTION_MS
    if (this.hasRequests && isMeasurable) this.#trafficSinceMs ??= nowMs
    const ageMs = nowMs - (this.#trafficSinceMs ?? nowMs)
    const weight = Math.max(0, 1 - ageMs / ASSUMPTION_FADE_OUT_MS)
    return this.#neededSlots * weight + measuredSlots * (1 - weight)
  }
}

/**
 * Slots that one region needs if a usual load is spread evenly over the regions.
 * @param regionCount number of regions with callers
 */
export function evenDemand(totalSlots: number, regionCount: number): number {
  return (ASSUMED_LOAD_FRACTION * totalSlots) / Math.max(1, regionCount)
}
