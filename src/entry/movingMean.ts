/** Exponentially weighted mean of samples, and rate of events, both without history. */

/** Mean of samples in which each new sample has a fixed weight. */
export class MovingMean {
  readonly #weight: number
  #value: number | undefined

  /** @param weight share of a new sample, above 0 and at most 1 */
  constructor(weight: number) {
    this.#weight = weight
  }

  get value(): number | undefined {
    return this.#value
  }

  add(sample: number): void {
    this.#value =
      this.#value === undefined ? sample : this.#value + (sample - this.#value) * this.#weight
  }
}

/** Rate of events or of amounts per second, with exponential forgetting. */
export class DecayingRate {
  readonly #timeConstantMs: number
  #amount = 0
  #updatedAtMs: number
  readonly #startedAtMs: number

  constructor(timeConstantMs: number, nowMs: number) {
    this.#timeConstantMs = timeConstantMs
    this.#updatedAtMs = nowMs
    this.#startedAtMs = nowMs
  }

  add(amount: number, nowMs: number): void {
    this.#decay(nowMs)
    this.#amount += amount
  }

  /** Present rate; corrected for the short history of a new instance. */
  perSecond(nowMs: number): number {
    this.#decay(nowMs)
    const ageMs = Math.max(0, nowMs - this.#startedAtMs)
    const seen = 1 - Math.exp(-ageMs / this.#timeConstantMs)
    // Below a tenth of the time constant one event would look like a high rate.
    return (this.#amount * 1000) / this.#timeConstantMs / Math.max(seen, 0.1)
  }

  #decay(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs)
    this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs)
    this.#amount *= Math.exp(-elapsedMs / this.#timeConstantMs)
  }
}
