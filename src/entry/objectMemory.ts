/**
 * How many objects the servers of a service keep at hand, learned from durations.
 *
 * Load pattern: a server answers several times faster when it handled the object
 * recently, but it keeps few. An object that was followed by more others than
 * the server keeps is as good as new, and preferring its old server would only
 * crowd out what is still kept there.
 */

/** Objects assumed to be kept until durations tell; most services keep some dozens. */
const FIRST_GUESS = 32
const MIN_KEPT = 4
const MAX_KEPT = 1024
/** Growth when an object beyond the limit was still kept; such sightings are rare. */
const GROWTH = 2
/** Shrinkage when an object within the limit was slow; stragglers look the same now and then. */
const SHRINKAGE = 0.5
/** Part of the limit above which a slow answer says something about the limit. */
const TELLING_SHARE = 0.6

/** Limit shared by all servers of a service. */
export class ObjectMemory {
  #kept = FIRST_GUESS

  /** Objects that a server keeps. */
  get kept(): number {
    return Math.round(this.#kept)
  }

  /** Objects whose order is worth remembering, to notice a limit that is too low. */
  get remembered(): number {
    return 2 * this.kept
  }

  /**
   * @param rank number of other objects that the server handled since; 0: it was the last one
   * @param wasFast whether the answer took the time of a kept object
   */
  observe(rank: number, wasFast: boolean): void {
    if (wasFast && rank >= this.#kept) this.#kept = Math.min(MAX_KEPT, this.#kept + GROWTH)
    const isTelling = rank < this.#kept && rank >= this.#kept * TELLING_SHARE
    if (!wasFast && isTelling) this.#kept = Math.max(MIN_KEPT, this.#kept - SHRINKAGE)
  }
}
