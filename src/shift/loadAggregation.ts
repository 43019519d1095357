/**
 * Aggregates and distributes region load. Gateways report to the aggregator of their zone, zones
 * report to two aggregators of the region, and these distribute a summary to all processes.
 */
import type { Clock } from '../common/clock.js'
import { sleep, systemClock } from '../common/clock.js'
import { rendezvousOrder } from '../common/hashing.js'
import type { RpcClient, RpcMethodRegistry } from '../common/rpc.js'
import type { Member, MembershipView } from '../membership/memberRecord.js'
import { MemberHealth, aliveGateways } from '../membership/memberRecord.js'
import type { LoadReport, SpreadRequest } from './loadMessages.js'
import {
  LOAD_REPORT_SCHEMA,
  LoadMethod,
  SPREAD_SCHEMA,
  mergeServices,
  packService,
  packSummary,
  unpackService,
  unpackSummary,
} from './loadMessages.js'
import { LOAD_MAX_AGE_MS } from './regionLoad.js'
import type { RegionLoadTable, RegionSummary, ServiceSummary } from './regionLoadTable.js'

/** Options of {@link LoadAggregation}. */
export interface LoadAggregationOptions {
  readonly clock?: Clock
  readonly intervalMs?: number
  /**
   * Load of this gateway; absent in other daemons. Slots are summed over the gateways, so a
   * gateway must report only the slots that it owns.
   */
  readonly ownLoad?: (nowMs: number) => readonly ServiceSummary[]
}

const INTERVAL_MS = 1000
const CALL_TIMEOUT_MS = 500
const REGION_AGGREGATORS = 2
/** Children per member in the distribution tree; with 3, 115 members are reached in 5 hops. */
const FAN_OUT = 3
/** Age of the last summary at which the second aggregator of a region takes over from the first. */
const TAKEOVER_AGE_MS = 2000

/** Reports, aggregates and forwards load, according to the role of this process. */
export class LoadAggregation {
  readonly #table: RegionLoadTable
  readonly #members: MembershipView
  readonly #rpc: RpcClient
  readonly #clock: Clock
  readonly #options: LoadAggregationOptions
  readonly #gatewayReports = new Map<string, LoadReport>()
  readonly #zoneReports = new Map<string, LoadReport>()
  /** Latest round that was forwarded, by region of the summary. */
  readonly #forwardedRounds = new Map<string, number>()
  readonly #stopping = new AbortController()
  #task: Promise<void> = Promise.resolve()

  constructor(
    table: RegionLoadTable,
    members: MembershipView,
    rpc: RpcClient,
    options: LoadAggregationOptions = {},
  ) {
    this.#table = table
    this.#members = members
    this.#rpc = rpc
    this.#clock = options.clock ?? systemClock
    this.#options = options
  }

