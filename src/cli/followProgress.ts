/** Follows a confirmed plan until it is in force everywhere and its shift is finished. */
import cliProgress from 'cli-progress'
import { sleep } from '../common/clock.js'
import type { ErrorDetails } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { ShiftRecord } from '../configuration/document.js'
import { ShiftState } from '../configuration/document.js'
import type { StatusReport } from '../control/operatorStatus.js'

/** Progress of a confirmed plan. */
export interface FollowState {
  /** Revision under which the plan was committed. */
  readonly revision: number
  /** Number of live members that hold the revision. */
  readonly membersInForce: number
  readonly liveMembers: number
  /** Whether all live members held the revision at some time. */
  readonly isInForce: boolean
  /** The shift that the plan started, if any. */
  readonly shift: ShiftRecord | undefined
  /** Whether the revision is in force and the shift, if any, is finished. */
  readonly isDone: boolean
}

export interface FollowDependencies {
  readonly status: (askMembers: boolean) => Promise<Result<StatusReport, ErrorDetails>>
  readonly show: (state: FollowState) => void
  readonly intervalMs: number
  /** Time after which following ends with an error; the change itself continues. */
  readonly timeoutMs: number
  readonly clock: () => number
}

/** Polls the status until the plan is done. A failed call is repeated until the timeout. */
export async function follow(
  revision: number,
  shiftId: string | undefined,
  dependencies: FollowDependencies,
): Promise<Result<FollowState, ErrorDetails>> {
  const endMs = dependencies.clock() + dependencies.timeoutMs
  let state: FollowState | undefined
  let lastError: ErrorDetails | undefined
  for (;;) {
    const report = await dependencies.status(state?.isInForce !== true)
    if (report.ok) {
      state = deriveFollowState(report.val, revision, shiftId, state)
      dependencies.show(state)
      if (state.isDone) return Ok(state)
    }
    lastError = report.err ? report.val : undefined
    if (dependencies.clock() >= endMs) return Err(lastError ?? timedOut(revision))
    await sleep(dependencies.intervalMs)
  }
}

/** Derives the progress from a status; once in force, a plan stays in force. */
export function deriveFollowState(
  report: StatusReport,
  revision: number,
  shiftId: string | undefined,
  previous: FollowState | undefined,
): FollowState {
  const laggingMembers = report.behind.filter((member) => (member.revision ?? -1) < revision)
  const wasInForce = previous?.isInForce === true
  const areMembersQueried = report.membersInForce !== null
  const isInForce =
    wasInForce ||
    (areMembersQueried &&
      report.liveMembers > 0 &&
      laggingMembers.length === 0 &&
      isHeldByDaemon(report))
  const membersInForce = areMembersQueried
    ? report.liveMembers - laggingMembers.length
    : (previous?.membersInForce ?? 0)
  const shift = report.shifts.find((candidate) => candidate.shiftId === shiftId)
  const isShiftDone =
    shiftId === undefined || shift === undefined || shift.state === ShiftState.Finished
  return {
    revision,
    membersInForce,
    liveMembers: report.liveMembers,
    isInForce,
    shift,
    isDone: isInForce && isShiftDone,
  }

  function isHeldByDaemon(status: StatusReport): boolean {
    return status.heldRevision >= revision
  }
}

/** Progress bars on a terminal. */
export class ProgressDisplay {
  readonly #bars = new cliProgress.MultiBar(
    { format: '{label} [{bar}] {value}/{total} {note}', hideCursor: true, clearOnComplete: false },
    cliProgress.Presets.shades_classic,
  )
  #members: cliProgress.SingleBar | undefined
  #shift: cliProgress.SingleBar | undefined

  show(state: FollowState): void {
    this.#members ??= this.#bars.create(state.liveMembers, 0, {
      label: 'members in force',
      note: '',
    })
    this.#members.setTotal(state.liveMembers)
    this.#members.update(state.membersInForce, { note: `revision ${String(state.revision)}` })
    if (state.shift === undefined) return
    const { capShare, currentShare, state: shiftState, pauseReason } = state.shift
    const total = toTenthsOfPercent(capShare)
    this.#shift ??= this.#bars.create(total, 0, { label: 'shift (0.1%)   ', note: '' })
    const note = pauseReason === undefined ? shiftState : `${shiftState}: ${pauseReason}`
    this.#shift.update(toTenthsOfPercent(currentShare), { note })
  }

  stop(): void {
    this.#bars.stop()
  }
}

function toTenthsOfPercent(share: number): number {
  return Math.round(share * 1000)
}

function timedOut(revision: number): ErrorDetails {
  return {
    kind: 'followTimedOut',
    message: `Revision ${String(revision)} is committed, but was not completed within the follow timeout`,
    remedy:
      'see which members or shift are not done with: tamarackdrift status; then follow it again',
  }
}
