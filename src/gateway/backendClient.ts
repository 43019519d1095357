/** HTTP/1.1 client for backend servers. */
import type { Clock } from '../common/clock.js'
import type { ExchangeResult, HeaderPair } from '../common/exchange.js'
import { headerOf } from '../common/exchange.js'
import { DEADLINE_HEADER, REQUEST_HEADER } from '../common/headers.js'
import { HttpExchangeClient } from '../common/httpExchange.js'
import type { BackendCall, BackendCaller } from './backendAttempt.js'

/** Options of {@link HttpBackendClient}. */
export interface BackendClientOptions {
  /** Maximum number of open connections to one backend server. */
  readonly maxConnectionsPerWorker: number
  /** See `HttpExchangeOptions.idleMs`. */
  readonly idleMs: number
  readonly clock: Clock
}

/** {@link BackendCaller} over HTTP; rejects answers that echo another attempt's identifier. */
export class HttpBackendClient implements BackendCaller {
  readonly #client: HttpExchangeClient

  constructor(options: BackendClientOptions) {
    this.#client = new HttpExchangeClient({
      maxConnections: options.maxConnectionsPerWorker,
      idleMs: options.idleMs,
      clock: options.clock,
    })
  }

  attempt(call: BackendCall): Promise<ExchangeResult> {
    const headers: HeaderPair[] = [
      ...call.headers,
      [REQUEST_HEADER, call.attemptId],
      [DEADLINE_HEADER, String(call.deadlineMs)],
    ]
    return this.#client.exchange({
      ...call,
      headers,
      accepts: (answered) => {
        const echoed = headerOf(answered, REQUEST_HEADER)
        return echoed === undefined || echoed === call.attemptId
      },
    })
  }

  /** Closes all connections. */
  close(): void {
    this.#client.close()
  }
}
