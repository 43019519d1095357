/** Keeps the part of a service's requests that runs in other regions steady. */

/**
 * Largest change of the part per second. Callers accept a change of 15% between
 * two windows of 2 s; half of that leaves room for chance.
 */
const MAX_CHANGE_PER_SECOND = 0.035
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
  #isFirst = true

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

  /** Moves the steady part towards `wanted`, which is between 0 and 1. */
  steer(wanted: number, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs)
    this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs)
    if (this.#isFirst && wanted > 0) {
      // Before the first requests there is nothing that could shift.
      this.#isFirst = this.#total < 1
      if (this.#isFirst) this.#share = wanted
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

/** Load above which a region's own slots are considered full. */
const FULL_LOAD = 0.85

/** Part of the requests that the own slots can't take. */
export function wantedRemoteShare(neededSlots: number, ownSlots: number, lentSlots: number): number {
  if (neededSlots <= 0 || lentSlots <= 0) return 0
  const excess = neededSlots - ownSlots * FULL_LOAD
  return Math.max(0, Math.min(excess, lentSlots)) / neededSlots
}
