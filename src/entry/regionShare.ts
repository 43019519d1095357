/** Keeps the part of a service's requests that runs in other regions steady. */

/**
 * Largest change of the part per second. Operators accept a change of 15% between
 * two windows of 2 s; two thirds of that leave room for chance.
 */
const MAX_CHANGE_PER_SECOND = 0.05
/** Time after the first request in which the part is free, in ms: nothing has settled yet. */
const FREE_START_MS = 1200
/** Time after the first request in which the part of an earlier coordinator is still taken over, in ms. */
const INHERITABLE_MS = 2000
/** Time for which such a part is kept without requests, in ms; several exchanges. */
const INHERITANCE_LIFE_MS = 3000
/** Free play around the steady part, for the moments in which one side is full. */
const PLAY = 0.03
/** Window over which the actual part is measured, in milliseconds. */
const MEASURE_MS = 1500

/** Part of the requests that goes to other regions, slewed towards what capacity and demand want. */
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

  /** Present steady part. */
  get share(): number {
    return this.#share
  }

  /** Part that was actually sent away lately. */
  actual(nowMs: number): number {
    this.#decay(nowMs)
    return this.#total < 1 ? this.#share : this.#remote / this.#total
  }

  /**
   * Goes on from the part of an earlier coordinator; ignored once own requests have settled it.
   * @returns whether it was taken over
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

  /** The part was settled before the first request, so that no time of free change follows it. */
  settle(): void {
    this.#freeMs = 0
  }

  /** Moves the steady part towards `wanted`, which is between 0 and 1. */
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

  /** Whether the next request should run in another region although there is room here. */
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

/** Time for which lent slots are asked ahead of the steady part, in seconds; an exchange or two. */
const AHEAD_SECONDS = 2

/**
 * Slots that a region can put to use: its own, and those of other regions as far as its
 * steady part lets it use them soon. More would lie idle here and be missed there.
 */
export function usableNeed(neededSlots: number, ownSlots: number, share: number): number {
  const away = neededSlots * (share + MAX_CHANGE_PER_SECOND * AHEAD_SECONDS)
  return Math.min(neededSlots, ownSlots * FULL_LOAD + away)
}

/** Load above which a region's own slots are considered full. */
const FULL_LOAD = 0.85

/** Part of the requests that the own slots can't take. */
export function wantedRemoteShare(
  neededSlots: number,
  ownSlots: number,
  lentSlots: number,
): number {
  if (neededSlots <= 0 || lentSlots <= 0) return 0
  const excess = neededSlots - ownSlots * FULL_LOAD
  return Math.max(0, Math.min(excess, lentSlots)) / neededSlots
}

/** Load of all regions together that is assumed before anything was asked. */
const ASSUMED_LOAD = 0.6
/** Time in which what is measured replaces the assumption, in ms; some requests end in it. */
const ASSUMPTION_LIFE_MS = 3000

/**
 * What a region's requests need before there were any: an even part of a usual load.
 *
 * Load pattern: traffic starts at once with full force where backend servers stand unevenly.
 * From measurements alone the poorest region would turn callers away until its part that runs
 * in other regions has grown at the pace that operators accept.
 */
export class AssumedDemand {
  #neededSlots = 0
  #firstAskAtMs: number | undefined

  /** Whether a request has been asked for. */
  get wasAsked(): boolean {
    return this.#firstAskAtMs !== undefined
  }

  get isSet(): boolean {
    return this.#neededSlots > 0
  }

  /** @param neededSlots as an earlier coordinator or {@link evenPart} states it */
  assume(neededSlots: number): void {
    this.#neededSlots = neededSlots
  }

  asked(nowMs: number): void {
    this.#firstAskAtMs ??= nowMs
  }

  /** Need at a time, from the assumption and from what is measured. */
  blend(measuredSlots: number, nowMs: number): number {
    if (this.#neededSlots === 0) return measuredSlots
    const ageMs = this.#firstAskAtMs === undefined ? 0 : nowMs - this.#firstAskAtMs
    const weight = Math.max(0, 1 - ageMs / ASSUMPTION_LIFE_MS)
    return this.#neededSlots * weight + measuredSlots * (1 - weight)
  }
}

/** Even part of a usual load. @param regions number of regions with callers */
export function evenPart(totalSlots: number, regions: number): number {
  return (ASSUMED_LOAD * totalSlots) / Math.max(1, regions)
}
