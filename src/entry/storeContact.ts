/** Decides when this instance reads the store itself, and when store updates from peers suffice. */

/**
 * Duration of a watch as a fraction of the time to apply a configuration. A reader with an
 * unresponsive connection is replaced after one watch; that, a retry and the update of the
 * peers must fit into the time.
 */
const WATCH_FRACTION = 0.325
/**
 * Bounds of the duration, in ms: each watch that ends costs another call, but an unresponsive
 * reader must be noticed.
 */
const MIN_WATCH_MS = 400
const MAX_WATCH_MS = 2000
/**
 * Time after the end of a watch by which an update from the first reader should have arrived,
 * in milliseconds.
 */
const LATE_UPDATE_MS = 300
/**
 * Further delay per position in the reader order, in milliseconds, so that not all instances
 * call the store at once.
 */
const TAKEOVER_DELAY_MS = 120
/** Positions with the short delay; one of them should reach a store that refuses some instances. */
const FAST_TAKEOVER_POSITIONS = 4
/** Delay per further position, in ms; during an outage each additional reader only costs calls. */
const SLOW_TAKEOVER_DELAY_MS = 600
/** Age of a peer's store contact below which instances other than the first stop reading, in ms. */
const RECENT_PEER_CONTACT_MS = 600
/** Time after the end of a watch after which the store counts as unreachable, in milliseconds. */
const UNREACHABLE_AFTER_MS = 950

/** Tracks the last contact with the store, own and of peers; monotonic times in milliseconds. */
export class StoreContact {
  #ownContactAtMs: number | undefined
  #peerContactAtMs: number | undefined
  #returnedAtMs: number | undefined
  readonly #startedAtMs: number
  #isReading = false
  /** Duration of a watch, in milliseconds. */
  readonly watchMs: number

  /** @param applyMs time within which an accepted configuration must be in force */
  constructor(applyMs: number, nowMs: number) {
    this.#startedAtMs = nowMs
    this.watchMs = Math.round(
      Math.min(MAX_WATCH_MS, Math.max(MIN_WATCH_MS, applyMs * WATCH_FRACTION)),
    )
  }

  /** Whether this instance itself had contact with the store recently. */
  isReader(nowMs: number): boolean {
    const ageMs = this.ownAgeMs(nowMs)
    return ageMs >= 0 && ageMs <= this.watchMs + UNREACHABLE_AFTER_MS
  }

  /** Records that the store's changes were read by this instance. */
  recordOwnContact(nowMs: number): void {
    this.recordAnswer(nowMs)
    this.#ownContactAtMs = nowMs
  }

  /** Records that the store answered a call of this instance, whatever it said. */
  recordAnswer(nowMs: number): void {
    this.#recordReturn(nowMs, nowMs)
  }

  /** Records that a call of this instance got no answer. */
  recordFailure(): void {
    this.#returnedAtMs = undefined
  }

  /**
   * Latest time at which the store can have returned from its last outage: its first answer since
   * then, or now if there is none.
   */
  returnedAtMs(nowMs: number): number {
    if (this.isStoreUnreachable(nowMs) && !this.#hasReturned()) return nowMs
    return this.#returnedAtMs ?? nowMs
  }

  #recordReturn(answeredAtMs: number, nowMs: number): void {
    if (this.isStoreUnreachable(nowMs) && !this.#hasReturned()) this.#returnedAtMs = answeredAtMs
  }

  /** Whether the store has answered since the last contact. */
  #hasReturned(): boolean {
    return this.#returnedAtMs !== undefined && this.#returnedAtMs > this.#latestContactMs()
  }

  /**
   * Records the store contact that a peer of the own region stated. Other regions must not be
   * recorded, because they don't pass store updates on to this one.
   * @param ageMs time since the contact; -1: never
   */
  recordPeerContact(ageMs: number, nowMs: number): void {
    if (ageMs < 0) return
    const contactAtMs = nowMs - ageMs
    if (contactAtMs > this.#latestContactMs()) this.#recordReturn(contactAtMs, nowMs)
    this.#peerContactAtMs = Math.max(this.#peerContactAtMs ?? 0, contactAtMs)
  }

  /** Time since the last own contact; -1: never. */
  ownAgeMs(nowMs: number): number {
    return this.#ownContactAtMs === undefined ? -1 : Math.round(nowMs - this.#ownContactAtMs)
  }

  /** Time since the last contact of this instance or a peer, or since the start. */
  ageMs(nowMs: number): number {
    return nowMs - this.#latestContactMs()
  }

  #latestContactMs(): number {
    return Math.max(
      this.#ownContactAtMs ?? this.#startedAtMs,
      this.#peerContactAtMs ?? this.#startedAtMs,
    )
  }

  uptimeMs(nowMs: number): number {
    return nowMs - this.#startedAtMs
  }

  isStoreUnreachable(nowMs: number): boolean {
    return this.ageMs(nowMs) > this.watchMs + UNREACHABLE_AFTER_MS
  }

  /**
   * Decides whether this instance reads the store now.
   * @param position position in the reader order of the region; 0 always reads
   */
  shouldRead(position: number, nowMs: number): boolean {
    if (position === 0) {
      this.#isReading = true
      return true
    }
    const peerAgeMs = nowMs - (this.#peerContactAtMs ?? this.#startedAtMs)
    if (this.#isReading) {
      const hasRecentPeer =
        this.#peerContactAtMs !== undefined && peerAgeMs < RECENT_PEER_CONTACT_MS
      if (hasRecentPeer) this.#isReading = false
      return this.#isReading
    }
    const limitMs = this.watchMs + LATE_UPDATE_MS + takeoverDelayMs(position)
    this.#isReading = peerAgeMs > limitMs
    return this.#isReading
  }
}

function takeoverDelayMs(position: number): number {
  const fastPositions = Math.min(position, FAST_TAKEOVER_POSITIONS)
  return fastPositions * TAKEOVER_DELAY_MS + (position - fastPositions) * SLOW_TAKEOVER_DELAY_MS
}
