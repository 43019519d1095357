/**
 * Detects that this process did not run for a while: it was stopped, blocked, or its machine was
 * suspended. What it was granted before may have run out meanwhile.
 */

/** Gap between two observations from which the process counts as paused, in milliseconds. */
const PAUSE_THRESHOLD_MS = 800
/**
 * Lead of the wall clock over the monotonic clock, within one gap, from which the machine may have
 * been suspended, in milliseconds: a monotonic clock may not count that time. A step of the wall
 * clock looks the same, so a reaction must be harmless without a pause.
 */
const SUSPENSION_THRESHOLD_MS = 500

/** Compares the times of observations, which must be made more often than the threshold. */
export class PauseDetector {
  #lastMs: number
  #lastWallMs: number

  constructor(nowMs: number, wallMs: number) {
    this.#lastMs = nowMs
    this.#lastWallMs = wallMs
  }

  /**
   * Returns the time since the last observation if the process may have been paused in it, else 0.
   * @param wallMs time of the wall clock
   */
  observe(nowMs: number, wallMs: number): number {
    const elapsedMs = nowMs - this.#lastMs
    const wallElapsedMs = wallMs - this.#lastWallMs
    this.#lastMs = nowMs
    this.#lastWallMs = wallMs
    if (elapsedMs >= PAUSE_THRESHOLD_MS) return elapsedMs
    return wallElapsedMs - elapsedMs >= SUSPENSION_THRESHOLD_MS ? wallElapsedMs : 0
  }
}
