/** Infers from the caller timeout whether a request is a retry and how long its caller waited. */

/**
 * A caller timeout below this fraction of the longest one of the route indicates a retry: a
 * refusal uses up to a third of the remaining time, while first attempts differ by less.
 */
const RETRY_TIMEOUT_FRACTION = 0.8
/** Mean caller timeout of first attempts, as a fraction of the longest one. */
const FIRST_ATTEMPT_FRACTION = (1 + RETRY_TIMEOUT_FRACTION) / 2

/** Tracks the longest caller timeout by route. */
export class CallerTimeouts {
  readonly #longestTimeoutMs = new Map<string, number>()

  /**
   * Returns the estimated time since the caller's first attempt, in milliseconds;
   * 0 for a first attempt.
   * @param callerTimeoutMs `undefined`: not stated
   */
  waitedMs(route: string, callerTimeoutMs: number | undefined): number {
    if (callerTimeoutMs === undefined) return 0
    const longestTimeoutMs = Math.max(this.#longestTimeoutMs.get(route) ?? 0, callerTimeoutMs)
    this.#longestTimeoutMs.set(route, longestTimeoutMs)
    if (callerTimeoutMs >= longestTimeoutMs * RETRY_TIMEOUT_FRACTION) return 0
    return longestTimeoutMs * FIRST_ATTEMPT_FRACTION - callerTimeoutMs
  }
}
