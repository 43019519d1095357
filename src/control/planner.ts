/** Makes plans from intents: pure functions of the configuration, the measurements and the time. */
import type { ConfigurationRecord, ServiceRecord } from '../configuration/document.js'
import { RecordKind } from '../configuration/document.js'
import { applyChange } from '../configuration/documentBuilder.js'
import type { Configuration } from '../configuration/view.js'
import type { RegionLoadView } from '../shift/regionLoad.js'
import type { Intent } from './intent.js'
import { IntentKind, summarizeIntent } from './intent.js'
import { LoadProjection } from './loadProjection.js'
import type { LinkOutlook, Refusal, RegionOutlook } from './plan.js'
import { Plan, RefusalKind } from './plan.js'
import type { PlanContext, PlanDecision, PlanLimits } from './planContext.js'
import { problemOf } from './problems.js'
import { ADDRESS_SCHEMA } from './recordSchemas.js'
import { planServeFrom, planShiftService, planShiftState } from './steeringPlans.js'
import { planApplyRecords, planPutBlocks } from './tablePlans.js'
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
  const minHeadroomShare = decision.minHeadroomShare ?? input.limits.minHeadroomShare
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
      ...regionRefusals(regions, minHeadroomShare),
      ...linkRefusals(links, input.limits.linkShare),
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
  const faults = records.flatMap((record) =>
    record.kind === RecordKind.PutService ? addressFaults(record.service) : [],
  )
  if (faults.length === 0 && records.length > 0) {
    const change = { changeId: 'plan', operator: 'plan', createdAtMs: 0, summary: '', records }
    const applied = applyChange(configuration, change)
    if (applied.err) faults.push(contradiction(problemOf(applied.val), applied.val.remedy))
  }
  return faults
}

function contradiction(message: string, remedy: string): Refusal {
  return { kind: RefusalKind.Contradiction, message, remedy }
}

function addressFaults(service: ServiceRecord): Refusal[] {
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
function regionRefusals(regions: readonly RegionOutlook[], minHeadroomShare: number): Refusal[] {
  return regions.flatMap(({ region, service, before, after }) => {
    const worse = after.headroomShare < before.headroomShare
    if (after.capacity === 0 && after.requestsPerSecond === 0) return []
    if (after.capacity > 0 && (!worse || after.headroomShare >= minHeadroomShare)) return []
    if (after.capacity === 0 && before.capacity === 0 && !addsLoad(before, after)) return []
    return [overloadRefusal(region, service, after, minHeadroomShare)]
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
  minHeadroomShare: number,
): Refusal {
  const allowed = after.capacity * (1 - minHeadroomShare)
  const excess = after.requestsPerSecond - allowed
  return {
    kind: RefusalKind.RegionOverload,
    message:
      `${service} in ${region} would receive ${figure(after.requestsPerSecond)} requests/s; its slots can handle ` +
      `${figure(after.capacity)}, of which at most ${percent(1 - minHeadroomShare)} may be used`,
    remedy:
      `${figure(excess)} requests/s are too many: plan a smaller share, move callers of ${region} to ` +
      `another region first, or add slots there; then plan again`,
  }
}

function linkRefusals(links: readonly LinkOutlook[], linkShare: number): Refusal[] {
  return links
    .filter((link) => link.afterBits > link.beforeBits)
    .filter((link) => link.afterBits > link.bitsPerSecond * linkShare)
    .map((link) => {
      const added = link.afterBits - link.beforeBits
      const fits = Math.max(0, link.bitsPerSecond * linkShare - link.beforeBits)
      return {
        kind: RefusalKind.LinkOverload,
        message:
          `The link from ${link.from} to ${link.to} would carry ${megabits(link.afterBits)} of ` +
          `${megabits(link.bitsPerSecond)}; steered traffic may use at most ${percent(linkShare)} of it`,
        remedy: `move at most ${percent(fits / added)} of what this plan moves, then plan again`,
      }
    })
}

function figure(value: number): string {
  return value.toFixed(value < 10 ? 2 : 0)
}

function percent(share: number): string {
  return `${String(Math.floor(share * 1000) / 10)}%`
}

function megabits(bits: number): string {
  return `${(bits / 1e6).toFixed(1)} Mbit/s`
}
