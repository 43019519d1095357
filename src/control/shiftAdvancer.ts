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
import { RegionLossTracker } from './regionLossTracker.js'
import type { ShiftDecision, ShiftObservation } from './shiftDecision.js'
import {
  ShiftVerdict,
  decideShift,
  nextStepRate,
  findObstacle,
  targetRegionOf,
  unmeasuredStepRate,
} from './shiftDecision.js'

export interface ShiftAdvancerDependencies {
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

interface ObservedShift extends ShiftObservation {
  readonly step: number
  readonly state: ShiftState
  readonly share: number
}

type CommittableDecision = Required<ShiftDecision>

/** Step intervals that the store must be available again before shifts continue. */
const RECOVERY_INTERVALS = 2
/** Longest summary that the configuration accepts. */
const MAX_SUMMARY_LENGTH = 1024

/**
 * Observes all shifts in each round and, while this daemon holds the lease, commits at most one
 * change for all of them. The commit is conditional on the revision that the decisions are based
 * on, so a process that was paused and resumes on an old revision commits nothing.
 */
export class ShiftAdvancer {
  readonly #dependencies: ShiftAdvancerDependencies
  readonly #lossTracker = new RegionLossTracker()
  readonly #observedShifts = new Map<string, ObservedShift>()
  #storeAvailableSinceMs: number | undefined
  #storeFailed = false
  /** Latest commit of this process per shift. */
  readonly #ownCommits = new Map<string, { step: number; state: ShiftState; atMs: number }>()
  #committedRevision = 0

  constructor(dependencies: ShiftAdvancerDependencies) {
    this.#dependencies = dependencies
  }

  /** Records whether the store answered; after an outage, shifts wait for two step intervals. */
  recordStoreAvailability(isAvailable: boolean, nowMs: number): void {
    if (!isAvailable) {
      this.#storeFailed = true
      this.#storeAvailableSinceMs = undefined
    } else if (this.#storeFailed) {
      this.#storeAvailableSinceMs ??= nowMs
    }
  }

