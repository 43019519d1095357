/**
 * For how many further requests a server keeps an object at hand, learned from durations.
 *
 * Load pattern: a server answers several times faster when it handled the object
 * recently, but it keeps few. An object that was followed by too many requests
 * for others is as good as new, and preferring its old server would only crowd
 * out what is still kept there.
 */

/** Requests assumed until durations tell; most services keep some dozens of objects. */
const FIRST_GUESS = 48
const MIN_KEPT = 4
const MAX_KEPT = 2048
/** Growth when an object beyond the limit was still kept; such sightings are rare. */
const GROWTH = 2
/** Shrinkage when an object within the limit was slow; stragglers look the same now and then. */
const SHRINKAGE = 0.5
/** Part of the limit above which a slow answer says something about the limit. */
const TELLING_SHARE = 0.6

/** Limit shared by all servers of a service. */
export class ObjectMemory {
  #kept = FIRST_GUESS

  /** Requests after which an object is forgotten. */
  get kept(): number {
    return Math.round(this.#kept)
  }

  /** Objects whose order is worth remembering, to notice a limit that is too low. */
  get remembered(): number {
    return 2 * this.kept
  }

  /**
   * @param rank requests with objects that the server got since; 0: it was the last one
   * @param wasFast whether the answer took the time of a kept object
   */
  observe(rank: number, wasFast: boolean): void {
    if (wasFast && rank >= this.#kept) this.#kept = Math.min(MAX_KEPT, this.#kept + GROWTH)
    const isTelling = rank < this.#kept && rank >= this.#kept * TELLING_SHARE
    if (!wasFast && isTelling) this.#kept = Math.max(MIN_KEPT, this.#kept - SHRINKAGE)
  }
}
