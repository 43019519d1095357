/**
 * Token bucket; rate and capacity are passed on each refill, since they depend on the
 * membership and the configuration.
 */
export class TokenBucket {
  #tokens: number
  #updatedAtMs: number

  /** @param tokens initial number of tokens */
  constructor(tokens: number, nowMs: number) {
    this.#tokens = tokens
    this.#updatedAtMs = nowMs
  }

  /**
   * Adds the tokens that accrued since the last call.
   * @returns the tokens above `capacity`, which are not added
   */
  refill(ratePerSecond: number, capacity: number, nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs)
    this.#updatedAtMs = Math.max(this.#updatedAtMs, nowMs)
    return this.add((elapsedMs * ratePerSecond) / 1000, capacity)
  }

  /** Adds tokens up to `capacity`; returns the tokens that were not added. */
  add(tokens: number, capacity: number): number {
    const sum = this.#tokens + tokens
    this.#tokens = Math.min(sum, capacity)
    return sum - this.#tokens
  }

  /** Available tokens; negative after {@link charge} took more than were available. */
  get tokens(): number {
    return this.#tokens
  }

  /** Takes `amount` tokens; takes none and returns false if fewer are available. */
  take(amount: number): boolean {
    if (this.#tokens < amount) return false
    this.#tokens -= amount
    return true
  }

  /** Takes `amount` tokens even if fewer are available; the debt is paid by later refills. */
  charge(amount: number): void {
    this.#tokens -= amount
  }
}
