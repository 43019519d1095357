/** Detects a blocked event loop by timers that fire late. */

/** Lateness from which the event loop counts as blocked; timers are always some ms late. */
const DELAY_THRESHOLD_MS = 50
/** Time after a late timer in which the backlog of socket events is worked off. */
const DELAYED_PERIOD_MS = 1000

/** Monitors the lateness of a periodic timer. */
export class EventLoopDelay {
  #delayedUntilMs = Number.NEGATIVE_INFINITY
  #dueAtMs = Number.POSITIVE_INFINITY

  /** Records that the timer was set. */
  expectTick(dueAtMs: number): void {
    this.#dueAtMs = dueAtMs
  }

  /** Records that the timer fired. */
  recordTick(nowMs: number): void {
    if (this.#isOverdue(nowMs)) this.#delayedUntilMs = nowMs + DELAYED_PERIOD_MS
    this.#dueAtMs = Number.POSITIVE_INFINITY
  }

  /** Socket events that follow a long callback are processed before the overdue timer. */
  isDelayed(nowMs: number): boolean {
    return nowMs < this.#delayedUntilMs || this.#isOverdue(nowMs)
  }

  #isOverdue(nowMs: number): boolean {
    return nowMs - this.#dueAtMs >= DELAY_THRESHOLD_MS
  }
}
