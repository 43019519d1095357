/** HTTP server that accepts callers' requests at an entry instance. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Server } from 'node:http'
import { Socket } from 'node:net'
import type { ByteBudget, ByteReservation } from '../common/byteBudget.js'
import type { Clock } from '../common/clock.js'
import { destroyIfReset } from '../common/connectionEnd.js'
import type { HeaderPair } from '../common/exchange.js'
import { decodeFieldValue } from '../common/fieldValue.js'
import { CONNECTION_HEADERS, findHeader, isFinalStatus, toHeaderPairs } from '../common/exchange.js'
import { listen } from '../common/listen.js'
import { BodyRejection, readCallerBody, reserveBody } from './callerBody.js'
import { DEFAULT_CALLER_BOUNDS } from '../callers/callerBounds.js'
import type { ListenerBounds } from '../callers/callerBounds.js'
import { CallerConnections, headSizeBytes } from './callerConnection.js'
import type { CallerAnswer, CallerHeaders, CallerRequest } from './callerRequest.js'
import { FailureKind, failureAnswer } from './callerRequest.js'
import type { CallerLimits } from './routingConfiguration.js'

export interface CallerServerDependencies {
  readonly headers: CallerHeaders
  readonly clock: Clock
  readonly limits: () => CallerLimits | undefined
  readonly run: (request: CallerRequest) => Promise<CallerAnswer>
  /** Called with an error that no step of a request handled. */
  readonly onError: (requestId: string, error: unknown) => void
  /** Memory for the bodies of requests that are not answered yet. */
  readonly bodyBudget: ByteBudget
  /** Memory for answers that callers have not fetched yet. */
  readonly answerBudget: ByteBudget
  /** Whether the event loop was blocked recently, so that closes may be pending behind requests. */
  readonly isEventLoopDelayed: () => boolean
  readonly bounds?: ListenerBounds | undefined
}

/** Limit on request heads that Node.js enforces; the configured limit is checked in addition. */
const MAX_HEAD_BYTES = 64 * 1024
/** Added to configured timeouts, so that callers close idle connections before the server does. */
const TIMEOUT_MARGIN_MS = 1000
/** Time for the body of a request whose caller states no timeout. */
const DEFAULT_BODY_TIMEOUT_MS = 30_000
/** Retry-After when the memory for bodies is used up; others are answered meanwhile. */
const BODY_MEMORY_RETRY_AFTER_MS = 500
/** Memory of an answer that was not fetched, beside its body. */
const ANSWER_HEAD_BYTES = 1024
const HOP_BY_HOP_HEADERS = new Set([...CONNECTION_HEADERS, 'te', 'expect'])

/**
 * HTTP server that closes no connection by itself when it stops listening. Node.js counts a
 * connection as idle whose answer was handed over and is not written out yet.
 */
class ListenerOnlyServer extends Server {
  override closeIdleConnections(): void {
    // The caller server closes idle connections.
  }
}

/** Reads requests, runs them, and writes the answers of each connection in request order. */
export class CallerServer {
  readonly #dependencies: CallerServerDependencies
  readonly #server: Server
  readonly #connections: CallerConnections
  #isLeaving = false
  #acceptedConnections = 0

