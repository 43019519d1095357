/** Confirmation of plans: commits exactly the plan that an operator read, or returns why not. */
import { sleep } from '../common/clock.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { Configuration, ConfigurationView } from '../configuration/view.js'
import type { RegionLoadView } from '../shift/regionLoad.js'
import type { ChangeLog, CommitError, HeadState } from './changeLog.js'
import { CommitErrorKind } from './changeLog.js'
import {
  ConfirmError,
  ConfirmErrorKind,
  alreadyConfirmed,
  expired,
  digestMismatch,
  refused,
  refusedToday,
  stale,
  farBehind,
  busy,
  replicaBehind,
  storeUnavailable,
  planUnreadable,
  outcomeUnknown,
} from './confirmErrors.js'
import type { Plan } from './plan.js'
import type { PlanLimits } from './planContext.js'
import type { PlanStore } from './planStore.js'
import { planIntent } from './planner.js'
import { problemOf } from './problems.js'
import { sharedKeys } from './recordKeys.js'

/** Request to confirm a plan. */
export interface Confirmation {
  readonly planId: string
  /** Digest of the plan that the operator read. */
  readonly digest: string
  readonly operator: string
}

/** Result of a successful confirmation. */
export interface Confirmed {
  readonly planId: string
  /** Revision under which the plan was committed. */
  readonly revision: number
}

export interface ConfirmationParts {
  readonly plans: PlanStore
  readonly changeLog: ChangeLog
  readonly configuration: ConfigurationView
  readonly loads: RegionLoadView
  readonly limits: PlanLimits
}

/** A commit that another change preceded is checked and attempted again. */
const MAX_COMMIT_TRIES = 4
/** Limit of the changes that are compared with a plan; beyond it, a new plan costs fewer calls. */
const MAX_REVISIONS_BEHIND = 64
/** Time that the local replica gets to reach the head revision. */
const REPLICA_WAIT_MS = 2000
const REPLICA_POLL_MS = 20

export class PlanConfirmation {
  readonly #parts: ConfirmationParts
  readonly #clock: () => number

  constructor(parts: ConfirmationParts, clock: () => number) {
    this.#parts = parts
    this.#clock = clock
  }

  /**
   * Commits the plan at most once. The promise never rejects; if it can't be determined whether
   * the commit took effect, the error is `OutcomeUnknown`.
   */
  async confirm(confirmation: Confirmation): Promise<Result<Confirmed, ConfirmError>> {
    const { planId } = confirmation
    for (let attempt = 0; attempt < MAX_COMMIT_TRIES; attempt++) {
      const head = await this.#parts.changeLog.head()
      if (head.err) return Err(storeUnavailable(head.val))
      const earlier = head.val.changeIds.get(planId)
      if (earlier !== undefined) return Err(alreadyConfirmed(planId, earlier))
      const plan = await this.#readPlan(confirmation)
      if (plan.err) return plan
      const checked = await this.#checkAgainst(head.val, plan.val)
      if (checked.err) return checked
      const committed = await this.#commit(plan.val, confirmation.operator, head.val.revision)
      if (committed !== undefined) return committed
    }
    return Err(busy(planId, MAX_COMMIT_TRIES))
  }

  async #readPlan(confirmation: Confirmation): Promise<Result<Plan, ConfirmError>> {
    const found = await this.#parts.plans.find(confirmation.planId)
    if (found.err) return Err(planUnreadable(found.val))
    const plan = found.val
    if (plan === undefined) return Err(expired(confirmation.planId, 'does not exist or was removed after it expired'))
    if (plan.digest !== confirmation.digest) return Err(digestMismatch(plan, confirmation.digest))
    if (plan.isExpired(this.#clock())) return Err(expired(plan.planId, 'has expired'))
    return plan.content.refusals.length > 0 ? Err(refused(plan)) : Ok(plan)
  }

  /**
   * Checks that a plan based on an older revision is still valid: no later revision changed what
   * the plan changes, and planning its intent again gives no refusal. Requiring the same revision
   * instead would block all confirmations while any shift commits its steps.
   */
  async #checkAgainst(head: HeadState, plan: Plan): Promise<Result<void, ConfirmError>> {
    const base = plan.content.baseRevision
    if (head.revision > base) {
      if (head.revision - base > MAX_REVISIONS_BEHIND) return Err(farBehind(plan, head.revision))
      const since = await this.#parts.changeLog.changes(base + 1, head.revision)
      if (since.err) return Err(storeUnavailable(since.val))
      // The head keeps only the latest change ids, so an older commit is found only in the changes.
      const own = since.val.find(({ change }) => change.changeId === plan.planId)
      if (own !== undefined) return Err(alreadyConfirmed(plan.planId, own.revision))
      const conflicts = since.val.filter(
        ({ change }) => sharedKeys(plan.content.changes, change.records).length > 0,
      )
      if (conflicts.length > 0) return Err(stale(plan, since.val, conflicts))
    }
    return this.#planAgain(plan, head.revision)
  }

  /** Plans the intent again on the current configuration and measurements. */
  async #planAgain(plan: Plan, revision: number): Promise<Result<void, ConfirmError>> {
    if (revision === 0) return Ok(undefined)
    const configuration = await this.#replicaAt(revision)
    if (configuration === undefined) return Err(replicaBehind(revision))
    const { planId, intent } = plan.content
    const { loads, limits } = this.#parts
    const input = { planId, configuration, loads, limits, lifetimeMs: 0 }
    const today = planIntent(intent, input, this.#clock())
    const [refusal] = today.content.refusals
    return refusal === undefined ? Ok(undefined) : Err(refusedToday(plan, refusal))
  }

  async #replicaAt(revision: number): Promise<Configuration | undefined> {
    const giveUpAtMs = this.#clock() + REPLICA_WAIT_MS
    for (;;) {
      const configuration = this.#parts.configuration.current()
      if (configuration !== undefined && configuration.revision >= revision) return configuration
      if (this.#clock() >= giveUpAtMs) return undefined
      await sleep(REPLICA_POLL_MS)
    }
  }

  /**
   * @returns `undefined` if another change was committed first, so that the check must be repeated
   */
  async #commit(
    plan: Plan,
    operator: string,
    headRevision: number,
  ): Promise<Result<Confirmed, ConfirmError> | undefined> {
    if (plan.isExpired(this.#clock())) {
      return Err(expired(plan.planId, 'expired while it was checked'))
    }
    const { planId, summary, changes: records, createdAtMs } = plan.content
    // Uses the plan's creation time, so that a repeated confirmation commits an identical change.
    const change = { changeId: planId, operator, createdAtMs, summary, records }
    const committed = await this.#parts.changeLog.commit(change, headRevision)
    if (committed.ok) return Ok({ planId, revision: committed.val })
    return COMMIT_FAILURES[committed.val.kind](planId, committed.val)
  }
}

type CommitFailure = (planId: string, error: CommitError) => Err<ConfirmError> | undefined

const COMMIT_FAILURES: Readonly<Record<CommitErrorKind, CommitFailure>> = {
  [CommitErrorKind.Conflict]: () => undefined,
  [CommitErrorKind.Unavailable]: (_planId, error) => Err(storeUnavailable(error)),
  [CommitErrorKind.Unknown]: (planId, error) => Err(outcomeUnknown(planId, error)),
  [CommitErrorKind.Invalid]: (planId, error) =>
    Err(
      new ConfirmError(
        ConfirmErrorKind.PlanStale,
        `Plan ${planId} does not apply to the configuration: ${problemOf(error)}`,
        'plan the intent again',
      ),
    ),
}
