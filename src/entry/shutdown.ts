/** Decides which requests an instance still accepts while it shuts down. */

/**
 * Fraction of the shutdown time in which every request is accepted, for callers that got this
 * instance from the directory just before. Later requests could be cut off by the process end.
 */
const ACCEPT_ALL_FRACTION = 0.48

/** Start and end of the shutdown of this process, as monotonic times in milliseconds. */
export class Shutdown {
  readonly #startedAtMs: number
  readonly #endAtMs: number

  constructor(startedAtMs: number, endAtMs: number) {
    this.#startedAtMs = startedAtMs
    this.#endAtMs = endAtMs
  }

  /**
   * Whether a request may be accepted.
   * @param deadlineAtMs latest time at which the request is answered
   */
  mayAccept(deadlineAtMs: number, nowMs: number): boolean {
    if (deadlineAtMs < this.#endAtMs) return true
    return nowMs - this.#startedAtMs < (this.#endAtMs - this.#startedAtMs) * ACCEPT_ALL_FRACTION
  }
}