  constructor(dependencies: CallerServerDependencies) {
    this.#dependencies = dependencies
    this.#connections = new CallerConnections(dependencies.bounds ?? DEFAULT_CALLER_BOUNDS.callers)
    this.#server = new ListenerOnlyServer({
      maxHeaderSize: MAX_HEAD_BYTES,
      requireHostHeader: false,
    })
    const handle = (request: IncomingMessage, response: ServerResponse): void => {
      this.#handleRequest(request, response)
    }
    this.#server.on('connection', (socket) => {
      this.#acceptedConnections += 1
      this.#connections.add(socket)
    })
    this.#server.on('close', () => {
      this.#connections.stop()
    })
    this.#server.on('request', handle)
    this.#server.on('checkContinue', handle)
    this.#server.on('checkExpectation', handle)
    this.#server.on('clientError', (error: Error & { code?: string }, socket) => {
      if (socket instanceof Socket) this.#handleInvalidInput(socket, error.code)
    })
  }

  /** Number of requests that were read and are not answered yet. */
  get openRequests(): number {
    let total = 0
    for (const [, { openRequests }] of this.#connections) total += openRequests
    return total
  }

  /** Number of connections accepted since the start. */
  get acceptedConnections(): number {
    return this.#acceptedConnections
  }

  /** Port in use, for tests that listen on port 0; 0 while not listening. */
  get port(): number {
    const address = this.#server.address()
    return typeof address === 'object' && address !== null ? address.port : 0
  }

  start(host: string, port: number): Promise<void> {
    return listen(this.#server, host, port)
  }

  /** Applies the timeouts of a new configuration. */
  applyLimits(limits: CallerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs + TIMEOUT_MARGIN_MS
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + TIMEOUT_MARGIN_MS
  }

  /** Closes each connection with its next answer. */
  startLeaving(): void {
    this.#isLeaving = true
  }

  /** Closes idle connections and accepts no new ones. */
  stop(nowMs: number): void {
    this.#server.close()
    for (const [socket, connection] of this.#connections) {
      if (connection.isIdle(nowMs) && !this.#connections.isLingering(socket)) socket.destroy()
    }
  }

  /** Number of connections whose last answer may not have reached the caller yet. */
  deliveringConnections(nowMs: number): number {
    let total = 0
    for (const [socket, connection] of this.#connections) {
      if (this.#connections.isLingering(socket) || connection.isDelivering(nowMs)) total += 1
    }
    return total
  }

  #handleInvalidInput(socket: Socket, code: string | undefined): void {
    const connection = this.#connections.get(socket)
    if (this.#connections.isLingering(socket)) return
    if (!socket.writable || code === 'ECONNRESET' || connection === undefined) {
      socket.destroy()
      return
    }
    // The requests before it are still answered.
    connection.markInputInvalid()
    connection.rejectBody?.()
    // A caller who resets the connection within a request has left.
    if (socket.readableEnded) destroyIfReset(socket)
    if (connection.openRequests > 0) return
    socket.write(`HTTP/1.1 ${statusForParserError(code)}\r\nConnection: close\r\n\r\n`)
    this.#connections.linger(socket)
  }

  #handleRequest(message: IncomingMessage, response: ServerResponse): void {
    const arrivedAtMs = this.#dependencies.clock()
    const { socket } = message
    const connection = this.#connections.get(socket)
    if (connection === undefined || connection.isClosing) return
    // A connection waits to be accepted for up to a second on a busy instance.
    const isFirst = !connection.hasRead
    const headBytes = headSizeBytes(message)
    const callerAbort = connection.openRequest(message, headBytes)
    response.once('close', () => {
      connection.endRequest(callerAbort, this.#dependencies.clock())
      if (!response.writableFinished) callerAbort.abort()
    })
    const rejection = this.#validate(message, headBytes)
    if (rejection !== undefined) {
      this.#answer(message, response, rejection, true)
      return
    }
    const reservation = this.#dependencies.bodyBudget.open()
    const serve = (body: Buffer): void => {
      if (socket.readableEnded || callerAbort.signal.aborted) {
        reservation.release()
        return
      }
      const request = this.#createRequest(message, body, arrivedAtMs, callerAbort.signal)
      void this.#run(request).then((answer) => {
        reservation.release()
        this.#answer(message, response, answer, false)
      })
    }
    this.#readBody(message, response, reservation, (body) => {
      if (!isFirst && !this.#dependencies.isEventLoopDelayed()) serve(body)
      else
        afterPendingReads(() => {
          serve(body)
        })
    })
  }

  /** An error in the handling of one request must not end those of other callers. */
  async #run(request: CallerRequest): Promise<CallerAnswer> {
    try {
      return await this.#dependencies.run(request)
    } catch (error) {
      this.#dependencies.onError(request.requestId, error)
      return failureAnswer(FailureKind.AnswerLost, 0)
    }
  }

  #readBody(
    message: IncomingMessage,
    response: ServerResponse,
    reservation: ByteReservation,
    onBody: (body: Buffer) => void,
  ): void {
    const { limits, headers } = this.#dependencies
    const onRejected = (rejection: BodyRejection): void => {
      reservation.release()
      const { answer, isClosing } = ANSWER_BY_BODY_REJECTION[rejection]
      this.#answer(message, response, answer, isClosing || isChunked(message))
    }
    const limitBytes = limits()?.bodyBytes ?? Number.POSITIVE_INFINITY
    const buffer = reserveBody(message, limitBytes, reservation)
    if (typeof buffer === 'string') {
      onRejected(buffer)
      message.resume()
      return
    }
    const callerTimeoutMs = Number(message.headers[headers.callerTimeout] ?? Number.NaN)
    const connection = this.#connections.get(message.socket)
    const rejectBody = readCallerBody(message, buffer, {
      limitBytes,
      timeoutMs: callerTimeoutMs > 0 ? callerTimeoutMs : DEFAULT_BODY_TIMEOUT_MS,
      onBody: (body) => {
        if (connection?.rejectBody === rejectBody) connection.rejectBody = undefined
        onBody(body)
      },
      onRejected,
      onAbandoned: () => {
        reservation.release()
      },
    })
    if (connection !== undefined) connection.rejectBody = rejectBody
    if (message.headers.expect !== undefined) response.writeContinue()
  }

  #validate(message: IncomingMessage, headBytes: number): CallerAnswer | undefined {
    const limit = this.#dependencies.limits()?.headerBytes
    if (limit !== undefined && headBytes > limit) {
      return rejectionAnswer(431, 'headers too large')
    }
    const { expect } = message.headers
    if (expect !== undefined && expect.toLowerCase() !== '100-continue') {
      return rejectionAnswer(417, 'unknown expectation')
    }
    if (message.headers.host === undefined) return rejectionAnswer(400, 'Host is missing')
    if (message.url?.startsWith('/') !== true) return rejectionAnswer(400, 'target is not a path')
    if (message.headers[this.#dependencies.headers.requestId] === undefined) {
      return rejectionAnswer(400, `${this.#dependencies.headers.requestId} is missing`)
    }
    return undefined
  }

  #createRequest(
    message: IncomingMessage,
    body: Buffer,
    arrivedAtMs: number,
    signal: AbortSignal,
  ): CallerRequest {
    const { headers } = this.#dependencies
    const headerPairs = toHeaderPairs(message.rawHeaders)
    const callerTimeoutMs = Number(findHeader(headerPairs, headers.callerTimeout) ?? Number.NaN)
    const host = message.headers.host ?? ''
    return {
      requestId: findHeader(headerPairs, headers.requestId) ?? '',
      method: message.method ?? 'GET',
      host: decodeFieldValue(host) ?? host,
      target: message.url ?? '/',
      headers: this.#forwardedHeaders(headerPairs),
      body,
      object: cookieOf(message.headers.cookie, headers.objectCookie),
      callerTimeoutMs:
        Number.isFinite(callerTimeoutMs) && callerTimeoutMs >= 0 ? callerTimeoutMs : undefined,
      arrivedAtMs,
      signal,
    }
  }

  #forwardedHeaders(headerPairs: readonly HeaderPair[]): HeaderPair[] {
    const { callerTimeout, reserved } = this.#dependencies.headers
    const connectionHeaders = connectionOptions(headerPairs)
    return headerPairs.filter(([name]) => {
      const lower = name.toLowerCase()
      if (lower === callerTimeout || reserved.has(lower)) return false
      return !HOP_BY_HOP_HEADERS.has(lower) && !connectionHeaders.has(lower)
    })
  }

  /** An answer that can't be written must not end the requests of other callers. */
  #answer(
    message: IncomingMessage,
    response: ServerResponse,
    answer: CallerAnswer,
    close: boolean,
  ): void {
    const { socket } = message
    try {
      this.#write(socket, response, answer, close)
    } catch (error) {
      const requestId = message.headers[this.#dependencies.headers.requestId]
      this.#dependencies.onError(String(requestId), error)
      if (response.headersSent) socket.destroy()
      else {
        response.statusMessage = ''
        this.#write(socket, response, failureAnswer(FailureKind.AnswerLost, 0), true)
      }
    }
  }

  #write(socket: Socket, response: ServerResponse, original: CallerAnswer, close: boolean): void {
    const connection = this.#connections.get(socket)
    if (connection === undefined || response.headersSent || response.destroyed) return
    // After a status below 200 the caller would wait for another answer.
    if (!isFinalStatus(original.status)) throw new RangeError('invalid status')
    // Closing the connection would cut off other requests that were already read from it.
    const isLast = connection.openRequests <= 1
    // A body that may be truncated must not get a Content-Length that makes it look complete.
    const isDelimitedByClose = original.isDelimitedByClose === true && isLast
    const isCompletenessUnknown = original.isDelimitedByClose === true && !isLast
    const answer = isCompletenessUnknown ? failureAnswer(FailureKind.AnswerLost, 0) : original
    if (!this.#reserveAnswer(socket, response, ANSWER_HEAD_BYTES + answer.body.length)) {
      socket.destroy()
      return
    }
    const isEnding = this.#isLeaving || connection.isInputInvalid
    const isClosing = close || isDelimitedByClose || (isEnding && isLast)
    const rawHeaders = answer.headers.flatMap(([name, value]) => [name, value])
    if (findHeader(answer.headers, 'date') !== undefined) response.sendDate = false
    if (isDelimitedByClose) response.useChunkedEncodingByDefault = false
    else if (!STATUSES_WITHOUT_BODY.has(answer.status) && response.req.method !== 'HEAD') {
      rawHeaders.push('Content-Length', String(answer.body.length))
    }
    if (isClosing) {
      connection.startClosing()
      rawHeaders.push('Connection', 'close')
    }
    if (answer.statusText === undefined) response.writeHead(answer.status, rawHeaders)
    else response.writeHead(answer.status, answer.statusText, rawHeaders)
    response.end(answer.body)
  }

  /**
   * Counts the body of an answer until its caller has fetched it. Callers that fetch the largest
   * answers too slowly are disconnected when the memory is needed for others.
   * @returns whether the memory holds the body
   */
  #reserveAnswer(socket: Socket, response: ServerResponse, bytes: number): boolean {
    const reservation = this.#dependencies.answerBudget.open(() => {
      reservation.release()
      socket.destroy()
    })
    const endCount = this.#connections.get(socket)?.addAnswer(bytes)
    response.once('close', () => {
      reservation.release()
      endCount?.()
    })
    return reservation.grow(bytes)
  }
}

