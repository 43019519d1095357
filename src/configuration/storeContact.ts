/**
 * How recently this process learned, directly or through peers, which revision the store's head
 * has.
 */

/** Tracks the time of the last contact with the store. */
export class StoreContact {
  #lastContactMs = Number.NEGATIVE_INFINITY
  #isWatching = false

  /** Records an answer of the store. */
  recordContact(nowMs: number): void {
    this.#lastContactMs = Math.max(this.#lastContactMs, nowMs)
  }

  /**
   * Records the last contact of a peer, which was `ageMs` old when the peer reported it; null if it
   * had none.
   */
  recordPeerContact(ageMs: number | null, nowMs: number): void {
    if (ageMs !== null) this.recordContact(nowMs - ageMs)
  }

  /**
   * Sets whether a watch is open at a store that answered the previous call. A store update
   * would arrive at once, so an open watch counts as contact.
   */
  setWatching(isWatching: boolean, nowMs: number): void {
    if (this.#isWatching) this.recordContact(nowMs)
    this.#isWatching = isWatching
  }

  /** Returns the time since the last contact in milliseconds, or null if there was none yet. */
  ageMs(nowMs: number): number | null {
    if (this.#isWatching) return 0
    return Number.isFinite(this.#lastContactMs) ? Math.max(0, nowMs - this.#lastContactMs) : null
  }
}
