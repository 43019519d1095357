/** Connection to a backend server that carries one request at a time. */
import type { Socket } from 'node:net'
import { connect } from 'node:net'
import type { Clock } from '../common/clock.js'
import type { HeaderPair } from '../common/exchange.js'
import { headerOf } from '../common/exchange.js'
import { hostAndPort } from '../common/listen.js'
import { ReadState, ResponseReader } from './responseReader.js'
import type { SendOutcome, ServerAnswer, ServerHeaders, ServerRequest } from './serverExchange.js'
import { SendKind } from './serverExchange.js'

/** Idle timeout assumed for a server that states none. */
const DEFAULT_IDLE_MS = 4000
/** Fraction of the stated idle timeout that is used; allows for network latency and late timers. */
const IDLE_SHARE = 0.7

/** Keep-alive connection; the pool decides when to reuse and when to close it. */
export class ServerConnection {
  readonly #socket: Socket
  readonly #clock: Clock
  readonly #headers: ServerHeaders
  #reader: ResponseReader | undefined
  #settle: ((kind: SendKind, detail: string) => void) | undefined
  #isOpen = true
  #isConnected = false
  #served = 0
  #idleSinceMs = 0
  #idleLimitMs = DEFAULT_IDLE_MS

  /** @param address `host:port` */
  constructor(address: string, headers: ServerHeaders, connectMs: number, clock: Clock) {
    this.#clock = clock
    this.#headers = headers
    const socket = connect(hostAndPort(address))
    this.#socket = socket
    socket.setNoDelay(true)
    const timer = setTimeout(() => {
      socket.destroy(new Error(`no connection within ${connectMs} ms`))
    }, connectMs)
    socket.once('connect', () => {
      clearTimeout(timer)
      this.#isConnected = true
    })
    socket.on('data', (bytes: Buffer) => {
      this.#read(bytes)
    })
    socket.on('end', () => {
      this.#ended()
    })
    socket.on('error', (error) => {
      this.#broke(error.message)
    })
    socket.on('close', () => {
      clearTimeout(timer)
      this.#broke('connection closed')
    })
  }

  /** Whether the connection is open and carries no request. */
  get isUsable(): boolean {
    return this.#isOpen && this.#settle === undefined
  }

  idleMs(nowMs: number): number {
    return nowMs - this.#idleSinceMs
  }

  /** Whether the connection was idle for less than the time after which the server may close it. */
  isFresh(nowMs: number): boolean {
    return this.idleMs(nowMs) < this.#idleLimitMs
  }

  /** Sends a request and calls `onEnd` once. The returned function aborts the send. */
  send(
    request: ServerRequest,
    onEnd: (outcome: SendOutcome) => void,
  ): (kind: SendKind.Abandoned | SendKind.TimedOut) => void {
    const startedAtMs = this.#clock()
    const isReused = this.#served > 0
    this.#served += 1
    const reader = new ResponseReader((headers, status) => this.#isOurs(request, headers, status))
    this.#reader = reader
    const settle = (kind: SendKind, detail: string): void => {
      if (this.#settle !== settle) return
      this.#settle = undefined
      this.#reader = undefined
      const nowMs = this.#clock()
      this.#idleSinceMs = nowMs
      const { answer } = reader
      const load = answer === undefined ? undefined : headerOf(answer.headers, this.#headers.load)
      const isAnswered = kind === SendKind.Answered && answer !== undefined
      if (isAnswered) this.#noteIdleLimit(answer)
      if (!isAnswered || !reader.isReusable) this.destroy()
      onEnd({
        kind: isAnswered ? this.#kindOf(answer) : kind,
        answer,
        report: load === undefined ? null : this.#headers.readLoad(load),
        durationMs: nowMs - startedAtMs,
        detail,
        isReused,
      })
    }
    this.#settle = settle
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
      settle(kind, kind)
    }
  }

  destroy(): void {
    this.#isOpen = false
    this.#socket.destroy()
  }

  #isOurs(request: ServerRequest, headers: readonly HeaderPair[], status: number): boolean {
    const echoed = headerOf(headers, this.#headers.requestId)
    if (echoed !== undefined) return echoed === request.requestId
    return status >= 300
  }

  #kindOf(answer: ServerAnswer): SendKind {
    if (answer.status === 421) return SendKind.Misdirected
    if (headerOf(answer.headers, this.#headers.notRun) !== undefined) return SendKind.Declined
    const isSuccess = answer.status >= 200 && answer.status < 300
    const isSigned = headerOf(answer.headers, this.#headers.signature) !== undefined
    return isSuccess && !isSigned ? SendKind.Broken : SendKind.Answered
  }

  #noteIdleLimit(answer: ServerAnswer): void {
    const stated = /timeout=(\d+)/.exec(headerOf(answer.headers, 'keep-alive') ?? '')?.[1]
    this.#idleLimitMs =
      (stated === undefined ? DEFAULT_IDLE_MS : Number(stated) * 1000) * IDLE_SHARE
  }

  #read(bytes: Buffer): void {
    const reader = this.#reader
    if (reader === undefined) {
      // Data without an outstanding request, such as a duplicate answer: drop the connection.
      this.destroy()
      return
    }
    this.#follow(reader.read(bytes), 'malformed answer')
  }

  #ended(): void {
    const reader = this.#reader
    this.#isOpen = false
    if (reader !== undefined) this.#follow(reader.end(), 'truncated answer')
    this.destroy()
  }

  #follow(state: ReadState, problem: string): void {
    if (state === ReadState.Complete) this.#settle?.(SendKind.Answered, '')
    else if (state === ReadState.Malformed) this.#settle?.(SendKind.Broken, problem)
  }

  #broke(reason: string): void {
    this.#isOpen = false
    this.#settle?.(this.#isConnected ? SendKind.Broken : SendKind.Unreachable, reason)
  }
}

const METHODS_WITHOUT_BODY = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS'])
