/**
 * Decides which queued requests let others pass when slots are short.
 *
 * Answers load beyond the room of a service whose work takes several times as long at a server that
 * does not have its object. In the order of the queue alone, slots go to such work while requests
 * that would take a third of the time wait, and all become late.
 */

/** A queued request and the server that has a free slot for it. */
export interface DispatchOption {
  /** Whether the server is expected to have the request's object, or the request has none. */
  readonly isHit: boolean
  /** Expected duration at the server, in milliseconds. */
  readonly durationMs: number
  /** Time until the request's target latency is exceeded, in milliseconds. */
  readonly targetInMs: number
}

/** Of so many grants while requests let others pass, one goes to the first of these. */
const GRANTS_PER_DEFERRED = 8

/** Keeps the floor for deferred requests, so that their objects become known to servers. */
export class DispatchOrder {
  #grantsBefore = 0

  /**
   * Whether a request lets those pass whose server has their object. It would be late anyway, so a
   * later start costs its caller little.
   */
  isDeferred({ isHit, durationMs, targetInMs }: DispatchOption): boolean {
    if (isHit || durationMs <= targetInMs) return false
    return this.#grantsBefore < GRANTS_PER_DEFERRED - 1
  }

  /** @param isBeforeDeferred whether a request that came earlier let this one pass */
  recordGrant(isBeforeDeferred: boolean): void {
    this.#grantsBefore = isBeforeDeferred ? this.#grantsBefore + 1 : 0
  }
}
