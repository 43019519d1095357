/** Bytes that arrive in pieces, in one block of memory that grows. */
import type { ByteReservation } from './byteBudget.js'

const MIN_CAPACITY_BYTES = 512
/** Bytes after which an expected size is reserved at once, which saves copies of large blocks. */
const TRUSTED_START_BYTES = 64 * 1024
/** Pieces up to this size are copied faster byte by byte than by a call. */
const SMALL_PIECE_BYTES = 24

/**
 * Collects pieces of any size. A list of pieces would cost an object each beside their bytes, many
 * times as much memory as a piece of a few bytes itself.
 */
export class GrowableBuffer {
  readonly #reservation: ByteReservation
  #bytes = EMPTY
  #size = 0

  /** @param reservation memory for the block, including what is not filled yet */
  constructor(reservation: ByteReservation) {
    this.#reservation = reservation
  }

  get size(): number {
    return this.#size
  }

  /**
   * Appends a part of `source`.
   * @param expectedBytes size of the whole, if known, beyond which the block does not grow early
   * @returns false, and appends nothing, if the reservation does not hold the bytes
   */
  append(source: Buffer, start: number, length: number, expectedBytes?: number): boolean {
    if (length === 0) return true
    const size = this.#size + length
    if (size > this.#bytes.length && !this.#grow(size, expectedBytes)) return false
    const bytes = this.#bytes
    if (length > SMALL_PIECE_BYTES) source.copy(bytes, this.#size, start, start + length)
    else {
      for (let offset = 0; offset < length; offset += 1) {
        bytes[this.#size + offset] = source[start + offset] ?? 0
      }
    }
    this.#size = size
    return true
  }

  /** The bytes so far; shares the memory of the block. */
  view(): Buffer {
    return this.#bytes.subarray(0, this.#size)
  }

  /** Forgets the bytes, and returns the memory of the block. */
  clear(): void {
    this.#reservation.shrink(this.#bytes.length)
    this.#bytes = EMPTY
    this.#size = 0
  }

  #grow(neededBytes: number, expectedBytes: number | undefined): boolean {
    const capacity = this.#nextCapacity(neededBytes, expectedBytes)
    // Both blocks exist while the bytes are copied.
    if (!this.#reservation.grow(capacity)) return false
    const previous = this.#bytes
    this.#bytes = Buffer.allocUnsafeSlow(capacity)
    previous.copy(this.#bytes, 0, 0, this.#size)
    this.#reservation.shrink(previous.length)
    return true
  }

  #nextCapacity(neededBytes: number, expectedBytes = Number.POSITIVE_INFINITY): number {
    const doubled = Math.max(MIN_CAPACITY_BYTES, 2 * this.#bytes.length, neededBytes)
    const isTrusted = Number.isFinite(expectedBytes) && neededBytes >= TRUSTED_START_BYTES
    return Math.max(neededBytes, isTrusted ? expectedBytes : Math.min(doubled, expectedBytes))
  }
}

const EMPTY = Buffer.alloc(0)
