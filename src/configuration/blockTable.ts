/** Table of client blocks, stored in sorted typed arrays instead of one object per block. */
import type { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { BlockEdit, BlockRow } from './blockColumns.js'
import { BlockColumns, PACKED_BLOCK_BYTES, comparePrefixes } from './blockColumns.js'
import type { ClientBlock } from './document.js'
import type { BlockErrorKind } from './packedPrefix.js'
import {
  AddressFamily,
  formatPrefix,
  parseAddress,
  parsePrefix,
  prefixKey,
} from './packedPrefix.js'

/** Serialized table for snapshots, in chunks of limited size. */
export interface PackedBlocks {
  readonly siteNames: readonly string[]
  readonly ipv4Count: number
  readonly ipv6Count: number
  /** Base64 text; each chunk holds whole blocks, IPv4 before IPv6. */
  readonly chunks: readonly string[]
}

/** Returned by {@link BlockTable.find} if no block contains the address. */
export const NO_BLOCK = -1

/**
 * Immutable table of client blocks with their site and weight. A change creates new
 * columns of about 30 bytes per block, so that readers of the previous table are not
 * affected. Block indexes are valid for one table only.
 */
export class BlockTable {
  readonly #siteNames: readonly string[]
  readonly #ipv4: BlockColumns
  readonly #ipv6: BlockColumns

  private constructor(siteNames: readonly string[], ipv4: BlockColumns, ipv6: BlockColumns) {
    this.#siteNames = siteNames
    this.#ipv4 = ipv4
    this.#ipv6 = ipv6
  }

  static empty(): BlockTable {
    return new BlockTable(
      [],
      BlockColumns.fromRows(AddressFamily.Ipv4, 0, []),
      BlockColumns.fromRows(AddressFamily.Ipv6, 0, []),
    )
  }

  /** Restores a table from the output of {@link pack}. */
  static unpack(packed: PackedBlocks): BlockTable {
    const bytes = Buffer.concat(packed.chunks.map((chunk) => Buffer.from(chunk, 'base64')))
    const ipv4 = unpackRows(bytes, AddressFamily.Ipv4, 0, packed.ipv4Count)
    const ipv6 = unpackRows(bytes, AddressFamily.Ipv6, packed.ipv4Count, packed.ipv6Count)
    return new BlockTable(
      packed.siteNames,
      BlockColumns.fromRows(AddressFamily.Ipv4, packed.ipv4Count, ipv4),
      BlockColumns.fromRows(AddressFamily.Ipv6, packed.ipv6Count, ipv6),
    )
  }

  /** Number of blocks. Their indexes are 0 to `size - 1`. */
  get size(): number {
    return this.#ipv4.size + this.#ipv6.size
  }

  /**
   * Returns the index of the most specific block that contains a client address, or {@link
   * NO_BLOCK}.
   */
  find(address: string): number {
    const packed = parseAddress(address)
    if (packed === undefined) return NO_BLOCK
    if (packed.family === AddressFamily.Ipv4) return this.#ipv4.find(packed)
    const index = this.#ipv6.find(packed)
    return index === NO_BLOCK ? NO_BLOCK : index + this.#ipv4.size
  }

  siteAt(index: number): string {
    const [columns, position] = this.#locate(index)
    return this.#siteNames[columns.siteIndexAt(position)] ?? ''
  }

  weightAt(index: number): number {
    const [columns, position] = this.#locate(index)
    return columns.weightAt(position)
  }

  /**
   * Returns a 32-bit hash of the block's prefix, which is the same in all processes and revisions.
   */
  hashAt(index: number): number {
    const [columns, position] = this.#locate(index)
    return columns.hashAt(position)
  }

  cidrAt(index: number): string {
    const [columns, position] = this.#locate(index)
    return formatPrefix(columns.rowAt(position))
  }

  /**
   * Returns a new table without the blocks in `remove` and with those in `put`, which replace
   * blocks of the same CIDR.
   */
  withChanges(
    put: readonly ClientBlock[],
    remove: readonly string[],
  ): Result<BlockTable, SteeringError<BlockErrorKind>> {
    const siteNames = [...this.#siteNames]
    const siteIndexes = new Map(siteNames.map((name, index) => [name, index]))
    const edits = new Map<string, BlockEdit>()
    for (const cidr of remove) {
      const prefix = parsePrefix(cidr)
      if (prefix.err) return Err(prefix.val)
      edits.set(prefixKey(prefix.val), prefix.val)
    }
    for (const block of put) {
      const prefix = parsePrefix(block.cidr)
      if (prefix.err) return Err(prefix.val)
      const siteIndex = siteIndexes.get(block.site) ?? siteNames.push(block.site) - 1
      siteIndexes.set(block.site, siteIndex)
      edits.set(prefixKey(prefix.val), { ...prefix.val, siteIndex, weight: block.weight })
    }
    const sortedEdits = [...edits.values()].sort(comparePrefixes)
    const editsOfFamily = (family: AddressFamily): BlockEdit[] =>
      sortedEdits.filter((edit) => edit.family === family)
    return Ok(
      new BlockTable(
        siteNames,
        this.#ipv4.withEdits(editsOfFamily(AddressFamily.Ipv4)),
        this.#ipv6.withEdits(editsOfFamily(AddressFamily.Ipv6)),
      ),
    )
  }

  /** Serializes the table, in chunks of at most `maxChunkLength` characters. */
  pack(maxChunkLength: number): PackedBlocks {
    const bytes = Buffer.alloc(this.size * PACKED_BLOCK_BYTES)
    for (let index = 0; index < this.size; index++) {
      const [columns, position] = this.#locate(index)
      columns.packInto(bytes, index * PACKED_BLOCK_BYTES, position)
    }
    const blocksPerChunk = Math.max(
      1,
      Math.floor((maxChunkLength * 3) / 4 / PACKED_BLOCK_BYTES) - 1,
    )
    const chunkBytes = blocksPerChunk * PACKED_BLOCK_BYTES
    const chunks: string[] = []
    for (let start = 0; start < bytes.length; start += chunkBytes) {
      chunks.push(bytes.subarray(start, start + chunkBytes).toString('base64'))
    }
    return {
      siteNames: this.#siteNames,
      ipv4Count: this.#ipv4.size,
      ipv6Count: this.#ipv6.size,
      chunks,
    }
  }

  #locate(index: number): [columns: BlockColumns, position: number] {
    return index < this.#ipv4.size ? [this.#ipv4, index] : [this.#ipv6, index - this.#ipv4.size]
  }
}

function* unpackRows(
  bytes: Buffer,
  family: AddressFamily,
  firstIndex: number,
  count: number,
): Generator<BlockRow> {
  for (let index = firstIndex; index < firstIndex + count; index++) {
    const offset = index * PACKED_BLOCK_BYTES
    yield {
      family,
      high: bytes.readUInt32BE(offset),
      low: bytes.readUInt32BE(offset + 4),
      weight: bytes.readFloatBE(offset + 8),
      siteIndex: bytes.readUInt16BE(offset + 12),
      length: bytes.readUInt8(offset + 14),
    }
  }
}
