/** Detects a blocked event loop by timers that fire late. */

/** Lateness from which the event loop counts as blocked; timers are always some ms late. */
const BEHIND_MS = 50
/** Time after a late timer in which the backlog of socket events is worked off. */
const BEHIND_LIFE_MS = 1000

/** Monitors the lateness of a periodic timer. */
export class ProcessDelay {
  #behindUntilMs = Number.NEGATIVE_INFINITY

  /** Records that the timer fired. @param dueAtMs time at which it was due */
  note(dueAtMs: number, nowMs: number): void {
    if (nowMs - dueAtMs >= BEHIND_MS) this.#behindUntilMs = nowMs + BEHIND_LIFE_MS
  }

  isBehind(nowMs: number): boolean {
    return nowMs < this.#behindUntilMs
  }
}
