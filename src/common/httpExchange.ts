/** HTTP/1.1 exchanges over kept-alive, bounded connections that tell whether a connection was established. */
import type { ClientRequest, IncomingMessage } from 'node:http'
import { Agent, request as httpRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from './clock.js'
import type { ExchangeResult, HeaderPair } from './exchange.js'
import { BreakReason, ExchangeKind, headerOf, pairsOf } from './exchange.js'
import { hostAndPort } from './listen.js'

/** Settings of a client. */
export interface HttpExchangeOptions {
  /** Bound on open connections to one address. */
  readonly maxConnections: number
  /**
   * Idle connections are closed after this time, in ms. It has to be shorter than
   * the servers' own limit, or requests meet connections that are being closed.
   */
  readonly idleMs: number
  readonly clock: Clock
}

/** An exchange to be made. */
export interface HttpCall {
  /** `host:port` */
  readonly address: string
  readonly method: string
  /** Path and query. */
  readonly target: string
  /** Host and Content-Length are added if they are absent. */
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Milliseconds since the epoch. */
  readonly deadlineMs: number
  readonly maxAnswerBytes: number
  readonly signal: AbortSignal
  /** Tells whether an answer with these headers belongs to this call. */
  readonly accepts?: (headers: readonly HeaderPair[]) => boolean
}

/** Makes exchanges. */
export class HttpExchangeClient {
  readonly #agent: Agent
  readonly #clock: Clock

  constructor(options: HttpExchangeOptions) {
    this.#clock = options.clock
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: options.maxConnections,
      maxFreeSockets: options.maxConnections,
      timeout: options.idleMs,
      scheduling: 'lifo',
    })
  }

  /** Never rejects. */
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

/** State of one exchange between its start and its single result. */
class Exchange {
  readonly #call: HttpCall
  readonly #agent: Agent
  readonly #settle: (result: ExchangeResult) => void
  readonly #startedAtMs: number
  #established = false
  #settled = false
  #request: ClientRequest | undefined
  #timer: NodeJS.Timeout | undefined

  constructor(
    call: HttpCall,
    agent: Agent,
    startedAtMs: number,
    settle: (result: ExchangeResult) => void,
  ) {
    this.#call = call
    this.#agent = agent
    this.#startedAtMs = startedAtMs
    this.#settle = settle
  }

  start(): void {
    const call = this.#call
    if (call.signal.aborted) {
      this.#finish({ kind: ExchangeKind.NotConnected, reason: BreakReason.Cancelled })
      return
    }
    let request: ClientRequest
    try {
      request = this.#open()
    } catch {
      // Node.js rejects characters in the target or the headers before it connects.
      this.#finish({ kind: ExchangeKind.NotConnected, reason: BreakReason.Malformed })
      return
    }
    this.#request = request
    this.#timer = setTimeout(this.#onDeadline, Math.max(0, call.deadlineMs - this.#startedAtMs))
    call.signal.addEventListener('abort', this.#onAbort, { once: true })
    request.once('socket', (socket) => {
      this.#watchConnection(socket)
    })
    request.on('error', (error: NodeJS.ErrnoException) => {
      this.#break(reasonOf(error))
    })
    request.once('response', (response) => {
      this.#read(response)
    })
    request.end(call.body)
  }

  #open(): ClientRequest {
    const call = this.#call
    return httpRequest({
      agent: this.#agent,
      ...hostAndPort(call.address),
      method: call.method,
      path: call.target,
      headers: flatHeaders(call),
    })
  }

  /** A reused socket is connected already; on a new one nothing is written before `connect`. */
  #watchConnection(socket: Socket): void {
    if (!socket.connecting) {
      this.#established = true
      return
    }
    socket.once('connect', () => {
      this.#established = true
    })
  }

  #read(response: IncomingMessage): void {
    const chunks: Buffer[] = []
    let size = 0
    response.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > this.#call.maxAnswerBytes) this.#break(BreakReason.TooLarge)
      else chunks.push(chunk)
    })
    response.on('error', (error: NodeJS.ErrnoException) => {
      this.#break(response.complete ? reasonOf(error) : BreakReason.Truncated)
    })
    response.once('close', () => {
      if (!response.complete) this.#break(BreakReason.Truncated)
    })
    response.once('end', () => {
      if (response.complete) this.#accept(response, Buffer.concat(chunks, size))
      else this.#break(BreakReason.Truncated)
    })
  }

  #accept(response: IncomingMessage, body: Buffer): void {
    const headers = pairsOf(response.rawHeaders)
    if (this.#call.accepts?.(headers) === false) {
      this.#break(BreakReason.Crossed)
      return
    }
    const status = response.statusCode ?? 0
    this.#finish({ kind: ExchangeKind.Answered, status, headers, body })
  }

  readonly #onDeadline = (): void => {
    this.#break(BreakReason.TimedOut)
  }

  readonly #onAbort = (): void => {
    this.#break(BreakReason.Cancelled)
  }

  /** Ends the exchange without an answer; its connection is not used again. */
  #break(reason: BreakReason): void {
    const kind = this.#established ? ExchangeKind.Broken : ExchangeKind.NotConnected
    this.#finish({ kind, reason })
    this.#request?.destroy()
  }

  #finish(result: ExchangeResult): void {
    if (this.#settled) return
    this.#settled = true
    clearTimeout(this.#timer)
    this.#call.signal.removeEventListener('abort', this.#onAbort)
    this.#settle(result)
  }
}

function flatHeaders(call: HttpCall): string[] {
  const flat = call.headers.flatMap(([name, value]) => [name, value])
  if (headerOf(call.headers, 'host') === undefined) flat.push('Host', call.address)
  flat.push('Content-Length', String(call.body.length))
  return flat
}

function reasonOf(error: NodeJS.ErrnoException): BreakReason {
  if (error.code === 'ECONNREFUSED') return BreakReason.Refused
  return error.code?.startsWith('HPE_') === true ? BreakReason.Malformed : BreakReason.Reset
}
