/** A planned move of a service's callers between two regions, in steps under a cap. */
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { ShiftRecord } from '../configuration/document.js'
import { ShiftState } from '../configuration/document.js'

/** Kinds of errors about a shift. */
export enum ShiftErrorKind {
  /** The wanted shift contradicts itself. */
  Invalid = 'shiftInvalid',
  /** The step interval has not passed. */
  TooEarly = 'shiftTooEarly',
  /** The shift's state does not allow the transition. */
  WrongState = 'shiftWrongState',
}

/** Failure of a transition. */
export class ShiftError extends SteeringError<ShiftErrorKind> {}

/** What an operator asks for. */
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

/** A planned step. */
export interface ShiftStep {
  readonly step: number
  readonly share: number
  /** Milliseconds since the epoch; pauses delay it. */
  readonly earliestAtMs: number
}

/** Shares are kept to this precision, so that sums of steps meet the cap exactly. */
const SHARE_PRECISION = 1e9

/**
 * Aggregate over a {@link ShiftRecord}. It is immutable: each transition returns
 * the successor, which takes effect once its record is committed.
 */
export class CappedShift {
  readonly record: ShiftRecord
  /**
   * Time at which this process first saw the present step, milliseconds since
   * the epoch. A process that takes the work over waits a whole interval again.
   */
  readonly stepSeenAtMs: number

  private constructor(record: ShiftRecord, stepSeenAtMs: number) {
    this.record = record
    this.stepSeenAtMs = stepSeenAtMs
  }

  /** Checks an intent; the shift starts with nothing moved. */
  static plan(intent: ShiftIntent, nowMs: number): Result<CappedShift, ShiftError> {
    const problem = problemOf(intent)
    if (problem !== undefined) return Err(invalid(intent.shiftId, problem))
    const record = { ...intent, currentShare: 0, step: 0, state: ShiftState.Running }
    return Ok(new CappedShift(record, nowMs))
  }

  /** @param stepSeenAtMs see {@link CappedShift.stepSeenAtMs} */
  static of(record: ShiftRecord, stepSeenAtMs: number): CappedShift {
    return new CappedShift(record, stepSeenAtMs)
  }

  /** Steps that remain in the present direction; none for a paused or finished shift. */
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

  /** Takes the next step of a running or reversing shift. */
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

  /** Holds a running shift at its present share. */
  pause(reason: string, nowMs: number): Result<CappedShift, ShiftError> {
    // A paused reversal could not be told from a paused advance, and resuming would move blocks twice.
    if (this.record.state !== ShiftState.Running) return Err(this.#wrongState('paused'))
    return Ok(
      this.#withRecord({ ...this.record, state: ShiftState.Paused, pauseReason: reason }, nowMs),
    )
  }

  /** Continues a paused shift; the next step is a whole interval away. */
  resume(nowMs: number): Result<CappedShift, ShiftError> {
    if (this.record.state !== ShiftState.Paused) return Err(this.#wrongState('resumed'))
    return Ok(this.#withRecord({ ...withoutReason(this.record), state: ShiftState.Running }, nowMs))
  }

  /** Moves the blocks back in steps, the last ones first; possible until all are home. */
  reverse(nowMs: number): Result<CappedShift, ShiftError> {
    const { state, currentShare } = this.record
    const isHome = state === ShiftState.Finished && currentShare === 0
    if (state === ShiftState.Reversing || isHome) return Err(this.#wrongState('reversed'))
    // With nothing moved there is nothing to step back.
    const next = currentShare === 0 ? ShiftState.Finished : ShiftState.Reversing
    return Ok(this.#withRecord({ ...withoutReason(this.record), state: next }, nowMs))
  }

  #isMoving(): boolean {
    return this.record.state === ShiftState.Running || this.record.state === ShiftState.Reversing
  }

  #step(nowMs: number): CappedShift {
    const { state, currentShare, stepShare, capShare, step } = this.record
    const isForward = state === ShiftState.Running
    const target = isForward ? capShare : 0
    const moved = round(currentShare + (isForward ? stepShare : -stepShare))
    const share = isForward ? Math.min(moved, target) : Math.max(moved, target)
    const next = share === target ? ShiftState.Finished : state
    return this.#withRecord(
      { ...this.record, currentShare: share, step: step + 1, state: next },
      nowMs,
    )
  }

  #withRecord(record: ShiftRecord, stepSeenAtMs: number): CappedShift {
    return new CappedShift(record, stepSeenAtMs)
  }

  #wrongState(wish: string): ShiftError {
    const { shiftId, state, currentShare } = this.record
    return new ShiftError(
      ShiftErrorKind.WrongState,
      `Shift ${shiftId} is ${state} at ${String(currentShare * 100)}% and can't be ${wish}`,
      'read its state, then choose a transition that this state allows',
      { state },
    )
  }
}

function round(share: number): number {
  return Math.round(share * SHARE_PRECISION) / SHARE_PRECISION
}

function withoutReason(record: ShiftRecord): ShiftRecord {
  const copy: { pauseReason?: string } & ShiftRecord = { ...record }
  delete copy.pauseReason
  return copy
}

function problemOf(intent: ShiftIntent): string | undefined {
  const isShare = (share: number): boolean => share > 0 && share <= 1
  if (intent.from === intent.to) return 'both regions are the same'
  if (!isShare(intent.capShare)) return 'the cap is not above 0 and at most 1'
  if (!isShare(intent.stepShare)) return 'the step is not above 0 and at most 1'
  if (!(intent.stepIntervalMs >= 1)) return 'the step interval is under 1 ms'
  if (!(intent.plannedRate >= 0)) return 'the planned rate is negative'
  return undefined
}

function invalid(shiftId: string, problem: string): ShiftError {
  return new ShiftError(
    ShiftErrorKind.Invalid,
    `Shift ${shiftId} is not possible: ${problem}`,
    'correct the intent and plan again',
  )
}
