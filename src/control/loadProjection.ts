/** Estimates the effect of planned moves on regions and links from the latest measurements. */
import type { ConfigurationDocument, ShiftRecord, WorkerRecord } from '../configuration/document.js'
import { ShiftState, steeringKey } from '../configuration/document.js'
import type { RegionLoadView, ServiceLoad } from '../shift/regionLoad.js'
import { LOAD_MAX_AGE_MS } from '../shift/regionLoad.js'
import type { LinkOutlook, RegionOutlook, ServiceOutlook } from './plan.js'

/** Estimated size of a request, and of an answer's headers, on a link; used in plans only. */
const MESSAGE_OVERHEAD_BYTES = 1024
const BITS_PER_BYTE = 8
const MS_PER_SECOND = 1000
/** Share differences up to this are rounding errors, not changes. */
const EPSILON = 1e-9

/** Load of a service in a region while the projection is built. Rates are requests per second. */
interface ServiceCell {
  readonly region: string
  readonly service: string
  readonly beforeRate: number
  readonly beforeSlots: number
  readonly meanServiceMs: number
  afterRate: number
  afterSlots: number
  /** Whether the plan itself changes it, as opposed to shifts that are already pending. */
  touched: boolean
}

interface LinkCell {
  readonly from: string
  readonly to: string
  readonly bitsPerSecond: number
  beforeBits: number
  afterBits: number
  touched: boolean
}

/** Share of a region's callers by serving region; the shares sum to 1. */
export type Shares = Readonly<Record<string, number>>

/** Load before and after a plan. The intent handlers add the moves of the plan to it. */
export class LoadProjection {
  readonly #document: ConfigurationDocument
  readonly #loads: RegionLoadView
  readonly #nowMs: number
  readonly #cells = new Map<string, ServiceCell>()
  readonly #links = new Map<string, LinkCell>()

  constructor(document: ConfigurationDocument, loads: RegionLoadView, nowMs: number) {
    this.#document = document
    this.#loads = loads
    this.#nowMs = nowMs
    for (const [key, link] of document.links) {
      this.#links.set(key, { ...link, beforeBits: 0, afterBits: 0, touched: false })
    }
    this.#addPresentLinkUse()
    for (const shift of document.shifts.values()) this.#addPending(shift)
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
  presentShares(service: string, clientRegion: string): Shares {
    return sharesOf(this.#document, service, clientRegion)
  }

  /** Adds new shares for the callers of a region to the projection. */
  setShares(service: string, clientRegion: string, after: Shares): void {
    const before = this.presentShares(service, clientRegion)
    const rate = this.homeRate(clientRegion, service)
    for (const region of new Set([...Object.keys(before), ...Object.keys(after)])) {
      const change = (after[region] ?? 0) - (before[region] ?? 0)
      if (Math.abs(change) > EPSILON) {
        this.#addRate(service, clientRegion, region, change * rate, true)
      }
    }
  }

  /** Adds callers that change their home region, for example when blocks move between sites. */
  moveHome(service: string, from: string, to: string, requestsPerSecond: number): void {
    const leave = this.#cell(from, service)
    const join = this.#cell(to, service)
    leave.afterRate -= requestsPerSecond
    join.afterRate += requestsPerSecond
    leave.touched = true
    join.touched = true
  }

  /** Adds `slots`, which may be negative, to the service's slots in a region. */
  addSlots(service: string, region: string, slots: number): void {
    const cell = this.#cell(region, service)
    cell.afterSlots = Math.max(0, cell.afterSlots + slots)
    cell.touched = true
  }

  /** Returns the loads that the plan changes. */
  regions(): RegionOutlook[] {
    return [...this.#cells.values()]
      .filter((cell) => cell.touched)
      .map((cell) => ({
        region: cell.region,
        service: cell.service,
        before: outlook(cell.beforeRate, cell.beforeSlots, cell.meanServiceMs),
        after: outlook(cell.afterRate, cell.afterSlots, cell.meanServiceMs),
      }))
  }

  /** Returns the links whose use the plan changes. */
  links(): LinkOutlook[] {
    return [...this.#links.values()]
      .filter((link) => link.touched)
      .map(({ from, to, bitsPerSecond, beforeBits, afterBits }) => ({
        from,
        to,
        bitsPerSecond,
        beforeBits: Math.round(beforeBits),
        afterBits: Math.round(afterBits),
      }))
  }

  #addPresentLinkUse(): void {
    for (const load of this.#loads.all()) {
      const shares = this.presentShares(load.service, load.region)
      for (const [region, share] of Object.entries(shares)) {
        this.#addLinkBits(load.service, load.region, region, share * load.homeRequestsPerSecond, {
          before: true,
          touched: false,
        })
      }
    }
  }

  /**
   * An unfinished shift counts as if it were at its cap, because its next steps need no
   * confirmation.
   */
  #addPending(shift: ShiftRecord): void {
    if (shift.state !== ShiftState.Running && shift.state !== ShiftState.Paused) return
    const rest = Math.max(0, shift.capShare - shift.currentShare)
    const rate = rest * Math.max(shift.plannedRate, this.homeRate(shift.from, shift.service))
    this.#addRate(shift.service, shift.from, shift.to, rate, false)
  }

  #addRate(
    service: string,
    clientRegion: string,
    region: string,
    rate: number,
    touched: boolean,
  ): void {
    const cell = this.#cell(region, service)
    cell.afterRate += rate
    cell.touched ||= touched
    this.#addLinkBits(service, clientRegion, region, rate, { before: false, touched })
  }

  #addLinkBits(
    service: string,
    clientRegion: string,
    region: string,
    rate: number,
    how: { before: boolean; touched: boolean },
  ): void {
    if (clientRegion === region || rate === 0) return
    const answerBytes = this.#document.services.get(service)?.typicalResponseBytes ?? 0
    const directions: [string, string, number][] = [
      [clientRegion, region, MESSAGE_OVERHEAD_BYTES],
      [region, clientRegion, MESSAGE_OVERHEAD_BYTES + answerBytes],
    ]
    for (const [from, to, bytes] of directions) {
      const link = this.#links.get(`${from}>${to}`)
      if (link === undefined) continue
      const bits = rate * bytes * BITS_PER_BYTE
      if (how.before) link.beforeBits += bits
      link.afterBits += bits
      link.touched ||= how.touched
    }
  }

  #cell(region: string, service: string): ServiceCell {
    const key = `${service}@${region}`
    const known = this.#cells.get(key)
    if (known !== undefined) return known
    const load = this.#loads.load(region, service)
    const slots = load?.slots ?? documentSlots(this.#document, region, service)
    const rate = load?.requestsPerSecond ?? 0
    const cell: ServiceCell = {
      region,
      service,
      beforeRate: rate,
      beforeSlots: slots,
      meanServiceMs: this.#meanServiceMs(region, service),
      afterRate: rate,
      afterSlots: slots,
      touched: false,
    }
    this.#cells.set(key, cell)
    return cell
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
export function documentSlots(
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

function outlook(rate: number, slots: number, meanServiceMs: number): ServiceOutlook {
  const capacity = meanServiceMs <= 0 ? 0 : (slots * MS_PER_SECOND) / meanServiceMs
  const requestsPerSecond = Math.max(0, rate)
  return {
    requestsPerSecond: rounded(requestsPerSecond),
    capacity: rounded(capacity),
    headroomShare: capacity > 0 ? rounded(1 - requestsPerSecond / capacity) : 0,
  }
}

function rounded(value: number): number {
  return Math.round(value * 1000) / 1000
}
