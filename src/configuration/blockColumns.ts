/** Columnar storage of the client blocks of one address family. */
import { hashBytes } from '../common/hashing.js'
import type { AddressFamily, PackedAddress, PackedPrefix } from './packedPrefix.js'
import { wordMask } from './packedPrefix.js'

/** Serialized size of a block in bytes: high, low and weight (4 each), site (2), length (1). */
export const PACKED_BLOCK_BYTES = 15
const NO_PARENT = -1
/** High and low word (4 bytes each), length and family (1 each). */
const HASH_KEY_BYTES = 10

/** A block with the index of its site. */
export interface BlockRow extends PackedPrefix {
  readonly siteIndex: number
  readonly weight: number
}

/** Orders prefixes by first address, and shorter before longer prefixes. */
export function comparePrefixes(left: PackedPrefix, right: PackedPrefix): number {
  return left.high - right.high || left.low - right.low || left.length - right.length
}

/** A change of a block: a row adds or replaces it, a prefix without values removes it. */
export type BlockEdit = BlockRow | PackedPrefix

/** Tells whether an edit adds or replaces a block. */
export function isPut(edit: BlockEdit): edit is BlockRow {
  return 'siteIndex' in edit
}

/** Columns that depend on the prefixes only; tables that differ in sites and weights share them. */
interface PrefixArrays {
  readonly high: Uint32Array
  readonly low: Uint32Array
  readonly length: Uint8Array
  readonly hash: Uint32Array
  /**
   * Index of the most specific block that encloses each block, or -1. A search follows it from a
   * block that does not contain the address to the enclosing blocks.
   */
  readonly parent: Int32Array
}

interface ValueArrays {
  readonly site: Uint16Array
  readonly weight: Float32Array
}

/** Blocks of one family in the order of {@link comparePrefixes}. Immutable after construction. */
export class BlockColumns {
  readonly family: AddressFamily
  readonly #high: Uint32Array
  readonly #low: Uint32Array
  readonly #length: Uint8Array
  readonly #site: Uint16Array
  readonly #weight: Float32Array
  readonly #hash: Uint32Array
  readonly #parent: Int32Array

  private constructor(family: AddressFamily, prefixes: PrefixArrays, values: ValueArrays) {
    this.family = family
    this.#high = prefixes.high
    this.#low = prefixes.low
    this.#length = prefixes.length
    this.#hash = prefixes.hash
    this.#parent = prefixes.parent
    this.#site = values.site
    this.#weight = values.weight
  }

  /** @param rows `count` sorted rows without duplicates */
  static fromRows(family: AddressFamily, count: number, rows: Iterable<BlockRow>): BlockColumns {
    const columns = new BlockColumns(family, newPrefixArrays(count), newValueArrays(count))
    const key = Buffer.alloc(HASH_KEY_BYTES)
    let index = 0
    for (const row of rows) columns.#writeRow(index++, row, key)
    columns.#computeParents()
    return columns
  }

