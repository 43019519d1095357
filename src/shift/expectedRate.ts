/**
 * Request rates per region that follow from the configuration in force. Unlike measured rates,
 * they include changes whose effect is not measurable yet.
 */
import type { ConfigurationDocument } from '../configuration/document.js'
import { steeringKey } from '../configuration/document.js'
import type { RegionLoadView } from './regionLoad.js'

/** Shares of the callers of `homeRegion` by serving region, after steering and shifts. */
export function servedShares(
  document: ConfigurationDocument,
  service: string,
  homeRegion: string,
): ReadonlyMap<string, number> {
  const steered = document.steering.get(steeringKey(service, homeRegion))?.shares
  const shares = new Map(Object.entries(steered ?? { [homeRegion]: 1 }))
  for (const shift of document.shifts.values()) {
    if (shift.service !== service || shift.from !== homeRegion) continue
    const moved = Math.min(shift.currentShare, shares.get(homeRegion) ?? 0)
    shares.set(homeRegion, (shares.get(homeRegion) ?? 0) - moved)
    shares.set(shift.to, (shares.get(shift.to) ?? 0) + moved)
  }
  return shares
}

/** Requests per second of a service that the configuration assigns to a region. */
export function expectedRate(
  document: ConfigurationDocument,
  loads: RegionLoadView,
  service: string,
  region: string,
): number {
  let rate = 0
  for (const home of document.regions.keys()) {
    const homeRate = loads.load(home, service)?.homeRequestsPerSecond ?? 0
    rate += homeRate * (servedShares(document, service, home).get(region) ?? 0)
  }
  return rate
}
