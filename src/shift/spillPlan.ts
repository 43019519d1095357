/** Distributes callers that their home regions can't serve over the headroom of other regions. */
import type { ConfigurationDocument, ServiceRecord } from '../configuration/document.js'
import { linkKey } from '../configuration/document.js'
import { expectedRate } from './expectedRate.js'
import type { RegionLoadView } from './regionLoad.js'
import { LOAD_MAX_AGE_MS, capacityOf } from './regionLoad.js'

/**
 * Fraction of headroom and link bandwidth that spill-over may use. The rest absorbs differences
 * between the views of the processes.
 */
const USABLE_FRACTION = 0.8
/** Size of a request on the link to the serving region. */
const REQUEST_BITS = 500 * 8
/** Smaller changes of a share are treated as noise, because they would move blocks needlessly. */
const SHARE_TOLERANCE = 0.02
/**
 * Fraction of the possible share that is assigned first; the share then rises in steps while the
 * caches warm up. Requests of cold blocks cost 1.5 times as much: assigned at once, the whole
 * share loaded the other regions to 108% (benchmark `failover`, regions at 60%).
 */
const FIRST_ASSIGNMENT_FRACTION = 1 / 1.5
/** Increase per step of the sum of a region's shares, after the first assignment. */
const RISE_STEP = 0.1

/** Callers of one service and home region that are served in one other region. */
export interface SpillShare {
  readonly region: string
  /** Share of all callers of the home region, 0 to 1. */
  readonly share: number
  /** Expected requests per second of the share. */
  readonly rate: number
}

/** Shares by {@link spillKey}. Regions that serve all their callers have no entry. */
export type SpillPlan = ReadonlyMap<string, readonly SpillShare[]>

/** Inputs of {@link planSpillOver}. */
export interface SpillInput {
  readonly document: ConfigurationDocument
  readonly loads: RegionLoadView
  /** Returns the share of its own callers that a region can serve, 0 to 1. */
  availableShare(service: string, region: string): number
  /** The plan in force; the measurements may not include its effect yet. */
  readonly previous: SpillPlan
  /** Whether existing shares may rise by a step. */
  readonly mayRise: boolean
  readonly nowMs: number
}

/** Key of a service and a home region in a {@link SpillPlan}. */
export function spillKey(service: string, homeRegion: string): string {
  return `${service}@${homeRegion}`
}

/** Computes a plan in the order of service priority, so that low priorities are refused first. */
export function planSpillOver(input: SpillInput): SpillPlan {
  const plan = new Map<string, readonly SpillShare[]>()
  // Usable bits per second of each link, reduced by each reservation.
  const linkHeadroom = new Map(
    [...input.document.links.values()].map((link) => [
      linkKey(link.from, link.to),
      link.bitsPerSecond * USABLE_FRACTION,
    ]),
  )
  const services = [...input.document.services.values()].sort(
    (left, right) => left.priority - right.priority || (left.name < right.name ? -1 : 1),
  )
  for (const service of services) reserveForShifts(input, service, linkHeadroom)
  for (const service of services) {
    const headroom = headroomOfRegions(input, service.name)
    for (const homeRegion of [...input.document.regions.keys()].sort()) {
      const unservedShare = 1 - input.availableShare(service.name, homeRegion)
      if (unservedShare <= 0) continue
      const shares = assignShares(input, service, homeRegion, unservedShare, headroom, linkHeadroom)
      plan.set(spillKey(service.name, homeRegion), shares)
    }
  }
  return plan
}

/** Reserves link bandwidth for the shifts in progress. */
function reserveForShifts(
  input: SpillInput,
  service: ServiceRecord,
  linkHeadroom: Map<string, number>,
): void {
  for (const shift of input.document.shifts.values()) {
    if (shift.service !== service.name) continue
    const homeRate = input.loads.load(shift.from, service.name)?.homeRequestsPerSecond
    const rate = shift.currentShare * (homeRate ?? shift.plannedRate)
    reserveLinkBandwidth(service, shift.from, shift.to, rate, linkHeadroom)
  }
}

/** Usable headroom in requests per second by region, except regions that spill over themselves. */
function headroomOfRegions(input: SpillInput, service: string): Map<string, number> {
  const headroom = new Map<string, number>()
  for (const region of input.document.regions.keys()) {
    const load = input.loads.load(region, service)
    if (load === undefined || input.availableShare(service, region) < 1) continue
    // The measurements may include the previous assignments fully, partly or not at all; the
    // larger of both estimates is safe in each case.
    const rateWithoutSpill = load.requestsPerSecond - assignedTo(input.previous, service, region)
    const expectedRegionRate = expectedRate(input.document, input.loads, service, region)
    const freeRate = capacityOf(load) - Math.max(rateWithoutSpill, expectedRegionRate)
    headroom.set(region, Math.max(0, freeRate) * USABLE_FRACTION)
  }
  return headroom
}

