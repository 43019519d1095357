/**
 * Shares the turns of the event loop between the input of callers and all else. Input of many small
 * parts costs much time to parse for its bytes, and what a crowd has sent arrives in one turn.
 */
import type { Clock } from '../common/clock.js'

/** Time for input in one turn; a request takes several turns, so it bounds what each adds. */
const TIME_PER_TURN_MS = 5
/** Time after which input may use that time again, also within a turn that other work makes long. */
const WINDOW_MS = 10

/** Parses a piece of what a connection has received, and returns whether it has more. */
export type PassPiece = () => boolean

/** Time that input has used since a turn began, or since the last window has passed. */
class InputTime {
  #startedAtMs = Number.NEGATIVE_INFINITY
  #usedMs = 0

  isUsedUp(nowMs: number): boolean {
    if (nowMs - this.#startedAtMs >= WINDOW_MS) this.start(nowMs)
    return this.#usedMs >= TIME_PER_TURN_MS
  }

  use(startedAtMs: number, endedAtMs: number): void {
    this.#usedMs += Math.max(0, endedAtMs - startedAtMs)
  }

  start(nowMs: number): void {
    this.#startedAtMs = nowMs
    this.#usedMs = 0
  }
}

/** Passes pieces of input within the time of a turn, and the rest in later ones, in order. */
export class InputTurns {
  readonly #clock: Clock
  readonly #time = new InputTime()
  readonly #waiting = new Set<PassPiece>()
  #isScheduled = false

  constructor(clock: Clock) {
    this.#clock = clock
  }

  /**
   * Calls `pass` until it has no more, now and in later turns; further calls with the same function
   * have no effect until then.
   */
  take(pass: PassPiece): void {
    if (this.#waiting.has(pass)) return
    while (this.#waiting.size === 0 && !this.#time.isUsedUp(this.#clock())) {
      if (!this.#passTimed(pass)) return
    }
    this.#waiting.add(pass)
    this.#schedule()
  }

  #passTimed(pass: PassPiece): boolean {
    const startedAtMs = this.#clock()
    const hasMore = pass()
    this.#time.use(startedAtMs, this.#clock())
    return hasMore
  }

  #schedule(): void {
    if (this.#isScheduled) return
    this.#isScheduled = true
    setImmediate(() => {
      this.#isScheduled = false
      this.#time.start(this.#clock())
      this.#passWaiting()
    })
  }

  #passWaiting(): void {
    for (const pass of this.#waiting) {
      if (this.#time.isUsedUp(this.#clock())) break
      this.#waiting.delete(pass)
      // Adding it again puts it behind the others.
      if (this.#passTimed(pass)) this.#waiting.add(pass)
    }
    if (this.#waiting.size > 0) this.#schedule()
  }
}
