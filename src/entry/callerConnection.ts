/** Connection of a caller with its open requests, and all connections of a listener. */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { ByteReservation } from '../common/byteBudget.js'
import { ByteBudget } from '../common/byteBudget.js'
import type { ListenerBounds } from '../callers/callerBounds.js'
import { ConnectionInput } from '../callers/connectionInput.js'
import { InputTurns } from '../callers/inputTurns.js'
import { monotonicClock } from '../common/clock.js'
import { ConnectionUse, FetchTimeout, leastNeeded } from '../callers/connectionLimits.js'
import { LingeringConnections } from './lingeringConnections.js'

/** Time in which an answer that was handed to the system reaches its caller, in milliseconds. */
const DELIVERY_MS = 1000
/** Memory of a request that was sent ahead and of its answer, without their contents. */
const REQUEST_AHEAD_BYTES = 8 * 1024
/**
 * Time between two requests of a connection that has sent more ahead than it may, in milliseconds.
 * Without it, callers that ignore refusals keep the servers' queues full for others.
 */
const PACE_MS = 100
/** Part of the memory for input that requests ahead may use; the rest is for first requests. */
const AHEAD_SHARE = 0.5

/** Requests of one connection that were read and are not answered yet. */
export class CallerConnection {
  readonly input: ConnectionInput
  readonly #socket: Socket
  readonly #bounds: ListenerBounds
  readonly #inputBudget: ByteBudget
  readonly #reservation: ByteReservation
  /** Memory that each open request takes. */
  readonly #openRequests = new Map<AbortController, number>()
  #hasRead = false
  #lastEndAtMs = Number.NEGATIVE_INFINITY
  #bytesReadAtLastEnd = 0
  #unfetchedAnswers = 0
  #unfetchedBytes = 0
  /** Whether the connection has had as many requests open as it may, and has sent more. */
  #isPaced = false
  #isPausing = false
  #isClosing = false
  #isInputInvalid = false
  /** Rejects the body that is being read, if any. */
  rejectBody: (() => void) | undefined

