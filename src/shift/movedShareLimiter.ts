/** Limits the share of moved blocks among the answers of one process. */

/** A block that is denied a move stays in its home region for the rest of this window. */
export const LIMITER_WINDOW_MS = 10_000
/** Unused credit accumulates up to this many answers, or the allowance of one window if larger. */
const MIN_CREDIT_LIMIT = 4
/** Maximum number of denied blocks that are remembered per window. */
const MAX_DENIED_BLOCKS = 10_000
/** Minimum number of move candidates in a window for a change of the position factor. */
const MIN_CANDIDATES = 20
/** Measured shares up to this multiple of the allowed share are treated as noise. */
const NOISE_FACTOR = 1.1
const RECOVERY_FACTOR = 1.02
/**
 * Fraction of the allowed share that is used. An answer stands for a varying number of requests:
 * with the whole share, 30.3% of the requests within a second were moved under a cap of 30%
 * (benchmark `shift`).
 */
const USED_SHARE_FRACTION = 0.96

/**
 * Ensures that this process has moved at most `share` of its answers at any time, so that the
 * total over all processes is within the share too. The order of blocks uses configured weights,
 * which differ from the actual traffic: without the limit, a heavy block would exceed the cap.
 */
export class MovedShareLimiter {
  #windowStartMs = Number.NEGATIVE_INFINITY
  #answers = 0
  /** Number of answers in the previous window. */
  #answersBefore = 0
  /** Answers of blocks whose position is within the share, moved or not. */
  #candidates = 0
  /** Number of answers that may still be moved; grows by the share with each answer. */
  #credit = 0
  /** Below 1 while blocks carry more traffic than their weight; moves fewer positions then. */
  #positionFactor = 1
  readonly #deniedBlocks = new Set<number>()

  /**
   * Counts an answer and returns whether its block may be moved out of its home region.
   *
   * @param blockHash hash of the client's block
   * @param position position of the block in the order of the move, 0 to 1
   * @param allowedShare share of the answers that may be moved, 0 to 1
   */
  allows(blockHash: number, position: number, allowedShare: number, nowMs: number): boolean {
    const share = allowedShare === 1 ? 1 : allowedShare * USED_SHARE_FRACTION
    if (nowMs - this.#windowStartMs >= LIMITER_WINDOW_MS) this.#startWindow(share, nowMs)
    this.#answers++
    const windowAllowance = share * Math.max(this.#answers, this.#answersBefore)
    this.#credit = Math.min(this.#credit + share, Math.max(MIN_CREDIT_LIMIT, windowAllowance))
    if (position > share * this.#positionFactor) return false
    this.#candidates++
    if (this.#deniedBlocks.has(blockHash)) return false
    if (this.#credit < 1) {
      if (this.#deniedBlocks.size < MAX_DENIED_BLOCKS) this.#deniedBlocks.add(blockHash)
      return false
    }
    this.#credit--
    return true
  }

  /**
   * Lowers the position factor if too many answers were candidates, so that the same blocks with
   * the highest positions stay home and the others don't alternate between regions.
   */
  #startWindow(share: number, nowMs: number): void {
    const measuredShare = this.#answers === 0 ? 0 : this.#candidates / this.#answers
    const isAbove = this.#candidates >= MIN_CANDIDATES && measuredShare > share * NOISE_FACTOR
    this.#positionFactor = isAbove
      ? (this.#positionFactor * share) / measuredShare
      : Math.min(1, this.#positionFactor * RECOVERY_FACTOR)
    this.#windowStartMs = nowMs
    this.#answersBefore = this.#answers
    this.#answers = 0
    this.#candidates = 0
    this.#deniedBlocks.clear()
  }
}
