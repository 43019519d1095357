/**
 * Periodic work of the control daemon: advancing shifts, snapshots, removal of completed drains and
 * old plans.
 */
import { sleep } from '../common/clock.js'
import { rendezvousOrder } from '../common/hashing.js'
import type { Logger } from '../common/logger.js'
import type { MembershipView } from '../membership/memberRecord.js'
import { MemberRole, MemberState } from '../membership/memberRecord.js'
import type { DutyLease } from './dutyLease.js'
import { DutyState } from './dutyLease.js'
import type { LeavingRetirement } from './leavingRetirement.js'
import type { PlanStore } from './planStore.js'
import type { ShiftAdvancer } from './shiftAdvancer.js'
import type { SnapshotKeeper } from './snapshotKeeper.js'

export interface DutyParts {
  readonly lease: DutyLease
  readonly advancer: ShiftAdvancer
  readonly retirement: LeavingRetirement
  readonly snapshots: SnapshotKeeper
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
const CANDIDATES = 3
const CANDIDATE_KEY = 'control-duty'
/** Interval of the work that is not urgent: removal of completed drains and of old plans. */
const SLOW_INTERVAL_MS = 10_000

/** Runs the periodic work from {@link start} to {@link stop}. */
export class ControlDuties {
  readonly #parts: DutyParts
  readonly #stopped = new AbortController()
  #loop: Promise<void> | undefined
  #slowDueMs = 0
  #lastState: DutyState | undefined

  constructor(parts: DutyParts) {
    this.#parts = parts
  }

  start(): void {
    this.#loop ??= this.#run()
  }

  /** Resolves when the current round has ended. */
  async stop(): Promise<void> {
    this.#stopped.abort()
    await this.#loop
  }

  async #run(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      await this.round()
      await sleep(this.#parts.intervalMs, this.#stopped.signal)
    }
  }

  /** Runs one round; public for tests. */
  async round(): Promise<void> {
    const { advancer, snapshots, clock } = this.#parts
    advancer.observe(clock())
    if (!this.#isCandidate()) return
    const state = await this.#hold()
    if (state !== DutyState.Held) return
    // Store calls take time, so each step reads the clock again.
    await advancer.advance(clock())
    await snapshots.keep()
    if (clock() < this.#slowDueMs) return
    this.#slowDueMs = clock() + SLOW_INTERVAL_MS
    await this.#parts.retirement.retire(clock())
    await this.#parts.plans.removeExpired(clock())
  }

  async #hold(): Promise<DutyState> {
    const { lease, advancer, logger, clock } = this.#parts
    const state = await lease.hold(clock())
    advancer.noteStore(state !== DutyState.StoreUnavailable, clock())
    if (state !== this.#lastState) logger.event('duty', { state })
    this.#lastState = state
    return state
  }

  #isCandidate(): boolean {
    const { members } = this.#parts
    const own = members.self().memberId
    const control = members
      .members()
      .filter(({ role, state }) => role === MemberRole.Control && state === MemberState.Live)
    const order = rendezvousOrder(CANDIDATE_KEY, control, ({ memberId }) => memberId)
    return order.slice(0, CANDIDATES).some(({ memberId }) => memberId === own)
  }
}
