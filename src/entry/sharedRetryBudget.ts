/**
 * Budget of resends to backend servers, shared by all entry instances without messages.
 *
 * When many backend servers lose answers or fail at once, every instance would send again. The
 * bounds hold for the sum of all instances in any window, so each instance limits its resends
 * to a ratio of its own requests plus an equal fraction of the constant slack.
 */
import { TokenBucket } from '../gateway/tokenBucket.js'

/** Bounds that the operator sets for a service, for the sum of all instances. */
export interface RetryBounds {
  /** Resends per request, in any window. */
  readonly ratio: number
  /** Further resends in any window, independent of the number of requests. */
  readonly slack: number
}

/** Fraction of the bounds that is used; window and membership differ slightly by instance. */
const USED_FRACTION = 0.75

/** Holds one token bucket per service. */
export class SharedRetryBudget {
  readonly #bounds: RetryBounds
  readonly #buckets = new Map<string, TokenBucket>()

  constructor(bounds: RetryBounds) {
    this.#bounds = bounds
  }

  /**
   * Adds the tokens that a first send earns.
   * @param instances number of instances that may be running
   */
  recordRequest(service: string, instances: number, nowMs: number): void {
    this.#bucket(service, instances, nowMs).add(
      this.#bounds.ratio * USED_FRACTION,
      this.#capacity(instances),
    )
  }

  /** Takes the token for one resend; returns false if there is none. */
  take(service: string, instances: number, nowMs: number): boolean {
    return this.#bucket(service, instances, nowMs).take(1)
  }

  #capacity(instances: number): number {
    return Math.max(1, (this.#bounds.slack * USED_FRACTION) / Math.max(1, instances))
  }

  #bucket(service: string, instances: number, nowMs: number): TokenBucket {
    const existing = this.#buckets.get(service)
    if (existing !== undefined) return existing
    // One token at most, so that many processes that restart together stay within the bounds.
    const created = new TokenBucket(Math.min(1, this.#capacity(instances)), nowMs)
    this.#buckets.set(service, created)
    return created
  }
}
