/**
 * Fixed-size set of identifiers that were refused while the ledger was full. A false positive
 * only refuses an operation that has not run. There are no false negatives for identifiers that
 * are still acceptable.
 */
import { hashText } from '../common/hashing.js'

const HASH_COUNT = 4

interface Generation {
  readonly bits: Uint8Array
  /** Time after which no identifier of this generation is acceptable any more. */
  acceptUntilMs: number
}

/** Bloom filter with two generations; one is cleared and reused once its identifiers expired. */
export class RefusedIdentifiers {
  readonly #bitCount: number
  #current: Generation
  #previous: Generation

  /** @param bytes size of the bit set of each generation */
  constructor(bytes: number) {
    this.#bitCount = bytes * 8
    this.#current = { bits: new Uint8Array(bytes), acceptUntilMs: 0 }
    this.#previous = { bits: new Uint8Array(bytes), acceptUntilMs: 0 }
  }

  /** Records a refusal of an identifier that is acceptable until `acceptUntilMs`. */
  add(identifier: string, acceptUntilMs: number, nowMs: number): void {
    this.#rotate(nowMs)
    for (const bit of this.#positions(identifier)) {
      this.#current.bits[bit >>> 3] = (this.#current.bits[bit >>> 3] ?? 0) | (1 << (bit & 7))
    }
    this.#current.acceptUntilMs = Math.max(this.#current.acceptUntilMs, acceptUntilMs)
  }

  /** False if the identifier was certainly not refused. */
  has(identifier: string): boolean {
    if (this.#current.acceptUntilMs === 0 && this.#previous.acceptUntilMs === 0) return false
    const positions = this.#positions(identifier)
    return [this.#current, this.#previous].some((generation) =>
      positions.every((bit) => ((generation.bits[bit >>> 3] ?? 0) & (1 << (bit & 7))) !== 0),
    )
  }

  #rotate(nowMs: number): void {
    if (nowMs <= this.#previous.acceptUntilMs || this.#current.acceptUntilMs === 0) return
    const reused = this.#previous
    reused.bits.fill(0)
    reused.acceptUntilMs = 0
    this.#previous = this.#current
    this.#current = reused
  }

  #positions(identifier: string): number[] {
    return Array.from(
      { length: HASH_COUNT },
      (_, index) => hashText(identifier, index) % this.#bitCount,
    )
  }
}
