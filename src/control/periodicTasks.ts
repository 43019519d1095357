/**
 * Periodic work of the control daemon: advancing shifts, snapshots, removal of completed drains and
 * old plans.
 */
import { sleep } from '../common/clock.js'
import { rendezvousOrder } from '../common/hashing.js'
import type { Logger } from '../common/logger.js'
import type { MembershipView } from '../membership/memberRecord.js'
import { MemberRole, MemberState } from '../membership/memberRecord.js'
import type { LeaderLease } from './leaderLease.js'
import { LeaderLeaseState } from './leaderLease.js'
import type { DrainCleanup } from './drainCleanup.js'
import type { PlanStore } from './planStore.js'
import type { ShiftAdvancer } from './shiftAdvancer.js'
import type { SnapshotScheduler } from './snapshotScheduler.js'

export interface PeriodicTasksDependencies {
  readonly lease: LeaderLease
  readonly advancer: ShiftAdvancer
  readonly drainCleanup: DrainCleanup
  readonly snapshotScheduler: SnapshotScheduler
  readonly plans: PlanStore
  readonly members: MembershipView
  readonly logger: Logger
  /** Time between rounds in milliseconds. */
  readonly intervalMs: number
  readonly clock: () => number
}

/**
 * Number of control daemons that compete for the lease. If all 153 did, they
 * would read the store 76 times a second.
 */
const MAX_CANDIDATES = 3
const CANDIDATE_KEY = 'control-duty'
/** Interval of the work that is not urgent: removal of completed drains and of old plans. */
const SLOW_INTERVAL_MS = 10_000

/**
 * Runs the periodic work, one round at a time. Every daemon observes shifts; only the holder of
 * the lease commits changes.
 */
export class PeriodicTasks {
  readonly #dependencies: PeriodicTasksDependencies
  readonly #stopped = new AbortController()
  #loop: Promise<void> | undefined
  #nextSlowRunMs = 0
  #lastLeaseState: LeaderLeaseState | undefined

  constructor(dependencies: PeriodicTasksDependencies) {
    this.#dependencies = dependencies
  }

  start(): void {
    this.#loop ??= this.#runLoop()
  }

  /** Resolves when the current round has ended. */
  async stop(): Promise<void> {
    this.#stopped.abort()
    await this.#loop
  }

  async #runLoop(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      await this.runRound()
      await sleep(this.#dependencies.intervalMs, this.#stopped.signal)
    }
  }

  /** Runs one round; public for tests. */
  async runRound(): Promise<void> {
    const { advancer, snapshotScheduler, clock } = this.#dependencies
    advancer.observe(clock())
    if (!this.#isCandidate()) return
    const state = await this.#acquireOrRenewLease()
    if (state !== LeaderLeaseState.Held) return
    // Store calls take time, so each step reads the clock again.
    await advancer.advance(clock())
    await snapshotScheduler.writeIfDue()
    if (clock() < this.#nextSlowRunMs) return
    this.#nextSlowRunMs = clock() + SLOW_INTERVAL_MS
    await this.#dependencies.drainCleanup.removeCompleted(clock())
    await this.#dependencies.plans.removeExpired(clock())
  }

  async #acquireOrRenewLease(): Promise<LeaderLeaseState> {
    const { lease, advancer, logger, clock } = this.#dependencies
    const state = await lease.acquireOrRenew(clock())
    advancer.recordStoreAvailability(state !== LeaderLeaseState.StoreUnavailable, clock())
    if (state !== this.#lastLeaseState) logger.event('duty', { state })
    this.#lastLeaseState = state
    return state
  }

  #isCandidate(): boolean {
    const { members } = this.#dependencies
    const ownId = members.self().memberId
    const controlMembers = members
      .members()
      .filter(({ role, state }) => role === MemberRole.Control && state === MemberState.Live)
    const order = rendezvousOrder(CANDIDATE_KEY, controlMembers, ({ memberId }) => memberId)
    return order.slice(0, MAX_CANDIDATES).some(({ memberId }) => memberId === ownId)
  }
}
