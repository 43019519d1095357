/** Advances, pauses and resumes shifts. Safe to run in several control daemons at the same time. */
import { hashText64 } from '../common/hashing.js'
import type { Logger } from '../common/logger.js'
import type { ShiftRecord } from '../configuration/document.js'
import { RecordKind, ShiftState } from '../configuration/document.js'
import type { Configuration, ConfigurationView } from '../configuration/view.js'
import type { MembershipView } from '../membership/memberRecord.js'
import type { RegionLoadView } from '../shift/regionLoad.js'
import type { ChangeLog } from './changeLog.js'
import { CommitErrorKind } from './changeLog.js'
import { RegionLosses } from './regionLosses.js'
import type { ShiftDecision, ShiftSight } from './shiftDecision.js'
import {
  ShiftVerdict,
  decideShift,
  nextStepRate,
  obstacleOf,
  targetOf,
  unseenRate,
} from './shiftDecision.js'

export interface AdvancerParts {
  readonly changeLog: ChangeLog
  readonly configuration: ConfigurationView
  readonly loads: RegionLoadView
  readonly members: MembershipView
  readonly logger: Logger
  /** Operator name of the commits in the history. */
  readonly memberId: string
  /** Incarnation of this process. */
  readonly incarnation: string
}

interface Sighting extends ShiftSight {
  readonly step: number
  readonly state: ShiftState
  readonly share: number
}

type CommittableDecision = Required<ShiftDecision>

/** Step intervals that the store must be available again before shifts continue. */
const GOOD_INTERVALS = 2
/** Longest summary that the configuration accepts. */
const MAX_SUMMARY_LENGTH = 1024

/**
 * Observes all shifts in each round and, while this daemon holds the lease, commits at most one
 * change for all of them. The commit is conditional on the revision that the decisions are based
 * on, so a process that was paused and resumes on an old revision commits nothing.
 */
export class ShiftAdvancer {
  readonly #parts: AdvancerParts
  readonly #losses = new RegionLosses()
  readonly #sightings = new Map<string, Sighting>()
  #storeGoodSinceMs: number | undefined
  #storeFailed = false
  /** Latest commit of this process per shift. */
  readonly #ownCommits = new Map<string, { step: number; state: ShiftState; atMs: number }>()
  #committedRevision = 0

  constructor(parts: AdvancerParts) {
    this.#parts = parts
  }

  /** Records whether the store answered; after an outage, shifts wait for two step intervals. */
  noteStore(isAvailable: boolean, nowMs: number): void {
    if (!isAvailable) {
      this.#storeFailed = true
      this.#storeGoodSinceMs = undefined
    } else if (this.#storeFailed) {
      this.#storeGoodSinceMs ??= nowMs
    }
  }

  /**
   * Updates the observations that decisions are based on. Call it even while another daemon holds
   * the lease.
   */
  observe(nowMs: number): void {
    const { loads, members, configuration } = this.#parts
    this.#losses.observe(members.members(), loads.all(), nowMs)
    const shifts = configuration.current()?.document.shifts ?? new Map<string, ShiftRecord>()
    for (const shiftId of [...this.#sightings.keys()]) {
      if (shifts.has(shiftId)) continue
      this.#sightings.delete(shiftId)
      this.#ownCommits.delete(shiftId)
    }
    const added = this.#addedRates(shifts.values(), nowMs)
    for (const shift of shifts.values()) this.#see(shift, added, nowMs)
  }

  /**
   * Decides on each shift and commits all decisions as one change.
   *
   * @returns the number of decisions
   */
  async advance(nowMs: number): Promise<number> {
    const configuration = this.#parts.configuration.current()
    // Until the replica holds the last commit of this process, a new commit would only conflict.
    if (configuration === undefined || configuration.revision < this.#committedRevision) return 0
    const decisions = this.#decide(configuration, nowMs)
    if (decisions.length > 0) await this.#commit(decisions, configuration.revision, nowMs)
    return decisions.length
  }

  #decide(configuration: Configuration, nowMs: number): CommittableDecision[] {
    const shifts = [...configuration.document.shifts.values()]
    const added = this.#addedRates(shifts, nowMs)
    const decisions: CommittableDecision[] = []
    for (const shift of shifts) {
      const sight = this.#sightings.get(shift.shiftId)
      // If the replica changed since the observation, the interval starts again from the new step.
      const isSeen = sight?.step === shift.step && sight.state === shift.state
      if (!isSeen || shift.state === ShiftState.Finished) continue
      const key = targetKey(shift)
      const obstacle = this.#obstacle(shift, added.get(key) ?? 0, nowMs)
      const { verdict, reason, record } = decideShift(shift, sight, obstacle, nowMs)
      if (record === undefined) continue
      decisions.push({ verdict, reason, record })
      if (verdict === ShiftVerdict.Step) {
        added.set(key, (added.get(key) ?? 0) + nextStepRate(shift, this.#parts.loads))
      }
    }
    return decisions
  }

  /**
   * Requests/s that were moved but may not show in measurements yet, by service and target region.
   */
  #addedRates(shifts: Iterable<ShiftRecord>, nowMs: number): Map<string, number> {
    const added = new Map<string, number>()
    for (const shift of shifts) {
      const sight = this.#sightings.get(shift.shiftId)
      if (sight === undefined) continue
      const rate = unseenRate(shift, sight, this.#parts.loads, nowMs)
      added.set(targetKey(shift), (added.get(targetKey(shift)) ?? 0) + rate)
    }
    return added
  }

  #see(shift: ShiftRecord, added: ReadonlyMap<string, number>, nowMs: number): void {
    const last = this.#sightings.get(shift.shiftId)
    const { step, state, currentShare: share } = shift
    const isSame = last?.step === step && last.state === state
    const moved = last === undefined || last.share === share ? last?.previousShare : last.share
    const obstacle = this.#obstacle(shift, added.get(targetKey(shift)) ?? 0, nowMs)
    this.#sightings.set(shift.shiftId, {
      step,
      state,
      share,
      seenAtMs: isSame ? last.seenAtMs : this.#ownCommitMs(shift, nowMs),
      // A process that did not observe the last step assumes that measurements do not show it yet.
      previousShare: moved ?? Math.max(0, share - shift.stepShare),
      goodSinceMs: obstacle === undefined ? (last?.goodSinceMs ?? nowMs) : undefined,
    })
  }