  /** Registers the RPC methods that peers call. */
  registerMethods(registry: RpcMethodRegistry): void {
    registry.addMethod(LoadMethod.ReportGateway, LOAD_REPORT_SCHEMA, (report: LoadReport) =>
      Promise.resolve(storeIfNewer(this.#gatewayReports, report)),
    )
    registry.addMethod(LoadMethod.ReportZone, LOAD_REPORT_SCHEMA, (report: LoadReport) =>
      Promise.resolve(storeIfNewer(this.#zoneReports, report)),
    )
    registry.addMethod(LoadMethod.Spread, SPREAD_SCHEMA, (request: SpreadRequest) => {
      this.#table.mergeSummaries([unpackSummary(request.summary)], this.#clock())
      void (request.isEntry ? this.#passToTreeRoot(request) : this.#forward(request))
      return Promise.resolve({})
    })
  }

  /** Starts a round of reports every `intervalMs`, one second by default. */
  start(): void {
    this.#task = this.#run()
  }

  async stop(): Promise<void> {
    this.#stopping.abort()
    await this.#task
  }

  async #run(): Promise<void> {
    const signal = this.#stopping.signal
    for (;;) {
      await sleep(this.#options.intervalMs ?? INTERVAL_MS, signal)
      if (signal.aborted) return
      await this.#reportOwn()
      await this.#reportZone()
      await this.#spreadRegion()
    }
  }

  async #reportOwn(): Promise<void> {
    const nowMs = this.#clock()
    const load = this.#options.ownLoad?.(nowMs)
    const self = this.#members.self()
    if (load === undefined) return
    const report = {
      source: self.memberId,
      measuredAtMs: nowMs,
      services: load.map(packService),
    }
    const aggregator = this.#zoneAggregators(self.region).get(self.zone)
    await this.#send(aggregator, LoadMethod.ReportGateway, report, this.#gatewayReports)
  }

  /** Sends no report while a gateway is missing, because the sums would be incomplete. */
  async #reportZone(): Promise<void> {
    const { zone } = this.#members.self()
    const gateways = this.#gateways().filter((member) => member.zone === zone)
    const report = this.#mergeReports(
      this.#gatewayReports,
      zone,
      gateways.map(({ memberId }) => memberId),
    )
    if (report === undefined) return
    await Promise.all(
      this.#regionAggregators(this.#members.self().region).map((aggregator) =>
        this.#send(aggregator, LoadMethod.ReportZone, report, this.#zoneReports),
      ),
    )
  }

  async #spreadRegion(): Promise<void> {
    const { region, memberId } = this.#members.self()
    const zones = [...new Set(this.#gateways().map(({ zone }) => zone))]
    const report = this.#mergeReports(this.#zoneReports, region, zones)
    if (report === undefined) return
    const nowMs = this.#clock()
    const isFirst = this.#regionAggregators(region)[0]?.memberId === memberId
    const previousMs = this.#table.measuredAtMs(region) ?? Number.NEGATIVE_INFINITY
    if (!isFirst && nowMs - previousMs < TAKEOVER_AGE_MS) return
    const summary: RegionSummary = {
      region,
      measuredAtMs: report.measuredAtMs,
      services: report.services.map(unpackService),
    }
    if (!this.#table.mergeSummaries([summary], nowMs)) return
    const round = Math.floor(nowMs / INTERVAL_MS)
    const request = { summary: packSummary(summary), isEntry: true, round }
    const entryMembers = this.#otherRegions().flatMap((other) => this.#regionAggregators(other))
    await Promise.all([
      this.#passToTreeRoot(request),
      ...entryMembers.map((member) => this.#call(member, LoadMethod.Spread, request)),
    ])
  }

  /** Passes a summary to the root of this region's distribution tree for the round. */
  async #passToTreeRoot(request: SpreadRequest): Promise<void> {
    const inner = { ...request, isEntry: false }
    const [root] = this.#treeOrder(inner)
    if (root?.memberId === this.#members.self().memberId) await this.#forward(inner)
    else await this.#call(root, LoadMethod.Spread, inner)
  }

  /** Forwards a summary to the children of this process in the tree, once per round. */
  async #forward(request: SpreadRequest): Promise<void> {
    const [region] = request.summary
    const latest = Math.floor((this.#clock() + LOAD_MAX_AGE_MS) / INTERVAL_MS)
    // A future round comes from a wrong clock and would suppress all later rounds.
    if (request.round > latest) return
    if (request.round <= (this.#forwardedRounds.get(region) ?? 0)) return
    this.#forwardedRounds.set(region, request.round)
    const ordered = this.#treeOrder(request)
    const index = ordered.findIndex(({ memberId }) => memberId === this.#members.self().memberId)
    const children = ordered.slice(index * FAN_OUT + 1, index * FAN_OUT + 1 + FAN_OUT)
    await Promise.all(children.map((member) => this.#call(member, LoadMethod.Spread, request)))
  }

  /** Members of this region in the order of the round's tree, from the root to the leaves. */
  #treeOrder(request: SpreadRequest): readonly Member[] {
    const { region } = this.#members.self()
    const peers = this.#members
      .members()
      .filter((member) => member.region === region && member.health === MemberHealth.Alive)
    const key = `spread/${String(request.round)}/${request.summary[0]}`
    const ordered = rendezvousOrder(key, peers, ({ memberId }) => memberId)
    // Aggregators already handle the reports of others, so they become leaves of the tree.
    const aggregators = [
      ...this.#regionAggregators(region),
      ...this.#zoneAggregators(region).values(),
    ]
    const aggregatorIds = new Set(aggregators.map(({ memberId }) => memberId))
    return [
      ...ordered.filter(({ memberId }) => !aggregatorIds.has(memberId)),
      ...ordered.filter(({ memberId }) => aggregatorIds.has(memberId)),
    ]
  }

  #mergeReports(
    reports: Map<string, LoadReport>,
    source: string,
    required: readonly string[],
  ): LoadReport | undefined {
    const nowMs = this.#clock()
    for (const [key, report] of reports) {
      if (nowMs - report.measuredAtMs > LOAD_MAX_AGE_MS) reports.delete(key)
    }
    if (reports.size === 0 || !required.every((key) => reports.has(key))) return undefined
    const all = [...reports.values()]
    const services = mergeServices(all.flatMap((report) => report.services.map(unpackService)))
    return {
      source,
      measuredAtMs: Math.min(...all.map(({ measuredAtMs }) => measuredAtMs)),
      services: services.map(packService),
    }
  }

  /** Gateways of this region that are expected to report. */
  #gateways(): readonly Member[] {
    return this.#gatewaysOf(this.#members.self().region)
  }

  #gatewaysOf(region: string): readonly Member[] {
    return aliveGateways(this.#members.members(), region)
  }

  /** Aggregator of each zone of a region, by zone. */
  #zoneAggregators(region: string): ReadonlyMap<string, Member> {
    const gateways = this.#gatewaysOf(region)
    const aggregators = new Map<string, Member>()
    for (const { zone } of gateways) {
      if (aggregators.has(zone)) continue
      const candidates = gateways.filter((member) => member.zone === zone)
      const [first] = rendezvousOrder(`load/${zone}`, candidates, ({ memberId }) => memberId)
      if (first !== undefined) aggregators.set(zone, first)
    }
    return aggregators
  }

  /** Avoids the zone aggregators if enough other gateways exist, because each role costs calls. */
  #regionAggregators(region: string): readonly Member[] {
    const zoneAggregators = new Set([...this.#zoneAggregators(region).values()])
    const gateways = this.#gatewaysOf(region)
    const others = gateways.filter((member) => !zoneAggregators.has(member))
    const candidates = others.length >= REGION_AGGREGATORS ? others : gateways
    return rendezvousOrder(`load/${region}`, candidates, ({ memberId }) => memberId).slice(
      0,
      REGION_AGGREGATORS,
    )
  }

  #otherRegions(): readonly string[] {
    const regions = new Set(this.#members.members().map(({ region }) => region))
    regions.delete(this.#members.self().region)
    return [...regions]
  }

  async #send(
    target: Member | undefined,
    method: LoadMethod,
    report: LoadReport,
    ownReports: Map<string, LoadReport>,
  ): Promise<void> {
    if (target?.memberId === this.#members.self().memberId) storeIfNewer(ownReports, report)
    else await this.#call(target, method, report)
  }

  /** Ignores failures, because a new report follows every second. */
  async #call(target: Member | undefined, method: LoadMethod, params: unknown): Promise<void> {
    if (target === undefined) return
    await this.#rpc.call(target.internalAddress, method, params, { timeoutMs: CALL_TIMEOUT_MS })
  }
}

function storeIfNewer(reports: Map<string, LoadReport>, report: LoadReport): object {
  const existing = reports.get(report.source)
  if (existing === undefined || report.measuredAtMs > existing.measuredAtMs) {
    reports.set(report.source, report)
  }
  return {}
}