  constructor(socket: Socket, bounds: ListenerBounds, inputBudget: ByteBudget, turns: InputTurns) {
    this.#socket = socket
    this.#bounds = bounds
    this.#inputBudget = inputBudget
    this.#reservation = inputBudget.open(() => {
      this.#reservation.release()
      socket.destroy()
    })
    this.input = new ConnectionInput(socket, {
      mayRead: () => this.#mayRead(),
      reservation: this.#reservation,
      turns,
    })
  }

  /** Whether an answer with `Connection: close` was written. */
  get isClosing(): boolean {
    return this.#isClosing
  }

  /** Whether the bytes behind the requests that were read are no request. */
  get isInputInvalid(): boolean {
    return this.#isInputInvalid
  }

  /** Whether a request was read from the connection. */
  get hasRead(): boolean {
    return this.#hasRead
  }

  get openRequests(): number {
    return this.#openRequests.size
  }

  /** How much the connection is needed, when there are too many. */
  get use(): ConnectionUse {
    const open = this.#openRequests.size
    if (open === 0) return this.#hasRead ? ConnectionUse.Idle : ConnectionUse.Unused
    if (open === this.#unfetchedAnswers) return ConnectionUse.Unfetched
    const isIncomplete = open === 1 && this.input.isReadingBody
    return isIncomplete ? ConnectionUse.IncompleteRequest : ConnectionUse.Running
  }

  /**
   * Adds a request that was read.
   * @returns its controller, which is aborted if the caller leaves
   */
  openRequest(message: IncomingMessage, headBytes: number): AbortController {
    const abort = new AbortController()
    const bytes = headBytes + (this.#openRequests.size === 0 ? 0 : REQUEST_AHEAD_BYTES)
    this.input.startRequest(message)
    this.#hasRead = true
    const isHeld = this.#reservation.grow(bytes)
    this.#openRequests.set(abort, isHeld ? bytes : 0)
    if (!isHeld) this.#socket.destroy()
    return abort
  }

  /** Removes a request whose answer was written, or could not be. */
  endRequest(abort: AbortController, nowMs: number): void {
    this.#reservation.shrink(this.#openRequests.get(abort) ?? 0)
    this.#openRequests.delete(abort)
    this.#lastEndAtMs = nowMs
    this.#bytesReadAtLastEnd = this.#socket.bytesRead
    if (this.#isPaced && this.input.isEmpty) this.#isPaced = false
    if (this.#isPaced) this.#pause()
    else this.input.continue()
  }

  /** Counts an answer until its caller has fetched it. @returns a function that ends the count */
  addAnswer(bytes: number): () => void {
    this.#unfetchedAnswers += 1
    this.#unfetchedBytes += bytes
    return () => {
      this.#unfetchedAnswers -= 1
      this.#unfetchedBytes -= bytes
    }
  }

  /** Reads no further requests, because the next answer closes the connection. */
  startClosing(): void {
    this.#isClosing = true
    this.input.discard()
  }

  /** Reads no further requests, because the bytes behind the last one are none. */
  markInputInvalid(): void {
    this.#isInputInvalid = true
    this.input.discard()
  }

  /** Whether the last answer may not have reached the caller yet, and no request is open. */
  isDelivering(nowMs: number): boolean {
    return this.#openRequests.size === 0 && nowMs - this.#lastEndAtMs < DELIVERY_MS
  }

  /** Whether closing the connection loses neither an answer nor a request that is being read. */
  isIdle(nowMs: number): boolean {
    const hasNewBytes = this.#socket.bytesRead !== this.#bytesReadAtLastEnd || !this.input.isEmpty
    return this.#openRequests.size === 0 && !hasNewBytes && !this.isDelivering(nowMs)
  }

  /** Aborts all open requests after the connection has closed. */
  close(): void {
    for (const abort of this.#openRequests.keys()) abort.abort()
    this.#openRequests.clear()
    this.#reservation.release()
  }

  #pause(): void {
    if (this.#openRequests.size > 0 || this.#isPausing) return
    this.#isPausing = true
    setTimeout(() => {
      this.#isPausing = false
      this.input.continue()
    }, PACE_MS)
  }

  /** The first request of a connection is always read; further ones, while there is memory. */
  #mayRead(): boolean {
    const open = this.#openRequests.size
    if (this.#isPaced) return open === 0 && !this.#isPausing
    if (open === 0) return true
    const { requestsPerConnection, answerBytesPerConnection, inputBytes } = this.#bounds
    if (open >= requestsPerConnection) {
      this.#isPaced = true
      return false
    }
    return (
      this.#unfetchedBytes < answerBytesPerConnection &&
      this.#inputBudget.usedBytes < inputBytes * AHEAD_SHARE
    )
  }
}

/** Size of a request's head without its separators, in bytes. */
export function headSizeBytes(message: IncomingMessage): number {
  let bytes = (message.url ?? '').length + (message.method ?? '').length
  for (const text of message.rawHeaders) bytes += text.length + 2
  return bytes
}

/** Connections of one listener, within its bounds. */
export class CallerConnections {
  readonly #bounds: ListenerBounds
  readonly #inputBudget: ByteBudget
  /** In the order in which they were accepted. */
  readonly #connections = new Map<Socket, CallerConnection>()
  readonly #lingering = new LingeringConnections()
  readonly #fetchTimeout: FetchTimeout
  readonly #turns = new InputTurns(monotonicClock)

  constructor(bounds: ListenerBounds) {
    this.#bounds = bounds
    this.#inputBudget = new ByteBudget(bounds.inputBytes)
    this.#fetchTimeout = new FetchTimeout(() => this.#connections.keys(), bounds.fetchTimeoutMs)
  }

  [Symbol.iterator](): IterableIterator<[Socket, CallerConnection]> {
    return this.#connections.entries()
  }

  get(socket: Socket): CallerConnection | undefined {
    return this.#connections.get(socket)
  }

  /** Adds a connection; closes the one that is needed least, or this one, if there are too many. */
  add(socket: Socket): void {
    if (this.#connections.size >= this.#bounds.connections && !this.#makeRoom()) {
      socket.destroy()
      return
    }
    const connection = new CallerConnection(socket, this.#bounds, this.#inputBudget, this.#turns)
    this.#connections.set(socket, connection)
    this.#lingering.attach(socket, () => {
      connection.input.discard()
    })
    socket.once('close', () => {
      this.#connections.delete(socket)
      // Of several pipelined requests, Node.js closes only the response of the first.
      connection.close()
    })
  }

  /** Ends a connection behind all that was written, and reads it until its caller ends it. */
  linger(socket: Socket): void {
    this.#connections.get(socket)?.input.discard()
    this.#lingering.add(socket)
  }

  isLingering(socket: Socket): boolean {
    return this.#lingering.has(socket)
  }

  /** Stops the checks of connections; to be called when the listener has closed. */
  stop(): void {
    this.#fetchTimeout.stop()
  }

  #makeRoom(): boolean {
    const found = leastNeeded(this.#connections, ([socket, { use }]) =>
      use < ConnectionUse.IncompleteRequest && this.#lingering.has(socket)
        ? ConnectionUse.Unfetched
        : use,
    )
    if (found === undefined) return false
    const [socket] = found
    socket.destroy()
    this.#connections.delete(socket)
    return true
  }
}
