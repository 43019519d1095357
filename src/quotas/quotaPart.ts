/** Part of the elapsed time that this instance owns. */

/** Gap between two calls from which it is not accrued: the process was paused, in milliseconds. */
export const PAUSE_MS = 1000
/** Time after the start from which an instance that knows no other accrues, in milliseconds. */
const ALONE_AFTER_MS = 1500
/**
 * Time for which the number of known instances must not have grown before accrual begins, in
 * milliseconds. A process that starts learns of the others one by one.
 */
const SETTLED_AFTER_MS = 250
/** Most elapsed time whose part is kept while no keeper takes it, in milliseconds. */
const MAX_KEPT_MS = 500

/**
 * Accrues `elapsed / instances`, so that the parts of all instances together are the elapsed time.
 * What is taken is deducted first.
 */
export class QuotaPart {
  readonly #startedAtMs: number
  #observedAtMs: number
  #instances = 0
  #grownAtMs: number
  #hasBegun = false
  #ownedMs = 0

  constructor(nowMs: number) {
    this.#startedAtMs = nowMs
    this.#observedAtMs = nowMs
    this.#grownAtMs = nowMs
  }

  /** Accrues the time since the last call. @param instances that may be running, with this one */
  observe(instances: number, nowMs: number): void {
    const elapsedMs = nowMs - this.#observedAtMs
    this.#observedAtMs = nowMs
    if (instances > this.#instances) this.#grownAtMs = nowMs
    this.#instances = instances
    if (!this.#hasBegun) {
      this.#hasBegun = this.#isSettled(nowMs)
      return
    }
    if (elapsedMs <= 0 || elapsedMs > PAUSE_MS) return
    const count = Math.max(1, instances)
    this.#ownedMs = Math.min(this.#ownedMs + elapsedMs / count, MAX_KEPT_MS / count)
  }

  /** Hands out what was accrued. */
  take(): number {
    const ownedMs = this.#ownedMs
    this.#ownedMs = 0
    return ownedMs
  }

  /** Takes back what could not be sent. */
  putBack(ownedMs: number): void {
    this.#ownedMs += ownedMs
  }

  #isSettled(nowMs: number): boolean {
    if (nowMs - this.#startedAtMs >= ALONE_AFTER_MS) return true
    return this.#instances > 1 && nowMs - this.#grownAtMs >= SETTLED_AFTER_MS
  }
}
