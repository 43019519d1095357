/** Makes plans from intents: pure functions of the configuration, the measurements and the time. */
import type { ConfigurationRecord, ServiceRecord } from '../configuration/document.js'
import { RecordKind } from '../configuration/document.js'
import { applyChange } from '../configuration/documentBuilder.js'
import type { Configuration } from '../configuration/view.js'
import type { RegionLoadView } from '../shift/regionLoad.js'
import type { Intent } from './intent.js'
import { IntentKind, summarizeIntent } from './intent.js'
import { LoadProjection } from './loadProjection.js'
import type { LinkUseChange, Refusal, RegionLoadChange } from './plan.js'
import { Plan, RefusalKind } from './plan.js'
import type { PlanContext, PlanDecision, PlanLimits } from './planContext.js'
import { messageWithoutRemedy } from './errorMessage.js'
import { ADDRESS_SCHEMA } from './recordSchemas.js'
import { planServeFrom, planShiftService, planShiftState } from './steeringPlans.js'
import { planApplyRecords, planPutBlocks } from './recordPlans.js'
import { planDrain, planPutService, planUndrain } from './workerPlans.js'

export interface PlanInput {
  readonly planId: string
  readonly configuration: Configuration
  readonly loads: RegionLoadView
  readonly limits: PlanLimits
  /** Time until the plan expires, in milliseconds. */
  readonly lifetimeMs: number
}

type Handlers = {
  readonly [Kind in IntentKind]: (
    intent: Extract<Intent, { kind: Kind }>,
    context: PlanContext,
  ) => PlanDecision
}

const HANDLERS: Handlers = {
  [IntentKind.ShiftService]: planShiftService,
  [IntentKind.ServeFrom]: planServeFrom,
  [IntentKind.DrainBackendServer]: planDrain,
  [IntentKind.Undrain]: planUndrain,
  [IntentKind.PutService]: planPutService,
  [IntentKind.PutBlocks]: planPutBlocks,
  [IntentKind.PauseShift]: planShiftState,
  [IntentKind.ResumeShift]: planShiftState,
  [IntentKind.ReverseShift]: planShiftState,
  [IntentKind.ApplyRecords]: planApplyRecords,
}

/** Makes the plan of an intent. The plan contains refusals if it must not be carried out. */
export function planIntent(intent: Intent, input: PlanInput, nowMs: number): Plan {
  const { document, blocks, revision } = input.configuration
  const projection = new LoadProjection(document, input.loads, nowMs)
  const context: PlanContext = {
    planId: input.planId,
    revision,
    document,
    blocks,
    loads: input.loads,
    limits: input.limits,
    projection,
    nowMs,
  }
  const handler = HANDLERS[intent.kind] as (intent: Intent, context: PlanContext) => PlanDecision
  const decision = handler(intent, context)
  const regions = projection.regions()
  const links = projection.links()
  const minHeadroomFraction = decision.minHeadroomFraction ?? input.limits.minHeadroomFraction
  return new Plan({
    planId: input.planId,
    intent,
    summary: summarizeIntent(intent),
    baseRevision: revision,
    createdAtMs: nowMs,
    expiresAtMs: nowMs + input.lifetimeMs,
    changes: decision.changes,
    regions,
    links,
    refusals: [
      ...decision.refusals,
      ...recordRefusals(decision.changes, input.configuration),
      ...regionRefusals(regions, minHeadroomFraction),
      ...linkRefusals(links, input.limits.maxLinkFraction),
    ],
    warnings: decision.warnings,
    expectedDurationMs: decision.expectedDurationMs,
  })
}

/** Refuses changes that could not be committed, so that the plan is not shown as confirmable. */
function recordRefusals(
  records: readonly ConfigurationRecord[],
  configuration: Configuration,
): Refusal[] {
  const refusals = records.flatMap((record) =>
    record.kind === RecordKind.PutService ? invalidAddressRefusals(record.service) : [],
  )
  if (refusals.length === 0 && records.length > 0) {
    const change = { changeId: 'plan', operator: 'plan', createdAtMs: 0, summary: '', records }
    const applied = applyChange(configuration, change)
    if (applied.err)
      refusals.push(contradiction(messageWithoutRemedy(applied.val), applied.val.remedy))
  }
  return refusals
}

function contradiction(message: string, remedy: string): Refusal {
  return { kind: RefusalKind.Contradiction, message, remedy }
}

function invalidAddressRefusals(service: ServiceRecord): Refusal[] {
  return service.workers.flatMap(({ workerId, address }) => {
    const { error } = ADDRESS_SCHEMA.label(`address of ${workerId}`).validate(address)
    if (error === undefined) return []
    const remedy = 'give the address that the instance listens on'
    return [contradiction(error.message, remedy)]
  })
}

/**
 * Refuses plans that leave too little headroom; a plan that increases a region's headroom is
 * accepted.
 */
function regionRefusals(
  regions: readonly RegionLoadChange[],
  minHeadroomFraction: number,
): Refusal[] {
  return regions.flatMap(({ region, service, before, after }) => {
    const isWorse = after.headroomShare < before.headroomShare
    if (after.capacity === 0 && after.requestsPerSecond === 0) return []
    if (after.capacity > 0 && (!isWorse || after.headroomShare >= minHeadroomFraction)) return []
    if (after.capacity === 0 && before.capacity === 0 && !addsLoad(before, after)) return []
    return [overloadRefusal(region, service, after, minHeadroomFraction)]
  })
}

function addsLoad(
  before: { requestsPerSecond: number },
  after: { requestsPerSecond: number },
): boolean {
  return after.requestsPerSecond > before.requestsPerSecond
}

function overloadRefusal(
  region: string,
  service: string,
  after: { requestsPerSecond: number; capacity: number },
  minHeadroomFraction: number,
): Refusal {
  const allowed = after.capacity * (1 - minHeadroomFraction)
  const excess = after.requestsPerSecond - allowed
  return {
    kind: RefusalKind.RegionOverload,
    message:
      `${service} in ${region} would receive ${formatNumber(after.requestsPerSecond)} requests/s; its slots can handle ` +
      `${formatNumber(after.capacity)}, of which at most ${formatPercent(1 - minHeadroomFraction)} may be used`,
    remedy:
      `${formatNumber(excess)} requests/s are too many: plan a smaller share, move callers of ${region} to ` +
      `another region first, or add slots there; then plan again`,
  }
}

function linkRefusals(links: readonly LinkUseChange[], maxLinkFraction: number): Refusal[] {
  return links
    .filter((link) => link.afterBits > link.beforeBits)
    .filter((link) => link.afterBits > link.bitsPerSecond * maxLinkFraction)
    .map((link) => {
      const addedBits = link.afterBits - link.beforeBits
      const availableBits = Math.max(0, link.bitsPerSecond * maxLinkFraction - link.beforeBits)
      return {
        kind: RefusalKind.LinkOverload,
        message:
          `The link from ${link.from} to ${link.to} would carry ${formatMegabits(link.afterBits)} of ` +
          `${formatMegabits(link.bitsPerSecond)}; steered traffic may use at most ${formatPercent(maxLinkFraction)} of it`,
        remedy: `move at most ${formatPercent(availableBits / addedBits)} of what this plan moves, then plan again`,
      }
    })
}

function formatNumber(value: number): string {
  return value.toFixed(value < 10 ? 2 : 0)
}

function formatPercent(fraction: number): string {
  return `${String(Math.floor(fraction * 1000) / 10)}%`
}

function formatMegabits(bits: number): string {
  return `${(bits / 1e6).toFixed(1)} Mbit/s`
}
