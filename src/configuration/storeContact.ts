/** How recently this process learned, directly or through peers, which revision the store's head has. */

/** Tracks the time of the last contact with the store. */
export class StoreContact {
  #lastMs = Number.NEGATIVE_INFINITY
  #isWatching = false

  /** Records an answer of the store. */
  note(nowMs: number): void {
    this.#lastMs = Math.max(this.#lastMs, nowMs)
  }

  /**
   * Records the last contact of a peer, which was `ageMs` old when the peer reported it; null if it
   * had none.
   */
  noteAge(ageMs: number | null, nowMs: number): void {
    if (ageMs !== null) this.note(nowMs - ageMs)
  }

  /**
   * Sets whether a watch is open at a store that answered the previous call. A store update
   * would arrive at once, so an open watch counts as contact.
   */
  setWatching(isWatching: boolean, nowMs: number): void {
    if (this.#isWatching) this.note(nowMs)
    this.#isWatching = isWatching
  }

  /** Returns the time since the last contact in milliseconds, or null if there was none yet. */
  ageMs(nowMs: number): number | null {
    if (this.#isWatching) return 0
    return Number.isFinite(this.#lastMs) ? Math.max(0, nowMs - this.#lastMs) : null
  }
}
