/** HTTP server for callers: validates requests, runs them and writes complete answers. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { Lifecycle, Request, ResponseToolkit, Server } from '@hapi/hapi'
import { server as createHapiServer } from '@hapi/hapi'
import type { Clock } from '../common/clock.js'
import {
  OPERATION_HEADER,
  Outcome,
  OUTCOME_HEADER,
  SERVICE_HEADER,
  TIMEOUT_HEADER,
} from '../common/headers.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { ConfigurationView } from '../configuration/view.js'
import type { OperationIdentifier, OperationPrefixCodec } from '../operations/operationPrefix.js'
import { findHeader, toHeaderPairs } from '../common/exchange.js'
import { answerParserErrors } from './httpParserErrors.js'
import { createDeadline, parseTimeout } from './deadline.js'
import type { HeaderPair } from '../common/exchange.js'
import type { GatewayAnswer, GatewayRequest } from './gatewayRequest.js'
import { RequestOrigin } from './gatewayRequest.js'
import { endToEndRequestHeaders, findHeaderFault } from './headerRules.js'
import { RefusalKind, refuse } from './refusals.js'
import type { RequestExecutor } from './requestExecutor.js'

/** Options of {@link GatewayServer}. */
export interface GatewayServerOptions {
  readonly host: string
  /** TCP port; 0 selects a free port. */
  readonly port: number
  /** Maximum size of a request body of any service, in bytes. */
  readonly maxRequestBytes: number
  readonly maxHeaderBytes: number
  /** Timeout in ms of requests without a timeout header, for services without a default. */
  readonly defaultTimeoutMs: number
  readonly maxTimeoutMs: number
  readonly clockSkewMs: number
  /** Prefix of all request identifiers of this process. */
  readonly requestIdPrefix: string
}

/** Dependencies of {@link GatewayServer}. */
export interface GatewayServerDependencies {
  readonly clock: Clock
  readonly executor: RequestExecutor
  readonly codec: OperationPrefixCodec
  readonly configuration: ConfigurationView
}

const HEADERS_TIMEOUT_MS = 10_000
const REQUEST_TIMEOUT_MS = 30_000
/**
 * Longer than callers usually keep idle connections, so that the caller closes first and no
 * request meets a closing connection.
 */
const KEEP_ALIVE_TIMEOUT_MS = 75_000
const STATUSES_WITHOUT_BODY = new Set([204, 304])

/** Accepts requests of callers over HTTP/1.1. */
export class GatewayServer {
  readonly #options: GatewayServerOptions
  readonly #dependencies: GatewayServerDependencies
  readonly #hapi: Server
  #requestCount = 0
  #leaving = false

