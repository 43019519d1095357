/**
 * Estimates the object cache size of backend servers from the durations of requests.
 *
 * A server answers several times faster if it handled the object recently, but its cache is
 * small. After too many requests for other objects an object is evicted; preferring the same
 * server for it any longer would only evict objects that are still cached there.
 */

/** Initial estimate, in requests; most services cache some dozens of objects. */
const FIRST_GUESS = 48
const MIN_KEPT = 4
const MAX_KEPT = 2048
/** Increase when an object beyond the estimate was still cached; such hits are rare. */
const GROWTH = 2
/** Decrease when an object within the estimate was slow; a straggler looks the same. */
const SHRINKAGE = 0.5
/** Fraction of the estimated size above which a slow answer indicates a smaller cache. */
const TELLING_SHARE = 0.6

/** Estimated cache size, shared by all servers of a service. */
export class ObjectMemory {
  #kept = FIRST_GUESS

  /** Number of requests for other objects after which an object is evicted. */
  get kept(): number {
    return Math.round(this.#kept)
  }

  /** Number of objects to track per server; above the estimate, to notice if it is too small. */
  get remembered(): number {
    return 2 * this.kept
  }

  /**
   * @param rank requests with objects that the server handled since the last one for this object
   * @param wasFast whether the request took as long as one for a cached object
   */
  observe(rank: number, wasFast: boolean): void {
    if (wasFast && rank >= this.#kept) this.#kept = Math.min(MAX_KEPT, this.#kept + GROWTH)
    const isTelling = rank < this.#kept && rank >= this.#kept * TELLING_SHARE
    if (!wasFast && isTelling) this.#kept = Math.max(MIN_KEPT, this.#kept - SHRINKAGE)
  }
}
