/**
 * Idle times up to which a kept connection to a backend server is reused.
 *
 * A server closes idle connections after a time that it states. A request that crosses the close,
 * or that is sent on a connection that the server or the network has dropped unnoticed, has an
 * unknown outcome: an idempotent one is sent again, any other is lost. So the limits for the
 * latter are shorter, and shorter still while there are signs that idle connections get lost.
 */

/** Idle timeout assumed for a server that states none. */
const DEFAULT_IDLE_TIMEOUT_MS = 4000
/** Upper bound of the margin before the stated timeout: latency, late timers and short pauses. */
const MAX_MARGIN_MS = 1000
/** Margin as a fraction of the timeout, so that short timeouts are not used up by it. */
const MARGIN_FRACTION = 0.3
/**
 * Limit for non-idempotent requests while servers are out of reach, and the lower bound of that
 * limit for short timeouts. A longer idle time leaves more time for an unnoticed loss.
 */
const CAUTIOUS_IDLE_MS = 2500
/** Limit for non-idempotent requests after a reused connection broke. */
const BROKEN_REUSE_IDLE_MS = 150
/** Time for which a sign of lost connections shortens the limit. */
export const CAUTION_MS = 15_000
/**
 * A server that has dropped a connection resets it within a round trip and a retransmission. A
 * connection that breaks later broke while the server worked on the request.
 */
const MAX_RESET_DELAY_MS = 600
/** Round trip between regions; a reset after it may be that of a server that ends. */
const ROUND_TRIP_MS = 200

/** How far a kept connection is trusted. */
export interface IdleLimits {
  readonly idempotentMs: number
  readonly nonIdempotentMs: number
}

export class ReuseLimits {
  #brokenReuseUntilMs = Number.NEGATIVE_INFINITY
  #unreachableUntilMs = Number.NEGATIVE_INFINITY

  /**
   * @param statedTimeoutMs idle timeout that the server states; `undefined` if none
   * @param mayBeLost whether other instances lost connections a short time ago
   */
  limits(statedTimeoutMs: number | undefined, nowMs: number, mayBeLost = false): IdleLimits {
    const timeoutMs = statedTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS
    // Without a statement the timeout is a guess, which leaves the margin no upper bound.
    const maxMarginMs = statedTimeoutMs === undefined ? Number.POSITIVE_INFINITY : MAX_MARGIN_MS
    const marginMs = Math.min(maxMarginMs, timeoutMs * MARGIN_FRACTION)
    const idempotentMs = timeoutMs - marginMs
    const cautiousMs = Math.min(idempotentMs, CAUTIOUS_IDLE_MS)
    const usualMs = Math.max(cautiousMs, timeoutMs - 2 * marginMs)
    const nonIdempotentMs =
      mayBeLost || nowMs < this.#brokenReuseUntilMs
        ? Math.min(cautiousMs, BROKEN_REUSE_IDLE_MS)
        : nowMs < this.#unreachableUntilMs
          ? cautiousMs
          : usualMs
    return { idempotentMs, nonIdempotentMs }
  }

  /**
   * Records that a reused connection broke without an answer; returns whether it is clear enough
   * that the server had dropped it to distrust the connections of other instances.
   * @param idleMs time for which the connection was idle before the send
   * @param afterMs time from the send to the break
   */
  recordBrokenReuse(idleMs: number, afterMs: number, nowMs: number): boolean {
    if (afterMs > MAX_RESET_DELAY_MS) this.#unreachableUntilMs = nowMs + CAUTION_MS
    else this.#brokenReuseUntilMs = nowMs + CAUTION_MS
    return idleMs > BROKEN_REUSE_IDLE_MS && afterMs <= ROUND_TRIP_MS
  }

  /** Records that a server did not accept a connection, or fell silent on a reused one. */
  recordUnreachable(nowMs: number): void {
    this.#unreachableUntilMs = nowMs + CAUTION_MS
  }
}
