/**
 * Infers from a caller timeout whether a request is a retry, and for how long its caller has
 * waited.
 */

/**
 * A caller timeout below this fraction of the longest one of the route indicates a retry: a
 * refusal uses up to a third of the remaining time, while first attempts differ by less.
 */
const RETURN_SHARE = 0.8
/** Mean caller timeout of first attempts, as a fraction of the longest one. */
const FRESH_SHARE = (1 + RETURN_SHARE) / 2

/** Tracks the longest caller timeout by route. */
export class CallerPatience {
  readonly #longestMs = new Map<string, number>()

  /**
   * Returns the estimated time since the caller's first attempt, in milliseconds;
   * 0 for a first attempt.
   * @param patienceMs caller timeout; `undefined`: not stated
   */
  waitedMs(route: string, patienceMs: number | undefined): number {
    if (patienceMs === undefined) return 0
    const longestMs = Math.max(this.#longestMs.get(route) ?? 0, patienceMs)
    this.#longestMs.set(route, longestMs)
    if (patienceMs >= longestMs * RETURN_SHARE) return 0
    return longestMs * FRESH_SHARE - patienceMs
  }
}
