/** Configuration of the steering model: one service in three regions with two sites each. */
import type { BlockTable } from '../src/configuration/blockTable.js'
import type { ShiftRecord } from '../src/configuration/document.js'
import type { Configuration } from '../src/configuration/view.js'

export const MODEL_SERVICE = 'reveals'
const REGION_NAMES = ['east', 'north', 'west']

/** Creates a configuration revision with the given blocks and shifts. */
export function createModelConfiguration(
  revision: number,
  blocks: BlockTable,
  shifts: readonly ShiftRecord[],
): Configuration {
  const zonesOf = (region: string): string[] => [0, 1].map((index) => `${region}-${String(index)}`)
  const sites = REGION_NAMES.flatMap((region) =>
    zonesOf(region).map((zone) => ({ name: zone, region, zone })),
  )
  const service = {
    name: MODEL_SERVICE,
    priority: 1,
    idempotentMethods: ['GET'],
    workers: [],
    maxQueued: 100,
    defaultTimeoutMs: 1000,
    maxRequestBytes: 1000,
    maxResponseBytes: 1000,
    typicalResponseBytes: 1000,
    linkWeight: 1,
  }
  return {
    revision,
    blocks,
    document: {
      regions: new Map(REGION_NAMES.map((name) => [name, { name, zones: zonesOf(name) }])),
      links: new Map(),
      sites: new Map(sites.map((site) => [site.name, site])),
      services: new Map([[MODEL_SERVICE, service]]),
      steering: new Map(),
      shifts: new Map(shifts.map((shift) => [shift.shiftId, shift])),
      leaving: new Map(),
    },
  }
}
