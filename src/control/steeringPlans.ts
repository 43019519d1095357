/**
 * Intent handlers that move callers between regions: `shiftService`, `serveFrom` and the state of a
 * shift.
 */
import type { ConfigurationRecord, ShiftRecord } from '../configuration/document.js'
import { RecordKind, ShiftState, steeringKey } from '../configuration/document.js'
import type { ServeFromIntent, ShiftServiceIntent, ShiftStateIntent } from './intent.js'
import { IntentKind } from './intent.js'
import type { Shares } from './loadProjection.js'
import type { Refusal } from './plan.js'
import { RefusalKind } from './plan.js'
import type { PlanContext, PlanDecision } from './planContext.js'
import { refuse, refuseUnknown } from './planContext.js'
import { CappedShift } from '../shift/cappedShift.js'
import { problemOf } from './problems.js'
import { pausedShift, resumedShift, reversedShift } from './shiftStates.js'

const COLD_CACHE_WARNING = 'caches of the target are cold for the callers that move'
const SPILL_OVER_WARNING =
  'spill-over after the failure of a region does not count against the cap of a shift'

/**
 * Plans a new shift. It starts at share 0; `ShiftAdvancer` takes the steps after the confirmation.
 */
export function planShiftService(intent: ShiftServiceIntent, context: PlanContext): PlanDecision {
  const unknown = unknownService(intent.service, [intent.from, intent.to], context)
  if (unknown !== undefined) return unknown
  const present = [...context.document.shifts.values()].filter(
    (shift) => shift.service === intent.service && shift.from === intent.from,
  )
  const blocking = present.find((shift) => !isReversed(shift))
  if (blocking !== undefined) return refuseSecondShift(blocking)
  const { service, from, to, capShare, stepIntervalMs } = intent
  const stepShare = Math.min(intent.stepShare, capShare)
  const plannedRate = context.projection.homeRate(from, service)
  const wanted = { service, from, to, capShare, stepShare, stepIntervalMs, plannedRate }
  const planned = CappedShift.plan({ shiftId: `shift-${context.planId}`, ...wanted }, context.nowMs)
  if (planned.err) {
    return refuse(RefusalKind.Contradiction, problemOf(planned.val), planned.val.remedy)
  }
  const shift = planned.val.record
  const before = context.projection.presentShares(intent.service, intent.from)
  context.projection.setShares(
    intent.service,
    intent.from,
    movedShares(before, intent.to, intent.capShare),
  )
  const changes: ConfigurationRecord[] = [
    ...present.map((old) => ({ kind: RecordKind.RemoveShift as const, shiftId: old.shiftId })),
    { kind: RecordKind.PutShift, shift },
  ]
  return {
    changes,
    refusals: missingMeasurements(intent.service, [intent.from, intent.to], context),
    warnings: [COLD_CACHE_WARNING, SPILL_OVER_WARNING],
    expectedDurationMs: Math.ceil(shift.capShare / shift.stepShare - 1e-9) * shift.stepIntervalMs,
  }
}

/**
 * Plans new shares of the regions that serve a region's callers, effective at once. Replaces
 * finished shifts.
 */
export function planServeFrom(intent: ServeFromIntent, context: PlanContext): PlanDecision {
  const { service, clientRegion } = intent
  const shares = withoutZeroes(intent.shares)
  const unknown = unknownService(service, [clientRegion, ...Object.keys(shares)], context)
  if (unknown !== undefined) return unknown
  const present = [...context.document.shifts.values()].filter(
    (shift) => shift.service === service && shift.from === clientRegion,
  )
  const unfinished = present.find((shift) => shift.state !== ShiftState.Finished)
  if (unfinished !== undefined) return refuseSecondShift(unfinished)
  context.projection.setShares(service, clientRegion, shares)
  const atHome = Object.keys(shares).length === 1 && shares[clientRegion] !== undefined
  const stored = context.document.steering.has(steeringKey(service, clientRegion))
  const changes: ConfigurationRecord[] = present.map((shift) => ({
    kind: RecordKind.RemoveShift,
    shiftId: shift.shiftId,
  }))
  if (!atHome) {
    changes.push({ kind: RecordKind.PutSteering, steering: { service, clientRegion, shares } })
  } else if (stored) {
    changes.push({ kind: RecordKind.RemoveSteering, service, clientRegion })
  }
  if (changes.length === 0) {
    return refuse(
      RefusalKind.Contradiction,
      `The callers of ${clientRegion} are already served by their home region`,
      'nothing needs to be done',
    )
  }
  return {
    changes,
    refusals: missingMeasurements(service, [clientRegion, ...Object.keys(shares)], context),
    warnings: [COLD_CACHE_WARNING, 'all callers move at once; use shiftService to move in steps'],
    expectedDurationMs: 0,
  }
}

