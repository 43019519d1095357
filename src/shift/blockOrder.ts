/** Deterministic pseudo-random order of a region's client address blocks, weighted by traffic. */
import type { BlockTable } from '../configuration/blockTable.js'

/** Resolution of 1/4096; all blocks of a bucket have the same position and move together. */
const BUCKET_COUNT = 4096
const BUCKET_HASH_SHIFT = 20

/** Hash of a block within an order; identical in every process. */
export function orderHash(blockHash: number, seed: number): number {
  let mixed = (blockHash ^ seed) >>> 0
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/**
 * Position of each block, as the share of the region's traffic up to and including the block.
 * Blocks with a position of at most `x` carry at most the share `x`, and a larger `x` only adds
 * blocks.
 */
export class BlockOrder {
  readonly #seed: number
  readonly #positions: Float64Array

  /**
   * @param seed hash of the name of the order, for example of a shift identifier
   * @param bucketWeights traffic weight of each bucket
   */
  constructor(seed: number, bucketWeights: Float64Array) {
    this.#seed = seed
    this.#positions = cumulativeShares(bucketWeights)
  }

  /** Creates the order of the blocks whose site belongs to the region. */
  static ofRegion(
    blocks: BlockTable,
    isInRegion: (site: string) => boolean,
    seed: number,
  ): BlockOrder {
    const weights = new Float64Array(BUCKET_COUNT)
    for (let index = 0; index < blocks.size; index++) {
      if (!isInRegion(blocks.siteAt(index))) continue
      const bucket = orderHash(blocks.hashAt(index), seed) >>> BUCKET_HASH_SHIFT
      weights[bucket] = (weights[bucket] ?? 0) + blocks.weightAt(index)
    }
    return new BlockOrder(seed, weights)
  }

  /** Position of a block, above 0 and at most 1. */
  positionOf(blockHash: number): number {
    return this.#positions[orderHash(blockHash, this.#seed) >>> BUCKET_HASH_SHIFT] ?? 1
  }
}

function cumulativeShares(weights: Float64Array): Float64Array {
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  let sum = 0
  return weights.map((weight, index) => {
    sum += weight
    // Without weights, and for clients outside all blocks, all buckets have the same weight.
    return total > 0 ? Math.min(1, sum / total) : (index + 1) / weights.length
  })
}