  /**
   * Updates the observations that decisions are based on. Call it even while another daemon holds
   * the lease.
   */
  observe(nowMs: number): void {
    const { loads, members, configuration } = this.#dependencies
    this.#lossTracker.observe(members.members(), loads.all(), nowMs)
    const shifts = configuration.current()?.document.shifts ?? new Map<string, ShiftRecord>()
    for (const shiftId of [...this.#observedShifts.keys()]) {
      if (shifts.has(shiftId)) continue
      this.#observedShifts.delete(shiftId)
      this.#ownCommits.delete(shiftId)
    }
    const unmeasuredRates = this.#unmeasuredRates(shifts.values(), nowMs)
    for (const shift of shifts.values()) this.#observeShift(shift, unmeasuredRates, nowMs)
  }

  /**
   * Decides on each shift and commits all decisions as one change.
   *
   * @returns the number of decisions
   */
  async advance(nowMs: number): Promise<number> {
    const configuration = this.#dependencies.configuration.current()
    // Until the replica holds the last commit of this process, a new commit would only conflict.
    if (configuration === undefined || configuration.revision < this.#committedRevision) return 0
    const decisions = this.#decide(configuration, nowMs)
    if (decisions.length > 0) await this.#commit(decisions, configuration.revision, nowMs)
    return decisions.length
  }

  #decide(configuration: Configuration, nowMs: number): CommittableDecision[] {
    const shifts = [...configuration.document.shifts.values()]
    const unmeasuredRates = this.#unmeasuredRates(shifts, nowMs)
    const decisions: CommittableDecision[] = []
    for (const shift of shifts) {
      const observation = this.#observedShifts.get(shift.shiftId)
      // If the replica changed since the observation, the interval starts again from the new step.
      const isObservationCurrent =
        observation?.step === shift.step && observation.state === shift.state
      if (!isObservationCurrent || shift.state === ShiftState.Finished) continue
      const target = targetKey(shift)
      const obstacle = this.#findObstacle(shift, unmeasuredRates.get(target) ?? 0, nowMs)
      const { verdict, reason, record } = decideShift(shift, observation, obstacle, nowMs)
      if (record === undefined) continue
      decisions.push({ verdict, reason, record })
      if (verdict === ShiftVerdict.Step) {
        unmeasuredRates.set(
          target,
          (unmeasuredRates.get(target) ?? 0) + nextStepRate(shift, this.#dependencies.loads),
        )
      }
    }
    return decisions
  }

  /**
   * Requests/s that were moved but may not show in measurements yet, by service and target region.
   */
  #unmeasuredRates(shifts: Iterable<ShiftRecord>, nowMs: number): Map<string, number> {
    const rates = new Map<string, number>()
    for (const shift of shifts) {
      const observation = this.#observedShifts.get(shift.shiftId)
      if (observation === undefined) continue
      const rate = unmeasuredStepRate(shift, observation, this.#dependencies.loads, nowMs)
      rates.set(targetKey(shift), (rates.get(targetKey(shift)) ?? 0) + rate)
    }
    return rates
  }

  #observeShift(
    shift: ShiftRecord,
    unmeasuredRates: ReadonlyMap<string, number>,
    nowMs: number,
  ): void {
    const previous = this.#observedShifts.get(shift.shiftId)
    const { step, state, currentShare: share } = shift
    const isUnchanged = previous?.step === step && previous.state === state
    const previousShare =
      previous === undefined || previous.share === share ? previous?.previousShare : previous.share
    const obstacle = this.#findObstacle(shift, unmeasuredRates.get(targetKey(shift)) ?? 0, nowMs)
    this.#observedShifts.set(shift.shiftId, {
      step,
      state,
      share,
      seenAtMs: isUnchanged ? previous.seenAtMs : this.#stepStartMs(shift, nowMs),
      // A process that did not observe the last step assumes that measurements do not show it yet.
      previousShare: previousShare ?? Math.max(0, share - shift.stepShare),
      goodSinceMs: obstacle === undefined ? (previous?.goodSinceMs ?? nowMs) : undefined,
    })
  }

  /** The step interval starts at the commit by this process, not when the replica receives it. */
  #stepStartMs(shift: ShiftRecord, nowMs: number): number {
    const ownCommit = this.#ownCommits.get(shift.shiftId)
    return ownCommit?.step === shift.step && ownCommit.state === shift.state
      ? ownCommit.atMs
      : nowMs
  }

  #findObstacle(
    shift: ShiftRecord,
    unmeasuredRate: number,
    nowMs: number,
  ): ReturnType<typeof findObstacle> {
    const conditions = {
      isStoreAvailable: this.#isStoreStable(shift, nowMs),
      targetLostAtMs: this.#lossTracker.lastLossAtMs(targetRegionOf(shift), shift.service),
    }
    return findObstacle(shift, unmeasuredRate, this.#dependencies.loads, conditions, nowMs)
  }

  #isStoreStable(shift: ShiftRecord, nowMs: number): boolean {
    if (!this.#storeFailed) return true
    if (this.#storeAvailableSinceMs === undefined) return false
    return nowMs - this.#storeAvailableSinceMs >= RECOVERY_INTERVALS * shift.stepIntervalMs
  }

  #recordOwnCommit(
    decisions: readonly CommittableDecision[],
    revision: number,
    nowMs: number,
  ): void {
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
    const { changeLog, memberId, incarnation, logger } = this.#dependencies
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
    this.recordStoreAvailability(committed.ok || isStoreReachable(committed.val.kind), nowMs)
    if (committed.ok) this.#recordOwnCommit(decisions, committed.val, nowMs)
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
  return `${shift.service}@${targetRegionOf(shift)}`
}

function isStoreReachable(kind: CommitErrorKind): boolean {
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
