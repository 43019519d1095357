/**
 * Fixed-size memory of identifiers that were refused while the ledger was full.
 * It may report an identifier that was never refused, which only refuses an
 * operation that has not run; it never forgets one that can still be accepted.
 */
import { hashText } from '../common/hashing.js'

const HASH_COUNT = 4

interface Generation {
  readonly bits: Uint8Array
  /** No identifier in this generation is acceptable after this time. */
  acceptUntilMs: number
}

/** Bloom filter in two generations; a generation is reused once all its identifiers expired. */
export class RefusedIdentifiers {
  readonly #bitCount: number
  #current: Generation
  #previous: Generation

  /** @param bytes memory per generation */
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

  /** Tells whether the identifier may have been refused. */
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
