/** Connection of a caller with its open requests. */
import type { Socket } from 'node:net'

/** Time in which an answer that was handed to the system reaches its caller, in milliseconds. */
const DELIVERY_MS = 1000

/** Requests of one connection that were read and are not answered yet. */
export class CallerConnection {
  readonly #socket: Socket
  readonly #openRequests = new Set<AbortController>()
  #hasRead = false
  #lastEndAtMs = Number.NEGATIVE_INFINITY
  #bytesReadAtLastEnd = 0
  /** Whether an answer with `Connection: close` was written. */
  isClosing = false
  /** Whether the bytes behind the requests that were read are no request. */
  isInputInvalid = false
  /** Rejects the body that is being read, if any. */
  rejectBody: (() => void) | undefined

  constructor(socket: Socket) {
    this.#socket = socket
  }

  /** Whether a request was read from the connection. */
  get hasRead(): boolean {
    return this.#hasRead
  }

  get openRequests(): number {
    return this.#openRequests.size
  }

  /** Adds a request that was read. @returns its controller, which is aborted if the caller leaves */
  openRequest(): AbortController {
    const abort = new AbortController()
    this.#hasRead = true
    this.#openRequests.add(abort)
    return abort
  }

  /** Removes a request whose answer was written, or could not be. */
  endRequest(abort: AbortController, nowMs: number): void {
    this.#openRequests.delete(abort)
    this.#lastEndAtMs = nowMs
    this.#bytesReadAtLastEnd = this.#socket.bytesRead
  }

  /** Whether the last answer may not have reached the caller yet, and no request is open. */
  isDelivering(nowMs: number): boolean {
    return this.#openRequests.size === 0 && nowMs - this.#lastEndAtMs < DELIVERY_MS
  }

  /** Whether closing the connection loses neither an answer nor a request that is being read. */
  isIdle(nowMs: number): boolean {
    const hasNewBytes = this.#socket.bytesRead !== this.#bytesReadAtLastEnd
    return this.#openRequests.size === 0 && !hasNewBytes && !this.isDelivering(nowMs)
  }

  /** Aborts all open requests after the connection has closed. */
  abortRequests(): void {
    for (const abort of this.#openRequests) abort.abort()
    this.#openRequests.clear()
  }
}
