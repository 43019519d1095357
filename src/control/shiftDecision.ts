/** Decides whether one shift takes a step, pauses, resumes or waits. */
import type { Result } from '../common/results.js'
import type { ShiftRecord } from '../configuration/document.js'
import { ShiftState } from '../configuration/document.js'
import type { ShiftError } from '../shift/cappedShift.js'
import { CappedShift } from '../shift/cappedShift.js'
import type { RegionLoadView } from '../shift/regionLoad.js'
import { LOAD_MAX_AGE_MS, capacityOf } from '../shift/regionLoad.js'
import type { ShiftConditions } from '../shift/shiftPause.js'
import { ShiftPauseReason, shiftPauseReason } from '../shift/shiftPause.js'

/** Observation of a shift by this process. Times are milliseconds since the epoch. */
export interface ShiftObservation {
  /** When the shift was first seen at its current step and state. */
  readonly seenAtMs: number
  /** Since when there has been no obstacle to a step; `undefined` while there is one. */
  readonly goodSinceMs: number | undefined
  /** Share before the current step, as far as this process observed it. */
  readonly previousShare: number
}

export enum ShiftVerdict {
  Step = 'step',
  Pause = 'pause',
  Resume = 'resume',
  /** Nothing to commit in this round. */
  Wait = 'wait',
}

/** A decision, its reason for the log, and the record to commit, if any. */
export interface ShiftDecision {
  readonly verdict: ShiftVerdict
  readonly reason: string
  readonly record?: ShiftRecord
}

/** Step intervals without an obstacle after which an automatic pause ends. */
const RECOVERY_INTERVALS = 2
const MIN_HEADROOM_FRACTION = 0.2
const AUTOMATIC_PAUSE_REASONS: ReadonlySet<string> = new Set(Object.values(ShiftPauseReason))

/** Returns the region that the next step moves callers to. */
export function targetRegionOf(record: ShiftRecord): string {
  return record.state === ShiftState.Reversing ? record.from : record.to
}

/**
 * Returns why the next step must not be taken now, if there is a reason. For a reversal, the home
 * region is the target.
 *
 * @param unmeasuredRate requests/s that were moved to the target but do not show in its
 *   measurements yet
 */
export function findObstacle(
  record: ShiftRecord,
  unmeasuredRate: number,
  loads: RegionLoadView,
  conditions: ShiftConditions,
  nowMs: number,
): ShiftPauseReason | undefined {
  const to = targetRegionOf(record)
  const from = to === record.to ? record.from : record.to
  const { service } = record
  const reason = shiftPauseReason({ service, from, to }, loads, conditions, nowMs)
  if (reason !== undefined) return reason
  return stepKeepsHeadroom(record, unmeasuredRate, loads) ? undefined : ShiftPauseReason.HeadroomLow
}

/** Returns the requests/s that the next step moves. */
export function nextStepRate(record: ShiftRecord, loads: RegionLoadView): number {
  const isReversing = record.state === ShiftState.Reversing
  const remainingShare = isReversing ? record.currentShare : record.capShare - record.currentShare
  return Math.min(record.stepShare, remainingShare) * callerRate(record, loads)
}

/** Returns the requests/s that the current step moved, or 0 once measurements must show them. */
export function unmeasuredStepRate(
  record: ShiftRecord,
  observation: Pick<ShiftObservation, 'seenAtMs' | 'previousShare'>,
  loads: RegionLoadView,
  nowMs: number,
): number {
  if (nowMs - observation.seenAtMs > LOAD_MAX_AGE_MS) return 0
  return Math.abs(record.currentShare - observation.previousShare) * callerRate(record, loads)
}

/** Decides on a shift, given the obstacle to its next step. */
export function decideShift(
  record: ShiftRecord,
  observation: ShiftObservation,
  obstacle: ShiftPauseReason | undefined,
  nowMs: number,
): ShiftDecision {
  const shift = CappedShift.fromRecord(record, observation.seenAtMs)
  switch (record.state) {
    case ShiftState.Finished:
      return { verdict: ShiftVerdict.Wait, reason: 'finished' }
    case ShiftState.Paused:
      return decidePaused(shift, observation, obstacle, nowMs)
    case ShiftState.Reversing:
      return obstacle === undefined ? takeStep(shift, nowMs) : wait(obstacle)
    case ShiftState.Running:
      // Without the store a pause can't be committed, and the shift takes no steps anyway.
      if (obstacle === ShiftPauseReason.StoreUnavailable) return wait(obstacle)
      return obstacle === undefined
        ? takeStep(shift, nowMs)
        : committableDecision(ShiftVerdict.Pause, obstacle, shift.pause(obstacle, nowMs))
  }
}

function decidePaused(
  shift: CappedShift,
  observation: ShiftObservation,
  obstacle: ShiftPauseReason | undefined,
  nowMs: number,
): ShiftDecision {
  if (!AUTOMATIC_PAUSE_REASONS.has(shift.record.pauseReason ?? ''))
    return wait('paused by an operator')
  if (obstacle !== undefined || observation.goodSinceMs === undefined)
    return wait(obstacle ?? 'paused')
  const unobstructedMs = nowMs - observation.goodSinceMs
  if (unobstructedMs < RECOVERY_INTERVALS * shift.record.stepIntervalMs)
    return wait('headroom is good again')
  return committableDecision(
    ShiftVerdict.Resume,
    'headroom was good for two steps',
    shift.resume(nowMs),
  )
}

/** Tells whether the target keeps enough headroom after the next step. */
function stepKeepsHeadroom(
  record: ShiftRecord,
  unmeasuredRate: number,
  loads: RegionLoadView,
): boolean {
  const load = loads.load(targetRegionOf(record), record.service)
  if (load === undefined) return false
  const expected = load.requestsPerSecond + unmeasuredRate + nextStepRate(record, loads)
  return expected <= capacityOf(load) * (1 - MIN_HEADROOM_FRACTION)
}

function callerRate(record: ShiftRecord, loads: RegionLoadView): number {
  const homeRate = loads.load(record.from, record.service)?.homeRequestsPerSecond ?? 0
  return Math.max(homeRate, record.plannedRate)
}

function takeStep(shift: CappedShift, nowMs: number): ShiftDecision {
  const next = shift.advance(nowMs)
  if (next.err) return wait(next.val.kind)
  return committableDecision(ShiftVerdict.Step, 'no obstacle', next)
}

function committableDecision(
  verdict: ShiftVerdict,
  reason: string,
  next: Result<CappedShift, ShiftError>,
): ShiftDecision {
  return next.ok ? { verdict, reason, record: next.val.record } : wait(next.val.message)
}

function wait(reason: string): ShiftDecision {
  return { verdict: ShiftVerdict.Wait, reason }
}
