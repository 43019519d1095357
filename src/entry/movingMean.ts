/** Exponentially weighted moving mean and event rate; neither stores its samples. */

/** Exponentially weighted moving mean; `undefined` before the first sample. */
export class MovingMean {
  readonly #weight: number
  #value: number | undefined

  /** @param weight weight of a new sample, above 0 and at most 1 */
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

/** Rate of events or amounts per second, with exponential decay. */
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

  /** Current rate per second, scaled up while the history is shorter than the time constant. */
  perSecond(nowMs: number): number {
    this.#decay(nowMs)
    const ageMs = Math.max(0, nowMs - this.#startedAtMs)
    const observedFraction = 1 - Math.exp(-ageMs / this.#timeConstantMs)
    // Before a tenth of the time constant has passed, a single event would look like a high rate.
    return (this.#amount * 1000) / this.#timeConstantMs / Math.max(observedFraction, 0.1)
  }

  #decay(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs)
    this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs)
    this.#amount *= Math.exp(-elapsedMs / this.#timeConstantMs)
  }
}
