/** Changes of a shift's state that operators ask for, on the aggregate of `src/shift`. */
import type { Result } from '../common/results.js'
import type { ShiftRecord } from '../configuration/document.js'
import { ShiftState } from '../configuration/document.js'
import type { ShiftError } from '../shift/cappedShift.js'
import { CappedShift } from '../shift/cappedShift.js'

type ShiftChange = Result<ShiftRecord, ShiftError>

/** Reason of a pause that an operator asked for; only an operator ends it. */
export const OPERATOR_PAUSE_REASON = 'paused by an operator'

/** Pauses a shift; an automatic pause becomes the operator's, so that it does not end by itself. */
export function pausedShift(record: ShiftRecord, nowMs: number): ShiftChange {
  const shift = CappedShift.of(record, nowMs)
  const isAutomatic =
    record.state === ShiftState.Paused && record.pauseReason !== OPERATOR_PAUSE_REASON
  const pausable = isAutomatic ? shift.resume(nowMs) : shift.pause(OPERATOR_PAUSE_REASON, nowMs)
  return pausable
    .andThen((next) => (isAutomatic ? next.pause(OPERATOR_PAUSE_REASON, nowMs) : pausable))
    .map((next) => next.record)
}

/** Ends a pause. */
export function resumedShift(record: ShiftRecord, nowMs: number): ShiftChange {
  return CappedShift.of(record, nowMs)
    .resume(nowMs)
    .map((next) => next.record)
}

/** Moves the callers back home, in the same steps. */
export function reversedShift(record: ShiftRecord, nowMs: number): ShiftChange {
  return CappedShift.of(record, nowMs)
    .reverse(nowMs)
    .map((next) => next.record)
}
