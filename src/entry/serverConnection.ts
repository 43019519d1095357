/** Connection to a backend server that carries one request at a time. */
import type { Socket } from 'node:net'
import { connect } from 'node:net'
import type { ByteBudget, ByteReservation } from '../common/byteBudget.js'
import type { Clock } from '../common/clock.js'
import { ConnectionEnd, onConnectionEnd } from '../common/connectionEnd.js'
import type { HeaderPair } from '../common/exchange.js'
import { findHeader } from '../common/exchange.js'
import { parseHostAndPort } from '../common/listen.js'
import { UploadEnd } from '../common/uploadEnd.js'
import { AnswerOrigin, ReadState, ResponseReader } from './responseReader.js'
import type { ReadTurns } from './readTurns.js'
import type { SendOutcome, ServerAnswer, ServerHeaders, ServerRequest } from './serverExchange.js'
import type { ServerStatement } from './serverStatement.js'
import { OutcomeKind } from './serverExchange.js'

/** Remembered identifiers after which a connection is closed. */
const MAX_REMEMBERED_REQUESTS = 64
/**
 * Time after a time-out for which the connection awaits the answer. A server that keeps to the
 * deadline answers at it, and the answer takes up to a round trip between regions.
 */
const LATE_ANSWER_MS = 250

/** Bytes of one answer after which its connection is read in turns with others. */
const UNSHARED_READ_BYTES = 256 * 1024
/** Time for which a server that sends bytes without end gets no requests, in milliseconds. */
const ENDLESS_ANSWER_AVOIDANCE_MS = 10_000

/** Resources that the connections to all servers share. */
export interface SharedConnectionResources {
  /** Memory for answers that are not complete. */
  readonly answerBudget: ByteBudget
  readonly readTurns: ReadTurns
}

/** Keep-alive connection; the pool decides when to reuse and when to close it. */
export class ServerConnection {
  readonly #socket: Socket
  readonly #clock: Clock
  readonly #headers: ServerHeaders
  readonly #shared: SharedConnectionResources
  /** Identifiers of requests that were refused, or answered late, on this connection. */
  readonly #unrepeatableRequestIds = new Set<string>()
  #reader: ResponseReader | undefined
  /** Set if the request has a body. */
  #upload: UploadEnd | undefined
  /** Time that the connection took to be established. */
  #connectMs = 0
  #finish: ((kind: OutcomeKind, detail: string) => void) | undefined
  #isOpen = true
  #isConnected = false
  #requestCount = 0
  #idleSinceMs = 0
  #statedIdleTimeoutMs: number | undefined

