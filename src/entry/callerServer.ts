/** HTTP server that accepts callers' requests at an entry instance. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Clock } from '../common/clock.js'
import type { HeaderPair } from '../common/exchange.js'
import { CONNECTION_HEADERS, headerOf, pairsOf } from '../common/exchange.js'
import { listen } from '../common/listen.js'
import type { CallerAnswer, CallerHeaders, CallerRequest } from './callerRequest.js'
import { FailureKind, failureAnswer } from './callerRequest.js'
import type { CallerLimits } from './routingConfiguration.js'

export interface CallerServerParts {
  readonly headers: CallerHeaders
  readonly clock: Clock
  readonly limits: () => CallerLimits | undefined
  readonly run: (request: CallerRequest) => Promise<CallerAnswer>
  /** Whether the event loop was blocked recently, so that closes may be pending behind requests. */
  readonly isBehind: () => boolean
}

/** Limit on request heads that Node.js enforces; the configured limit is checked in addition. */
const MAX_HEAD_BYTES = 64 * 1024
/** Added to configured timeouts, so that callers close idle connections before the server does. */
const IDLE_MARGIN_MS = 1000
const HOP_BY_HOP = new Set([...CONNECTION_HEADERS, 'te', 'expect'])

/** Reads requests, runs them, and writes the answers of each connection in request order. */
export class CallerServer {
  readonly #parts: CallerServerParts
  readonly #server: Server
  /** Number of requests per connection that were read and are not answered yet. */
  readonly #open = new Map<Duplex, number>()
  /** Connections on which an answer with `Connection: close` was written. */
  readonly #closing = new WeakSet<Duplex>()
  #isLeaving = false

