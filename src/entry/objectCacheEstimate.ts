/**
 * Estimates the object cache size of backend servers from the durations of requests.
 *
 * A server answers several times faster if it handled the object recently, but its cache is
 * small. After too many requests for other objects an object is evicted; preferring the same
 * server for it any longer would only evict objects that are still cached there.
 */

/** Initial estimate, in requests; most services cache some dozens of objects. */
const INITIAL_SIZE = 48
const MIN_SIZE = 4
const MAX_SIZE = 2048
/** Increase when an object beyond the estimate was still cached; such hits are rare. */
const SIZE_INCREMENT = 2
/** Decrease when an object within the estimate was slow; a straggler looks the same. */
const SIZE_DECREMENT = 0.5
/** Fraction of the estimated size above which a slow answer indicates a smaller cache. */
const INFORMATIVE_FRACTION = 0.6

/** Estimated cache size, shared by all servers of a service. */
export class ObjectCacheEstimate {
  #size = INITIAL_SIZE

  /** Number of requests for other objects after which an object is evicted. */
  get size(): number {
    return Math.round(this.#size)
  }

  /** Number of objects to track per server; above the estimate, to notice if it is too small. */
  get trackedObjects(): number {
    return 2 * this.size
  }

  /**
   * @param reuseDistance requests with objects since the last one for this object; 0: none
   * @param wasHit whether the request took as long as one for a cached object
   */
  observe(reuseDistance: number, wasHit: boolean): void {
    if (wasHit && reuseDistance >= this.#size)
      this.#size = Math.min(MAX_SIZE, this.#size + SIZE_INCREMENT)
    const isInformative =
      reuseDistance < this.#size && reuseDistance >= this.#size * INFORMATIVE_FRACTION
    if (!wasHit && isInformative) this.#size = Math.max(MIN_SIZE, this.#size - SIZE_DECREMENT)
  }
}
