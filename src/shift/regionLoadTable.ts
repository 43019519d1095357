/** Latest reported load of all regions, merged from region summaries. */
import Joi from 'joi'
import type { RegionLoadView, ServiceLoad } from './regionLoad.js'
import { LOAD_MAX_AGE_MS } from './regionLoad.js'
import type { PackedSummary } from './loadMessages.js'
import { SUMMARIES_SCHEMA, packSummary, unpackSummary } from './loadMessages.js'

/** Load of one service within a {@link RegionSummary}. */
export interface ServiceSummary {
  readonly service: string
  /** Requests per second that arrive in this region. */
  readonly requestsPerSecond: number
  /** Requests per second that arrive in this region, by home region of the callers. */
  readonly homeRates: Readonly<Record<string, number>>
  readonly inFlight: number
  readonly slots: number
  readonly meanServiceMs: number
}

/** Load of a region, summed by its aggregator. */
export interface RegionSummary {
  readonly region: string
  /** Time of the oldest measurement in the summary, milliseconds since the epoch. */
  readonly measuredAtMs: number
  readonly services: readonly ServiceSummary[]
}

/** Summaries are forwarded up to this age, so that newly started processes get the last values. */
const FORWARD_MAX_AGE_MS = 60_000

const EXCHANGES_PER_PAYLOAD = 4

/** {@link RegionLoadView} on the newest summary of each region. */
export class RegionLoadTable implements RegionLoadView {
  /** Name of the payload in the membership exchange. */
  readonly name = 'regionLoad'
  #exchangeCount = 0
  readonly #summaries = new Map<string, RegionSummary>()
  /** Home rates by `<service>@<region>`; they only rise while the region itself doesn't report. */
  readonly #lastHomeRates = new Map<string, number>()

  /** Stores the summaries that are newer than the existing ones; returns whether any was. */
  mergeSummaries(summaries: readonly RegionSummary[], nowMs: number): boolean {
    let isChanged = false
    for (const summary of summaries) {
      const existing = this.#summaries.get(summary.region)
      // A future time comes from a wrong clock and would suppress all later summaries.
      const isPlausible = summary.measuredAtMs <= nowMs + LOAD_MAX_AGE_MS
      if (!isPlausible || summary.measuredAtMs <= (existing?.measuredAtMs ?? 0)) continue
      this.#summaries.set(summary.region, summary)
      isChanged = true
    }
    if (isChanged) this.#updateHomeRates()
    return isChanged
  }

  /** Summaries that are recent enough to be forwarded. */
  summaries(nowMs: number): readonly RegionSummary[] {
    return [...this.#summaries.values()].filter(
      ({ measuredAtMs }) => nowMs - measuredAtMs <= FORWARD_MAX_AGE_MS,
    )
  }

  /** Time of the newest summary of a region, milliseconds since the epoch. */
  measuredAtMs(region: string): number | undefined {
    return this.#summaries.get(region)?.measuredAtMs
  }

  /**
   * Summaries for every fourth membership exchange. They are normally distributed through the
   * tree of {@link LoadAggregation}; the exchange covers processes that the tree misses.
   */
  collect(nowMs: number): unknown {
    this.#exchangeCount = (this.#exchangeCount + 1) % EXCHANGES_PER_PAYLOAD
    if (this.#exchangeCount !== 0) return undefined
    const summaries = this.summaries(nowMs)
    return summaries.length === 0 ? undefined : summaries.map(packSummary)
  }

  merge(payload: unknown, nowMs: number): void {
    const summaries = Joi.attempt(payload, SUMMARIES_SCHEMA) as unknown as PackedSummary[]
    this.mergeSummaries(summaries.map(unpackSummary), nowMs)
  }

  load(region: string, service: string): ServiceLoad | undefined {
    const summary = this.#summaries.get(region)
    const load = summary?.services.find((candidate) => candidate.service === service)
    if (summary === undefined || load === undefined) return undefined
    return {
      region,
      service,
      requestsPerSecond: load.requestsPerSecond,
      homeRequestsPerSecond: this.#lastHomeRates.get(keyOf(service, region)) ?? 0,
      inFlight: load.inFlight,
      slots: load.slots,
      meanServiceMs: load.meanServiceMs,
      measuredAtMs: summary.measuredAtMs,
    }
  }

  all(): readonly ServiceLoad[] {
    return [...this.#summaries.values()].flatMap(({ region, services }) =>
      services
        .map(({ service }) => this.load(region, service))
        .filter((load) => load !== undefined),
    )
  }

  /**
   * The home rate of a region is the sum over all regions that serve its callers. While the
   * region itself doesn't report, the requests that it serves are missing and refused callers are
   * not counted, so the rate may only rise.
   */
  #updateHomeRates(): void {
    const newestMeasuredAtMs = Math.max(
      ...[...this.#summaries.values()].map(({ measuredAtMs }) => measuredAtMs),
    )
    const sums = new Map<string, number>()
    for (const { services, measuredAtMs } of this.#summaries.values()) {
      if (newestMeasuredAtMs - measuredAtMs > LOAD_MAX_AGE_MS) continue
      for (const { service, homeRates } of services) {
        for (const [region, rate] of Object.entries(homeRates)) {
          const key = keyOf(service, region)
          sums.set(key, (sums.get(key) ?? 0) + rate)
        }
      }
    }
    for (const [key, sum] of sums) {
      const region = key.slice(key.lastIndexOf('@') + 1)
      const homeMeasuredAtMs = this.#summaries.get(region)?.measuredAtMs ?? Number.NEGATIVE_INFINITY
      const isMissing = newestMeasuredAtMs - homeMeasuredAtMs > LOAD_MAX_AGE_MS
      const lastRate = this.#lastHomeRates.get(key) ?? 0
      this.#lastHomeRates.set(key, isMissing ? Math.max(lastRate, sum) : sum)
    }
  }
}

function keyOf(service: string, region: string): string {
  return `${service}@${region}`
}
