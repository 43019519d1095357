/** Detects a blocked event loop by timers that fire late. */

/** Lateness from which the event loop counts as blocked; timers are always some ms late. */
const DELAY_THRESHOLD_MS = 50
/** Time after a late timer in which the backlog of socket events is worked off. */
const DELAYED_PERIOD_MS = 1000

/** Monitors the lateness of a periodic timer. */
export class EventLoopDelay {
  #delayedUntilMs = Number.NEGATIVE_INFINITY

  /** Records that the timer fired. @param dueAtMs time at which it was due */
  recordTick(dueAtMs: number, nowMs: number): void {
    if (nowMs - dueAtMs >= DELAY_THRESHOLD_MS) this.#delayedUntilMs = nowMs + DELAYED_PERIOD_MS
  }

  isDelayed(nowMs: number): boolean {
    return nowMs < this.#delayedUntilMs
  }
}
