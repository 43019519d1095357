/** Tells from timers that fire late whether the process is behind with its work. */

/** Lateness from which the process counts as behind, in ms; timers are a few ms late always. */
const BEHIND_MS = 50
/** Time for which it counts as behind after that, in ms; what waited is read in it. */
const BEHIND_LIFE_MS = 1000

/** Lateness of one regular timer. */
export class ProcessDelay {
  #behindUntilMs = Number.NEGATIVE_INFINITY

  /** @param dueAtMs time at which the timer should have fired */
  note(dueAtMs: number, nowMs: number): void {
    if (nowMs - dueAtMs >= BEHIND_MS) this.#behindUntilMs = nowMs + BEHIND_LIFE_MS
  }

  isBehind(nowMs: number): boolean {
    return nowMs < this.#behindUntilMs
  }
}
