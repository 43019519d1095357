/** Changes of a shift's state that operators ask for. */
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { ShiftRecord } from '../configuration/document.js'
import { ShiftState } from '../configuration/document.js'

/** Kinds of errors about a shift's state. */
export enum ShiftStateErrorKind {
  NotPossible = 'shiftStateNotPossible',
}

type ShiftChange = Result<ShiftRecord, SteeringError<ShiftStateErrorKind>>

/** Reason of a pause that an operator asked for; only an operator ends it. */
export const OPERATOR_PAUSE_REASON = 'paused by an operator'

/** Pauses a running shift. */
export function pausedShift(shift: ShiftRecord): ShiftChange {
  const pausedByOperator =
    shift.state === ShiftState.Paused && shift.pauseReason === OPERATOR_PAUSE_REASON
  if (pausedByOperator || shift.state === ShiftState.Finished) return notPossible(shift, 'paused')
  if (shift.state === ShiftState.Reversing) return notPossible(shift, 'paused')
  return Ok({ ...shift, state: ShiftState.Paused, pauseReason: OPERATOR_PAUSE_REASON })
}

/** Ends a pause. */
export function resumedShift(shift: ShiftRecord): ShiftChange {
  if (shift.state !== ShiftState.Paused) return notPossible(shift, 'resumed')
  return Ok(withoutReason({ ...shift, state: ShiftState.Running }))
}

/** Moves the callers back home, in the same steps. */
export function reversedShift(shift: ShiftRecord): ShiftChange {
  if (shift.state === ShiftState.Reversing) return notPossible(shift, 'reversed')
  if (shift.state === ShiftState.Finished && shift.currentShare === 0) {
    return notPossible(shift, 'reversed')
  }
  return Ok(withoutReason({ ...shift, state: ShiftState.Reversing }))
}

function withoutReason(shift: ShiftRecord): ShiftRecord {
  return Object.fromEntries(
    Object.entries(shift).filter(([name]) => name !== 'pauseReason'),
  ) as unknown as ShiftRecord
}

function notPossible(shift: ShiftRecord, wish: string): ShiftChange {
  return Err(
    new SteeringError(
      ShiftStateErrorKind.NotPossible,
      `Shift ${shift.shiftId} is ${shift.state} at ${String(shift.currentShare * 100)}% and can't be ${wish}`,
      'see its state with: tamarackdrift status',
    ),
  )
}
