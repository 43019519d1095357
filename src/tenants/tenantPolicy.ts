/** Priority and homes of a request that follow from its route and its tenant together. */
import type { Tenant } from './tenant.js'

/** Priorities of routes are below this, so that they only decide between equal ones of tenants. */
const ROUTE_PRIORITIES = 1024

/** The tenant's priority decides, and the route's among requests of equal tenants. */
export function effectivePriority(routePriority: number, tenant: Tenant | undefined): number {
  if (tenant?.priority === undefined) return routePriority
  return tenant.priority + Math.min(routePriority, ROUTE_PRIORITIES - 1) / ROUTE_PRIORITIES
}

/**
 * Regions that may serve a request; empty: all.
 * @returns `undefined` if the homes of route and tenant exclude each other
 */
export function allowedRegions(
  routeHomes: readonly string[],
  tenant: Tenant | undefined,
): readonly string[] | undefined {
  const tenantHomes = tenant?.homeRegions ?? []
  if (tenantHomes.length === 0) return routeHomes
  if (routeHomes.length === 0) return tenantHomes
  const both = routeHomes.filter((region) => tenantHomes.includes(region))
  return both.length === 0 ? undefined : both
}
