/** Sorted columns of the client blocks of one address family. */
import { hashBytes } from '../common/hashing.js'
import type { AddressFamily, PackedAddress, PackedPrefix } from './packedPrefix.js'
import { wordMask } from './packedPrefix.js'

/** Bytes of one block in its packed form: high, low, weight (4 each), site (2), length (1). */
export const PACKED_BLOCK_BYTES = 15
const NO_PARENT = -1

/** Values of one block. */
export interface BlockRow extends PackedPrefix {
  readonly siteIndex: number
  readonly weight: number
}

/** Compares prefixes by first address, then wider before narrower. */
export function comparePrefixes(left: PackedPrefix, right: PackedPrefix): number {
  return left.high - right.high || left.low - right.low || left.length - right.length
}

/** Blocks of one family in the order of {@link comparePrefixes}; immutable after construction. */
export class BlockColumns {
  readonly family: AddressFamily
  readonly #high: Uint32Array
  readonly #low: Uint32Array
  readonly #length: Uint8Array
  readonly #site: Uint16Array
  readonly #weight: Float32Array
  readonly #hash: Uint32Array
  /** Index of the narrowest block around each block; leads from a miss to the enclosing blocks. */
  readonly #parent: Int32Array

  /** @param rows sorted rows without duplicates; `count` of them are consumed */
  constructor(family: AddressFamily, count: number, rows: Iterable<BlockRow>) {
    this.family = family
    this.#high = new Uint32Array(count)
    this.#low = new Uint32Array(count)
    this.#length = new Uint8Array(count)
    this.#site = new Uint16Array(count)
    this.#weight = new Float32Array(count)
    this.#hash = new Uint32Array(count)
    this.#parent = new Int32Array(count)
    this.#fill(rows)
  }

  get size(): number {
    return this.#high.length
  }

  siteAt(index: number): number {
    return this.#site[index] ?? 0
  }

  weightAt(index: number): number {
    return this.#weight[index] ?? 0
  }

  /** 32-bit hash of the prefix; independent of its place, site and weight. */
  hashAt(index: number): number {
    return this.#hash[index] ?? 0
  }

  rowAt(index: number): BlockRow {
    return {
      family: this.family,
      high: this.#high[index] ?? 0,
      low: this.#low[index] ?? 0,
      length: this.#length[index] ?? 0,
      siteIndex: this.siteAt(index),
      weight: this.weightAt(index),
    }
  }

  /** Returns the index of the most specific block that contains the address, or -1. */
  find(address: PackedAddress): number {
    let low = 0
    let high = this.size
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.#startsAfter(middle, address)) high = middle
      else low = middle + 1
    }
    let index = low - 1
    while (index >= 0 && !this.#contains(index, address)) index = this.#parent[index] ?? NO_PARENT
    return index
  }

  /** Writes block `index` in {@link PACKED_BLOCK_BYTES} bytes. */
  packInto(target: Buffer, offset: number, index: number): void {
    target.writeUInt32BE(this.#high[index] ?? 0, offset)
    target.writeUInt32BE(this.#low[index] ?? 0, offset + 4)
    target.writeFloatBE(this.weightAt(index), offset + 8)
    target.writeUInt16BE(this.siteAt(index), offset + 12)
    target.writeUInt8(this.#length[index] ?? 0, offset + 14)
  }

  #fill(rows: Iterable<BlockRow>): void {
    const enclosing: number[] = []
    const key = Buffer.alloc(10)
    let index = 0
    for (const row of rows) {
      this.#high[index] = row.high
      this.#low[index] = row.low
      this.#length[index] = row.length
      this.#site[index] = row.siteIndex
      this.#weight[index] = row.weight
      this.#hash[index] = hashRow(row, key)
      let parent = enclosing.at(-1)
      while (parent !== undefined && !this.#contains(parent, row)) {
        enclosing.pop()
        parent = enclosing.at(-1)
      }
      this.#parent[index] = parent ?? NO_PARENT
      enclosing.push(index)
      index++
    }
  }

  #startsAfter(index: number, address: PackedAddress): boolean {
    const high = this.#high[index] ?? 0
    return high === address.high ? (this.#low[index] ?? 0) > address.low : high > address.high
  }

  #contains(index: number, address: PackedAddress): boolean {
    const length = this.#length[index] ?? 0
    return (
      (address.high & wordMask(length)) >>> 0 === this.#high[index] &&
      (address.low & wordMask(length - 32)) >>> 0 === this.#low[index]
    )
  }
}

function hashRow(row: PackedPrefix, key: Buffer): number {
  key.writeUInt32BE(row.high, 0)
  key.writeUInt32BE(row.low, 4)
  key.writeUInt8(row.length, 8)
  key.writeUInt8(row.family, 9)
  return hashBytes(key)
}