  /** The step interval starts at the commit by this process, not when the replica receives it. */
  #ownCommitMs(shift: ShiftRecord, nowMs: number): number {
    const own = this.#ownCommits.get(shift.shiftId)
    return own?.step === shift.step && own.state === shift.state ? own.atMs : nowMs
  }

  #obstacle(shift: ShiftRecord, addedRate: number, nowMs: number): ReturnType<typeof obstacleOf> {
    const conditions = {
      isStoreAvailable: this.#isStoreGood(shift, nowMs),
      targetLostAtMs: this.#losses.lastLossMs(targetOf(shift), shift.service),
    }
    return obstacleOf(shift, addedRate, this.#parts.loads, conditions, nowMs)
  }

  #isStoreGood(shift: ShiftRecord, nowMs: number): boolean {
    if (!this.#storeFailed) return true
    if (this.#storeGoodSinceMs === undefined) return false
    return nowMs - this.#storeGoodSinceMs >= GOOD_INTERVALS * shift.stepIntervalMs
  }

  #noteOwn(decisions: readonly CommittableDecision[], revision: number, nowMs: number): void {
    this.#committedRevision = revision
    for (const { record } of decisions) {
      const { shiftId, step, state } = record
      this.#ownCommits.set(shiftId, { step, state, atMs: nowMs })
    }
  }

  async #commit(
    decisions: readonly CommittableDecision[],
    revision: number,
    nowMs: number,
  ): Promise<void> {
    const { changeLog, memberId, incarnation, logger } = this.#parts
    const change = {
      // Unique per attempt, because the change body that a failed attempt left in the store must
      // not block the next one.
      changeId: `advance-${hashText64(`${incarnation} ${String(revision)} ${String(nowMs)}`)}`,
      operator: memberId,
      createdAtMs: nowMs,
      summary: decisions.map(summaryOf).join('; ').slice(0, MAX_SUMMARY_LENGTH),
      records: decisions.map(({ record }) => ({
        kind: RecordKind.PutShift as const,
        shift: record,
      })),
    }
    const committed = await changeLog.commit(change, revision)
    this.noteStore(committed.ok || isAnswered(committed.val.kind), nowMs)
    if (committed.ok) this.#noteOwn(decisions, committed.val, nowMs)
    for (const { verdict, reason, record } of decisions) {
      logger.decision('shift', {
        shiftId: record.shiftId,
        verdict,
        reason,
        share: record.currentShare,
        step: record.step,
        revision: committed.ok ? committed.val : revision,
        outcome: committed.ok ? 'committed' : committed.val.kind,
      })
    }
  }
}

function targetKey(shift: ShiftRecord): string {
  return `${shift.service}@${targetOf(shift)}`
}

function isAnswered(kind: CommitErrorKind): boolean {
  return kind === CommitErrorKind.Conflict || kind === CommitErrorKind.Invalid
}

const SUMMARIES: Readonly<Record<ShiftVerdict, string>> = {
  [ShiftVerdict.Step]: 'step of',
  [ShiftVerdict.Pause]: 'pause',
  [ShiftVerdict.Resume]: 'resume',
  [ShiftVerdict.Wait]: 'keep',
}

function summaryOf({ record, verdict, reason }: CommittableDecision): string {
  const share = String(Math.round(record.currentShare * 1000) / 10)
  return `${SUMMARIES[verdict]} ${record.shiftId} at ${share}%: ${reason}`
}
