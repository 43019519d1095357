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
const USABLE_PART = 0.8
/** Size of a request on the link to the serving region. */
const REQUEST_BITS = 500 * 8
/** Smaller changes of a share are treated as noise, because they would move blocks needlessly. */
const SHARE_TOLERANCE = 0.02
/**
 * Fraction of the possible share that is assigned first; the share then rises in steps while the
 * caches warm up. Requests of cold blocks cost 1.5 times as much: assigned at once, the whole
 * share loaded the other regions to 108% (benchmark `failover`, regions at 60%).
 */
const FIRST_PART = 1 / 1.5
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
  const linkRoom = new Map(
    [...input.document.links.values()].map((link) => [
      linkKey(link.from, link.to),
      link.bitsPerSecond * USABLE_PART,
    ]),
  )
  const services = [...input.document.services.values()].sort(
    (left, right) => left.priority - right.priority || (left.name < right.name ? -1 : 1),
  )
  for (const service of services) takePlannedMoves(input, service, linkRoom)
  for (const service of services) {
    const headroom = headroomOfRegions(input, service.name)
    for (const home of [...input.document.regions.keys()].sort()) {
      const missing = 1 - input.availableShare(service.name, home)
      if (missing <= 0) continue
      const shares = assign(input, service, home, missing, headroom, linkRoom)
      plan.set(spillKey(service.name, home), shares)
    }
  }
  return plan
}

/** Reserves link bandwidth for the shifts in progress. */
function takePlannedMoves(
  input: SpillInput,
  service: ServiceRecord,
  linkRoom: Map<string, number>,
): void {
  for (const shift of input.document.shifts.values()) {
    if (shift.service !== service.name) continue
    const homeRate = input.loads.load(shift.from, service.name)?.homeRequestsPerSecond
    const rate = shift.currentShare * (homeRate ?? shift.plannedRate)
    takeLinkRoom(service, shift.from, shift.to, rate, linkRoom)
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
    const withoutSpill = load.requestsPerSecond - assignedTo(input.previous, service, region)
    const expected = expectedRate(input.document, input.loads, service, region)
    const free = capacityOf(load) - Math.max(withoutSpill, expected)
    headroom.set(region, Math.max(0, free) * USABLE_PART)
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

function assign(
  input: SpillInput,
  service: ServiceRecord,
  home: string,
  missing: number,
  headroom: Map<string, number>,
  linkRoom: Map<string, number>,
): readonly SpillShare[] {
  const demand = input.loads.load(home, service.name)?.homeRequestsPerSecond ?? 0
  const targets = [...headroom.keys()].filter((region) => region !== home).sort()
  const total = targets.reduce((sum, region) => sum + (headroom.get(region) ?? 0), 0)
  // Without a measured rate, assume that it equals the total headroom.
  const rateOfAll = demand > 0 ? demand : total
  if (rateOfAll <= 0 || total <= 0) return []
  return targets.map((region) => {
    const room = headroom.get(region) ?? 0
    const wanted = missing * rateOfAll * (room / total)
    const possible = Math.min(wanted, room, linkRate(service, home, region, linkRoom))
    const rise = RISE_STEP * (room / total)
    const share = settledShare(input, service.name, home, region, {
      computed: possible / rateOfAll,
      missing,
      rise,
    })
    const rate = share * rateOfAll
    // Reserve what the share can still rise to, so that no less important service takes it.
    const reserved = Math.max(rate, possible)
    headroom.set(region, room - reserved)
    takeLinkRoom(service, home, region, reserved, linkRoom)
    return { region, share, rate }
  })
}

/** Lowers a share at once; raises it in steps, and only if the load of the target is recent. */
function settledShare(
  input: SpillInput,
  service: string,
  home: string,
  region: string,
  limits: { readonly computed: number; readonly missing: number; readonly rise: number },
): number {
  const { computed, missing, rise } = limits
  const before = input.previous.get(spillKey(service, home))
  const previous = before?.find((share) => share.region === region)?.share
  const load = input.loads.load(region, service)
  const isFresh = load !== undefined && input.nowMs - load.measuredAtMs <= LOAD_MAX_AGE_MS
  if (before === undefined) return isFresh ? computed * FIRST_PART : 0
  const present = Math.min(previous ?? 0, missing)
  if (computed < present - SHARE_TOLERANCE) return computed
  if (computed <= present + SHARE_TOLERANCE || !input.mayRise || !isFresh) {
    return Math.min(present, computed + SHARE_TOLERANCE)
  }
  return Math.min(computed, present + rise)
}

/** Requests per second that the links to and from the serving region can still carry. */
function linkRate(
  service: ServiceRecord,
  home: string,
  region: string,
  linkRoom: ReadonlyMap<string, number>,
): number {
  const forward = linkRoom.get(linkKey(home, region)) ?? Number.POSITIVE_INFINITY
  const back = linkRoom.get(linkKey(region, home)) ?? Number.POSITIVE_INFINITY
  return Math.max(0, Math.min(forward / REQUEST_BITS, back / answerBits(service)))
}

function takeLinkRoom(
  service: ServiceRecord,
  home: string,
  region: string,
  rate: number,
  linkRoom: Map<string, number>,
): void {
  const take = (key: string, bits: number): void => {
    const room = linkRoom.get(key)
    if (room !== undefined) linkRoom.set(key, room - bits)
  }
  take(linkKey(home, region), rate * REQUEST_BITS)
  take(linkKey(region, home), rate * answerBits(service))
}

function answerBits(service: ServiceRecord): number {
  return Math.max(1, service.typicalResponseBytes) * 8
}
