/** Estimates the effect of planned moves on regions and links from the latest measurements. */
import type { ConfigurationDocument, ShiftRecord, WorkerRecord } from '../configuration/document.js'
import { ShiftState, steeringKey } from '../configuration/document.js'
import type { RegionLoadView, ServiceLoad } from '../shift/regionLoad.js'
import { LOAD_MAX_AGE_MS } from '../shift/regionLoad.js'
import type { LinkUseChange, RegionLoadChange, LoadEstimate } from './plan.js'

/** Estimated size of a request, and of an answer's headers, on a link; used in plans only. */
const MESSAGE_OVERHEAD_BYTES = 1024
const BITS_PER_BYTE = 8
const MS_PER_SECOND = 1000
/** Share differences up to this are rounding errors, not changes. */
const SHARE_TOLERANCE = 1e-9

/** Load of a service in a region while the projection is built. Rates are requests per second. */
interface ProjectedLoad {
  readonly region: string
  readonly service: string
  readonly beforeRate: number
  readonly beforeSlots: number
  readonly meanServiceMs: number
  afterRate: number
  afterSlots: number
  /** Whether the plan itself changes it, as opposed to shifts that are already pending. */
  isChanged: boolean
}

interface ProjectedLinkUse {
  readonly from: string
  readonly to: string
  readonly bitsPerSecond: number
  beforeBits: number
  afterBits: number
  isChanged: boolean
}

/** Share of a region's callers by serving region; the shares sum to 1. */
export type Shares = Readonly<Record<string, number>>

/** Load before and after a plan. The intent handlers add the moves of the plan to it. */
export class LoadProjection {
  readonly #document: ConfigurationDocument
  readonly #loads: RegionLoadView
  readonly #nowMs: number
  readonly #projectedLoads = new Map<string, ProjectedLoad>()
  readonly #projectedLinks = new Map<string, ProjectedLinkUse>()

  constructor(document: ConfigurationDocument, loads: RegionLoadView, nowMs: number) {
    this.#document = document
    this.#loads = loads
    this.#nowMs = nowMs
    for (const [key, link] of document.links) {
      this.#projectedLinks.set(key, { ...link, beforeBits: 0, afterBits: 0, isChanged: false })
    }
    this.#addCurrentLinkUse()
    for (const shift of document.shifts.values()) this.#addPendingShift(shift)
  }

  /** Returns the latest load if it is recent enough to decide on new moves. */
  recentLoad(region: string, service: string): ServiceLoad | undefined {
    const load = this.#loads.load(region, service)
    if (load === undefined || this.#nowMs - load.measuredAtMs > LOAD_MAX_AGE_MS) return undefined
    return load
  }

  /** Requests per second of the callers whose home is `region`, however old the measurement is. */
  homeRate(region: string, service: string): number {
    return this.#loads.load(region, service)?.homeRequestsPerSecond ?? 0
  }

  /** Current shares by serving region, including shifts. */
  currentShares(service: string, clientRegion: string): Shares {
    return sharesOf(this.#document, service, clientRegion)
  }

  /** Adds new shares for the callers of a region to the projection. */
  setShares(service: string, clientRegion: string, after: Shares): void {
    const before = this.currentShares(service, clientRegion)
    const rate = this.homeRate(clientRegion, service)
    for (const region of new Set([...Object.keys(before), ...Object.keys(after)])) {
      const change = (after[region] ?? 0) - (before[region] ?? 0)
      if (Math.abs(change) > SHARE_TOLERANCE) {
        this.#addRate(service, clientRegion, region, change * rate, true)
      }
    }
  }

  /** Adds callers that change their home region, for example when blocks move between sites. */
  moveHomeCallers(service: string, from: string, to: string, requestsPerSecond: number): void {
    const source = this.#projectedLoad(from, service)
    const destination = this.#projectedLoad(to, service)
    source.afterRate -= requestsPerSecond
    destination.afterRate += requestsPerSecond
    source.isChanged = true
    destination.isChanged = true
  }

  /** Adds `slots`, which may be negative, to the service's slots in a region. */
  addSlots(service: string, region: string, slots: number): void {
    const projected = this.#projectedLoad(region, service)
    projected.afterSlots = Math.max(0, projected.afterSlots + slots)
    projected.isChanged = true
  }

  /** Returns the loads that the plan changes. */
  regions(): RegionLoadChange[] {
    return [...this.#projectedLoads.values()]
      .filter((load) => load.isChanged)
      .map((load) => ({
        region: load.region,
        service: load.service,
        before: estimateLoad(load.beforeRate, load.beforeSlots, load.meanServiceMs),
        after: estimateLoad(load.afterRate, load.afterSlots, load.meanServiceMs),
      }))
  }

  /** Returns the links whose use the plan changes. */
  links(): LinkUseChange[] {
    return [...this.#projectedLinks.values()]
      .filter((link) => link.isChanged)
      .map(({ from, to, bitsPerSecond, beforeBits, afterBits }) => ({
        from,
        to,
        bitsPerSecond,
        beforeBits: Math.round(beforeBits),
        afterBits: Math.round(afterBits),
      }))
  }

  #addCurrentLinkUse(): void {
    for (const load of this.#loads.all()) {
      const shares = this.currentShares(load.service, load.region)
      for (const [region, share] of Object.entries(shares)) {
        this.#addLinkBits(load.service, load.region, region, share * load.homeRequestsPerSecond, {
          before: true,
          isChange: false,
        })
      }
    }
  }

  /**
   * An unfinished shift counts as if it were at its cap, because its next steps need no
   * confirmation.
   */
  #addPendingShift(shift: ShiftRecord): void {
    if (shift.state !== ShiftState.Running && shift.state !== ShiftState.Paused) return
    const remainingShare = Math.max(0, shift.capShare - shift.currentShare)
    const rate =
      remainingShare * Math.max(shift.plannedRate, this.homeRate(shift.from, shift.service))
    this.#addRate(shift.service, shift.from, shift.to, rate, false)
  }

