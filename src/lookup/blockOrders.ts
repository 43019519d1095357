/** Caches the block orders that the shifts and steering records of a configuration need. */
import { hashText } from '../common/hashing.js'
import type { Configuration } from '../configuration/view.js'
import { BlockOrder } from '../shift/blockOrder.js'

/** Name of the order in which steering shares and spill-over divide the blocks of a region. */
export const COMMON_ORDER = 'common'

/**
 * Block orders by region and name. They are built when a revision arrives and not on the
 * first look-up, because one order of 620,000 blocks takes tens of milliseconds. They are
 * reused while blocks and sites are unchanged.
 */
export class BlockOrders {
  #configuration: Configuration | undefined
  #orders = new Map<string, BlockOrder>()

  /** Builds the orders that the revision needs, and reuses existing ones where possible. */
  prepare(configuration: Configuration): void {
    const isReusable =
      this.#configuration?.blocks === configuration.blocks &&
      this.#configuration.document.sites === configuration.document.sites
    const reusable = isReusable ? this.#orders : new Map<string, BlockOrder>()
    this.#configuration = configuration
    this.#orders = new Map()
    for (const [region, name] of neededOrders(configuration)) {
      const key = orderKey(region, name)
      this.#orders.set(key, reusable.get(key) ?? buildOrder(configuration, region, name))
    }
  }

  /** Returns an order; builds it if {@link prepare} has not. */
  order(configuration: Configuration, region: string, name: string): BlockOrder {
    if (this.#configuration !== configuration) this.prepare(configuration)
    const key = orderKey(region, name)
    const order = this.#orders.get(key) ?? buildOrder(configuration, region, name)
    this.#orders.set(key, order)
    return order
  }
}

function orderKey(region: string, name: string): string {
  return `${region}\n${name}`
}

function neededOrders({ document }: Configuration): [region: string, name: string][] {
  const shifts = [...document.shifts.values()].map(({ from, shiftId }): [string, string] => [
    from,
    shiftId,
  ])
  const regions = [...document.regions.keys()].map((name): [string, string] => [name, COMMON_ORDER])
  return [...shifts, ...regions]
}

function buildOrder({ blocks, document }: Configuration, region: string, name: string): BlockOrder {
  return BlockOrder.ofRegion(
    blocks,
    (site) => document.sites.get(site)?.region === region,
    hashText(name),
  )
}
