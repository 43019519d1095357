/** When this instance reads the store itself, and when news of a peer are enough. */

/** Age of the last contact above which the first instance in line should have told us. */
const PEER_NEWS_LIMIT_MS = 950
/** Further wait per place in line, so that not all instances call the store at once. */
const WAIT_PER_PLACE_MS = 120
const MAX_PLACES = 4
/** Age of a peer's contact below which an instance that is not first stops its own reading. */
const FRESH_PEER_CONTACT_MS = 600
/** Age above which the store counts as away. */
export const STORE_AWAY_MS = 1600

/** Aggregate over contact with the store, own and of peers. Steady times in milliseconds. */
export class StoreContact {
  #ownContactAtMs: number | undefined
  #peerContactAtMs: number | undefined
  readonly #startedAtMs: number
  #isReading = false

  constructor(nowMs: number) {
    this.#startedAtMs = nowMs
  }

  /** The store answered a call of this instance. */
  noteOwn(nowMs: number): void {
    this.#ownContactAtMs = nowMs
  }

  /**
   * A peer of the own region stated that it heard from the store `ageMs` ago; -1: never.
   * Contact of other regions does not count: they don't pass their news on to this one.
   */
  notePeer(ageMs: number, nowMs: number): void {
    if (ageMs < 0) return
    this.#peerContactAtMs = Math.max(this.#peerContactAtMs ?? 0, nowMs - ageMs)
  }

  /** Time since the own last contact; -1: never. */
  ownAgeMs(nowMs: number): number {
    return this.#ownContactAtMs === undefined ? -1 : Math.round(nowMs - this.#ownContactAtMs)
  }

  /** Time since the last contact of anyone, or since the start. */
  ageMs(nowMs: number): number {
    const latest = Math.max(
      this.#ownContactAtMs ?? this.#startedAtMs,
      this.#peerContactAtMs ?? this.#startedAtMs,
    )
    return nowMs - latest
  }

  isAway(nowMs: number): boolean {
    return this.ageMs(nowMs) > STORE_AWAY_MS
  }

  /**
   * Decides whether this instance reads the store now.
   * @param place place in the region's line of readers; 0 reads always
   */
  shouldRead(place: number, nowMs: number): boolean {
    if (place === 0) {
      this.#isReading = true
      return true
    }
    const peerAgeMs = nowMs - (this.#peerContactAtMs ?? this.#startedAtMs)
    if (this.#isReading) {
      const hasFreshPeer = this.#peerContactAtMs !== undefined && peerAgeMs < FRESH_PEER_CONTACT_MS
      if (hasFreshPeer) this.#isReading = false
      return this.#isReading
    }
    const limitMs = PEER_NEWS_LIMIT_MS + WAIT_PER_PLACE_MS * Math.min(place, MAX_PLACES)
    this.#isReading = peerAgeMs > limitMs
    return this.#isReading
  }
}
