/** Bytes that arrive in pieces, in blocks that are never replaced. */
import type { ByteReservation } from './byteBudget.js'

const MIN_BLOCK_BYTES = 4 * 1024
const MAX_BLOCK_BYTES = 64 * 1024

/**
 * Collects pieces of any size. A block that grew by being replaced would leave its former memory to
 * the garbage collection, as much again as its bytes, where no reservation counts it.
 */
export class BlockBuffer {
  readonly #reservation: ByteReservation
  #blocks: Buffer[] = []
  #size = 0
  #capacity = 0

  /** @param reservation memory for the blocks, including what is not filled yet */
  constructor(reservation: ByteReservation) {
    this.#reservation = reservation
  }

  get size(): number {
    return this.#size
  }

  /** Returns false, and appends nothing, if the reservation does not hold the bytes. */
  append(piece: Buffer): boolean {
    if (!this.#reserve(piece.length)) return false
    let appended = 0
    let free = this.#capacity - this.#size
    while (appended < piece.length) {
      if (free === 0) free = this.#addBlock()
      const block = this.#blocks.at(-1) ?? EMPTY
      const copied = piece.copy(block, block.length - free, appended)
      appended += copied
      free -= copied
    }
    this.#size += appended
    return true
  }

  /**
   * Returns all bytes in one block, whose memory stays reserved. The copy takes as much again until
   * the blocks are collected, for a body that is whole, which a crowd can't keep open.
   */
  take(): Buffer {
    const [first = EMPTY, second] = this.#blocks
    if (second === undefined) return first.subarray(0, this.#size)
    const bytes = Buffer.allocUnsafeSlow(this.#size)
    let copied = 0
    for (const block of this.#blocks) copied += block.copy(bytes, copied)
    this.#reservation.shrink(this.#capacity - this.#size)
    this.#blocks = [bytes]
    this.#capacity = this.#size
    return bytes
  }

  /** Forgets the bytes, and returns the memory of the blocks. */
  clear(): void {
    this.#reservation.shrink(this.#capacity)
    this.#blocks = []
    this.#size = 0
    this.#capacity = 0
  }

  /** Reserves the blocks that {@link append} will add for so many bytes. */
  #reserve(bytes: number): boolean {
    let capacity = this.#capacity
    while (capacity < this.#size + bytes) capacity += nextBlockBytes(capacity)
    return capacity === this.#capacity || this.#reservation.grow(capacity - this.#capacity)
  }

  /** Returns the size of the block, which is reserved. */
  #addBlock(): number {
    const block = Buffer.allocUnsafeSlow(nextBlockBytes(this.#capacity))
    this.#blocks.push(block)
    this.#capacity += block.length
    return block.length
  }
}

/** Small bodies take little more than their bytes. */
function nextBlockBytes(capacity: number): number {
  return Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, capacity))
}

const EMPTY = Buffer.alloc(0)
