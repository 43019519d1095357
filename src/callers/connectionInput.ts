/**
 * Passes the input of a connection to the HTTP parser of Node.js one request at a time, and stops
 * reading while no further request may be read. The parser itself would turn each chunk into
 * requests, thousands of them if they are small, before it could be stopped.
 */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { ByteReservation } from '../common/byteBudget.js'
import type { InputTurns } from './inputTurns.js'

const HEAD_END = '\r\n\r\n'
const HEAD_END_BYTES = Buffer.from(HEAD_END)
/**
 * Bytes of a head or of a body in chunks that are parsed at once: they may be thousands of lines
 * or chunks. Those of a body of a stated length are only copied.
 */
const MAX_PARSED_BYTES = 4 * 1024
/** Node.js reads up to this many bytes more after it was told to stop. */
const READ_AHEAD_BYTES = 64 * 1024

export interface ConnectionInputOptions {
  /** Whether the head of a further request may be read. */
  readonly mayRead: () => boolean
  /** Memory for heads that are not complete and for bytes that may not be read yet. */
  readonly reservation: ByteReservation
  readonly turns: InputTurns
}

export class ConnectionInput {
  readonly #socket: Socket
  readonly #options: ConnectionInputOptions
  readonly #parse: (bytes: Buffer) => void
  /** Received and not passed to the parser. */
  #pending: Buffer | undefined
  /** Bytes of a head that is not complete. */
  #headBytes = 0
  /** Last bytes that were passed, while the end of a head or of a chunked body is searched. */
  #tail = ''
  #message: IncomingMessage | undefined
  /** Rest of a body of a stated length. */
  #bodyBytesLeft = 0
  #reservedBytes = 0
  #isPassing = false
  /** Whether the HTTP server has stopped reading, until answers are fetched. */
  #isPausedByServer = false
  #isDiscarding = false

  /** To be created while the HTTP server handles the event `connection`. */
  constructor(socket: Socket, options: ConnectionInputOptions) {
    this.#socket = socket
    this.#options = options
    const [parse] = socket.listeners('data') as ((bytes: Buffer) => void)[]
    if (parse === undefined) throw new Error('the HTTP server does not read the connection')
    this.#parse = parse
    socket.removeListener('data', parse)
    socket.on('data', (bytes: Buffer) => {
      this.#receive(bytes)
    })
    socket.on('resume', () => {
      // The event is late: the connection may have been paused again since.
      if (socket.isPaused()) return
      this.#isPausedByServer = false
      this.#pass()
    })
    socket.once('close', () => {
      this.discard()
    })
  }

  /** Whether all that was received has been passed to the parser. */
  get isEmpty(): boolean {
    return this.#pending === undefined
  }

  /** Whether the body of the last request is not complete. */
  get isReadingBody(): boolean {
    return this.#message?.complete === false
  }

  /** To be called with each request that the parser has read. */
  startRequest(message: IncomingMessage): void {
    this.#message = message
    const { headers } = message
    const isChunked = headers['transfer-encoding'] !== undefined
    this.#bodyBytesLeft = isChunked ? 0 : Number(headers['content-length'] ?? 0)
    this.#tail = ''
    this.#headBytes = 0
  }

  /** To be called when further requests may be read. */
  continue(): void {
    if (this.#pending !== undefined) this.#pass()
  }

  /** Drops all further input. */
  discard(): void {
    if (this.#isDiscarding) return
    this.#isDiscarding = true
    this.#pending = undefined
    this.#headBytes = 0
    this.#reserve(0)
    const { destroyed } = this.#socket
    if (!destroyed && !this.#isPausedByServer && this.#socket.isPaused()) this.#socket.resume()
  }

  #receive(bytes: Buffer): void {
    if (this.#isDiscarding) return
    this.#pending = this.#pending === undefined ? bytes : Buffer.concat([this.#pending, bytes])
    this.#pass()
  }

  #pass(): void {
    if (this.#isPassing || this.#isPausedByServer || this.#isDiscarding) return
    this.#options.turns.take(this.#passNext)
    this.#holdRest()
  }

  /** Passes one piece, if it may. @returns whether another one may be passed */
  readonly #passNext = (): boolean => {
    if (this.#pending === undefined || !this.#mayPass()) return false
    this.#isPassing = true
    // Ends a pause of this class, so that one of the HTTP server can be told from it.
    if (this.#socket.isPaused()) this.#socket.resume()
    this.#passPiece(this.#pending)
    this.#isPausedByServer = this.#socket.isPaused()
    this.#isPassing = false
    this.#holdRest()
    return this.#hasMore()
  }

  #hasMore(): boolean {
    return this.#pending !== undefined && this.#mayPass()
  }

  #mayPass(): boolean {
    if (this.#socket.destroyed || this.#isPausedByServer || this.#isDiscarding) return false
    return this.isReadingBody || this.#options.mayRead()
  }

  /** Keeps what may not be passed yet, and stops reading until it may. */
  #holdRest(): void {
    if (this.#isDiscarding) return
    const pending = this.#pending
    if (pending === undefined) {
      this.#reserve(this.#headBytes)
      return
    }
    this.#reserve(this.#headBytes + pending.buffer.byteLength + READ_AHEAD_BYTES)
    if (!this.#socket.isPaused()) this.#socket.pause()
  }

  /** Passes bytes up to the end of a head or a body, so that they contain at most one request. */
  #passPiece(bytes: Buffer): void {
    const end = this.#bodyBytesLeft > 0 ? this.#bodyEnd(bytes) : this.#headEnd(bytes)
    const piece = end === bytes.length ? bytes : bytes.subarray(0, end)
    this.#pending = end === bytes.length ? undefined : bytes.subarray(end)
    if (this.#bodyBytesLeft > 0) {
      this.#bodyBytesLeft -= piece.length
      this.#parse(piece)
      return
    }
    const message = this.#message
    this.#parse(piece)
    if (this.#isDiscarding || this.#message !== message) return
    if (!this.isReadingBody) this.#headBytes += piece.length
    this.#tail = (this.#tail + piece.toString('latin1', Math.max(0, piece.length - 3))).slice(-3)
  }

  #bodyEnd(bytes: Buffer): number {
    return Math.min(this.#bodyBytesLeft, bytes.length)
  }

  /** End of a head, or of a body in chunks, which both end with an empty line. */
  #headEnd(received: Buffer): number {
    const bytes = received.subarray(0, MAX_PARSED_BYTES)
    if (this.#tail !== '') {
      const start = (this.#tail + bytes.toString('latin1', 0, 3)).indexOf(HEAD_END)
      if (start >= 0) return start + HEAD_END.length - this.#tail.length
    }
    const start = bytes.indexOf(HEAD_END_BYTES)
    return start < 0 ? bytes.length : start + HEAD_END.length
  }

  #reserve(bytes: number): void {
    const grownBytes = bytes - this.#reservedBytes
    if (grownBytes === 0) return
    this.#reservedBytes = bytes
    const { reservation } = this.#options
    if (grownBytes < 0) reservation.shrink(-grownBytes)
    else if (!reservation.grow(grownBytes)) {
      this.#reservedBytes -= grownBytes
      this.#socket.destroy()
    }
  }
}
