/** Keeps the moved part of one process's own answers under a share. */

/** Blocks that were held home stay there for the rest of the window, in milliseconds. */
export const LIMITER_WINDOW_MS = 10_000
/** Unused allowance is kept up to this many moved answers, or one window's worth. */
const MIN_CREDIT_LIMIT = 4
/** Bound on the blocks that are remembered as held home. */
const MAX_HELD_BLOCKS = 10_000
/** Positions are judged only after this many moves were wanted in a window. */
const MIN_SAMPLE = 20
/** Measured shares of up to this factor above the allowed one are taken for noise. */
const TOLERANCE = 1.1
const RECOVERY_FACTOR = 1.02
/**
 * Part of the share that is used. An answer stands for a varying number of requests, and at
 * the whole share their moved part reached 30.3% within a second under a cap of 30% (bench `shift`).
 */
const USED_PART = 0.96

/**
 * Rule that each process keeps alone: at any time it has moved at most
 * `share` of its answers, so the sum over all processes is under the share too.
 * The order of blocks is by their configured weight, and measured traffic
 * differs from it; without the rule, a heavy block would exceed the cap.
 */
export class MovedShareLimiter {
  #windowStartMs = Number.NEGATIVE_INFINITY
  #answers = 0
  #answersBefore = 0
  /** Answers whose blocks were to move, whether they did or not. */
  #wanted = 0
  /** Answers that may still move; grows by the share with each answer. */
  #credit = 0
  /** Lowers the positions that move when blocks carry more than their weight says. */
  #positionFactor = 1
  readonly #heldBlocks = new Set<number>()

  /**
   * Counts an answer and decides whether its block is served away from home.
   *
   * @param blockHash hash of the client's block
   * @param position position of the block in the order of the move, 0 to 1
   * @param givenShare part of the answers that may move, 0 to 1
   */
  allows(blockHash: number, position: number, givenShare: number, nowMs: number): boolean {
    const share = givenShare === 1 ? 1 : givenShare * USED_PART
    if (nowMs - this.#windowStartMs >= LIMITER_WINDOW_MS) this.#startWindow(share, nowMs)
    this.#answers++
    const limit = share * Math.max(this.#answers, this.#answersBefore)
    this.#credit = Math.min(this.#credit + share, Math.max(MIN_CREDIT_LIMIT, limit))
    if (position > share * this.#positionFactor) return false
    this.#wanted++
    if (this.#heldBlocks.has(blockHash)) return false
    if (this.#credit < 1) {
      if (this.#heldBlocks.size < MAX_HELD_BLOCKS) this.#heldBlocks.add(blockHash)
      return false
    }
    this.#credit--
    return true
  }

  /** Blocks with the highest positions stay home first, so that the others don't alternate. */
  #startWindow(share: number, nowMs: number): void {
    const measured = this.#answers === 0 ? 0 : this.#wanted / this.#answers
    const isAbove = this.#wanted >= MIN_SAMPLE && measured > share * TOLERANCE
    this.#positionFactor = isAbove
      ? (this.#positionFactor * share) / measured
      : Math.min(1, this.#positionFactor * RECOVERY_FACTOR)
    this.#windowStartMs = nowMs
    this.#answersBefore = this.#answers
    this.#answers = 0
    this.#wanted = 0
    this.#heldBlocks.clear()
  }
}
