/**
 * Remote share of a service, limited in its rate of change, and the demand assumed at its start.
 */

/**
 * Largest change of the remote share per second. Operators accept a change of 15% between
 * two windows of 2 s; using two thirds of that leaves a margin for random variation.
 */
const MAX_CHANGE_PER_SECOND = 0.05
/** Time after the first request with unlimited change, in ms; the share has not converged yet. */
const FREE_START_MS = 1200
/** Time after the first request in which a handover is still accepted, in milliseconds. */
const INHERITABLE_MS = 2000
/**
 * Time after a handover in which the change is limited even before the first request, in ms;
 * several exchanges between regions.
 */
const INHERITANCE_LIFE_MS = 3000
/** Tolerance around the remote share, for moments in which all slots of one region are in use. */
const PLAY = 0.03
/** Time constant of the measured share, in milliseconds. */
const MEASURE_MS = 1500

/** Share of the requests that runs in other regions, moved at a limited rate towards a target. */
export class RemoteShare {
  #share = 0
  #updatedAtMs: number
  #remote = 0
  #total = 0
  #countedAtMs: number
  #firstCountAtMs: number | undefined
  #freeMs = FREE_START_MS
  #inheritedAtMs = Number.NEGATIVE_INFINITY

  constructor(nowMs: number) {
    this.#updatedAtMs = nowMs
    this.#countedAtMs = nowMs
  }

  /** Current share, in 0..1. */
  get share(): number {
    return this.#share
  }

  /** Share of the recent requests that were sent to other regions. */
  actual(nowMs: number): number {
    this.#decay(nowMs)
    return this.#total < 1 ? this.#share : this.#remote / this.#total
  }

  /**
   * Continues with the share of a previous coordinator, unless own requests have
   * determined it already.
   * @returns whether the share was accepted
   */
  inherit(share: number, nowMs: number): boolean {
    const isSettled =
      this.#firstCountAtMs !== undefined && nowMs - this.#firstCountAtMs > INHERITABLE_MS
    if (isSettled) return false
    this.#share = share
    this.#freeMs = 0
    this.#inheritedAtMs = nowMs
    return true
  }

  /** Marks the share as converged before the first request; its change is limited from then on. */
  settle(): void {
    this.#freeMs = 0
  }

  /** Moves the share towards `wanted`, which is in 0..1. */
  steer(wanted: number, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs)
    this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs)
    const isFree = this.#firstCountAtMs === undefined || nowMs - this.#firstCountAtMs < this.#freeMs
    const isInherited = nowMs - this.#inheritedAtMs < INHERITANCE_LIFE_MS
    if (isFree && !isInherited) {
      this.#share = wanted
      return
    }
    const most = (elapsedMs * MAX_CHANGE_PER_SECOND) / 1000
    this.#share += Math.max(-most, Math.min(most, wanted - this.#share))
  }

  /** Whether the next request may run in another region. */
  mayGoAway(nowMs: number): boolean {
    return this.actual(nowMs) < this.#share + PLAY && this.#share > 0
  }

  /** Whether the next request should run in another region even if there are free slots here. */
  mustGoAway(nowMs: number): boolean {
    return this.#share > PLAY && this.actual(nowMs) < this.#share - PLAY
  }

  count(isRemote: boolean, nowMs: number): void {
    this.#decay(nowMs)
    this.#firstCountAtMs ??= nowMs
    this.#total += 1
    if (isRemote) this.#remote += 1
  }

  #decay(nowMs: number): void {
    const factor = Math.exp(-Math.max(0, nowMs - this.#countedAtMs) / MEASURE_MS)
    this.#countedAtMs = Math.max(nowMs, this.#countedAtMs)
    this.#remote *= factor
    this.#total *= factor
  }
}

/** Time by which requested slots run ahead of the remote share, in seconds. */
const AHEAD_SECONDS = 2

/**
 * Slots that a region can use: its own, and as many of other regions as its remote share
 * can use soon. Further borrowed slots would be idle here and missing in their own region.
 */
export function usableNeed(neededSlots: number, ownSlots: number, share: number): number {
  const away = neededSlots * (share + MAX_CHANGE_PER_SECOND * AHEAD_SECONDS)
  return Math.min(neededSlots, ownSlots * FULL_LOAD + away)
}

/** Load fraction above which a region's own slots are considered full. */
const FULL_LOAD = 0.85

/** Share of the requests that exceeds the own slots and fits into the lent ones. */
export function wantedRemoteShare(
  neededSlots: number,
  ownSlots: number,
  lentSlots: number,
): number {
  if (neededSlots <= 0 || lentSlots <= 0) return 0
  const excess = neededSlots - ownSlots * FULL_LOAD
  return Math.max(0, Math.min(excess, lentSlots)) / neededSlots
}

/** Load assumed for all regions together before the first request, as a fraction of all slots. */
const ASSUMED_LOAD = 0.6
/**
 * Time after the first request in which measurements replace the assumption, in ms; enough for
 * some requests to complete.
 */
const ASSUMPTION_LIFE_MS = 3000

/**
 * Slots that a region is assumed to need before its first request: an even fraction of a
 * usual load.
 *
 * Needed when traffic starts at full rate and backend servers are unevenly distributed. With
 * measurements alone, the region with the fewest servers would refuse callers until its remote
 * share has grown at the limited rate.
 */
export class AssumedDemand {
  #neededSlots = 0
  #firstAskAtMs: number | undefined

  /** Whether a slot has been requested. */
  get wasAsked(): boolean {
    return this.#firstAskAtMs !== undefined
  }

  get isSet(): boolean {
    return this.#neededSlots > 0
  }

  /** @param neededSlots from a previous coordinator or from {@link evenPart} */
  assume(neededSlots: number): void {
    this.#neededSlots = neededSlots
  }

  asked(nowMs: number): void {
    this.#firstAskAtMs ??= nowMs
  }

  /** Needed slots, weighted between the assumption and the measurement. */
  blend(measuredSlots: number, nowMs: number): number {
    if (this.#neededSlots === 0) return measuredSlots
    const ageMs = this.#firstAskAtMs === undefined ? 0 : nowMs - this.#firstAskAtMs
    const weight = Math.max(0, 1 - ageMs / ASSUMPTION_LIFE_MS)
    return this.#neededSlots * weight + measuredSlots * (1 - weight)
  }
}

/**
 * Slots that one region needs under a usual load.
 * @param regions number of regions with callers
 */
export function evenPart(totalSlots: number, regions: number): number {
  return (ASSUMED_LOAD * totalSlots) / Math.max(1, regions)
}