function assignedTo(plan: SpillPlan, service: string, region: string): number {
  let rate = 0
  for (const [key, shares] of plan) {
    if (!key.startsWith(`${service}@`)) continue
    for (const share of shares) if (share.region === region) rate += share.rate
  }
  return rate
}

function assignShares(
  input: SpillInput,
  service: ServiceRecord,
  homeRegion: string,
  unservedShare: number,
  headroom: Map<string, number>,
  linkHeadroom: Map<string, number>,
): readonly SpillShare[] {
  const demand = input.loads.load(homeRegion, service.name)?.homeRequestsPerSecond ?? 0
  const targetRegions = [...headroom.keys()].filter((region) => region !== homeRegion).sort()
  const totalHeadroom = targetRegions.reduce((sum, region) => sum + (headroom.get(region) ?? 0), 0)
  // Without a measured rate, assume that it equals the total headroom.
  const totalRate = demand > 0 ? demand : totalHeadroom
  if (totalRate <= 0 || totalHeadroom <= 0) return []
  return targetRegions.map((region) => {
    const availableRate = headroom.get(region) ?? 0
    const wantedRate = unservedShare * totalRate * (availableRate / totalHeadroom)
    const possibleRate = Math.min(
      wantedRate,
      availableRate,
      linkCapacity(service, homeRegion, region, linkHeadroom),
    )
    const rise = RISE_STEP * (availableRate / totalHeadroom)
    const share = limitShareChange(input, service.name, homeRegion, region, {
      computed: possibleRate / totalRate,
      unservedShare,
      rise,
    })
    const rate = share * totalRate
    // Reserve what the share can still rise to, so that no less important service takes it.
    const reservedRate = Math.max(rate, possibleRate)
    headroom.set(region, availableRate - reservedRate)
    reserveLinkBandwidth(service, homeRegion, region, reservedRate, linkHeadroom)
    return { region, share, rate }
  })
}

/** Lowers a share at once; raises it in steps, and only if the load of the target is recent. */
function limitShareChange(
  input: SpillInput,
  service: string,
  homeRegion: string,
  region: string,
  limits: { readonly computed: number; readonly unservedShare: number; readonly rise: number },
): number {
  const { computed, unservedShare, rise } = limits
  const previousShares = input.previous.get(spillKey(service, homeRegion))
  const previousShare = previousShares?.find((share) => share.region === region)?.share
  const load = input.loads.load(region, service)
  const isRecent = load !== undefined && input.nowMs - load.measuredAtMs <= LOAD_MAX_AGE_MS
  if (previousShares === undefined) return isRecent ? computed * FIRST_ASSIGNMENT_FRACTION : 0
  const currentShare = Math.min(previousShare ?? 0, unservedShare)
  if (computed < currentShare - SHARE_TOLERANCE) return computed
  if (computed <= currentShare + SHARE_TOLERANCE || !input.mayRise || !isRecent) {
    return Math.min(currentShare, computed + SHARE_TOLERANCE)
  }
  return Math.min(computed, currentShare + rise)
}

/** Requests per second that the links to and from the serving region can still carry. */
function linkCapacity(
  service: ServiceRecord,
  homeRegion: string,
  region: string,
  linkHeadroom: ReadonlyMap<string, number>,
): number {
  const forward = linkHeadroom.get(linkKey(homeRegion, region)) ?? Number.POSITIVE_INFINITY
  const backward = linkHeadroom.get(linkKey(region, homeRegion)) ?? Number.POSITIVE_INFINITY
  return Math.max(0, Math.min(forward / REQUEST_BITS, backward / answerBits(service)))
}

function reserveLinkBandwidth(
  service: ServiceRecord,
  homeRegion: string,
  region: string,
  rate: number,
  linkHeadroom: Map<string, number>,
): void {
  const reserve = (key: string, bits: number): void => {
    const availableBits = linkHeadroom.get(key)
    if (availableBits !== undefined) linkHeadroom.set(key, availableBits - bits)
  }
  reserve(linkKey(homeRegion, region), rate * REQUEST_BITS)
  reserve(linkKey(region, homeRegion), rate * answerBits(service))
}

function answerBits(service: ServiceRecord): number {
  return Math.max(1, service.typicalResponseBytes) * 8
}
