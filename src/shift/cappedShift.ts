/** A planned shift of a service's callers from one region to another, in steps up to a cap. */
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { ShiftRecord } from '../configuration/document.js'
import { ShiftState } from '../configuration/document.js'

export enum ShiftErrorKind {
  /** A field of the intent is out of range, or its regions are the same. */
  Invalid = 'shiftInvalid',
  /** The interval since the last step has not passed. */
  TooEarly = 'shiftTooEarly',
  /** The state of the shift does not allow the transition. */
  WrongState = 'shiftWrongState',
}

/** Error of {@link CappedShift.plan} or of a transition. */
export class ShiftError extends SteeringError<ShiftErrorKind> {}

/** Fields of a shift that an operator specifies. */
export type ShiftIntent = Pick<
  ShiftRecord,
  | 'shiftId'
  | 'service'
  | 'from'
  | 'to'
  | 'capShare'
  | 'stepShare'
  | 'stepIntervalMs'
  | 'plannedRate'
>

/** A future step of a shift, with the cumulative share that it reaches. */
export interface ShiftStep {
  readonly step: number
  readonly share: number
  /** Milliseconds since the epoch; a pause postpones it. */
  readonly earliestAtMs: number
}

/** Shares are rounded to 1e-9, so that the sum of the steps equals the cap exactly. */
const SHARE_PRECISION = 1e9

/**
 * State machine over a {@link ShiftRecord}. Immutable: each transition returns a new shift, which
 * takes effect once its record is committed.
 */
export class CappedShift {
  readonly record: ShiftRecord
  /**
   * Time at which this process first saw the current step, milliseconds since the epoch. A
   * process that takes over the shift waits a whole interval before the next step.
   */
  readonly stepSeenAtMs: number

  private constructor(record: ShiftRecord, stepSeenAtMs: number) {
    this.record = record
    this.stepSeenAtMs = stepSeenAtMs
  }

  /** Validates an intent and returns a running shift with a current share of 0. */
  static plan(intent: ShiftIntent, nowMs: number): Result<CappedShift, ShiftError> {
    const problem = findProblem(intent)
    if (problem !== undefined) return Err(invalidIntent(intent.shiftId, problem))
    const record = { ...intent, currentShare: 0, step: 0, state: ShiftState.Running }
    return Ok(new CappedShift(record, nowMs))
  }

  /** @param stepSeenAtMs see {@link CappedShift.stepSeenAtMs} */
  static fromRecord(record: ShiftRecord, stepSeenAtMs: number): CappedShift {
    return new CappedShift(record, stepSeenAtMs)
  }

  /** Remaining steps in the current direction; none for a paused or finished shift. */
  remainingSteps(nowMs: number): readonly ShiftStep[] {
    const steps: ShiftStep[] = []
    let shift: CappedShift = this.#withRecord(this.record, this.stepSeenAtMs)
    while (shift.#isMoving()) {
      const earliestAtMs = Math.max(nowMs, shift.stepSeenAtMs + this.record.stepIntervalMs)
      shift = shift.#step(earliestAtMs)
      steps.push({ step: shift.record.step, share: shift.record.currentShare, earliestAtMs })
    }
    return steps
  }

  /** Takes the next step of a running or reversing shift, at most one per step interval. */
  advance(nowMs: number): Result<CappedShift, ShiftError> {
    if (!this.#isMoving()) return Err(this.#wrongState('advanced'))
    const waitMs = this.stepSeenAtMs + this.record.stepIntervalMs - nowMs
    if (waitMs > 0) {
      return Err(
        new ShiftError(
          ShiftErrorKind.TooEarly,
          `Shift ${this.record.shiftId} took its last step less than ${String(this.record.stepIntervalMs)} ms ago`,
          `advance it in ${String(waitMs)} ms`,
          { waitMs },
        ),
      )
    }
    return Ok(this.#step(nowMs))
  }

  /** Pauses a running shift at its current share. */
  pause(reason: string, nowMs: number): Result<CappedShift, ShiftError> {
    // The record has no direction, so resuming a paused reversal would move its blocks again.
    if (this.record.state !== ShiftState.Running) return Err(this.#wrongState('paused'))
    return Ok(
      this.#withRecord({ ...this.record, state: ShiftState.Paused, pauseReason: reason }, nowMs),
    )
  }

  /** Resumes a paused shift; the next step is due after a whole interval. */
  resume(nowMs: number): Result<CappedShift, ShiftError> {
    if (this.record.state !== ShiftState.Paused) return Err(this.#wrongState('resumed'))
    return Ok(
      this.#withRecord({ ...withoutPauseReason(this.record), state: ShiftState.Running }, nowMs),
    )
  }

  /** Starts to move the blocks back in steps, last moved first; fails once all are back. */
  reverse(nowMs: number): Result<CappedShift, ShiftError> {
    const { state, currentShare } = this.record
    const isFullyReversed = state === ShiftState.Finished && currentShare === 0
    if (state === ShiftState.Reversing || isFullyReversed) return Err(this.#wrongState('reversed'))
    // Without moved blocks, the reversal is complete at once.
    const next = currentShare === 0 ? ShiftState.Finished : ShiftState.Reversing
    return Ok(this.#withRecord({ ...withoutPauseReason(this.record), state: next }, nowMs))
  }

  #isMoving(): boolean {
    return this.record.state === ShiftState.Running || this.record.state === ShiftState.Reversing
  }

  #step(nowMs: number): CappedShift {
    const { state, currentShare, stepShare, capShare, step } = this.record
    const isForward = state === ShiftState.Running
    const target = isForward ? capShare : 0
    const unlimitedShare = round(currentShare + (isForward ? stepShare : -stepShare))
    const share = isForward ? Math.min(unlimitedShare, target) : Math.max(unlimitedShare, target)
    const next = share === target ? ShiftState.Finished : state
    return this.#withRecord(
      { ...this.record, currentShare: share, step: step + 1, state: next },
      nowMs,
    )
  }

  #withRecord(record: ShiftRecord, stepSeenAtMs: number): CappedShift {
    return new CappedShift(record, stepSeenAtMs)
  }

  #wrongState(transition: string): ShiftError {
    const { shiftId, state, currentShare } = this.record
    return new ShiftError(
      ShiftErrorKind.WrongState,
      `Shift ${shiftId} is ${state} at ${String(currentShare * 100)}% and can't be ${transition}`,
      'read its state, then choose a transition that this state allows',
      { state },
    )
  }
}

function round(share: number): number {
  return Math.round(share * SHARE_PRECISION) / SHARE_PRECISION
}

function withoutPauseReason(record: ShiftRecord): ShiftRecord {
  const copy: { pauseReason?: string } & ShiftRecord = { ...record }
  delete copy.pauseReason
  return copy
}

function findProblem(intent: ShiftIntent): string | undefined {
  const isShare = (share: number): boolean => share > 0 && share <= 1
  if (intent.from === intent.to) return 'its regions are the same'
  if (!isShare(intent.capShare)) return 'the cap share must be above 0 and at most 1'
  if (!isShare(intent.stepShare)) return 'the step share must be above 0 and at most 1'
  if (!(intent.stepIntervalMs >= 1)) return 'the step interval must be at least 1 ms'
  if (!(intent.plannedRate >= 0)) return 'the planned rate must not be negative'
  return undefined
}

function invalidIntent(shiftId: string, problem: string): ShiftError {
  return new ShiftError(
    ShiftErrorKind.Invalid,
    `Shift ${shiftId} is invalid: ${problem}`,
    'correct the intent and plan again',
  )
}
