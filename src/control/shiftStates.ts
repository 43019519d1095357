/** State changes of a shift on behalf of an operator. */
import type { Result } from '../common/results.js'
import type { ShiftRecord } from '../configuration/document.js'
import { ShiftState } from '../configuration/document.js'
import type { ShiftError } from '../shift/cappedShift.js'
import { CappedShift } from '../shift/cappedShift.js'

type ShiftChange = Result<ShiftRecord, ShiftError>

/** Pause reason of a pause by an operator; only an operator ends such a pause. */
export const OPERATOR_PAUSE_REASON = 'paused by an operator'

/**
 * Pauses a shift. An automatic pause is replaced by the operator's, so that it does not end
 * automatically.
 */
export function applyPause(record: ShiftRecord, nowMs: number): ShiftChange {
  const shift = CappedShift.fromRecord(record, nowMs)
  const isAutomatic =
    record.state === ShiftState.Paused && record.pauseReason !== OPERATOR_PAUSE_REASON
  const changed = isAutomatic ? shift.resume(nowMs) : shift.pause(OPERATOR_PAUSE_REASON, nowMs)
  return changed
    .andThen((next) => (isAutomatic ? next.pause(OPERATOR_PAUSE_REASON, nowMs) : changed))
    .map((next) => next.record)
}

/** Resumes a paused shift. */
export function applyResume(record: ShiftRecord, nowMs: number): ShiftChange {
  return CappedShift.fromRecord(record, nowMs)
    .resume(nowMs)
    .map((next) => next.record)
}

/** Moves the callers back to their home region, in steps of the same size. */
export function applyReverse(record: ShiftRecord, nowMs: number): ShiftChange {
  return CappedShift.fromRecord(record, nowMs)
    .reverse(nowMs)
    .map((next) => next.record)
}