  #addRate(
    service: string,
    clientRegion: string,
    region: string,
    rate: number,
    isChange: boolean,
  ): void {
    const projected = this.#projectedLoad(region, service)
    projected.afterRate += rate
    projected.isChanged ||= isChange
    this.#addLinkBits(service, clientRegion, region, rate, { before: false, isChange })
  }

  #addLinkBits(
    service: string,
    clientRegion: string,
    region: string,
    rate: number,
    options: { before: boolean; isChange: boolean },
  ): void {
    if (clientRegion === region || rate === 0) return
    const answerBytes = this.#document.services.get(service)?.typicalResponseBytes ?? 0
    const directions: [string, string, number][] = [
      [clientRegion, region, MESSAGE_OVERHEAD_BYTES],
      [region, clientRegion, MESSAGE_OVERHEAD_BYTES + answerBytes],
    ]
    for (const [from, to, bytes] of directions) {
      const link = this.#projectedLinks.get(`${from}>${to}`)
      if (link === undefined) continue
      const bits = rate * bytes * BITS_PER_BYTE
      if (options.before) link.beforeBits += bits
      link.afterBits += bits
      link.isChanged ||= options.isChange
    }
  }

  #projectedLoad(region: string, service: string): ProjectedLoad {
    const key = `${service}@${region}`
    const existing = this.#projectedLoads.get(key)
    if (existing !== undefined) return existing
    const load = this.#loads.load(region, service)
    const slots = load?.slots ?? configuredSlots(this.#document, region, service)
    const rate = load?.requestsPerSecond ?? 0
    const projected: ProjectedLoad = {
      region,
      service,
      beforeRate: rate,
      beforeSlots: slots,
      meanServiceMs: this.#meanServiceMs(region, service),
      afterRate: rate,
      afterSlots: slots,
      isChanged: false,
    }
    this.#projectedLoads.set(key, projected)
    return projected
  }

  /** For a region without traffic, uses the mean service time of the slowest other region. */
  #meanServiceMs(region: string, service: string): number {
    const own = this.#loads.load(region, service)?.meanServiceMs ?? 0
    if (own > 0) return own
    const others = this.#loads.all().filter((load) => load.service === service)
    return Math.max(0, ...others.map((load) => load.meanServiceMs))
  }
}

/** Returns the share of each serving region: the steering record, then the shifts on top of it. */
export function sharesOf(
  document: ConfigurationDocument,
  service: string,
  clientRegion: string,
): Shares {
  const steering = document.steering.get(steeringKey(service, clientRegion))
  const shares: Record<string, number> = { ...(steering?.shares ?? { [clientRegion]: 1 }) }
  for (const shift of document.shifts.values()) {
    if (shift.service !== service || shift.from !== clientRegion) continue
    for (const region of Object.keys(shares)) {
      shares[region] = (shares[region] ?? 0) * (1 - shift.currentShare)
    }
    shares[shift.to] = (shares[shift.to] ?? 0) + shift.currentShare
  }
  return shares
}

/** Returns the total slots of a service's workers in a region that are not leaving. */
export function configuredSlots(
  document: ConfigurationDocument,
  region: string,
  service: string,
): number {
  const workers = document.services.get(service)?.workers ?? []
  return workers
    .filter((worker) => worker.region === region)
    .filter((worker) => !isMarkedLeaving(document, worker))
    .reduce((total, worker) => total + worker.slots, 0)
}

/** Tells whether an operator's intent marked this generation of the worker as leaving. */
export function isMarkedLeaving(document: ConfigurationDocument, worker: WorkerRecord): boolean {
  return (document.leaving.get(worker.workerId)?.generation ?? 0) >= worker.generation
}

function estimateLoad(rate: number, slots: number, meanServiceMs: number): LoadEstimate {
  const capacity = meanServiceMs <= 0 ? 0 : (slots * MS_PER_SECOND) / meanServiceMs
  const requestsPerSecond = Math.max(0, rate)
  return {
    requestsPerSecond: roundToThousandths(requestsPerSecond),
    capacity: roundToThousandths(capacity),
    headroomShare: capacity > 0 ? roundToThousandths(1 - requestsPerSecond / capacity) : 0,
  }
}

function roundToThousandths(value: number): number {
  return Math.round(value * 1000) / 1000
}
