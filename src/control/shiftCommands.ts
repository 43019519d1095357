/**
 * Commands that pause, resume or reverse a shift in one call; repeating one with the same change id
 * is safe.
 */
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import { SteeringError } from '../common/errors.js'
import type { ShiftRecord } from '../configuration/document.js'
import { RecordKind } from '../configuration/document.js'
import type { ConfigurationView } from '../configuration/view.js'
import type { ChangeLog } from './changeLog.js'
import { CommitErrorKind } from './changeLog.js'
import { messageWithoutRemedy } from './errorMessage.js'
import { applyPause, applyResume, applyReverse } from './shiftStates.js'

/** Actions that need no new plan, because none of them moves more callers than the shift's plan. */
export enum ShiftAction {
  Pause = 'pause',
  Resume = 'resume',
  Reverse = 'reverse',
}

export interface ShiftCommand {
  readonly action: ShiftAction
  readonly shiftId: string
  readonly operator: string
  /** Chosen by the sender; a command repeated under the same id is carried out once. */
  readonly changeId: string
}

/** Result of a successful command. */
export interface ShiftCommandResult {
  readonly shiftId: string
  readonly revision: number
}

export enum ShiftCommandErrorKind {
  UnknownShift = 'unknownShift',
  NotPossible = 'shiftStateNotPossible',
  StoreUnavailable = 'storeUnavailable',
  OutcomeUnknown = 'outcomeUnknown',
  /** Another change was committed first in every attempt. */
  Conflict = 'commandConflict',
}

type Outcome = Result<ShiftCommandResult, SteeringError<ShiftCommandErrorKind>>

const STATE_CHANGES = {
  [ShiftAction.Pause]: applyPause,
  [ShiftAction.Resume]: applyResume,
  [ShiftAction.Reverse]: applyReverse,
}

/**
 * Returns the time in a change id of the form `command-<base 36 milliseconds>-<random>`.
 * A repeated command must commit an identical change, so it can't use the current time.
 */
function issuedAtMs(changeId: string): number | undefined {
  const text = /^command-([0-9a-z]{8,9})-/.exec(changeId)?.[1]
  return text === undefined ? undefined : Number.parseInt(text, 36)
}

/** Creates a change id for a new command. */
export function createCommandId(nowMs: number, random: string): string {
  return `command-${nowMs.toString(36)}-${random}`
}

/** A step of the shift may be committed between reading it and committing the command. */
const MAX_COMMIT_ATTEMPTS = 5

export class ShiftCommands {
  readonly #changeLog: ChangeLog
  readonly #configuration: ConfigurationView

  constructor(changeLog: ChangeLog, configuration: ConfigurationView) {
    this.#changeLog = changeLog
    this.#configuration = configuration
  }

  /**
   * Applies the command to the latest state of the shift and commits it. The promise never rejects.
   */
  async run(command: ShiftCommand, nowMs: number): Promise<Outcome> {
    for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt++) {
      const head = await this.#changeLog.head()
      if (head.err)
        return Err(
          commandError(ShiftCommandErrorKind.StoreUnavailable, messageWithoutRemedy(head.val)),
        )
      const earlierRevision = head.val.changeIds.get(command.changeId)
      if (earlierRevision !== undefined)
        return Ok({ shiftId: command.shiftId, revision: earlierRevision })
      const shift = await this.#latestShift(command.shiftId, head.val.revision)
      if (shift.err) return shift
      const changed = STATE_CHANGES[command.action](shift.val, nowMs)
      if (changed.err)
        return Err(
          commandError(ShiftCommandErrorKind.NotPossible, messageWithoutRemedy(changed.val)),
        )
      const committed = await this.#changeLog.commit(
        {
          changeId: command.changeId,
          operator: command.operator,
          createdAtMs: issuedAtMs(command.changeId) ?? nowMs,
          summary: `${command.action} shift ${command.shiftId}`,
          records: [{ kind: RecordKind.PutShift, shift: changed.val }],
        },
        head.val.revision,
      )
      if (committed.ok) return Ok({ shiftId: command.shiftId, revision: committed.val })
      if (committed.val.kind !== CommitErrorKind.Conflict) {
        return Err(
          commandError(
            COMMIT_FAILURE_KINDS[committed.val.kind],
            messageWithoutRemedy(committed.val),
          ),
        )
      }
    }
    return Err(
      commandError(
        ShiftCommandErrorKind.Conflict,
        'another change was committed first in every attempt',
      ),
    )
  }

  /**
   * Returns the shift at `revision`: its state in the replica plus the changes that the replica
   * lacks.
   */
  async #latestShift(
    shiftId: string,
    revision: number,
  ): Promise<Result<ShiftRecord, SteeringError<ShiftCommandErrorKind>>> {
    const held = this.#configuration.current()
    let shift = held?.document.shifts.get(shiftId)
    if ((held?.revision ?? 0) < revision) {
      const missingChanges = await this.#changeLog.changes((held?.revision ?? 0) + 1, revision)
      if (missingChanges.err) {
        return Err(
          commandError(
            ShiftCommandErrorKind.StoreUnavailable,
            messageWithoutRemedy(missingChanges.val),
          ),
        )
      }
      for (const record of missingChanges.val.flatMap(({ change }) => change.records)) {
        if (record.kind === RecordKind.PutShift && record.shift.shiftId === shiftId) {
          shift = record.shift
        }
        if (record.kind === RecordKind.RemoveShift && record.shiftId === shiftId) shift = undefined
      }
    }
    if (shift !== undefined) return Ok(shift)
    return Err(commandError(ShiftCommandErrorKind.UnknownShift, `shift ${shiftId} does not exist`))
  }
}

const COMMIT_FAILURE_KINDS: Readonly<
  Record<Exclude<CommitErrorKind, CommitErrorKind.Conflict>, ShiftCommandErrorKind>
> = {
  [CommitErrorKind.Unavailable]: ShiftCommandErrorKind.StoreUnavailable,
  [CommitErrorKind.Unknown]: ShiftCommandErrorKind.OutcomeUnknown,
  [CommitErrorKind.Invalid]: ShiftCommandErrorKind.NotPossible,
}

const REMEDIES: Readonly<Record<ShiftCommandErrorKind, string>> = {
  [ShiftCommandErrorKind.UnknownShift]: 'see the shifts with: tamarackdrift status',
  [ShiftCommandErrorKind.NotPossible]: 'see the state of the shift with: tamarackdrift status',
  [ShiftCommandErrorKind.StoreUnavailable]:
    'nothing was committed; try again when the key-value service answers',
  [ShiftCommandErrorKind.OutcomeUnknown]:
    'repeat the command with the same --change-id; it is carried out at most once',
  [ShiftCommandErrorKind.Conflict]: 'repeat the command',
}

function commandError(
  kind: ShiftCommandErrorKind,
  problem: string,
): SteeringError<ShiftCommandErrorKind> {
  return new SteeringError(
    kind,
    `${kind === ShiftCommandErrorKind.OutcomeUnknown ? 'The shift may have been changed' : 'The shift was not changed'}: ${problem}`,
    REMEDIES[kind],
  )
}
