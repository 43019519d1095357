/** HTTP interface of the lookup daemon for callers. */
import { randomBytes } from 'node:crypto'
import type { Request, ResponseObject, ResponseToolkit, Server } from '@hapi/hapi'
import { server as createHapiServer } from '@hapi/hapi'
import type { Clock } from '../common/clock.js'
import { OUTCOME_HEADER, Outcome } from '../common/headers.js'
import { closeListener } from '../common/httpListenerClose.js'
import type { Logger } from '../common/logger.js'
import type { Metrics } from '../common/metrics.js'
import type { ConfigurationView } from '../configuration/view.js'
import type { OperationPrefixCodec } from '../operations/operationPrefix.js'
import type { GatewayDirectory } from './gatewayDirectory.js'
import type { Placement, Placer } from './placement.js'
import { LookupError, LookupErrorKind } from './placement.js'

/** An entry instance in a look-up answer. */
export interface LookupEntry {
  /** `host:port` */
  readonly address: string
  readonly region: string
  readonly site: string
  readonly operationPrefix: string
}

/** Answer of `GET /lookup?service=S&client=IP`. */
export interface LookupAnswer {
  readonly service: string
  readonly revision: number
  /** Best first; at most three. */
  readonly entries: readonly LookupEntry[]
  /** Time for which the caller may cache the answer, in milliseconds. */
  readonly cacheMs: number
  readonly retry: {
    /** Maximum number of attempts of one request over all entries. */
    readonly maxAttempts: number
    /** Minimum time between two attempts at the same entry, in milliseconds. */
    readonly delayMs: number
  }
}

/** Options of {@link LookupServer}. */
export interface LookupServerOptions {
  readonly host: string
  /** TCP port; 0 selects a free port. */
  readonly port: number
  readonly answerCacheMs: number
  /** Value of `Retry-After` on a 503, in milliseconds. */
  readonly retryAfterMs: number
}

/** Dependencies of {@link LookupServer}. */
export interface LookupServerDependencies {
  readonly placer: Placer
  readonly directory: GatewayDirectory
  readonly configuration: ConfigurationView
  readonly codec: OperationPrefixCodec
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Gateways accept new operations under a prefix for this time after its answer expired. */
const PREFIX_GRACE_MS = 2000
const RETRY_POLICY = { maxAttempts: 3, delayMs: 50 }
/** Time that open connections get to send their request when the server stops. */
const CONNECTION_GRACE_MS = 1000
const MAX_NAME_LENGTH = 128
const MS_PER_SECOND = 1000

const STATUS_OF_ERROR: Readonly<Record<LookupErrorKind, number>> = {
  [LookupErrorKind.MalformedQuery]: 400,
  [LookupErrorKind.UnknownService]: 404,
  [LookupErrorKind.NoConfiguration]: 503,
  [LookupErrorKind.NoCapacity]: 503,
}

/** Serves `GET /lookup` and `GET /health`. */
export class LookupServer {
  readonly #hapi: Server
  readonly #dependencies: LookupServerDependencies
  readonly #options: LookupServerOptions
  readonly #requestIdPrefix = randomBytes(4).toString('hex')
  #requestCount = 0
  #isLeaving = false

  constructor(dependencies: LookupServerDependencies, options: LookupServerOptions) {
    this.#dependencies = dependencies
    this.#options = options
    this.#hapi = createHapiServer({ host: options.host, port: options.port })
    this.#hapi.route([
      {
        method: 'GET',
        path: '/lookup',
        handler: (request, toolkit) => this.#lookUp(request, toolkit),
      },
      { method: 'GET', path: '/health', handler: (_request, toolkit) => this.#health(toolkit) },
    ])
  }

  /** Port in use, after {@link start}. */
  get port(): number {
    return this.#hapi.info.port as number
  }

  async start(): Promise<void> {
    await this.#hapi.start()
  }

  /**
   * Keeps answering look-ups, but closes each connection after its answer, and reports in the health
   * check that it is leaving.
   */
  announceLeaving(): void {
    this.#isLeaving = true
  }

