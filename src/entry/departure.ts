/** Which requests an instance that is ending still takes. */

/**
 * Part of the time until the end during which every request is taken. Callers that asked the
 * directory just before still come; later ones could be cut by the end of the process.
 */
const TAKE_ALL_SHARE = 0.48

/** The end of this process, as steady times in milliseconds. */
export class Departure {
  readonly #startedAtMs: number
  readonly #endAtMs: number

  constructor(startedAtMs: number, endAtMs: number) {
    this.#startedAtMs = startedAtMs
    this.#endAtMs = endAtMs
  }

  /** @param deadlineAtMs time at which the request is answered at the latest */
  mayTake(deadlineAtMs: number, nowMs: number): boolean {
    if (deadlineAtMs < this.#endAtMs) return true
    return nowMs - this.#startedAtMs < (this.#endAtMs - this.#startedAtMs) * TAKE_ALL_SHARE
  }
}
