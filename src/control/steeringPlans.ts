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
import { refuse, refuseUnknownName } from './planContext.js'
import { CappedShift } from '../shift/cappedShift.js'
import { messageWithoutRemedy } from './errorMessage.js'
import { applyPause, applyResume, applyReverse } from './shiftStates.js'

const COLD_CACHE_WARNING = 'caches of the target are cold for the callers that move'
const SPILL_OVER_WARNING =
  'spill-over after the failure of a region does not count against the cap of a shift'

/**
 * Plans a new shift. It starts at share 0; `ShiftAdvancer` takes the steps after the confirmation.
 */
export function planShiftService(intent: ShiftServiceIntent, context: PlanContext): PlanDecision {
  const unknownNameRefusal = refuseUnknownNames(intent.service, [intent.from, intent.to], context)
  if (unknownNameRefusal !== undefined) return unknownNameRefusal
  const existingShifts = [...context.document.shifts.values()].filter(
    (shift) => shift.service === intent.service && shift.from === intent.from,
  )
  const blocking = existingShifts.find((shift) => !isFullyReversed(shift))
  if (blocking !== undefined) return refuseSecondShift(blocking)
  const { service, from, to, capShare, stepIntervalMs } = intent
  const stepShare = Math.min(intent.stepShare, capShare)
  const plannedRate = context.projection.homeRate(from, service)
  const parameters = { service, from, to, capShare, stepShare, stepIntervalMs, plannedRate }
  const planned = CappedShift.plan(
    { shiftId: `shift-${context.planId}`, ...parameters },
    context.nowMs,
  )
  if (planned.err) {
    return refuse(RefusalKind.Contradiction, messageWithoutRemedy(planned.val), planned.val.remedy)
  }
  const shift = planned.val.record
  const before = context.projection.currentShares(intent.service, intent.from)
  context.projection.setShares(
    intent.service,
    intent.from,
    sharesAfterMove(before, intent.to, intent.capShare),
  )
  const changes: ConfigurationRecord[] = [
    ...existingShifts.map((existing) => ({
      kind: RecordKind.RemoveShift as const,
      shiftId: existing.shiftId,
    })),
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
  const shares = withoutZeroShares(intent.shares)
  const unknownNameRefusal = refuseUnknownNames(
    service,
    [clientRegion, ...Object.keys(shares)],
    context,
  )
  if (unknownNameRefusal !== undefined) return unknownNameRefusal
  const existingShifts = [...context.document.shifts.values()].filter(
    (shift) => shift.service === service && shift.from === clientRegion,
  )
  const unfinished = existingShifts.find((shift) => shift.state !== ShiftState.Finished)
  if (unfinished !== undefined) return refuseSecondShift(unfinished)
  context.projection.setShares(service, clientRegion, shares)
  const isHomeOnly = Object.keys(shares).length === 1 && shares[clientRegion] !== undefined
  const hasSteering = context.document.steering.has(steeringKey(service, clientRegion))
  const changes: ConfigurationRecord[] = existingShifts.map((shift) => ({
    kind: RecordKind.RemoveShift,
    shiftId: shift.shiftId,
  }))
  if (!isHomeOnly) {
    changes.push({ kind: RecordKind.PutSteering, steering: { service, clientRegion, shares } })
  } else if (hasSteering) {
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
  [IntentKind.PauseShift]: applyPause,
  [IntentKind.ResumeShift]: applyResume,
  [IntentKind.ReverseShift]: applyReverse,
}

/** Plans pausing, resuming or reversing a shift. */
export function planShiftState(intent: ShiftStateIntent, context: PlanContext): PlanDecision {
  const shift = context.document.shifts.get(intent.shiftId)
  if (shift === undefined) {
    return refuseUnknownName('shift', intent.shiftId, context.document.shifts.keys())
  }
  const changed = STATE_CHANGES[intent.kind](shift, context.nowMs)
  if (changed.err) {
    return refuse(RefusalKind.Contradiction, messageWithoutRemedy(changed.val), changed.val.remedy)
  }
  const isReversal = intent.kind === IntentKind.ReverseShift
  if (isReversal) {
    const currentShares = context.projection.currentShares(shift.service, shift.from)
    const homeShares = sharesWithoutShift(currentShares, shift)
    context.projection.setShares(shift.service, shift.from, homeShares)
  }
  const steps = Math.ceil(shift.currentShare / shift.stepShare - 1e-9)
  return {
    changes: [{ kind: RecordKind.PutShift, shift: changed.val }],
    refusals: [],
    warnings: isReversal
      ? ['caches of the home region may be cold for the callers that return']
      : [],
    expectedDurationMs: isReversal ? steps * shift.stepIntervalMs : 0,
  }
}

function sharesAfterMove(before: Shares, to: string, share: number): Shares {
  const moved: Record<string, number> = {}
  for (const [region, currentShare] of Object.entries(before))
    moved[region] = currentShare * (1 - share)
  moved[to] = (moved[to] ?? 0) + share
  return moved
}

/** Returns the shares as they would be without the shift. */
function sharesWithoutShift(currentShares: Shares, shift: ShiftRecord): Shares {
  if (shift.currentShare >= 1) return { [shift.from]: 1 }
  const remaining: Record<string, number> = {}
  for (const [region, share] of Object.entries(currentShares)) {
    const remainingShare = region === shift.to ? share - shift.currentShare : share
    remaining[region] = remainingShare / (1 - shift.currentShare)
  }
  return remaining
}

function isFullyReversed(shift: ShiftRecord): boolean {
  return shift.state === ShiftState.Finished && shift.currentShare === 0
}

function withoutZeroShares(shares: Shares): Shares {
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

function refuseUnknownNames(
  service: string,
  regions: readonly string[],
  context: PlanContext,
): PlanDecision | undefined {
  const { document } = context
  if (!document.services.has(service)) {
    return refuseUnknownName('service', service, document.services.keys())
  }
  const missing = regions.find((region) => !document.regions.has(region))
  return missing === undefined
    ? undefined
    : refuseUnknownName('region', missing, document.regions.keys())
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
