/** Load patterns of several regions, replayed on the coordinators. */
import { expect } from 'chai'
import type { RegionResult } from '../../../testing/regionSimulation.js'
import { simulateRegions } from '../../../testing/regionSimulation.js'

const SLOTS = 4
const CACHED_MS = 144
/** Mean duration on a server that has the object cached, including stragglers. */
const MEAN_CACHED_MS = CACHED_MS * (0.97 + 0.03 * 7)
const SERVERS = { first: 6, second: 8, few: 2 }
const SERVER_COUNT = SERVERS.first + SERVERS.second + SERVERS.few
/** Requests per second that all slots can serve if every object is cached on every server. */
const CAPACITY_PER_SECOND = (SERVER_COUNT * SLOTS * 1000) / MEAN_CACHED_MS
/** Ratio that operators require between deployments of different size, applied to regions. */
const REQUIRED_RATIO = 0.7

/** Load that rises and falls by half, as over a day; the same in each region. */
function simulateEvenLoad(load: number, seed: number) {
  const mean = (CAPACITY_PER_SECOND * load) / Object.keys(SERVERS).length
  const rateAt = (second: number): number => mean * (1 + 0.55 * Math.sin((Math.PI * second) / 18))
  return simulateRegions({
    seed,
    regions: Object.entries(SERVERS).map(([name, servers]) => ({ name, servers, rateAt })),
    model: { cacheSize: 35, cachedMs: CACHED_MS, uncachedMs: 480 },
    slots: SLOTS,
    objects: 48,
    latencyMs: 55,
    targetMs: 400,
    deadlineMs: 2500,
    seconds: 32,
  })
}

function servedShare(result: RegionResult | undefined): number {
  if (result === undefined) throw new Error('the simulation has no such region')
  return (result.inTime + result.late) / result.requests
}

describe('regions with uneven numbers of servers', () => {
  for (const load of [0.65, 0.8, 0.95]) {
    describe(`at ${load} of the capacity`, () => {
      // Retries that count as demand, and a share of requests that never run, left lent slots idle.
      it('serve callers of the region with few servers nearly as often as others', () => {
        for (const seed of [1, 2, 3]) {
          const { regions } = simulateEvenLoad(load, seed)
          const [few, ...others] = ['few', 'first', 'second'].map((name) =>
            servedShare(regions.get(name)),
          )
          for (const other of others) expect((few ?? 0) / other).to.be.above(REQUIRED_RATIO)
        }
      })
    })
  }
})
