/** Measures the rate of requests that this gateway runs, by service and home region. */
import type { ServiceDispatchLoad } from '../slots/dispatchCounters.js'
import type { ServiceSummary } from '../shift/regionLoadTable.js'

const BUCKET_MS = 500
/**
 * The window has to cover a rate of a few requests per second and stay below the age at which
 * loads are ignored.
 */
const WINDOW_BUCKETS = 5

/** Request counts by home region. */
type RegionCounts = Map<string, number>

/** Counts arrivals in a sliding window of time buckets. */
export class ArrivalMeter {
  /** Service name -> index of the time bucket -> counts. */
  readonly #buckets = new Map<string, Map<number, RegionCounts>>()

  /** Counts one request that runs in this region. */
  record(service: string, homeRegion: string, nowMs: number): void {
    const index = Math.floor(nowMs / BUCKET_MS)
    const buckets = this.#buckets.get(service) ?? new Map<number, RegionCounts>()
    this.#buckets.set(service, buckets)
    const counts = buckets.get(index) ?? addBucket(buckets, index)
    counts.set(homeRegion, (counts.get(homeRegion) ?? 0) + 1)
  }

  /** Requests per second by home region, over the completed buckets of the window. */
  homeRates(service: string, nowMs: number): Readonly<Record<string, number>> {
    const currentIndex = Math.floor(nowMs / BUCKET_MS)
    const rates: Record<string, number> = {}
    for (const [index, counts] of this.#buckets.get(service) ?? []) {
      if (index >= currentIndex || index < currentIndex - WINDOW_BUCKETS) continue
      for (const [region, count] of counts) {
        rates[region] = (rates[region] ?? 0) + (count * 1000) / (WINDOW_BUCKETS * BUCKET_MS)
      }
    }
    return rates
  }
}

/** Adds a bucket and drops those outside the window on either side: the clock may be set back. */
function addBucket(buckets: Map<number, RegionCounts>, index: number): RegionCounts {
  for (const existing of buckets.keys()) {
    if (Math.abs(index - existing) > WINDOW_BUCKETS) buckets.delete(existing)
  }
  const counts: RegionCounts = new Map()
  buckets.set(index, counts)
  return counts
}

/** Builds the load report that this gateway sends to its aggregator, one entry per service. */
export function summarizeLoad(
  arrivals: ArrivalMeter,
  loads: readonly ServiceDispatchLoad[],
  nowMs: number,
): readonly ServiceSummary[] {
  return loads.map((load) => {
    const homeRates = arrivals.homeRates(load.service, nowMs)
    return {
      service: load.service,
      requestsPerSecond: Object.values(homeRates).reduce((sum, rate) => sum + rate, 0),
      homeRates,
      inFlight: load.inFlight,
      slots: load.ownSlots,
      meanServiceMs: load.meanServiceMs,
    }
  })
}