  /** @param address `host:port` */
  constructor(
    address: string,
    headers: ServerHeaders,
    connectTimeoutMs: number,
    shared: SharedConnectionResources,
    clock: Clock,
  ) {
    this.#clock = clock
    this.#shared = shared
    this.#headers = headers
    const socket = connect({ ...parseHostAndPort(address), allowHalfOpen: true })
    this.#socket = socket
    socket.setNoDelay(true)
    const startedAtMs = clock()
    const timer = setTimeout(() => {
      socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`))
    }, connectTimeoutMs)
    socket.once('connect', () => {
      clearTimeout(timer)
      this.#isConnected = true
      this.#connectMs = clock() - startedAtMs
    })
    socket.on('data', (bytes: Buffer) => {
      this.#handleData(bytes)
    })
    socket.on('end', () => {
      this.#isOpen = false
    })
    onConnectionEnd(socket, (end) => {
      this.#handleEnd(end)
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

  get hasCarriedRequest(): boolean {
    return this.#requestCount > 0
  }

  /** Time at which the last answer was complete. */
  get idleSinceMs(): number {
    return this.#idleSinceMs
  }

  /** Idle timeout that the server stated last; `undefined` if it states none. */
  get statedIdleTimeoutMs(): number | undefined {
    return this.#statedIdleTimeoutMs
  }

  /** Whether an earlier answer that the server repeats could be taken for one to this request. */
  mayRepeatAnswerTo(requestId: string): boolean {
    return this.#unrepeatableRequestIds.has(requestId)
  }

  /**
   * Sends a request and calls `onEnd` once. The returned function aborts the send. After a
   * time-out the connection awaits the answer for a short time; `onLateEnd` is then called with
   * whether the server stayed silent, and the connection is usable again or closed.
   */
  send(
    request: ServerRequest,
    onEnd: (outcome: SendOutcome) => void,
    onLateEnd: (isSilent: boolean) => void = () => undefined,
  ): (kind: OutcomeKind.Abandoned | OutcomeKind.TimedOut) => void {
    const startedAtMs = this.#clock()
    const isReused = this.#requestCount > 0
    this.#requestCount += 1
    const reservation = this.#shared.answerBudget.open(() => {
      this.#finish?.(OutcomeKind.Broken, 'memory for answers is used up by smaller ones')
    })
    const reader = new ResponseReader(
      (headers, status) => this.#originOf(request, headers, status, isReused),
      reservation,
      request.method === 'HEAD',
    )
    this.#reader = reader
    const finish = (kind: OutcomeKind, detail: string): void => {
      if (this.#finish !== finish) return
      this.#finish = undefined
      const isAnswerAwaited = kind === OutcomeKind.TimedOut && this.#isOpen && this.#isConnected
      if (isAnswerAwaited) {
        this.#awaitLateAnswer(request.requestId, reader, reservation, onLateEnd)
      } else {
        this.#reader = undefined
        reservation.release()
      }
      const nowMs = this.#clock()
      this.#idleSinceMs = nowMs
      const { answer } = reader
      const load = answer === undefined ? undefined : findHeader(answer.headers, this.#headers.load)
      const isAnswered = kind === OutcomeKind.Answered && answer !== undefined
      if (isAnswered) this.#recordIdleTimeout(answer)
      const outcomeKind = isAnswered ? this.#outcomeKindOf(answer) : kind
      if (outcomeKind === OutcomeKind.Declined) this.#unrepeatableRequestIds.add(request.requestId)
      if (!isAnswerAwaited && !(isAnswered && this.#isReusableAfter(reader))) this.destroy()
      const statement = isAnswered
        ? this.#statementOf(answer, outcomeKind, request.requestId)
        : endlessAnswerStatement(kind, reader)
      onEnd({
        kind: outcomeKind,
        answer,
        ...(statement === undefined ? {} : { statement }),
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
    this.#writeBody(request.body)
    this.#socket.uncork()
    return (kind) => {
      finish(kind, kind)
    }
  }

  #writeBody(body: Buffer): void {
    this.#upload = undefined
    if (body.length === 0) return
    const upload = new UploadEnd(this.#socket, body.length, this.#clock)
    this.#upload = upload
    this.#socket.write(body, (error) => {
      if (error === undefined || error === null) upload.recordWritten()
    })
  }

  destroy(): void {
    this.#isOpen = false
    this.#upload?.stop()
    this.#socket.destroy()
  }

  #isReusableAfter(reader: ResponseReader): boolean {
    return reader.isReusable && this.#unrepeatableRequestIds.size < MAX_REMEMBERED_REQUESTS
  }

  /** Reads the answer to a request that timed out, and drops it. */
  #awaitLateAnswer(
    requestId: string,
    reader: ResponseReader,
    reservation: ByteReservation,
    onLateEnd: (isSilent: boolean) => void,
  ): void {
    const finish = (kind: OutcomeKind): void => {
      if (this.#finish !== finish) return
      clearTimeout(timer)
      this.#finish = undefined
      this.#reader = undefined
      reservation.release()
      this.#idleSinceMs = this.#clock()
      const { answer } = reader
      this.#unrepeatableRequestIds.add(requestId)
      const isAnswered = kind === OutcomeKind.Answered && answer !== undefined
      if (isAnswered) this.#recordIdleTimeout(answer)
      if (!isAnswered || !this.#isReusableAfter(reader)) this.destroy()
      onLateEnd(kind === OutcomeKind.TimedOut && reader.readBytes === 0)
    }
    const timer = setTimeout(() => {
      finish(OutcomeKind.TimedOut)
    }, LATE_ANSWER_MS)
    this.#finish = finish
  }

  /**
   * Servers echo the identifier of the request. A faulty one may repeat an earlier answer on a
   * kept connection, so one without an identifier is accepted only if nothing was answered on the
   * connection before, and never as a statement that the request did not run.
   */
  #originOf(
    request: ServerRequest,
    headers: readonly HeaderPair[],
    status: number,
    isReused: boolean,
  ): AnswerOrigin {
    const echoed = findHeader(headers, this.#headers.requestId)
    if (echoed !== undefined) {
      return echoed === request.requestId ? AnswerOrigin.Own : AnswerOrigin.Other
    }
    if (status < 300) return AnswerOrigin.Other
    const isRefusal = status === 421 || findHeader(headers, this.#headers.notRun) !== undefined
    return isReused || isRefusal ? AnswerOrigin.Unknown : AnswerOrigin.Own
  }

  #outcomeKindOf(answer: ServerAnswer): OutcomeKind {
    if (answer.status === 421) return OutcomeKind.Misdirected
    if (findHeader(answer.headers, this.#headers.notRun) !== undefined) return OutcomeKind.Declined
    const isSuccess = answer.status >= 200 && answer.status < 300
    const isSigned = findHeader(answer.headers, this.#headers.signature) !== undefined
    return isSuccess && !isSigned ? OutcomeKind.Broken : OutcomeKind.Answered
  }

  /** Statements of another server, or in an answer that may not be this server's, don't count. */
  #statementOf(
    { headers, status }: ServerAnswer,
    kind: OutcomeKind,
    requestId: string,
  ): ServerStatement | undefined {
    const isTrusted = kind === OutcomeKind.Answered || kind === OutcomeKind.Declined
    if (!isTrusted || findHeader(headers, this.#headers.requestId) !== requestId) return undefined
    return this.#headers.readStatement(headers, status)
  }

  #recordIdleTimeout(answer: ServerAnswer): void {
    const statedSeconds = /timeout=(\d+)/.exec(findHeader(answer.headers, 'keep-alive') ?? '')?.[1]
    this.#statedIdleTimeoutMs =
      statedSeconds === undefined ? undefined : Number(statedSeconds) * 1000
  }

  #handleData(bytes: Buffer): void {
    const reader = this.#reader
    if (reader === undefined) {
      // Data without an outstanding request, such as a duplicate answer: drop the connection.
      this.destroy()
      return
    }
    const state = reader.read(bytes)
    if (state === ReadState.Partial && reader.readBytes > UNSHARED_READ_BYTES) this.#takeTurns()
    this.#handleReadState(state, reader)
  }

  #takeTurns(): void {
    this.#socket.pause()
    this.#shared.readTurns.wait(() => {
      this.#socket.resume()
    })
  }

  /** Only a regular end can be that of an answer without a length. */
  #handleEnd(end: ConnectionEnd): void {
    const reader = this.#reader
    if (end === ConnectionEnd.Regular && reader?.isEndedByConnection === true && this.#upload) {
      this.#upload.wait(this.#connectMs, () => {
        this.#finishAtEnd(reader)
      })
      return
    }
    if (end !== ConnectionEnd.Regular) this.#handleDisconnect('connection reset')
    this.#finishAtEnd(reader)
  }

  #finishAtEnd(reader: ResponseReader | undefined): void {
    if (reader !== undefined) this.#handleReadState(reader.end(), reader)
    this.destroy()
  }

  #handleReadState(state: ReadState, { problem }: ResponseReader): void {
    if (state === ReadState.Complete) this.#finish?.(OutcomeKind.Answered, '')
    else if (state === ReadState.Malformed) this.#finish?.(OutcomeKind.Broken, problem)
  }

  #handleDisconnect(reason: string): void {
    this.#isOpen = false
    this.#finish?.(this.#isConnected ? OutcomeKind.Broken : OutcomeKind.Unreachable, reason)
  }
}

function endlessAnswerStatement(
  kind: OutcomeKind,
  { isEndless }: ResponseReader,
): ServerStatement | undefined {
  const isAvoided = kind === OutcomeKind.Broken && isEndless
  return isAvoided ? { avoidForMs: ENDLESS_ANSWER_AVOIDANCE_MS } : undefined
}

const METHODS_WITHOUT_BODY = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS'])
