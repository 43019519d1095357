/** Sum of the parts of time that a keeper received. */

/** Interval of the samples of the sum, in milliseconds. */
const SAMPLE_INTERVAL_MS = 250
/** Samples over which the share of time is measured: one second, some parts of each instance. */
const SHARE_SAMPLES = 4
const SHARE_WINDOW_MS = SAMPLE_INTERVAL_MS * SHARE_SAMPLES
/** Time over which samples are kept, in milliseconds. */
export const SAMPLE_RETENTION_MS = 10_000
const MAX_SAMPLES = SAMPLE_RETENTION_MS / SAMPLE_INTERVAL_MS
/** Most that the sum may run ahead of the time, for parts that arrive together, in milliseconds. */
const MAX_AHEAD_MS = 400

/** Sum and share at one time. */
export interface PartSample {
  readonly atMs: number
  readonly totalMs: number
  /** Fraction of the elapsed time whose parts were received, in 0..1. */
  readonly share: number
}

/**
 * Tokens of all tenants follow from this one sum, so that a part that arrives costs the same for any
 * number of tenants. The shares of all keepers together are 1, because no part is received twice.
 */
export class PartClock {
  #totalMs = 0
  #aheadMs = 0
  #advancedAtMs: number
  #samples: PartSample[]
  /** Number of samples that were removed from the front. */
  #removed = 0
  #startedAtMs: number

  constructor(nowMs: number) {
    this.#advancedAtMs = nowMs
    this.#startedAtMs = nowMs
    this.#samples = [{ atMs: nowMs, totalMs: 0, share: 0 }]
  }

  /** Adds a part. Parts of all instances are no more than the elapsed time, so more is not added. */
  add(partMs: number, nowMs: number): void {
    this.advance(nowMs)
    if (this.current(nowMs).share === 0) this.#startedAtMs = nowMs
    const addedMs = Math.max(0, Math.min(partMs, MAX_AHEAD_MS - this.#aheadMs))
    this.#totalMs += addedMs
    this.#aheadMs += addedMs
  }

  /** Takes a sample when one is due. */
  advance(nowMs: number): void {
    this.#aheadMs = Math.max(0, this.#aheadMs - Math.max(0, nowMs - this.#advancedAtMs))
    this.#advancedAtMs = nowMs
    const last = this.#samples.at(-1)
    if (last !== undefined && nowMs - last.atMs < SAMPLE_INTERVAL_MS) return
    this.#samples.push(this.current(nowMs))
    if (this.#samples.length <= MAX_SAMPLES) return
    this.#samples.shift()
    this.#removed += 1
  }

  /** Forgets all that was received: what was not spent is lost. */
  restart(nowMs: number): void {
    this.#removed += this.#samples.length
    this.#samples = [{ atMs: nowMs, totalMs: this.#totalMs, share: 0 }]
    this.#startedAtMs = nowMs
    this.#advancedAtMs = nowMs
    this.#aheadMs = 0
  }

  current(nowMs: number): PartSample {
    const first = this.#samples.at(-SHARE_SAMPLES) ?? this.#samples[0]
    const fromMs = first?.atMs ?? nowMs
    const receivedMs = this.#totalMs - (first?.totalMs ?? this.#totalMs)
    const share = Math.min(1, receivedMs / Math.max(SHARE_WINDOW_MS, nowMs - fromMs))
    return { atMs: nowMs, totalMs: this.#totalMs, share }
  }

  /** Number that the next sample will have. */
  get nextSample(): number {
    return this.#removed + this.#samples.length
  }

  /** Samples from a number on, oldest first. */
  samplesFrom(number: number): readonly PartSample[] {
    const skipped = number - this.#removed
    return skipped >= this.#samples.length ? [] : this.#samples.slice(Math.max(0, skipped))
  }

  /** Time since the first part after a start, or after a time without any. */
  ageMs(nowMs: number): number {
    return nowMs - this.#startedAtMs
  }
}
