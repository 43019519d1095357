/** HTTP/1.1 client with a bounded pool of connections, whose results say whether a connection was established. */
import type { ClientRequest, IncomingMessage } from 'node:http'
import { Agent, request as httpRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from './clock.js'
import { ConnectionEnd, onConnectionEnd } from './connectionEnd.js'
import type { ExchangeResult, HeaderPair } from './exchange.js'
import {
  ExchangeFailureReason,
  ExchangeKind,
  findHeader,
  isFinalStatus,
  toHeaderPairs,
} from './exchange.js'
import { parseHostAndPort } from './listen.js'

/** Options of {@link HttpExchangeClient}. */
export interface HttpExchangeOptions {
  /** Maximum number of open connections to one address. */
  readonly maxConnections: number
  /**
   * Idle connections are closed after this time, in milliseconds. It has to be shorter than the
   * idle timeout of the servers, which would otherwise close connections that are being reused.
   */
  readonly idleTimeoutMs: number
  readonly clock: Clock
}

/** Request and limits of an exchange. */
export interface HttpCall {
  /** `host:port` */
  readonly address: string
  readonly method: string
  /** Path and query. */
  readonly target: string
  /** Host and Content-Length are added if they are absent. */
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Deadline by the client's clock, in milliseconds since the epoch. */
  readonly deadlineMs: number
  readonly maxAnswerBytes: number
  readonly signal: AbortSignal
  /** Tells whether an answer with these headers belongs to this call; absent if any does. */
  readonly accepts?: (headers: readonly HeaderPair[]) => boolean
}

/** Sends requests over keep-alive connections and reports the outcome of each exchange. */
export class HttpExchangeClient {
  readonly #agent: Agent
  readonly #clock: Clock

  constructor(options: HttpExchangeOptions) {
    this.#clock = options.clock
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: options.maxConnections,
      maxFreeSockets: options.maxConnections,
      timeout: options.idleTimeoutMs,
      scheduling: 'lifo',
    })
  }

  /** Sends a request and resolves with the outcome of the exchange; never rejects. */
  exchange(call: HttpCall): Promise<ExchangeResult> {
    return new Promise((resolve) => {
      new Exchange(call, this.#agent, this.#clock(), resolve).start()
    })
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy()
  }
}

/** One exchange in flight; reports exactly one result. */
class Exchange {
  readonly #call: HttpCall
  readonly #agent: Agent
  readonly #resolve: (result: ExchangeResult) => void
  readonly #startedAtMs: number
  #isConnected = false
  /** How the server has ended the connection; `undefined` while it is open. */
  #connectionEnd: ConnectionEnd | undefined
  #stopWaitingForEnd: () => void = () => undefined
  /** Completes an answer whose end is that of its connection. */
  #onConnectionEnd: () => void = () => undefined
  #isFinished = false
  #request: ClientRequest | undefined
  #timer: NodeJS.Timeout | undefined

  constructor(
    call: HttpCall,
    agent: Agent,
    startedAtMs: number,
    resolve: (result: ExchangeResult) => void,
  ) {
    this.#call = call
    this.#agent = agent
    this.#startedAtMs = startedAtMs
    this.#resolve = resolve
  }

  start(): void {
    const call = this.#call
    if (call.signal.aborted) {
      this.#finish({ kind: ExchangeKind.NotConnected, reason: ExchangeFailureReason.Cancelled })
      return
    }
    let request: ClientRequest
    try {
      request = this.#createRequest()
    } catch {
      // Node.js throws on invalid characters in the target or the headers before it connects.
      this.#finish({ kind: ExchangeKind.NotConnected, reason: ExchangeFailureReason.Malformed })
      return
    }
    this.#request = request
    this.#timer = setTimeout(this.#onDeadline, Math.max(0, call.deadlineMs - this.#startedAtMs))
    call.signal.addEventListener('abort', this.#onAbort, { once: true })
    request.once('socket', (socket) => {
      this.#watchConnection(socket)
    })
    request.on('error', (error: NodeJS.ErrnoException) => {
      this.#fail(toFailureReason(error))
    })
    request.once('response', (response) => {
      const isAnswer = response.httpVersionMajor === 1 && isFinalStatus(response.statusCode)
      if (isAnswer) this.#read(response)
      else this.#fail(ExchangeFailureReason.Malformed)
    })
    request.end(call.body)
  }

  #createRequest(): ClientRequest {
    const call = this.#call
    return httpRequest({
      agent: this.#agent,
      ...parseHostAndPort(call.address),
      method: call.method,
      path: call.target,
      headers: toRawHeaders(call),
    })
  }

