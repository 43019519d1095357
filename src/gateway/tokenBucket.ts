/** Token bucket whose rate is given at each use, since budgets follow the membership and the configuration. */
export class TokenBucket {
  #tokens: number
  #updatedAtMs: number

  /** @param tokens initial content */
  constructor(tokens: number, nowMs: number) {
    this.#tokens = tokens
    this.#updatedAtMs = nowMs
  }

  /**
   * Adds what accrued since the last call.
   * @returns the part above `capacity`, which is not kept
   */
  refill(ratePerSecond: number, capacity: number, nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs)
    this.#updatedAtMs = Math.max(this.#updatedAtMs, nowMs)
    return this.add((elapsedMs * ratePerSecond) / 1000, capacity)
  }

  /** Adds tokens up to `capacity`; returns the part that did not fit. */
  add(tokens: number, capacity: number): number {
    const sum = this.#tokens + tokens
    this.#tokens = Math.min(sum, capacity)
    return sum - this.#tokens
  }

  /** Tokens at hand; negative after {@link charge} took more than there were. */
  get tokens(): number {
    return this.#tokens
  }

  /** Takes `amount` if the bucket holds it. */
  take(amount: number): boolean {
    if (this.#tokens < amount) return false
    this.#tokens -= amount
    return true
  }

  /** Takes `amount` even if the bucket does not hold it; later takes wait for the refill. */
  charge(amount: number): void {
    this.#tokens -= amount
  }
}
