/** Limits retries to a share of requests, so that an overload is not amplified. */
import { TokenBucket } from './tokenBucket.js'

/** Retries per request in the long run. */
const RETRY_SHARE = 0.1
/** Retries that a quiet service can make at once; also the budget of a new process. */
const RETRY_BURST = 10

/** Budget of retries per service. */
export class RetryBudget {
  readonly #buckets = new Map<string, TokenBucket>()

  /** Credits a first attempt. */
  recordRequest(service: string): void {
    this.#bucket(service).add(RETRY_SHARE, RETRY_BURST)
  }

  /** Takes one retry, or returns false if the budget is used up. */
  takeRetry(service: string): boolean {
    return this.#bucket(service).take(1)
  }

  #bucket(service: string): TokenBucket {
    const known = this.#buckets.get(service)
    if (known !== undefined) return known
    const created = new TokenBucket(RETRY_BURST, 0)
    this.#buckets.set(service, created)
    return created
  }
}
