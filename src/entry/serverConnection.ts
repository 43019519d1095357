/** Connection to a backend server that carries one request at a time. */
import type { Socket } from 'node:net'
import { connect } from 'node:net'
import type { Clock } from '../common/clock.js'
import type { HeaderPair } from '../common/exchange.js'
import { findHeader } from '../common/exchange.js'
import { parseHostAndPort } from '../common/listen.js'
import { ReadState, ResponseReader } from './responseReader.js'
import type { SendOutcome, ServerAnswer, ServerHeaders, ServerRequest } from './serverExchange.js'
import { OutcomeKind } from './serverExchange.js'

/** Idle timeout assumed for a server that states none. */
const DEFAULT_IDLE_TIMEOUT_MS = 4000
/** Fraction of the stated idle timeout that is used; allows for network latency and late timers. */
const IDLE_TIMEOUT_FRACTION = 0.7

/** Keep-alive connection; the pool decides when to reuse and when to close it. */
export class ServerConnection {
  readonly #socket: Socket
  readonly #clock: Clock
  readonly #headers: ServerHeaders
  #reader: ResponseReader | undefined
  #finish: ((kind: OutcomeKind, detail: string) => void) | undefined
  #isOpen = true
  #isConnected = false
  #requestCount = 0
  #idleSinceMs = 0
  #maxIdleMs = DEFAULT_IDLE_TIMEOUT_MS

  /** @param address `host:port` */
  constructor(address: string, headers: ServerHeaders, connectTimeoutMs: number, clock: Clock) {
    this.#clock = clock
    this.#headers = headers
    const socket = connect(parseHostAndPort(address))
    this.#socket = socket
    socket.setNoDelay(true)
    const timer = setTimeout(() => {
      socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`))
    }, connectTimeoutMs)
    socket.once('connect', () => {
      clearTimeout(timer)
      this.#isConnected = true
    })
    socket.on('data', (bytes: Buffer) => {
      this.#handleData(bytes)
    })
    socket.on('end', () => {
      this.#handleEnd()
    })
    socket.on('error', (error) => {
      this.#handleDisconnect(error.message)
    })
    socket.on('close', () => {
      clearTimeout(timer)
      this.#handleDisconnect('connection closed')
    })
  }

  /** Whether the connection is open and carries no request. */
  get isUsable(): boolean {
    return this.#isOpen && this.#finish === undefined
  }

  idleMs(nowMs: number): number {
    return nowMs - this.#idleSinceMs
  }

  /** Whether the connection was idle for less than the time after which the server may close it. */
  isWithinIdleTimeout(nowMs: number): boolean {
    return this.idleMs(nowMs) < this.#maxIdleMs
  }

  /** Sends a request and calls `onEnd` once. The returned function aborts the send. */
  send(
    request: ServerRequest,
    onEnd: (outcome: SendOutcome) => void,
  ): (kind: OutcomeKind.Abandoned | OutcomeKind.TimedOut) => void {
    const startedAtMs = this.#clock()
    const isReused = this.#requestCount > 0
    this.#requestCount += 1
    const reader = new ResponseReader((headers, status) =>
      this.#matchesRequest(request, headers, status),
    )
    this.#reader = reader
    const finish = (kind: OutcomeKind, detail: string): void => {
      if (this.#finish !== finish) return
      this.#finish = undefined
      this.#reader = undefined
      const nowMs = this.#clock()
      this.#idleSinceMs = nowMs
      const { answer } = reader
      const load = answer === undefined ? undefined : findHeader(answer.headers, this.#headers.load)
      const isAnswered = kind === OutcomeKind.Answered && answer !== undefined
      if (isAnswered) this.#recordIdleTimeout(answer)
      if (!isAnswered || !reader.isReusable) this.destroy()
      onEnd({
        kind: isAnswered ? this.#outcomeKindOf(answer) : kind,
        answer,
        report: load === undefined ? null : this.#headers.readLoad(load),
        durationMs: nowMs - startedAtMs,
        detail,
        isReused,
      })
    }
    this.#finish = finish
    const head = [
      `${request.method} ${request.target} HTTP/1.1`,
      ...request.headers.map(([name, value]) => `${name}: ${value}`),
    ]
    const hasBody = request.body.length > 0 || !METHODS_WITHOUT_BODY.has(request.method)
    if (hasBody) head.push(`Content-Length: ${request.body.length}`)
    this.#socket.cork()
    this.#socket.write(`${head.join('\r\n')}\r\n\r\n`, 'latin1')
    if (request.body.length > 0) this.#socket.write(request.body)
    this.#socket.uncork()
    return (kind) => {
      finish(kind, kind)
    }
  }

  destroy(): void {
    this.#isOpen = false
    this.#socket.destroy()
  }

  #matchesRequest(request: ServerRequest, headers: readonly HeaderPair[], status: number): boolean {
    const echoed = findHeader(headers, this.#headers.requestId)
    if (echoed !== undefined) return echoed === request.requestId
    return status >= 300
  }

  #outcomeKindOf(answer: ServerAnswer): OutcomeKind {
    if (answer.status === 421) return OutcomeKind.Misdirected
    if (findHeader(answer.headers, this.#headers.notRun) !== undefined) return OutcomeKind.Declined
    const isSuccess = answer.status >= 200 && answer.status < 300
    const isSigned = findHeader(answer.headers, this.#headers.signature) !== undefined
    return isSuccess && !isSigned ? OutcomeKind.Broken : OutcomeKind.Answered
  }

  #recordIdleTimeout(answer: ServerAnswer): void {
    const statedSeconds = /timeout=(\d+)/.exec(findHeader(answer.headers, 'keep-alive') ?? '')?.[1]
    this.#maxIdleMs =
      (statedSeconds === undefined ? DEFAULT_IDLE_TIMEOUT_MS : Number(statedSeconds) * 1000) *
      IDLE_TIMEOUT_FRACTION
  }

  #handleData(bytes: Buffer): void {
    const reader = this.#reader
    if (reader === undefined) {
      // Data without an outstanding request, such as a duplicate answer: drop the connection.
      this.destroy()
      return
    }
    this.#handleReadState(reader.read(bytes), 'malformed answer')
  }

  #handleEnd(): void {
    const reader = this.#reader
    this.#isOpen = false
    if (reader !== undefined) this.#handleReadState(reader.end(), 'truncated answer')
    this.destroy()
  }

  #handleReadState(state: ReadState, problem: string): void {
    if (state === ReadState.Complete) this.#finish?.(OutcomeKind.Answered, '')
    else if (state === ReadState.Malformed) this.#finish?.(OutcomeKind.Broken, problem)
  }

  #handleDisconnect(reason: string): void {
    this.#isOpen = false
    this.#finish?.(this.#isConnected ? OutcomeKind.Broken : OutcomeKind.Unreachable, reason)
  }
}

const METHODS_WITHOUT_BODY = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS'])
