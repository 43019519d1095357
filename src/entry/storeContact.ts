/** When this instance reads the store itself, and when news of a peer are enough. */

/**
 * Part of the time to apply a configuration that a watch waits. A reader whose connection has
 * gone silent is replaced after one wait; that, a repeat and the way to the others fit in.
 */
const WATCH_SHARE = 0.325
/** Bounds of the wait, in ms: each return of a watch costs a call; a silent reader must be noticed. */
const SHORTEST_WATCH_MS = 400
const LONGEST_WATCH_MS = 2000
/** Time beyond the wait of a watch after which the first instance in line should have told us. */
const LATE_NEWS_MS = 300
/** Further wait per place in line, so that not all instances call the store at once. */
const WAIT_PER_PLACE_MS = 120
/** Places with the short wait: enough that one of them reaches a store which turns some away. */
const NEAR_PLACES = 4
/** Wait per further place, in ms: during an outage each reader costs calls and helps nobody. */
const WAIT_PER_FAR_PLACE_MS = 600
/** Age of a peer's contact below which an instance that is not first stops its own reading. */
const FRESH_PEER_CONTACT_MS = 600
/** Time beyond the wait of a watch after which the store counts as away, in milliseconds. */
const AWAY_MS = 950

/** Aggregate over contact with the store, own and of peers. Steady times in milliseconds. */
export class StoreContact {
  #ownContactAtMs: number | undefined
  #peerContactAtMs: number | undefined
  readonly #startedAtMs: number
  #isReading = false
  /** Longest wait of a watch, in milliseconds. */
  readonly watchMs: number

  /** @param applyMs time within which an accepted configuration must be in force */
  constructor(applyMs: number, nowMs: number) {
    this.#startedAtMs = nowMs
    this.watchMs = Math.round(
      Math.min(LONGEST_WATCH_MS, Math.max(SHORTEST_WATCH_MS, applyMs * WATCH_SHARE)),
    )
  }

  /** Whether this instance itself hears from the store. */
  isReader(nowMs: number): boolean {
    const ageMs = this.ownAgeMs(nowMs)
    return ageMs >= 0 && ageMs <= this.watchMs + AWAY_MS
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

  sinceStartMs(nowMs: number): number {
    return nowMs - this.#startedAtMs
  }

  isAway(nowMs: number): boolean {
    return this.ageMs(nowMs) > this.watchMs + AWAY_MS
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
    const limitMs = this.watchMs + LATE_NEWS_MS + waitOfPlace(place)
    this.#isReading = peerAgeMs > limitMs
    return this.#isReading
  }
}

function waitOfPlace(place: number): number {
  const near = Math.min(place, NEAR_PLACES)
  return near * WAIT_PER_PLACE_MS + (place - near) * WAIT_PER_FAR_PLACE_MS
}