const STATE_CHANGES = {
  [IntentKind.PauseShift]: pausedShift,
  [IntentKind.ResumeShift]: resumedShift,
  [IntentKind.ReverseShift]: reversedShift,
}

/** Plans pausing, resuming or reversing a shift. */
export function planShiftState(intent: ShiftStateIntent, context: PlanContext): PlanDecision {
  const shift = context.document.shifts.get(intent.shiftId)
  if (shift === undefined) {
    return refuseUnknown('shift', intent.shiftId, context.document.shifts.keys())
  }
  const changed = STATE_CHANGES[intent.kind](shift, context.nowMs)
  if (changed.err) {
    return refuse(RefusalKind.Contradiction, problemOf(changed.val), changed.val.remedy)
  }
  const reversing = intent.kind === IntentKind.ReverseShift
  if (reversing) {
    const present = context.projection.presentShares(shift.service, shift.from)
    const home = unmovedShares(present, shift)
    context.projection.setShares(shift.service, shift.from, home)
  }
  const steps = Math.ceil(shift.currentShare / shift.stepShare - 1e-9)
  return {
    changes: [{ kind: RecordKind.PutShift, shift: changed.val }],
    refusals: [],
    warnings: reversing ? ['caches of the home region may be cold for the callers that return'] : [],
    expectedDurationMs: reversing ? steps * shift.stepIntervalMs : 0,
  }
}

function movedShares(before: Shares, to: string, share: number): Shares {
  const moved: Record<string, number> = {}
  for (const [region, present] of Object.entries(before)) moved[region] = present * (1 - share)
  moved[to] = (moved[to] ?? 0) + share
  return moved
}

/** Returns the shares as they would be without the shift. */
function unmovedShares(present: Shares, shift: ShiftRecord): Shares {
  if (shift.currentShare >= 1) return { [shift.from]: 1 }
  const home: Record<string, number> = {}
  for (const [region, share] of Object.entries(present)) {
    const unmoved = region === shift.to ? share - shift.currentShare : share
    home[region] = unmoved / (1 - shift.currentShare)
  }
  return home
}

function isReversed(shift: ShiftRecord): boolean {
  return shift.state === ShiftState.Finished && shift.currentShare === 0
}

function withoutZeroes(shares: Shares): Shares {
  return Object.fromEntries(Object.entries(shares).filter(([, share]) => share > 0))
}

function refuseSecondShift(shift: ShiftRecord): PlanDecision {
  return refuse(
    RefusalKind.Contradiction,
    `Shift ${shift.shiftId} of ${shift.service} from ${shift.from} to ${shift.to} is ${shift.state}`,
    shift.state === ShiftState.Finished
      ? `reverse it, or make it permanent with serveFrom`
      : `wait until it is finished, or reverse it with: tamarackdrift reverse ${shift.shiftId}`,
  )
}

function unknownService(
  service: string,
  regions: readonly string[],
  context: PlanContext,
): PlanDecision | undefined {
  const { document } = context
  if (!document.services.has(service)) {
    return refuseUnknown('service', service, document.services.keys())
  }
  const missing = regions.find((region) => !document.regions.has(region))
  return missing === undefined
    ? undefined
    : refuseUnknown('region', missing, document.regions.keys())
}

/** Refuses moves for regions without a recent measurement. */
function missingMeasurements(
  service: string,
  regions: readonly string[],
  context: PlanContext,
): Refusal[] {
  return [...new Set(regions)]
    .filter((region) => context.projection.recentLoad(region, service) === undefined)
    .map((region) => ({
      kind: RefusalKind.MeasurementsMissing,
      message: `The load of ${service} in ${region} was not measured within the last 3 s`,
      remedy: `check that the gateways in ${region} are running and can reach their load aggregators, then plan again`,
    }))
}
