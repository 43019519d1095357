/**
 * Second enforcement of a shift's cap: a gateway of the target region serves
 * moved requests only at its part of the capped rate.
 */
import type { ShiftRecord } from '../configuration/document.js'
import { TokenBucket } from './tokenBucket.js'

/**
 * Time in which unused rate accumulates, in seconds. Callers' arrivals are
 * random, so a bucket without a reserve would send home requests that the
 * average permits; one second stays far below the interval of a shift's steps.
 */
const BURST_SECONDS = 1

/** Token buckets, one for each shift. */
export class MovedTrafficBudget {
  readonly #buckets = new Map<string, TokenBucket>()

  /**
   * Takes the right to serve one moved request here.
   *
   * @param homeRate requests per second of the callers of the shift's source region
   * @param gatewayCount largest recent count of live gateways in this region
   */
  take(shift: ShiftRecord, homeRate: number, gatewayCount: number, nowMs: number): boolean {
    const rate = (shift.capShare * homeRate) / Math.max(1, gatewayCount)
    // At least one whole token, or a low rate could never serve a request.
    const capacity = Math.max(1, rate * BURST_SECONDS)
    const bucket = this.#buckets.get(shift.shiftId) ?? new TokenBucket(0, nowMs)
    this.#buckets.set(shift.shiftId, bucket)
    bucket.refill(rate, capacity, nowMs)
    return bucket.take(1)
  }

  /** Forgets shifts that are not in `shiftIds`. */
  retain(shiftIds: ReadonlySet<string>): void {
    for (const shiftId of this.#buckets.keys()) {
      if (!shiftIds.has(shiftId)) this.#buckets.delete(shiftId)
    }
  }
}
