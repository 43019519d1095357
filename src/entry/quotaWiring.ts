/** Connects the quotas of tenants to the links, the members and the configuration of an instance. */
import type { QuotaStats } from '../quotas/tenantQuotas.js'
import { TenantQuotas } from '../quotas/tenantQuotas.js'
import { QuotaRefusal } from '../quotas/quotaMessages.js'
import type { InstanceTable } from './instanceTable.js'
import { coordinatorOrder } from './instanceTable.js'
import type { RoutingView } from './routingView.js'
import type { PeerSender } from './slotClient.js'

/** Name by which the keepers of quotas are chosen, as coordinators are by the name of a service. */
const QUOTA_KEEPER = 'tenant quotas'

export interface QuotaWiring {
  readonly table: InstanceTable
  readonly routing: RoutingView
  readonly peers: PeerSender
  /** All regions of the deployment. */
  readonly regions: readonly string[]
  /** Requests beyond a quota that operators accept in a window. */
  readonly slack: number
}

export function createTenantQuotas(wiring: QuotaWiring, nowMs: number): TenantQuotas {
  const { table, routing, peers, regions, slack } = wiring
  return new TenantQuotas(
    {
      selfName: table.self.name,
      region: table.self.region,
      slack,
      regions: () => regions,
      keeperOf: (region, atMs, excluded) => keeperOf(wiring, region, atMs, excluded),
      instanceCount: () => table.countForQuotas(),
      hasQuotas: () => routing.current?.tenants?.hasQuotas === true,
      quotaOf: (tenant) => routing.current?.tenants?.findByName(tenant)?.quota,
      send: (peer, message) => peers.send(peer, message),
    },
    nowMs,
  )
}

/** Instance that gives out the quotas of a region; in the own one, this one if it reaches no other. */
function keeperOf(
  { table, peers }: QuotaWiring,
  region: string,
  nowMs: number,
  excluded?: string,
): string | undefined {
  const { self } = table
  const order = coordinatorOrder(QUOTA_KEEPER, table.liveInstances(region, nowMs))
  const candidates = order.filter(({ name }) => name !== excluded)
  if (region !== self.region) return candidates[0]?.name
  const reached = candidates.find(({ name }) => name === self.name || peers.isUp(name))
  return reached?.name ?? self.name
}

/** Fields of the log line of a keeper; `undefined` at an instance that keeps no tenants. */
export function quotaLogFields({ share, largest, refused, ...counts }: QuotaStats) {
  if (counts.keptTenants === 0 || share === 0) return undefined
  return {
    ...counts,
    overLimit: refused[QuotaRefusal.OverLimit],
    undecided: refused[QuotaRefusal.Undecided],
    share: Math.round(share * 1000) / 1000,
    largest: largest.map(
      ({ tenant, demand, granted, tokens, limit }) =>
        `${tenant}: ${Math.round(granted)}/s of ${Math.round(demand)}/s, ` +
        `${Math.round(tokens)} of ${Math.round(limit)} tokens`,
    ),
  }
}