  /** A reused socket is already connected; on a new one nothing is written before `connect`. */
  #watchConnection(socket: Socket): void {
    this.#stopWaitingForEnd = onConnectionEnd(socket, (end) => {
      this.#connectionEnd = end
      this.#onConnectionEnd()
    })
    if (!socket.connecting) {
      this.#isConnected = true
      return
    }
    socket.once('connect', () => {
      this.#isConnected = true
    })
  }

  #read(response: IncomingMessage): void {
    const chunks: Buffer[] = []
    let size = 0
    response.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > this.#call.maxAnswerBytes) this.#fail(ExchangeFailureReason.TooLarge)
      else chunks.push(chunk)
    })
    response.on('error', (error: NodeJS.ErrnoException) => {
      this.#fail(response.complete ? toFailureReason(error) : ExchangeFailureReason.Truncated)
    })
    response.once('close', () => {
      if (!response.complete) this.#fail(ExchangeFailureReason.Truncated)
    })
    response.once('end', () => {
      const body = Buffer.concat(chunks, size)
      if (!response.complete) this.#fail(ExchangeFailureReason.Truncated)
      else if (!isDelimitedByClose(this.#call.method, response)) this.#complete(response, body)
      else this.#completeAtConnectionEnd(response, body)
    })
  }

  /** Node.js takes a reset that arrives with the last bytes for the end of such an answer. */
  #completeAtConnectionEnd(response: IncomingMessage, body: Buffer): void {
    // Node.js closes the connection now, so that a reset within the upload would not be seen.
    if (this.#call.body.length > 0 && this.#request?.writableFinished !== true) {
      this.#fail(ExchangeFailureReason.Truncated)
      return
    }
    this.#onConnectionEnd = () => {
      if (this.#connectionEnd === ConnectionEnd.Regular) this.#complete(response, body, true)
      else this.#fail(ExchangeFailureReason.Reset)
    }
    if (this.#connectionEnd !== undefined) this.#onConnectionEnd()
  }

  #complete(response: IncomingMessage, body: Buffer, isDelimitedByClose = false): void {
    const headers = toHeaderPairs(response.rawHeaders)
    if (this.#call.accepts?.(headers) === false) {
      this.#fail(ExchangeFailureReason.Mismatched)
      return
    }
    const status = response.statusCode ?? 0
    const answer = { kind: ExchangeKind.Answered, status, headers, body } as const
    this.#finish(isDelimitedByClose ? { ...answer, isDelimitedByClose } : answer)
  }

  readonly #onDeadline = (): void => {
    this.#fail(ExchangeFailureReason.TimedOut)
  }

  readonly #onAbort = (): void => {
    this.#fail(ExchangeFailureReason.Cancelled)
  }

  /** Ends the exchange without an answer and closes its connection, which is not reused. */
  #fail(reason: ExchangeFailureReason): void {
    const kind = this.#isConnected ? ExchangeKind.Broken : ExchangeKind.NotConnected
    this.#finish({ kind, reason })
    this.#request?.destroy()
  }

  #finish(result: ExchangeResult): void {
    if (this.#isFinished) return
    this.#isFinished = true
    this.#stopWaitingForEnd()
    clearTimeout(this.#timer)
    this.#call.signal.removeEventListener('abort', this.#onAbort)
    this.#resolve(result)
  }
}

/** Whether only the end of the connection shows the end of the body. */
function isDelimitedByClose(method: string, { headers, statusCode }: IncomingMessage): boolean {
  if (method === 'HEAD' || STATUSES_WITHOUT_BODY.has(statusCode ?? 0)) return false
  const coding = headers['transfer-encoding']
  return coding === undefined
    ? headers['content-length'] === undefined
    : !coding.toLowerCase().endsWith('chunked')
}

function toRawHeaders(call: HttpCall): string[] {
  const flat = call.headers.flatMap(([name, value]) => [name, value])
  if (findHeader(call.headers, 'host') === undefined) flat.push('Host', call.address)
  flat.push('Content-Length', String(call.body.length))
  return flat
}

function toFailureReason(error: NodeJS.ErrnoException): ExchangeFailureReason {
  if (error.code === 'ECONNREFUSED') return ExchangeFailureReason.Refused
  return error.code?.startsWith('HPE_') === true
    ? ExchangeFailureReason.Malformed
    : ExchangeFailureReason.Reset
}

const STATUSES_WITHOUT_BODY = new Set([204, 304])
