/** Reads the body of a caller's request within a limit, a memory budget and a time. */
import type { IncomingMessage } from 'node:http'
import type { ByteReservation } from '../common/byteBudget.js'
import { BlockBuffer } from '../common/blockBuffer.js'

/** Why a body was not read to its end. */
export enum BodyRejection {
  /** Larger than the configured limit. */
  TooLarge = 'tooLarge',
  /** The process buffers too many bodies already. */
  NoMemory = 'noMemory',
  /** Not complete when the caller's own timeout passed. */
  TooSlow = 'tooSlow',
  /** Not encoded as HTTP requires. */
  Invalid = 'invalid',
}

/** Where the bytes of a body are kept until it is complete. */
export interface BodyBuffer {
  /** Bytes added so far. */
  readonly size: number
  /** Returns false if the memory budget does not hold the chunk. */
  add(chunk: Buffer): boolean
  take(): Buffer
  /** Forgets the bytes; the connection may stay open for long. */
  discard(): void
}

/**
 * Reserves memory for the body of a request. A stated length is reserved at once, so that a body
 * that can't be held is rejected before it is sent; a body without one is reserved as it arrives.
 */
export function reserveBody(
  message: IncomingMessage,
  limitBytes: number,
  reservation: ByteReservation,
): BodyBuffer | BodyRejection {
  const statedBytes = statedLength(message)
  if (statedBytes === undefined) return new ChunkedBody(reservation)
  if (statedBytes > limitBytes) return BodyRejection.TooLarge
  return reservation.grow(statedBytes) ? new SizedBody(statedBytes) : BodyRejection.NoMemory
}

export interface CallerBodyOptions {
  readonly limitBytes: number
  readonly timeoutMs: number
  /** Called at most once, with the complete body. */
  readonly onBody: (body: Buffer) => void
  /** Called at most once, and not with {@link onBody}; later bytes are discarded. */
  readonly onRejected: (rejection: BodyRejection) => void
  /** Called if the caller disconnects before the end of the body. */
  readonly onAbandoned: () => void
}

/**
 * Reads the body into the buffer; calls back once how it ended.
 * @returns a function that rejects the body as invalid, if it is not complete
 */
export function readCallerBody(
  message: IncomingMessage,
  buffer: BodyBuffer,
  options: CallerBodyOptions,
): () => void {
  let isDone = false
  const finish = (callback: () => void): void => {
    if (isDone) return
    isDone = true
    clearTimeout(timer)
    callback()
  }
  const reject = (rejection: BodyRejection): void => {
    finish(() => {
      buffer.discard()
      options.onRejected(rejection)
    })
  }
  const abandon = (): void => {
    finish(() => {
      buffer.discard()
      options.onAbandoned()
    })
  }
  const timer = setTimeout(() => {
    reject(BodyRejection.TooSlow)
  }, options.timeoutMs)
  message.on('data', (chunk: Buffer) => {
    if (isDone) return
    if (buffer.size + chunk.length > options.limitBytes) reject(BodyRejection.TooLarge)
    else if (!buffer.add(chunk)) reject(BodyRejection.NoMemory)
  })
  message.on('end', () => {
    finish(() => {
      options.onBody(buffer.take())
    })
  })
  message.on('error', abandon)
  message.on('close', abandon)
  return () => {
    if (!message.complete) reject(BodyRejection.Invalid)
  }
}

/** Length of the body that the head states; `undefined` for a chunked body. */
function statedLength(message: IncomingMessage): number | undefined {
  if (message.headers['transfer-encoding'] !== undefined) return undefined
  return Number(message.headers['content-length'] ?? 0)
}

/** Body of a known length, which was reserved before. */
class SizedBody implements BodyBuffer {
  #bytes: Buffer
  #size = 0

  constructor(length: number) {
    this.#bytes = length === 0 ? EMPTY : Buffer.allocUnsafeSlow(length)
  }

  get size(): number {
    return this.#size
  }

  add(chunk: Buffer): boolean {
    this.#size += chunk.copy(this.#bytes, this.#size)
    return true
  }

  take(): Buffer {
    return this.#bytes.subarray(0, this.#size)
  }

  discard(): void {
    this.#bytes = EMPTY
  }
}

/** Chunked body, of which nothing is known before it arrives. */
class ChunkedBody implements BodyBuffer {
  readonly #buffer: BlockBuffer

  constructor(reservation: ByteReservation) {
    this.#buffer = new BlockBuffer(reservation)
  }

  get size(): number {
    return this.#buffer.size
  }

  add(chunk: Buffer): boolean {
    return this.#buffer.append(chunk)
  }

  take(): Buffer {
    return this.#buffer.take()
  }

  discard(): void {
    this.#buffer.clear()
  }
}

const EMPTY = Buffer.alloc(0)
