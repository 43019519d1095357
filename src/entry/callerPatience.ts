/** Tells from the time that a caller still waits whether it has been turned away before. */

/**
 * Patience below this part of the longest on the route means that the caller came back:
 * a refusal takes up to a third of the time left, while fresh callers of one kind differ by less.
 */
const RETURN_SHARE = 0.8
/** Middle of the patience of fresh callers, as a part of the longest. */
const FRESH_SHARE = (1 + RETURN_SHARE) / 2

/** Longest patience seen per route. */
export class CallerPatience {
  readonly #longestMs = new Map<string, number>()

  /**
   * Time that the caller has waited since its first attempt, in milliseconds; 0 for a fresh one.
   * @param patienceMs as the caller states it; `undefined`: not stated
   */
  waitedMs(route: string, patienceMs: number | undefined): number {
    if (patienceMs === undefined) return 0
    const longestMs = Math.max(this.#longestMs.get(route) ?? 0, patienceMs)
    this.#longestMs.set(route, longestMs)
    if (patienceMs >= longestMs * RETURN_SHARE) return 0
    return longestMs * FRESH_SHARE - patienceMs
  }
}
