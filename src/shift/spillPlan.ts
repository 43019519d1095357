/** Divides the callers of regions that can't serve them among the headroom of the others. */
import type { ConfigurationDocument, ServiceRecord } from '../configuration/document.js'
import { linkKey } from '../configuration/document.js'
import { expectedRate } from './expectedRate.js'
import type { RegionLoadView } from './regionLoad.js'
import { LOAD_MAX_AGE_MS, capacityOf } from './regionLoad.js'

/** Part of headroom and of links that spill-over uses; the rest absorbs differences between views. */
const USABLE_PART = 0.8
/** Bits of a request without its answer, for the link towards the serving region. */
const REQUEST_BITS = 500 * 8
/** Changes of a share below this are measurement noise and would move blocks for nothing. */
const SHARE_TOLERANCE = 0.02
/**
 * Part of the possible share that is assigned first; it rises in steps while caches warm. With
 * requests of cold blocks at 1.5 times their usual cost, the whole share at once loaded the
 * other regions to 108% (bench `failover`, regions at 60%).
 */
const FIRST_PART = 1 / 1.5
/** Rise per step of all shares of a region together, after the first assignment. */
const RISE_STEP = 0.1

/** Callers of one service and home region that go to one other region. */
export interface SpillShare {
  readonly region: string
  /** Share of all callers of the home region, 0 to 1. */
  readonly share: number
  /** Requests per second that the share was computed for. */
  readonly rate: number
}

/** Shares by {@link spillKey}. Regions that serve all of their callers have no entry. */
export type SpillPlan = ReadonlyMap<string, readonly SpillShare[]>

/** What a plan is made from. */
export interface SpillInput {
  readonly document: ConfigurationDocument
  readonly loads: RegionLoadView
  /** Share of its own callers that a region can serve, by service and region. */
  availableShare(service: string, region: string): number
  /** The plan in force; its shares may not be visible in the measurements yet. */
  readonly previous: SpillPlan
  /** Whether shares that are assigned already may rise by a step. */
  readonly mayRise: boolean
  readonly nowMs: number
}

/** Key of a service and a home region in a {@link SpillPlan}. */
export function spillKey(service: string, homeRegion: string): string {
  return `${service}@${homeRegion}`
}

/** Makes the plan: services in the operator's order, so that the last ones are refused first. */
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

/** Shifts between regions use the links too. */
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

/** Usable headroom in requests per second; regions that spill over themselves have none. */
function headroomOfRegions(input: SpillInput, service: string): Map<string, number> {
  const headroom = new Map<string, number>()
  for (const region of input.document.regions.keys()) {
    const load = input.loads.load(region, service)
    if (load === undefined || input.availableShare(service, region) < 1) continue
    // What was assigned may be invisible, visible in part or visible in whole; the larger of
    // both estimates holds in each case.
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
  // A rate that was never measured is taken to be as large as all headroom together.
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
    // What the share still rises to is kept free for it, or a less important service would take it.
    const reserved = Math.max(rate, possible)
    headroom.set(region, room - reserved)
    takeLinkRoom(service, home, region, reserved, linkRoom)
    return { region, share, rate }
  })
}

/** Lowers shares at once, and raises those in force in steps and only on fresh measurements. */
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

/** Requests per second that fit through the links to and from the serving region. */
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
