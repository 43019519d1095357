/** Share of its own callers that a region can serve, during and after an outage. */

/** After an outage, traffic returns in steps of this share, because the caches are cold. */
export const RETURN_STEP_SHARE = 0.1
export const RETURN_STEP_MS = 2000
/** Shorter outages leave the caches warm, and are often only false suspicions. */
const WARM_ABSENCE_MS = 5000

/** Availability of one region as observed by this process. */
export class RegionAvailability {
  /** False until this process first sees the region serving, which is then new, not recovered. */
  #hasServed = false
  #goneSinceMs: number | undefined
  #returnedAtMs: number | undefined

  /** Records whether the region currently has a gateway that can serve. */
  note(isServing: boolean, nowMs: number): void {
    if (!isServing) {
      // A region that fails again during its recovery starts over with the first step.
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

  /** Share of its own callers that the region can serve, 0 to 1. */
  share(nowMs: number): number {
    if (this.#goneSinceMs !== undefined) return 0
    if (this.#returnedAtMs === undefined) return 1
    const steps = 1 + Math.floor((nowMs - this.#returnedAtMs) / RETURN_STEP_MS)
    const share = Math.min(1, Math.round(steps * RETURN_STEP_SHARE * 1000) / 1000)
    if (share === 1) this.#returnedAtMs = undefined
    return share
  }
}