  constructor(parts: CallerServerParts) {
    this.#parts = parts
    this.#server = createServer({ maxHeaderSize: MAX_HEAD_BYTES, requireHostHeader: false })
    this.#server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      this.#received(request, response)
    })
    this.#server.on('clientError', (error: Error & { code?: string }, socket) => {
      const isWritable = socket.writable && error.code !== 'ECONNRESET'
      const isBehindOthers = (this.#open.get(socket) ?? 0) > 0
      if (!isWritable || isBehindOthers) socket.destroy()
      else socket.end(`HTTP/1.1 ${statusOfParserError(error.code)}\r\nConnection: close\r\n\r\n`)
    })
  }

  /** Number of requests that were read and are not answered yet. */
  get openRequests(): number {
    let open = 0
    for (const count of this.#open.values()) open += count
    return open
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
    this.#server.headersTimeout = limits.headerTimeoutMs + IDLE_MARGIN_MS
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
  }

  /** Closes each connection with its next answer. */
  startLeaving(): void {
    this.#isLeaving = true
  }

  /** Closes idle connections and accepts no new ones. */
  stop(): void {
    this.#server.close()
    this.#server.closeIdleConnections()
  }

  #received(message: IncomingMessage, response: ServerResponse): void {
    const arrivedAtMs = this.#parts.clock()
    const { socket } = message
    if (this.#closing.has(socket)) return
    this.#open.set(socket, (this.#open.get(socket) ?? 0) + 1)
    const away = new AbortController()
    response.once('close', () => {
      const left = (this.#open.get(socket) ?? 1) - 1
      if (left > 0) this.#open.set(socket, left)
      else this.#open.delete(socket)
      if (!response.writableFinished) away.abort()
    })
    const fault = this.#faultOf(message)
    if (fault !== undefined) {
      this.#write(socket, response, fault, true)
      return
    }
    this.#readBody(message, response, (body) => {
      const request = this.#requestOf(message, body, arrivedAtMs, away.signal)
      const run = (): void => {
        if (socket.readableEnded || away.signal.aborted) return
        void this.#parts.run(request).then((answer) => {
          this.#write(socket, response, answer, false)
        })
      }
      if (this.#parts.isBehind()) afterPendingReads(run)
      else run()
    })
  }

  #readBody(
    message: IncomingMessage,
    response: ServerResponse,
    onBody: (body: Buffer) => void,
  ): void {
    const limit = this.#parts.limits()?.bodyBytes ?? Number.POSITIVE_INFINITY
    const chunks: Buffer[] = []
    let size = 0
    message.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= limit) chunks.push(chunk)
      else if (!response.headersSent) {
        this.#write(message.socket, response, faultAnswer(413, 'body too large'), true)
      }
    })
    message.on('end', () => {
      if (size <= limit) onBody(chunks.length === 1 ? (chunks[0] ?? EMPTY) : Buffer.concat(chunks))
    })
    message.on('error', () => {
      // The caller aborted the upload; the 'close' event of the response ends the request.
      chunks.length = 0
    })
  }

  #faultOf(message: IncomingMessage): CallerAnswer | undefined {
    const limit = this.#parts.limits()?.headerBytes
    if (limit !== undefined && headBytes(message) > limit) {
      return faultAnswer(431, 'headers too large')
    }
    if (message.headers.host === undefined) return faultAnswer(400, 'Host is missing')
    if (message.url?.startsWith('/') !== true) return faultAnswer(400, 'target is not a path')
    if (message.headers[this.#parts.headers.requestId] === undefined) {
      return faultAnswer(400, `${this.#parts.headers.requestId} is missing`)
    }
    return undefined
  }

  #requestOf(
    message: IncomingMessage,
    body: Buffer,
    arrivedAtMs: number,
    signal: AbortSignal,
  ): CallerRequest {
    const { headers } = this.#parts
    const all = pairsOf(message.rawHeaders)
    const patience = Number(headerOf(all, headers.patience) ?? Number.NaN)
    return {
      requestId: headerOf(all, headers.requestId) ?? '',
      method: message.method ?? 'GET',
      host: message.headers.host ?? '',
      target: message.url ?? '/',
      headers: this.#passedOn(all),
      body,
      object: cookieOf(message.headers.cookie, headers.objectCookie),
      patienceMs: Number.isFinite(patience) && patience >= 0 ? patience : undefined,
      arrivedAtMs,
      signal,
    }
  }

  #passedOn(all: readonly HeaderPair[]): HeaderPair[] {
    const { patience, reserved } = this.#parts.headers
    const named = connectionOptions(all)
    return all.filter(([name]) => {
      const lower = name.toLowerCase()
      if (lower === patience || reserved.has(lower)) return false
      return !HOP_BY_HOP.has(lower) && !named.has(lower)
    })
  }

  #write(socket: Duplex, response: ServerResponse, given: CallerAnswer, close: boolean): void {
    if (response.headersSent || response.destroyed) return
    // Closing the connection would cut off other requests that were already read from it.
    const isLast = (this.#open.get(socket) ?? 1) <= 1
    // A body that may be truncated must not get a Content-Length that makes it look complete.
    const isOpenEnded = given.isDelimitedByClose === true && isLast
    const isUnprovable = given.isDelimitedByClose === true && !isLast
    const answer = isUnprovable ? failureAnswer(FailureKind.AnswerLost, 0) : given
    const isClosing = close || isOpenEnded || (this.#isLeaving && isLast)
    const flat = answer.headers.flatMap(([name, value]) => [name, value])
    if (headerOf(answer.headers, 'date') !== undefined) response.sendDate = false
    if (isOpenEnded) response.useChunkedEncodingByDefault = false
    else if (!STATUS_WITHOUT_BODY.has(answer.status)) {
      flat.push('Content-Length', String(answer.body.length))
    }
    if (isClosing) {
      this.#closing.add(socket)
      flat.push('Connection', 'close')
    }
    if (answer.statusText === undefined) response.writeHead(answer.status, flat)
    else response.writeHead(answer.status, answer.statusText, flat)
    response.end(answer.body)
  }
}

/**
 * Calls back after pending socket events were processed. After the event loop was blocked, the
 * close of a connection is processed one turn of the event loop after the request before it.
 */
function afterPendingReads(callback: () => void): void {
  setImmediate(() => setImmediate(callback))
}

const EMPTY = Buffer.alloc(0)
const STATUS_WITHOUT_BODY = new Set([204, 304])

function faultAnswer(status: number, text: string): CallerAnswer {
  return { status, headers: [['Content-Type', 'text/plain']], body: Buffer.from(`${text}\n`) }
}

function headBytes(message: IncomingMessage): number {
  let bytes = (message.url ?? '').length + (message.method ?? '').length
  for (const part of message.rawHeaders) bytes += part.length + 2
  return bytes
}

function connectionOptions(headers: readonly HeaderPair[]): ReadonlySet<string> {
  const value = headerOf(headers, 'connection')
  if (value === undefined) return NO_OPTIONS
  return new Set(value.split(',').map((option) => option.trim().toLowerCase()))
}

const NO_OPTIONS: ReadonlySet<string> = new Set()

function cookieOf(header: string | undefined, name: string): string {
  if (header === undefined) return ''
  for (const part of header.split(';')) {
    const [given, ...value] = part.trim().split('=')
    if (given?.toLowerCase() === name) return value.join('=')
  }
  return ''
}

function statusOfParserError(code: string | undefined): string {
  if (code === 'HPE_HEADER_OVERFLOW') return '431 Request Header Fields Too Large'
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return '408 Request Timeout'
  return '400 Bad Request'
}
