/** HTTP/1.1 client for backend servers. */
import type { Clock } from '../common/clock.js'
import type { ExchangeResult, HeaderPair } from '../common/exchange.js'
import { findHeader } from '../common/exchange.js'
import { DEADLINE_HEADER, REQUEST_HEADER } from '../common/headers.js'
import { HttpExchangeClient } from '../common/httpExchange.js'
import type { BackendAttempt, BackendClient } from './backendAttempt.js'

/** Options of {@link HttpBackendClient}. */
export interface BackendClientOptions {
  /** Maximum number of open connections to one backend server. */
  readonly maxConnectionsPerWorker: number
  /** See `HttpExchangeOptions.idleTimeoutMs`. */
  readonly idleMs: number
  readonly clock: Clock
}

/** {@link BackendClient} over HTTP; rejects answers that echo another attempt's identifier. */
export class HttpBackendClient implements BackendClient {
  readonly #client: HttpExchangeClient

  constructor(options: BackendClientOptions) {
    this.#client = new HttpExchangeClient({
      maxConnections: options.maxConnectionsPerWorker,
      idleTimeoutMs: options.idleMs,
      clock: options.clock,
    })
  }

  attempt(attempt: BackendAttempt): Promise<ExchangeResult> {
    const headers: HeaderPair[] = [
      ...attempt.headers,
      [REQUEST_HEADER, attempt.attemptId],
      [DEADLINE_HEADER, String(attempt.deadlineMs)],
    ]
    return this.#client.exchange({
      ...attempt,
      headers,
      accepts: (answerHeaders) => {
        const echoedId = findHeader(answerHeaders, REQUEST_HEADER)
        return echoedId === undefined || echoedId === attempt.attemptId
      },
    })
  }

  /** Closes all connections. */
  close(): void {
    this.#client.close()
  }
}