/**
 * Calls back after pending socket events were processed. A request and the close behind it that
 * are pending together are read in two turns of the event loop.
 */
function afterPendingReads(callback: () => void): void {
  setImmediate(() => setImmediate(callback))
}

/**
 * Answers to requests that were not run because of their body. A caller that sends a body of a
 * stated length may read the answer only after it, so its connection stays open and the rest of
 * the body is discarded.
 */
const ANSWER_BY_BODY_REJECTION: Readonly<
  Record<BodyRejection, { readonly answer: CallerAnswer; readonly isClosing: boolean }>
> = {
  [BodyRejection.TooLarge]: { answer: rejectionAnswer(413, 'body too large'), isClosing: true },
  [BodyRejection.NoMemory]: {
    answer: failureAnswer(FailureKind.BodyMemory, BODY_MEMORY_RETRY_AFTER_MS),
    isClosing: false,
  },
  [BodyRejection.TooSlow]: { answer: rejectionAnswer(408, 'body too slow'), isClosing: true },
  [BodyRejection.Invalid]: { answer: rejectionAnswer(400, 'invalid body'), isClosing: true },
}

function isChunked(message: IncomingMessage): boolean {
  return message.headers['transfer-encoding'] !== undefined
}

const STATUSES_WITHOUT_BODY = new Set([204, 304])

function rejectionAnswer(status: number, text: string): CallerAnswer {
  return { status, headers: [['Content-Type', 'text/plain']], body: Buffer.from(`${text}\n`) }
}

function connectionOptions(headers: readonly HeaderPair[]): ReadonlySet<string> {
  const value = findHeader(headers, 'connection')
  if (value === undefined) return NO_OPTIONS
  return new Set(value.split(',').map((option) => option.trim().toLowerCase()))
}

const NO_OPTIONS: ReadonlySet<string> = new Set()

function cookieOf(header: string | undefined, name: string): string {
  if (header === undefined) return ''
  for (const cookie of header.split(';')) {
    const [cookieName, ...value] = cookie.trim().split('=')
    if (cookieName?.toLowerCase() === name) return value.join('=')
  }
  return ''
}

function statusForParserError(code: string | undefined): string {
  if (code === 'HPE_HEADER_OVERFLOW') return '431 Request Header Fields Too Large'
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return '408 Request Timeout'
  return '400 Bad Request'
}
