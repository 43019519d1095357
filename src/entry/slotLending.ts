/** Slot lending between regions, computed from the demand and the capacity of all regions. */
import { hashText } from '../common/hashing.js'
import type { LentSlots } from './peerMessages.js'

/** Demand and capacity of one region for one service. */
export interface RegionDemand {
  readonly region: string
  /** Mean number of slots that the requests of the region need. */
  readonly neededSlots: number
  readonly slots: number
}

/** Upper bound of slots per needed slot; further headroom is of no use. */
const MAX_SLOTS_PER_NEEDED_SLOT = 1.5

/**
 * Number of slots that region `lender` lends to each other region. Every region is entitled
 * to slots in proportion to its need, up to a bound; regions with more slots lend their
 * surplus to regions with fewer. All regions compute the same result from the same demands,
 * and only the result of the lender is used.
 */
export function slotsToLend(
  lender: string,
  demands: readonly RegionDemand[],
): ReadonlyMap<string, number> {
  const lent = new Map<string, number>()
  const totalSlots = demands.reduce((sum, { slots }) => sum + slots, 0)
  const totalNeed = demands.reduce((sum, { neededSlots }) => sum + neededSlots, 0)
  if (totalNeed <= 0) return lent
  const slotsPerNeededSlot = Math.min(totalSlots / totalNeed, MAX_SLOTS_PER_NEEDED_SLOT)
  const balances = demands.map((demand) => ({
    region: demand.region,
    slots: demand.slots - demand.neededSlots * slotsPerNeededSlot,
  }))
  const ownSurplus = balances.find(({ region }) => region === lender)?.slots ?? 0
  const totalSurplus = balances.reduce((sum, { slots }) => sum + Math.max(0, slots), 0)
  if (ownSurplus <= 0 || totalSurplus <= 0) return lent
  for (const { region, slots } of balances) {
    if (slots >= 0) continue
    const count = Math.floor((-slots * ownSurplus) / totalSurplus + 0.25)
    if (count > 0) lent.set(region, count)
  }
  return lent
}

/** A backend server whose slots may be lent. */
export interface LendableServer {
  readonly id: string
  readonly slots: number
  /** Slots that can be in use on average, less than all if the server states a limit. */
  readonly usableSlots: number
}

/**
 * Chooses the lent slots server by server, in an order that depends only on the borrower and
 * the server, so that a changed count moves few slots. Whole servers are lent, because each
 * region requests its own objects: a server shared by two regions would evict the cached
 * objects of both. A server with a limit is lent whole or not at all, so that one coordinator
 * spends the limit.
 * @param alreadyLent slots already lent, by server
 */
export function chooseLentSlots(
  borrower: string,
  count: number,
  servers: readonly LendableServer[],
  alreadyLent: ReadonlyMap<string, number>,
): LentSlots[] {
  const ordered = servers
    .map((server) => ({ server, order: hashText(`${borrower}\n${server.id}`) }))
    .sort((left, right) => left.order - right.order)
  const chosen: LentSlots[] = []
  let remaining = count
  for (const { server } of ordered) {
    if (remaining <= 0) break
    const lentSlots = alreadyLent.get(server.id) ?? 0
    if (server.usableSlots < server.slots) {
      if (lentSlots > 0 || server.usableSlots > remaining) continue
      remaining -= server.usableSlots
      chosen.push({ serverId: server.id, slots: server.slots })
      continue
    }
    const slots = Math.min(Math.floor(remaining), server.slots - lentSlots)
    if (slots <= 0) continue
    remaining -= slots
    chosen.push({ serverId: server.id, slots })
  }
  return chosen
}
