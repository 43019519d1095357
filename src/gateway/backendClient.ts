/** One attempt over HTTP/1.1 with kept-alive, bounded connections per backend server. */
import type { ClientRequest, IncomingMessage } from 'node:http'
import { Agent, request as httpRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '../common/clock.js'
import { DEADLINE_HEADER, REQUEST_HEADER } from '../common/headers.js'
import type { AttemptResult, BackendCall, BackendCaller } from './backendAttempt.js'
import { AttemptKind, BreakReason, headerOf } from './backendAttempt.js'
import type { HeaderPair } from './exchange.js'

/** Settings of a client. */
export interface BackendClientOptions {
  /** Bound on open connections to one backend server. */
  readonly maxConnectionsPerWorker: number
  /**
   * Idle connections are closed after this time, in ms. It has to be shorter than
   * the backend servers' own limit, or requests meet connections that are being closed.
   */
  readonly idleMs: number
  readonly clock: Clock
}

/** {@link BackendCaller} over HTTP. */
export class HttpBackendClient implements BackendCaller {
  readonly #agent: Agent
  readonly #clock: Clock

  constructor(options: BackendClientOptions) {
    this.#clock = options.clock
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: options.maxConnectionsPerWorker,
      maxFreeSockets: options.maxConnectionsPerWorker,
      timeout: options.idleMs,
      scheduling: 'lifo',
    })
  }

  attempt(call: BackendCall): Promise<AttemptResult> {
    return new Promise((resolve) => {
      new Attempt(call, this.#agent, this.#clock(), resolve).start()
    })
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy()
  }
}

/** State of one attempt between its start and its single result. */
class Attempt {
  readonly #call: BackendCall
  readonly #agent: Agent
  readonly #settle: (result: AttemptResult) => void
  readonly #startedAtMs: number
  #established = false
  #settled = false
  #request: ClientRequest | undefined
  #timer: NodeJS.Timeout | undefined

  constructor(
    call: BackendCall,
    agent: Agent,
    startedAtMs: number,
    settle: (result: AttemptResult) => void,
  ) {
    this.#call = call
    this.#agent = agent
    this.#startedAtMs = startedAtMs
    this.#settle = settle
  }

  start(): void {
    const call = this.#call
    if (call.signal.aborted) {
      this.#finish({ kind: AttemptKind.NotConnected, reason: BreakReason.Cancelled })
      return
    }
    let request: ClientRequest
    try {
      request = this.#open()
    } catch {
      // Node.js rejects characters in the target or the headers before it connects.
      this.#finish({ kind: AttemptKind.NotConnected, reason: BreakReason.Malformed })
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
    const separator = call.address.lastIndexOf(':')
    return httpRequest({
      agent: this.#agent,
      host: call.address.slice(0, separator),
      port: Number(call.address.slice(separator + 1)),
      method: call.method,
      path: call.target,
      headers: outgoingHeaders(call),
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
    const echoed = headerOf(headers, REQUEST_HEADER)
    if (echoed !== undefined && echoed !== this.#call.attemptId) {
      this.#break(BreakReason.Crossed)
      return
    }
    const status = response.statusCode ?? 0
    this.#finish({ kind: AttemptKind.Answered, status, headers, body })
  }

  readonly #onDeadline = (): void => {
    this.#break(BreakReason.TimedOut)
  }

  readonly #onAbort = (): void => {
    this.#break(BreakReason.Cancelled)
  }

  /** Ends the attempt without an answer; its connection is not used again. */
  #break(reason: BreakReason): void {
    const kind = this.#established ? AttemptKind.Broken : AttemptKind.NotConnected
    this.#finish({ kind, reason })
    this.#request?.destroy()
  }

  #finish(result: AttemptResult): void {
    if (this.#settled) return
    this.#settled = true
    clearTimeout(this.#timer)
    this.#call.signal.removeEventListener('abort', this.#onAbort)
    this.#settle(result)
  }
}

/** Returns the pairs of a flat list of names and values. */
export function pairsOf(rawHeaders: readonly string[]): HeaderPair[] {
  const pairs: HeaderPair[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    pairs.push([rawHeaders[index] ?? '', rawHeaders[index + 1] ?? ''])
  }
  return pairs
}

function outgoingHeaders(call: BackendCall): string[] {
  const flat: string[] = []
  for (const [name, value] of call.headers) flat.push(name, value)
  if (headerOf(call.headers, 'host') === undefined) flat.push('Host', call.address)
  flat.push(REQUEST_HEADER, call.attemptId, DEADLINE_HEADER, String(call.deadlineMs))
  flat.push('Content-Length', String(call.body.length))
  return flat
}

function reasonOf(error: NodeJS.ErrnoException): BreakReason {
  if (error.code === 'ECONNREFUSED') return BreakReason.Refused
  return error.code?.startsWith('HPE_') === true ? BreakReason.Malformed : BreakReason.Reset
}
