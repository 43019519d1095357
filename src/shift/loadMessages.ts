/** Load messages between processes, packed as arrays because they are sent every second. */
import Joi from 'joi'
import type { RegionSummary, ServiceSummary } from './regionLoadTable.js'

/** RPC methods of {@link LoadAggregation}. */
export enum LoadMethod {
  ReportGateway = 'load.reportGateway',
  ReportZone = 'load.reportZone',
  Spread = 'load.spread',
}

/** `[service, requestsPerSecond, homeRates, inFlight, slots, meanServiceMs]` */
export type PackedService = readonly [
  string,
  number,
  Readonly<Record<string, number>>,
  number,
  number,
  number,
]

/** Load of one gateway or of one zone. */
export interface LoadReport {
  /** Member identifier of the gateway, or the name of the zone. */
  readonly source: string
  /** Time of the oldest measurement in the report, milliseconds since the epoch. */
  readonly measuredAtMs: number
  readonly services: readonly PackedService[]
}

/** `[region, measuredAtMs, services]` */
export type PackedSummary = readonly [string, number, readonly PackedService[]]

/** Parameters of {@link LoadMethod.Spread}. */
export interface SpreadRequest {
  readonly summary: PackedSummary
  /** True if the receiver must pass the summary to the root of its region's tree. */
  readonly isEntry: boolean
  /**
   * Number of the round. Each round has its own tree, so that a dead member cuts off its subtree
   * for one round only.
   */
  readonly round: number
}

const NAME = Joi.string().max(128).required()
const QUANTITY = Joi.number().min(0).required()
const SERVICES = Joi.array()
  .items(
    Joi.array().ordered(
      NAME,
      QUANTITY,
      Joi.object().pattern(Joi.string(), Joi.number().min(0)).required(),
      QUANTITY,
      QUANTITY,
      QUANTITY,
    ),
  )
  .required()

const SUMMARY = Joi.array().ordered(NAME, QUANTITY, SERVICES)

/** Schema of {@link LoadReport}. */
export const LOAD_REPORT_SCHEMA = Joi.object({
  source: NAME,
  measuredAtMs: QUANTITY,
  services: SERVICES,
}).required()

/** Schema of a list of {@link PackedSummary}. */
export const SUMMARIES_SCHEMA = Joi.array().items(SUMMARY).required()

/** Schema of {@link SpreadRequest}. */
export const SPREAD_SCHEMA = Joi.object({
  summary: SUMMARY.required(),
  isEntry: Joi.boolean().required(),
  round: Joi.number().integer().required(),
}).required()

/** Rounds to one decimal, which is more precise than any decision needs. */
function round(quantity: number): number {
  return Math.round(quantity * 10) / 10
}

export function packService(load: ServiceSummary): PackedService {
  const homeRates = Object.entries(load.homeRates).map(([region, rate]) => [region, round(rate)])
  return [
    load.service,
    round(load.requestsPerSecond),
    Object.fromEntries(homeRates) as Record<string, number>,
    round(load.inFlight),
    load.slots,
    round(load.meanServiceMs),
  ]
}

export function unpackService(packed: PackedService): ServiceSummary {
  const [service, requestsPerSecond, homeRates, inFlight, slots, meanServiceMs] = packed
  return { service, requestsPerSecond, homeRates, inFlight, slots, meanServiceMs }
}

export function packSummary(summary: RegionSummary): PackedSummary {
  return [summary.region, summary.measuredAtMs, summary.services.map(packService)]
}

export function unpackSummary([region, measuredAtMs, services]: PackedSummary): RegionSummary {
  return { region, measuredAtMs, services: services.map(unpackService) }
}

/** Sums the loads of each service; the mean service time is weighted by request rate. */
export function mergeServices(loads: readonly ServiceSummary[]): readonly ServiceSummary[] {
  const byService = new Map<string, ServiceSummary>()
  for (const load of loads) {
    const existing = byService.get(load.service)
    byService.set(load.service, existing === undefined ? load : addLoads(existing, load))
  }
  return [...byService.values()]
}

function addLoads(left: ServiceSummary, right: ServiceSummary): ServiceSummary {
  const requestsPerSecond = left.requestsPerSecond + right.requestsPerSecond
  const weighted =
    left.meanServiceMs * left.requestsPerSecond + right.meanServiceMs * right.requestsPerSecond
  const homeRates: Record<string, number> = { ...left.homeRates }
  for (const [region, rate] of Object.entries(right.homeRates)) {
    homeRates[region] = (homeRates[region] ?? 0) + rate
  }
  return {
    service: left.service,
    requestsPerSecond,
    homeRates,
    inFlight: left.inFlight + right.inFlight,
    slots: left.slots + right.slots,
    meanServiceMs:
      requestsPerSecond > 0
        ? weighted / requestsPerSecond
        : Math.max(left.meanServiceMs, right.meanServiceMs),
  }
}
