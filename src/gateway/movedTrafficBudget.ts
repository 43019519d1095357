/**
 * Enforces the cap of a shift a second time, in the target region: each gateway serves
 * moved requests at most at the capped rate divided by the number of gateways.
 */
import type { ShiftRecord } from '../configuration/document.js'
import { TokenBucket } from './tokenBucket.js'

/**
 * Bucket capacity in seconds of the capped rate. Arrivals are random, so without a burst
 * allowance the bucket would reject requests although the average rate is below the cap;
 * one second is far below the interval between the steps of a shift.
 */
const BURST_SECONDS = 1

/** One token bucket per shift. */
export class MovedTrafficBudget {
  readonly #buckets = new Map<string, TokenBucket>()

  /**
   * Takes a token for one moved request; returns false if the budget is used up.
   *
   * @param homeRate requests per second of the callers of the shift's source region
   * @param gatewayCount largest recent count of live gateways in this region
   */
  take(shift: ShiftRecord, homeRate: number, gatewayCount: number, nowMs: number): boolean {
    const rate = (shift.capShare * homeRate) / Math.max(1, gatewayCount)
    // With a capacity below one token, a low rate could never serve a request.
    const capacity = Math.max(1, rate * BURST_SECONDS)
    const bucket = this.#buckets.get(shift.shiftId) ?? new TokenBucket(0, nowMs)
    this.#buckets.set(shift.shiftId, bucket)
    bucket.refill(rate, capacity, nowMs)
    return bucket.take(1)
  }

  /** Removes the buckets of shifts that are not in `shiftIds`. */
  retain(shiftIds: ReadonlySet<string>): void {
    for (const shiftId of this.#buckets.keys()) {
      if (!shiftIds.has(shiftId)) this.#buckets.delete(shiftId)
    }
  }
}
