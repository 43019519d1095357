/**
 * Whether an answer that ended with its server's direction of the connection is whole, if the server
 * may not have taken all of the request. A server that ends in order and resets the connection before
 * the upload is over gave up on the exchange, and its answer may be a part.
 */
import type { Socket } from 'node:net'
import type { Clock } from './clock.js'
import { queuedBytesOf } from './queuedBytes.js'

export enum UploadEndVerdict {
  /** The server may still reset the connection. */
  Undecided = 'undecided',
  /** The server has taken the upload, or doesn't read it and keeps the connection. */
  Whole = 'whole',
}

export interface UploadProgress {
  readonly bodyBytes: number
  /** Time of a round trip to the server, in milliseconds. */
  readonly roundTripMs: number
  /** Time at which the server has ended its direction. */
  readonly endedAtMs: number
  /** Time at which the system had taken the last byte; `undefined` while bytes are queued. */
  readonly writtenAtMs: number | undefined
  /** Time at which the system last took bytes. */
  readonly progressAtMs: number
}

/** Time beyond a round trip in which a reset of a connection that was written to arrives, in ms. */
const RESET_MARGIN_MS = 100
/** Bytes that the systems of both sides may hold when the server has read none. */
const UNREAD_BYTES = 32 * 1024
/** Time without progress after which a server is taken not to read the upload, in milliseconds. */
const STALL_MS = 500
const CHECK_INTERVAL_MS = 5
const NO_BYTES = Buffer.alloc(0)

export function judgeUploadEnd(progress: UploadProgress, nowMs: number): UploadEndVerdict {
  const { bodyBytes, roundTripMs, endedAtMs, writtenAtMs, progressAtMs } = progress
  if (writtenAtMs === undefined) {
    return nowMs - progressAtMs < STALL_MS ? UploadEndVerdict.Undecided : UploadEndVerdict.Whole
  }
  // The system takes bytes long before the server reads them, if there are many.
  const takenAtMs = bodyBytes > UNREAD_BYTES ? Math.max(writtenAtMs, endedAtMs) : writtenAtMs
  const isSettled = nowMs - takenAtMs >= roundTripMs + RESET_MARGIN_MS
  return isSettled ? UploadEndVerdict.Whole : UploadEndVerdict.Undecided
}

/** Upload of one request, from the time at which its body is handed to the socket. */
export class UploadEnd {
  readonly #socket: Socket
  readonly #clock: Clock
  readonly #bodyBytes: number
  #roundTripMs = 0
  #endedAtMs = 0
  #writtenAtMs: number | undefined
  #progressAtMs = 0
  #queuedBytes = 0
  #timer: NodeJS.Timeout | undefined

  constructor(socket: Socket, bodyBytes: number, clock: Clock) {
    this.#socket = socket
    this.#clock = clock
    this.#bodyBytes = bodyBytes
  }

  /** To be called when the system has taken the whole body. */
  recordWritten(): void {
    this.#writtenAtMs = this.#clock()
  }

  /**
   * To be called when the server has ended its direction in order. Calls back once the answer is
   * known to be whole; a reset is reported by the socket's `error`.
   */
  wait(roundTripMs: number, onWhole: () => void): void {
    const nowMs = this.#clock()
    this.#roundTripMs = roundTripMs
    this.#endedAtMs = nowMs
    this.#progressAtMs = nowMs
    this.#check(onWhole)
  }

  stop(): void {
    clearTimeout(this.#timer)
  }

  #check(onWhole: () => void): void {
    if (this.#socket.destroyed) return
    const nowMs = this.#clock()
    const queuedBytes = queuedBytesOf(this.#socket)
    if (queuedBytes !== this.#queuedBytes) {
      this.#queuedBytes = queuedBytes
      this.#progressAtMs = nowMs
    }
    const verdict = judgeUploadEnd(this.#progress, nowMs)
    if (this.#writtenAtMs !== undefined) this.#findReset(verdict, onWhole)
    else if (verdict === UploadEndVerdict.Whole) onWhole()
    if (verdict === UploadEndVerdict.Whole) return
    this.#timer = setTimeout(() => {
      this.#check(onWhole)
    }, CHECK_INTERVAL_MS)
  }

  /** A socket whose peer has ended its direction is not watched for a reset; a write finds it. */
  #findReset(verdict: UploadEndVerdict, onWhole: () => void): void {
    this.#socket.write(NO_BYTES, (error) => {
      if (verdict === UploadEndVerdict.Whole && !error) onWhole()
    })
  }

  get #progress(): UploadProgress {
    return {
      bodyBytes: this.#bodyBytes,
      roundTripMs: this.#roundTripMs,
      endedAtMs: this.#endedAtMs,
      writtenAtMs: this.#writtenAtMs,
      progressAtMs: this.#progressAtMs,
    }
  }
}
