/** Rates of the requests that this gateway runs in its region, by service and home region. */
import type { ServiceDispatchLoad } from '../slots/dispatchCounters.js'
import type { ServiceSummary } from '../shift/regionLoadTable.js'

const BUCKET_MS = 500
/** Long enough for a rate of a few requests per second, and below the age at which loads are ignored. */
const WINDOW_BUCKETS = 5

/** Requests per home region within one bucket of time. */
interface Bucket {
  readonly index: number
  readonly counts: Map<string, number>
}

/** Counts arrivals in a sliding window. */
export class ArrivalMeter {
  readonly #buckets = new Map<string, Bucket[]>()

  /** Counts one request that runs in this region. */
  note(service: string, homeRegion: string, nowMs: number): void {
    const index = Math.floor(nowMs / BUCKET_MS)
    const buckets = this.#buckets.get(service) ?? []
    this.#buckets.set(service, buckets)
    // By index and not by position, since a correction of the clock can go back.
    let bucket = buckets.find((candidate) => candidate.index === index)
    if (bucket === undefined) {
      bucket = { index, counts: new Map<string, number>() }
      buckets.push(bucket)
      buckets.sort((left, right) => left.index - right.index)
      if (buckets.length > WINDOW_BUCKETS + 1) buckets.shift()
    }
    bucket.counts.set(homeRegion, (bucket.counts.get(homeRegion) ?? 0) + 1)
  }

  /** Requests per second by home region, over the whole buckets before the present one. */
  homeRates(service: string, nowMs: number): Readonly<Record<string, number>> {
    const present = Math.floor(nowMs / BUCKET_MS)
    const rates: Record<string, number> = {}
    for (const { index, counts } of this.#buckets.get(service) ?? []) {
      if (index >= present || index < present - WINDOW_BUCKETS) continue
      for (const [region, count] of counts) {
        rates[region] = (rates[region] ?? 0) + (count * 1000) / (WINDOW_BUCKETS * BUCKET_MS)
      }
    }
    return rates
  }
}

/** Combines arrivals and slots into what this gateway reports to its aggregator. */
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
