/** How much of its own callers a region takes, through failure and return. */

/** Traffic comes back to a region in steps of this share, because its caches are cold. */
export const RETURN_STEP_SHARE = 0.1
/** Time between the steps, in milliseconds. */
export const RETURN_STEP_MS = 2000
/** A shorter absence leaves caches warm, and is often only a wrong suspicion, in milliseconds. */
const WARM_ABSENCE_MS = 5000

/** State of one region as this process sees it. */
export class RegionAvailability {
  /** A region that this process has never seen serving is new to it rather than failed. */
  #hasServed = false
  #goneSinceMs: number | undefined
  #returnedAtMs: number | undefined

  /** Records whether the region has a gateway that can serve. */
  note(isServing: boolean, nowMs: number): void {
    if (!isServing) {
      // A region that fails again while it returns starts over.
      if (this.#returnedAtMs !== undefined) this.#goneSinceMs = nowMs - WARM_ABSENCE_MS
      this.#returnedAtMs = undefined
      this.#goneSinceMs ??= nowMs
      return
    }
    const goneSinceMs = this.#hasServed ? this.#goneSinceMs : undefined
    this.#hasServed = true
    if (goneSinceMs !== undefined && nowMs - goneSinceMs >= WARM_ABSENCE_MS) {
      this.#returnedAtMs = nowMs
    }
    this.#goneSinceMs = undefined
  }

  /** Share of its callers that the region can serve, 0 to 1. */
  share(nowMs: number): number {
    if (this.#goneSinceMs !== undefined) return 0
    if (this.#returnedAtMs === undefined) return 1
    const steps = 1 + Math.floor((nowMs - this.#returnedAtMs) / RETURN_STEP_MS)
    const share = Math.min(1, Math.round(steps * RETURN_STEP_SHARE * 1000) / 1000)
    if (share === 1) this.#returnedAtMs = undefined
    return share
  }
}