  /** Stops accepting and waits up to `timeoutMs` for requests in flight. */
  async stop(timeoutMs: number): Promise<void> {
    this.#isLeaving = true
    await closeListener(this.#hapi.listener, Math.min(timeoutMs, CONNECTION_GRACE_MS))
    await this.#hapi.stop({ timeout: timeoutMs })
  }

  #lookUp(request: Request, toolkit: ResponseToolkit): ResponseObject {
    const startedAtMs = performance.now()
    const requestId = `${this.#requestIdPrefix}-${String(++this.#requestCount)}`
    const { service, client } = request.query as Record<string, unknown>
    const response = this.#answer(service, client, requestId, toolkit)
    if (this.#isLeaving) response.header('connection', 'close')
    const status = String(response.statusCode)
    this.#dependencies.metrics.timing('lookup.duration', performance.now() - startedAtMs, {
      status,
    })
    this.#dependencies.metrics.increment('lookup.answers', 1, { status })
    return response.header('cache-control', 'no-store')
  }

  #answer(
    service: unknown,
    client: unknown,
    requestId: string,
    toolkit: ResponseToolkit,
  ): ResponseObject {
    if (!isName(service) || !isName(client)) {
      return this.#refuse(malformedQuery(), requestId, toolkit, '', '')
    }
    const nowMs = this.#dependencies.clock()
    const placement = this.#dependencies.placer.place(service, client, nowMs)
    if (placement.err) return this.#refuse(placement.val, requestId, toolkit, service, client)
    this.#logPlacement(placement.val, client, requestId)
    return toolkit.response(this.#toAnswer(placement.val, nowMs)).code(200)
  }

  #toAnswer(placement: Placement, nowMs: number): LookupAnswer {
    const cacheMs = this.#options.answerCacheMs
    const nonce = randomBytes(8).toString('hex')
    return {
      service: placement.service,
      revision: placement.revision,
      entries: placement.entries.map((member) => ({
        address: member.callerAddress,
        region: member.region,
        site: member.site,
        operationPrefix: this.#dependencies.codec.encode({
          gatewayId: member.memberId,
          incarnation: member.incarnation,
          service: placement.service,
          homeRegion: placement.homeRegion,
          ...(placement.shiftId === undefined ? {} : { shiftId: placement.shiftId }),
          acceptUntilMs: nowMs + cacheMs + PREFIX_GRACE_MS,
          nonce,
        }),
      })),
      cacheMs,
      retry: RETRY_POLICY,
    }
  }

  #logPlacement(placement: Placement, client: string, requestId: string): void {
    this.#dependencies.logger.decision('lookup', {
      requestId,
      service: placement.service,
      client,
      revision: placement.revision,
      homeRegion: placement.homeRegion,
      region: placement.region,
      shiftId: placement.shiftId,
      reason: placement.reason,
      entries: placement.entries.map(({ memberId }) => memberId).join(','),
    })
  }

  #refuse(
    error: LookupError,
    requestId: string,
    toolkit: ResponseToolkit,
    service: string,
    client: string,
  ): ResponseObject {
    const revision = this.#dependencies.configuration.current()?.revision
    this.#dependencies.logger.decision('lookup', {
      requestId,
      service,
      client,
      revision,
      reason: error.kind,
    })
    const { kind, message, remedy } = error.toDetails()
    const status = STATUS_OF_ERROR[error.kind]
    const response = toolkit
      .response({ kind, message, remedy, requestId })
      .code(status)
      .header(OUTCOME_HEADER, Outcome.NotRun)
    if (status !== 503) return response
    const seconds = Math.ceil(this.#options.retryAfterMs / MS_PER_SECOND)
    return response.header('retry-after', String(seconds))
  }

  #health(toolkit: ResponseToolkit): ResponseObject {
    const revision = this.#dependencies.configuration.current()?.revision
    const canSteer =
      revision !== undefined && this.#dependencies.directory.hasAnyGateway() && !this.#isLeaving
    return toolkit
      .response({ canSteer, isLeaving: this.#isLeaving, revision: revision ?? null })
      .code(canSteer ? 200 : 503)
  }
}

function isName(value: unknown): value is string {
  return typeof value === 'string' && value.length > 0 && value.length <= MAX_NAME_LENGTH
}

function malformedQuery(): LookupError {
  return new LookupError(
    LookupErrorKind.MalformedQuery,
    'The parameters service and client have to be given once each, with 1 to 128 characters',
    'ask for /lookup?service=<name>&client=<IP address>',
  )
}
