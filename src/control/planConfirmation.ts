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
  refusedOnReplan,
  stale,
  tooManyRevisionsBehind,
  tooManyConflicts,
  replicaBehind,
  storeUnavailable,
  planUnreadable,
  outcomeUnknown,
} from './confirmErrors.js'
import type { Plan } from './plan.js'
import type { PlanLimits } from './planContext.js'
import type { PlanStore } from './planStore.js'
import { planIntent } from './planner.js'
import { messageWithoutRemedy } from './errorMessage.js'
import { sharedKeys } from './recordKeys.js'

/** Request to confirm a plan. */
export interface ConfirmationRequest {
  readonly planId: string
  /** Digest of the plan that the operator read. */
  readonly digest: string
  readonly operator: string
}

/** Result of a successful confirmation. */
export interface ConfirmationResult {
  readonly planId: string
  /** Revision under which the plan was committed. */
  readonly revision: number
}

export interface PlanConfirmationDependencies {
  readonly plans: PlanStore
  readonly changeLog: ChangeLog
  readonly configuration: ConfigurationView
  readonly loads: RegionLoadView
  readonly limits: PlanLimits
}

/** A commit that another change preceded is checked and attempted again. */
const MAX_COMMIT_ATTEMPTS = 4
/** Limit of the changes that are compared with a plan; beyond it, a new plan costs fewer calls. */
const MAX_REVISIONS_BEHIND = 64
/** Time that the local replica gets to reach the head revision. */
const REPLICA_TIMEOUT_MS = 2000
const REPLICA_POLL_INTERVAL_MS = 20

export class PlanConfirmation {
  readonly #dependencies: PlanConfirmationDependencies
  readonly #clock: () => number

  constructor(dependencies: PlanConfirmationDependencies, clock: () => number) {
    this.#dependencies = dependencies
    this.#clock = clock
  }

  /**
   * Commits the plan at most once. The promise never rejects; if it can't be determined whether
   * the commit took effect, the error is `OutcomeUnknown`.
   */
  async confirm(request: ConfirmationRequest): Promise<Result<ConfirmationResult, ConfirmError>> {
    const { planId } = request
    for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt++) {
      const head = await this.#dependencies.changeLog.head()
      if (head.err) return Err(storeUnavailable(head.val))
      const earlierRevision = head.val.changeIds.get(planId)
      if (earlierRevision !== undefined) return Err(alreadyConfirmed(planId, earlierRevision))
      const plan = await this.#readPlan(request)
      if (plan.err) return plan
      const checked = await this.#checkStillValid(head.val, plan.val)
      if (checked.err) return checked
      const committed = await this.#commit(plan.val, request.operator, head.val.revision)
      if (committed !== undefined) return committed
    }
    return Err(tooManyConflicts(planId, MAX_COMMIT_ATTEMPTS))
  }

  async #readPlan(request: ConfirmationRequest): Promise<Result<Plan, ConfirmError>> {
    const found = await this.#dependencies.plans.find(request.planId)
    if (found.err) return Err(planUnreadable(found.val))
    const plan = found.val
    if (plan === undefined)
      return Err(expired(request.planId, 'does not exist or was removed after it expired'))
    if (plan.digest !== request.digest) return Err(digestMismatch(plan, request.digest))
    if (plan.isExpired(this.#clock())) return Err(expired(plan.planId, 'has expired'))
    return plan.content.refusals.length > 0 ? Err(refused(plan)) : Ok(plan)
  }

  /**
   * Checks that a plan based on an older revision is still valid: no later revision changed what
   * the plan changes, and planning its intent again gives no refusal. Requiring the same revision
   * instead would block all confirmations while any shift commits its steps.
   */
  async #checkStillValid(head: HeadState, plan: Plan): Promise<Result<void, ConfirmError>> {
    const baseRevision = plan.content.baseRevision
    if (head.revision > baseRevision) {
      if (head.revision - baseRevision > MAX_REVISIONS_BEHIND)
        return Err(tooManyRevisionsBehind(plan, head.revision))
      const laterChanges = await this.#dependencies.changeLog.changes(
        baseRevision + 1,
        head.revision,
      )
      if (laterChanges.err) return Err(storeUnavailable(laterChanges.val))
      // The head keeps only the latest change ids, so an older commit is found only in the changes.
      const ownCommit = laterChanges.val.find(({ change }) => change.changeId === plan.planId)
      if (ownCommit !== undefined) return Err(alreadyConfirmed(plan.planId, ownCommit.revision))
      const conflicts = laterChanges.val.filter(
        ({ change }) => sharedKeys(plan.content.changes, change.records).length > 0,
      )
      if (conflicts.length > 0) return Err(stale(plan, laterChanges.val, conflicts))
    }
    return this.#checkIntentStillAccepted(plan, head.revision)
  }

  /** Plans the intent again on the current configuration and measurements. */
  async #checkIntentStillAccepted(
    plan: Plan,
    revision: number,
  ): Promise<Result<void, ConfirmError>> {
    if (revision === 0) return Ok(undefined)
    const configuration = await this.#waitForRevision(revision)
    if (configuration === undefined) return Err(replicaBehind(revision))
    const { planId, intent } = plan.content
    const { loads, limits } = this.#dependencies
    const input = { planId, configuration, loads, limits, lifetimeMs: 0 }
    const replanned = planIntent(intent, input, this.#clock())
    const [refusal] = replanned.content.refusals
    return refusal === undefined ? Ok(undefined) : Err(refusedOnReplan(plan, refusal))
  }

  async #waitForRevision(revision: number): Promise<Configuration | undefined> {
    const deadlineMs = this.#clock() + REPLICA_TIMEOUT_MS
    for (;;) {
      const configuration = this.#dependencies.configuration.current()
      if (configuration !== undefined && configuration.revision >= revision) return configuration
      if (this.#clock() >= deadlineMs) return undefined
      await sleep(REPLICA_POLL_INTERVAL_MS)
    }
  }

  /**
   * @returns `undefined` if another change was committed first, so that the check must be repeated
   */
  async #commit(
    plan: Plan,
    operator: string,
    headRevision: number,
  ): Promise<Result<ConfirmationResult, ConfirmError> | undefined> {
    if (plan.isExpired(this.#clock())) {
      return Err(expired(plan.planId, 'expired while it was checked'))
    }
    const { planId, summary, changes: records, createdAtMs } = plan.content
    // Uses the plan's creation time, so that a repeated confirmation commits an identical change.
    const change = { changeId: planId, operator, createdAtMs, summary, records }
    const committed = await this.#dependencies.changeLog.commit(change, headRevision)
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
        `Plan ${planId} does not apply to the configuration: ${messageWithoutRemedy(error)}`,
        'plan the intent again',
      ),
    ),
}
