/** Share of its own callers that a region can serve, during and after an outage. */

/** After an outage, traffic returns in steps of this share, because the caches are cold. */
export const RECOVERY_STEP_SHARE = 0.1
export const RECOVERY_STEP_MS = 2000
/** Shorter outages leave the caches warm, and are often only false suspicions. */
const MIN_COLD_OUTAGE_MS = 5000

/** Availability of one region as observed by this process. */
export class RegionAvailability {
  /** False until this process first sees the region serving, which is then new, not recovered. */
  #wasAvailable = false
  #unavailableSinceMs: number | undefined
  #recoveredAtMs: number | undefined

  /** Records whether the region currently has a gateway that can serve. */
  update(isServing: boolean, nowMs: number): void {
    if (!isServing) {
      // A region that fails again during its recovery starts over with the first step.
      if (this.#recoveredAtMs !== undefined) this.#unavailableSinceMs = nowMs - MIN_COLD_OUTAGE_MS
      this.#recoveredAtMs = undefined
      this.#unavailableSinceMs ??= nowMs
      return
    }
    const unavailableSinceMs = this.#wasAvailable ? this.#unavailableSinceMs : undefined
    this.#wasAvailable = true
    if (unavailableSinceMs !== undefined && nowMs - unavailableSinceMs >= MIN_COLD_OUTAGE_MS) {
      this.#recoveredAtMs = nowMs
    }
    this.#unavailableSinceMs = undefined
  }

  /** Share of its own callers that the region can serve, 0 to 1. */
  servableShare(nowMs: number): number {
    if (this.#unavailableSinceMs !== undefined) return 0
    if (this.#recoveredAtMs === undefined) return 1
    const steps = 1 + Math.floor((nowMs - this.#recoveredAtMs) / RECOVERY_STEP_MS)
    const share = Math.min(1, Math.round(steps * RECOVERY_STEP_SHARE * 1000) / 1000)
    if (share === 1) this.#recoveredAtMs = undefined
    return share
  }
}