  constructor(options: GatewayServerOptions, dependencies: GatewayServerDependencies) {
    this.#options = options
    this.#dependencies = dependencies
    this.#hapi = createHapiServer({
      host: options.host,
      port: options.port,
      listener: createServer({
        maxHeaderSize: options.maxHeaderBytes,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        // findTargetFault() refuses a missing Host with a reason.
        requireHostHeader: false,
      }),
      compression: false,
    })
    answerParserErrors(this.#hapi.listener, () => this.#nextRequestId())
    this.#addRoutes()
  }

  /** Port in use, after {@link start}. */
  get port(): number {
    return this.#hapi.info.port as number
  }

  async start(): Promise<void> {
    await this.#hapi.start()
  }

  /** Closes each connection after its next answer. */
  startLeaving(): void {
    this.#leaving = true
  }

  /** Stops accepting connections and waits up to `timeoutMs` for requests in flight. */
  async stop(timeoutMs: number): Promise<void> {
    await this.#hapi.stop({ timeout: timeoutMs })
  }

  #addRoutes(): void {
    this.#hapi.ext('onRequest', (request, toolkit) => this.#checkHeaders(request, toolkit))
    this.#hapi.ext('onPreResponse', (request, toolkit) => this.#replaceError(request, toolkit))
    this.#hapi.route({
      method: '*',
      path: '/{path*}',
      options: {
        payload: { parse: false, output: 'data', maxBytes: this.#options.maxRequestBytes },
        state: { parse: false, failAction: 'ignore' },
      },
      handler: (request, toolkit) => this.#handle(request, toolkit),
    })
  }

  #checkHeaders(request: Request, toolkit: ResponseToolkit): Lifecycle.ReturnValue {
    const headers = toHeaderPairs(request.raw.req.rawHeaders)
    const fault = findHeaderFault(headers) ?? findTargetFault(request.raw.req)
    if (fault === undefined) return toolkit.continue
    return this.#refuse(request, toolkit, refuse(fault.kind, this.#nextRequestId(), fault))
  }

  async #handle(request: Request, toolkit: ResponseToolkit): Promise<symbol> {
    const response = request.raw.res
    const callerGone = new AbortController()
    response.once('close', () => {
      if (!response.writableFinished) callerGone.abort()
    })
    const requestId = this.#nextRequestId()
    const parsed = this.#parse(request, requestId, callerGone.signal)
    if (parsed.err) return this.#refuse(request, toolkit, refuse(parsed.val, requestId))
    const answer = await this.#dependencies.executor.execute(parsed.val, RequestOrigin.Caller)
    return this.#respond(request, toolkit, answer)
  }

  #parse(
    request: Request,
    requestId: string,
    signal: AbortSignal,
  ): Result<GatewayRequest, RefusalKind> {
    const arrivedAtMs = this.#dependencies.clock()
    const headers = toHeaderPairs(request.raw.req.rawHeaders)
    const operation = this.#parseOperation(headers)
    if (operation.err) return operation
    const service = findHeader(headers, SERVICE_HEADER) ?? operation.val?.grant.service
    if (service === undefined || service === '') return Err(RefusalKind.ServiceMissing)
    const timeoutMs = this.#parseTimeout(headers, service)
    if (timeoutMs === undefined) return Err(RefusalKind.TimeoutMalformed)
    return Ok({
      requestId,
      service,
      method: request.raw.req.method ?? 'GET',
      target: request.raw.req.url ?? '/',
      headers: endToEndRequestHeaders(headers),
      body: Buffer.isBuffer(request.payload) ? request.payload : Buffer.alloc(0),
      operation: operation.val,
      deadline: createDeadline(arrivedAtMs, timeoutMs, this.#options.clockSkewMs),
      signal,
    })
  }

  #parseOperation(
    headers: readonly HeaderPair[],
  ): Result<OperationIdentifier | undefined, RefusalKind> {
    const text = findHeader(headers, OPERATION_HEADER)
    if (text === undefined) return Ok(undefined)
    return this.#dependencies.codec.decode(text).mapErr(() => RefusalKind.OperationMalformed)
  }

  #parseTimeout(headers: readonly HeaderPair[], service: string): number | undefined {
    const record = this.#dependencies.configuration.current()?.document.services.get(service)
    return parseTimeout(
      findHeader(headers, TIMEOUT_HEADER),
      record?.defaultTimeoutMs ?? this.#options.defaultTimeoutMs,
      this.#options.maxTimeoutMs,
    )
  }

  /** Replaces errors of hapi (body too large, request too slow, malformed path) by refusals. */
  #replaceError(request: Request, toolkit: ResponseToolkit): Lifecycle.ReturnValue {
    const response = request.response
    if (!('isBoom' in response)) return toolkit.continue
    const status = response.output.statusCode
    const kind = refusalKindOf(status)
    const answer = refuse(kind, this.#nextRequestId(), { detail: response.message })
    const withStatus = kind === RefusalKind.MalformedRequest ? { ...answer, status } : answer
    return this.#refuse(request, toolkit, withStatus)
  }

  /**
   * Refuses a request before its operation is looked up in the ledger. An earlier attempt
   * of the same operation may have run, so its outcome is unknown; only requests without
   * a valid operation identifier can be reported as not run.
   */
  #refuse(request: Request, toolkit: ResponseToolkit, answer: GatewayAnswer): symbol {
    const operation = this.#parseOperation(toHeaderPairs(request.raw.req.rawHeaders))
    const outcome = operation.ok && operation.val !== undefined ? Outcome.Unknown : answer.outcome
    return this.#respond(request, toolkit, { ...answer, outcome })
  }

  #respond(request: Request, toolkit: ResponseToolkit, answer: GatewayAnswer): symbol {
    const { req, res } = request.raw
    // The rest of an unread body would be parsed as the next request on the connection.
    writeAnswer(res, answer, this.#leaving || !req.complete)
    return toolkit.abandon
  }

  #nextRequestId(): string {
    this.#requestCount += 1
    return `${this.#options.requestIdPrefix}-${String(this.#requestCount)}`
  }
}

function findTargetFault(
  request: IncomingMessage,
): { readonly kind: RefusalKind; readonly detail: string } | undefined {
  const kind = RefusalKind.MalformedRequest
  if (request.headers.host === undefined) return { kind, detail: 'Host is missing' }
  if (request.url?.startsWith('/') !== true) {
    return { kind, detail: 'the request target is not a path' }
  }
  return undefined
}

function refusalKindOf(status: number): RefusalKind {
  if (status === 413) return RefusalKind.RequestTooLarge
  return status < 500 ? RefusalKind.MalformedRequest : RefusalKind.InternalFault
}

function writeAnswer(response: ServerResponse, answer: GatewayAnswer, shouldClose: boolean): void {
  if (response.headersSent || response.destroyed) return
  const rawHeaders = answer.headers.flatMap(([name, value]) => [name, value])
  if (findHeader(answer.headers, 'date') !== undefined) response.sendDate = false
  rawHeaders.push(OUTCOME_HEADER, answer.outcome)
  const isDelimitedByClose = answer.isDelimitedByClose === true
  const needsLength = findHeader(answer.headers, 'content-length') === undefined
  // A length would make a truncated body look complete.
  if (isDelimitedByClose) response.useChunkedEncodingByDefault = false
  else if (needsLength && !STATUSES_WITHOUT_BODY.has(answer.status)) {
    rawHeaders.push('Content-Length', String(answer.body.length))
  }
  if (shouldClose || isDelimitedByClose) rawHeaders.push('Connection', 'close')
  response.writeHead(answer.status, rawHeaders)
  response.end(answer.body)
}
