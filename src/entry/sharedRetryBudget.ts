/**
 * Budget of second sends, shared by all entry instances without a message.
 *
 * Load pattern: many backend servers lose answers or fail at once, and every
 * instance would repeat. The bound holds for the sum of all instances in any
 * window, so each one keeps to its own part: a share of its own requests, and
 * its part of the constant.
 */
import { TokenBucket } from '../gateway/tokenBucket.js'

/** Bounds that the operator set for a service, summed over all instances. */
export interface RetryBounds {
  /** Sends beyond the first per request, in any window. */
  readonly ratio: number
  /** Sends beyond the first on top of that, in any window. */
  readonly slack: number
}

/** Part of the bounds that is used; views of the window and of the membership differ a little. */
const USED_SHARE = 0.75

/** One bucket per service. */
export class SharedRetryBudget {
  readonly #bounds: RetryBounds
  readonly #buckets = new Map<string, TokenBucket>()

  constructor(bounds: RetryBounds) {
    this.#bounds = bounds
  }

  /** Credits a first send. @param instances number of instances that may be running */
  recordRequest(service: string, instances: number, nowMs: number): void {
    this.#bucket(service, instances, nowMs).add(
      this.#bounds.ratio * USED_SHARE,
      this.#capacity(instances),
    )
  }

  /** Takes one second send, or returns false. */
  take(service: string, instances: number, nowMs: number): boolean {
    return this.#bucket(service, instances, nowMs).take(1)
  }

  #capacity(instances: number): number {
    return Math.max(1, (this.#bounds.slack * USED_SHARE) / Math.max(1, instances))
  }

  #bucket(service: string, instances: number, nowMs: number): TokenBucket {
    const known = this.#buckets.get(service)
    if (known !== undefined) return known
    // A new process starts with one: many that restart together must not start with all of it.
    const created = new TokenBucket(Math.min(1, this.#capacity(instances)), nowMs)
    this.#buckets.set(service, created)
    return created
  }
}
