/** How recently this process heard, directly or through peers, that it knows the store's head. */

/** Time of the last news from the store. */
export class StoreContact {
  #lastMs = Number.NEGATIVE_INFINITY
  #isWatching = false

  /** Notes an answer of the store. */
  note(nowMs: number): void {
    this.#lastMs = Math.max(this.#lastMs, nowMs)
  }

  /** Notes the contact of a peer that was `ageMs` old when the peer told it. */
  noteAge(ageMs: number | null, nowMs: number): void {
    if (ageMs !== null) this.note(nowMs - ageMs)
  }

  /**
   * Sets whether a watch is waiting at a store that answered the call before.
   * News would arrive at once, so that the contact is as good as an answer.
   */
  setWatching(isWatching: boolean, nowMs: number): void {
    if (this.#isWatching) this.note(nowMs)
    this.#isWatching = isWatching
  }

  /** Returns the time since the last news, or null if there was none yet. */
  ageMs(nowMs: number): number | null {
    if (this.#isWatching) return 0
    return Number.isFinite(this.#lastMs) ? Math.max(0, nowMs - this.#lastMs) : null
  }
}
