/** Limits retries to a fraction of requests, so that retries do not amplify an overload. */
import { TokenBucket } from './tokenBucket.js'

/** Long-term ratio of retries to requests. */
const RETRY_FRACTION = 0.1
/** Retries that a service may make at once after few requests; also the initial budget. */
const RETRY_BURST = 10

/** Retry budget per service. */
export class RetryBudget {
  readonly #buckets = new Map<string, TokenBucket>()

  /** Adds the credit of a request; call it once per request, not for its retries. */
  recordRequest(service: string): void {
    this.#bucket(service).add(RETRY_FRACTION, RETRY_BURST)
  }

  /** Takes one retry; returns false if the budget is used up. */
  takeRetry(service: string): boolean {
    return this.#bucket(service).take(1)
  }

  #bucket(service: string): TokenBucket {
    const existing = this.#buckets.get(service)
    if (existing !== undefined) return existing
    const created = new TokenBucket(RETRY_BURST, 0)
    this.#buckets.set(service, created)
    return created
  }
}