  /**
   * Returns new columns with sorted edits of distinct prefixes applied. Copies ranges of the
   * arrays, without an object per block.
   */
  withEdits(edits: readonly BlockEdit[]): BlockColumns {
    if (edits.length === 0) return this
    const positions = edits.map((edit) => this.#lowerBound(edit))
    const isPresent = edits.map((edit, editIndex) =>
      this.#hasPrefixAt(positions[editIndex] ?? 0, edit),
    )
    if (edits.every((edit, editIndex) => isPresent[editIndex] === true && isPut(edit))) {
      return this.#withValues(edits as readonly BlockRow[], positions)
    }
    const added = edits.filter(
      (edit, editIndex) => isPut(edit) && isPresent[editIndex] === false,
    ).length
    const removed = edits.filter(
      (edit, editIndex) => !isPut(edit) && isPresent[editIndex] === true,
    ).length
    const count = this.size + added - removed
    const result = new BlockColumns(this.family, newPrefixArrays(count), newValueArrays(count))
    result.#merge(this, edits, positions, isPresent)
    result.#computeParents()
    return result
  }

  get size(): number {
    return this.#high.length
  }

  siteIndexAt(index: number): number {
    return this.#site[index] ?? 0
  }

  weightAt(index: number): number {
    return this.#weight[index] ?? 0
  }

  /** Returns a 32-bit hash of the prefix, independent of index, site and weight. */
  hashAt(index: number): number {
    return this.#hash[index] ?? 0
  }

  rowAt(index: number): BlockRow {
    return {
      family: this.family,
      high: this.#high[index] ?? 0,
      low: this.#low[index] ?? 0,
      length: this.#length[index] ?? 0,
      siteIndex: this.siteIndexAt(index),
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

  /** Writes block `index` to `target` in {@link PACKED_BLOCK_BYTES} bytes. */
  packInto(target: Buffer, offset: number, index: number): void {
    target.writeUInt32BE(this.#high[index] ?? 0, offset)
    target.writeUInt32BE(this.#low[index] ?? 0, offset + 4)
    target.writeFloatBE(this.weightAt(index), offset + 8)
    target.writeUInt16BE(this.siteIndexAt(index), offset + 12)
    target.writeUInt8(this.#length[index] ?? 0, offset + 14)
  }

  /** Replaces the site and weight of existing blocks. */
  #withValues(rows: readonly BlockRow[], positions: readonly number[]): BlockColumns {
    const values = { site: this.#site.slice(), weight: this.#weight.slice() }
    for (const [rowIndex, row] of rows.entries()) {
      const position = positions[rowIndex] ?? 0
      values.site[position] = row.siteIndex
      values.weight[position] = row.weight
    }
    const prefixes = {
      high: this.#high,
      low: this.#low,
      length: this.#length,
      hash: this.#hash,
      parent: this.#parent,
    }
    return new BlockColumns(this.family, prefixes, values)
  }

  #merge(
    base: BlockColumns,
    edits: readonly BlockEdit[],
    positions: readonly number[],
    isPresent: readonly boolean[],
  ): void {
    const key = Buffer.alloc(HASH_KEY_BYTES)
    let sourceIndex = 0
    let targetIndex = 0
    for (const [editIndex, edit] of edits.entries()) {
      const position = positions[editIndex] ?? 0
      this.#copyRange(base, sourceIndex, position, targetIndex)
      targetIndex += position - sourceIndex
      sourceIndex = position + (isPresent[editIndex] === true ? 1 : 0)
      if (isPut(edit)) this.#writeRow(targetIndex++, edit, key)
    }
    this.#copyRange(base, sourceIndex, base.size, targetIndex)
  }

  #copyRange(base: BlockColumns, start: number, end: number, targetStart: number): void {
    this.#high.set(base.#high.subarray(start, end), targetStart)
    this.#low.set(base.#low.subarray(start, end), targetStart)
    this.#length.set(base.#length.subarray(start, end), targetStart)
    this.#site.set(base.#site.subarray(start, end), targetStart)
    this.#weight.set(base.#weight.subarray(start, end), targetStart)
    this.#hash.set(base.#hash.subarray(start, end), targetStart)
  }

  #writeRow(index: number, row: BlockRow, key: Buffer): void {
    this.#high[index] = row.high
    this.#low[index] = row.low
    this.#length[index] = row.length
    this.#site[index] = row.siteIndex
    this.#weight[index] = row.weight
    this.#hash[index] = hashRow(row, key)
  }

  /**
   * In sort order, the parent of a block is the previous block or an ancestor of the previous
   * block.
   */
  #computeParents(): void {
    for (let index = 0; index < this.size; index++) {
      let parent = index - 1
      while (parent >= 0 && !this.#encloses(parent, index)) {
        parent = this.#parent[parent] ?? NO_PARENT
      }
      this.#parent[index] = parent
    }
  }

  #lowerBound(prefix: PackedPrefix): number {
    let low = 0
    let high = this.size
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.#compareAt(middle, prefix) < 0) low = middle + 1
      else high = middle
    }
    return low
  }

  #hasPrefixAt(index: number, prefix: PackedPrefix): boolean {
    return index < this.size && this.#compareAt(index, prefix) === 0
  }

  #compareAt(index: number, prefix: PackedPrefix): number {
    return (
      (this.#high[index] ?? 0) - prefix.high ||
      (this.#low[index] ?? 0) - prefix.low ||
      (this.#length[index] ?? 0) - prefix.length
    )
  }

  #startsAfter(index: number, address: PackedAddress): boolean {
    const high = this.#high[index] ?? 0
    return high === address.high ? (this.#low[index] ?? 0) > address.low : high > address.high
  }

  #contains(index: number, address: PackedAddress): boolean {
    return this.#covers(index, address.high, address.low)
  }

  #encloses(outer: number, inner: number): boolean {
    return this.#covers(outer, this.#high[inner] ?? 0, this.#low[inner] ?? 0)
  }

  #covers(index: number, high: number, low: number): boolean {
    const length = this.#length[index] ?? 0
    return (
      (high & wordMask(length)) >>> 0 === this.#high[index] &&
      (low & wordMask(length - 32)) >>> 0 === this.#low[index]
    )
  }
}

function newPrefixArrays(count: number): PrefixArrays {
  return {
    high: new Uint32Array(count),
    low: new Uint32Array(count),
    length: new Uint8Array(count),
    hash: new Uint32Array(count),
    parent: new Int32Array(count),
  }
}

function newValueArrays(count: number): ValueArrays {
  return { site: new Uint16Array(count), weight: new Float32Array(count) }
}

function hashRow(row: PackedPrefix, key: Buffer): number {
  key.writeUInt32BE(row.high, 0)
  key.writeUInt32BE(row.low, 4)
  key.writeUInt8(row.length, 8)
  key.writeUInt8(row.family, 9)
  return hashBytes(key)
}
