/** Errors of plan confirmations, each with a remedy. */
import { SteeringError } from '../common/errors.js'
import type { CommittedChange } from './changeLog.js'
import type { Plan } from './plan.js'
import { messageWithoutRemedy } from './errorMessage.js'
import { keysOfRecords, sharedKeys } from './recordKeys.js'

/** Kinds of {@link ConfirmError}. */
export enum ConfirmErrorKind {
  /** A later revision changed something that the plan changes, or the plan would now be refused. */
  PlanStale = 'planStale',
  PlanExpired = 'planExpired',
  PlanAlreadyConfirmed = 'planAlreadyConfirmed',
  PlanDigestMismatch = 'planDigestMismatch',
  /** The plan contains refusals. */
  PlanRefused = 'planRefused',
  StoreUnavailable = 'storeUnavailable',
  /** The commit may or may not have taken effect. */
  OutcomeUnknown = 'outcomeUnknown',
}

/** Error of a plan confirmation. */
export class ConfirmError extends SteeringError<ConfirmErrorKind> {}

/** The plan was already committed. */
export function alreadyConfirmed(planId: string, revision: number): ConfirmError {
  return new ConfirmError(
    ConfirmErrorKind.PlanAlreadyConfirmed,
    `Plan ${planId} was confirmed as revision ${String(revision)}`,
    'nothing needs to be done; plan the intent again for a second change',
    { planId, revision },
  )
}

/** The plan has expired or is not stored; `problem` completes the sentence "Plan <id> …". */
export function expired(planId: string, problem: string): ConfirmError {
  return new ConfirmError(
    ConfirmErrorKind.PlanExpired,
    `Plan ${planId} ${problem}; it was not confirmed`,
    'plan the intent again and confirm the new plan in time',
    { planId },
  )
}

/** The given digest is not that of the stored plan, so the operator read another plan. */
export function digestMismatch(plan: Plan, givenDigest: string): ConfirmError {
  return new ConfirmError(
    ConfirmErrorKind.PlanDigestMismatch,
    `Plan ${plan.planId} has the digest ${plan.digest}, not ${givenDigest}`,
    `read the plan with: tamarackdrift show ${plan.planId}, then confirm it with its digest`,
    { planId: plan.planId },
  )
}

/** The plan contains refusals. */
export function refused(plan: Plan): ConfirmError {
  const { refusals } = plan.content
  return new ConfirmError(
    ConfirmErrorKind.PlanRefused,
    `Plan ${plan.planId} is refused: ${refusals.map(({ message }) => message).join('; ')}`,
    refusals.map(({ remedy }) => remedy).join('; '),
    { planId: plan.planId, refusals },
  )
}

/** The plan had no refusals, but planning its intent again now gives one. */
export function refusedOnReplan(
  plan: Plan,
  refusal: { message: string; remedy: string },
): ConfirmError {
  return new ConfirmError(
    ConfirmErrorKind.PlanStale,
    `Plan ${plan.planId} was valid when it was made but would now be refused: ${refusal.message}`,
    refusal.remedy,
    { planId: plan.planId, refusal },
  )
}

/**
 * A later revision changed something that the plan changes. The details list the revision,
 * the operator and the changed records of each conflict.
 */
export function stale(
  plan: Plan,
  laterChanges: readonly CommittedChange[],
  conflicts: readonly CommittedChange[],
): ConfirmError {
  const conflictDetails = conflicts.map(({ revision, change }) => ({
    revision,
    operator: change.operator,
    summary: change.summary,
    changed: sharedKeys(plan.content.changes, change.records),
  }))
  const [first] = conflictDetails
  const text =
    first === undefined
      ? ''
      : `: revision ${String(first.revision)} by ${first.operator} changed ` +
        `${first.changed.join(', ')} (${first.summary})`
  return new ConfirmError(
    ConfirmErrorKind.PlanStale,
    `Plan ${plan.planId} was made on revision ${String(plan.content.baseRevision)}${text}`,
    'read what changed, then plan the intent again',
    { planId: plan.planId, conflicts: conflictDetails, revisionsSince: laterChanges.length },
  )
}

/** Too many revisions were committed since the plan was made to compare them with it. */
export function tooManyRevisionsBehind(plan: Plan, headRevision: number): ConfirmError {
  return new ConfirmError(
    ConfirmErrorKind.PlanStale,
    `Plan ${plan.planId} was made on revision ${String(plan.content.baseRevision)}; the head is at ${String(headRevision)}`,
    'plan the intent again',
    { planId: plan.planId, headRevision, keys: keysOfRecords(plan.content.changes) },
  )
}

/** Another change was committed before this one in every attempt. */
export function tooManyConflicts(planId: string, attempts: number): ConfirmError {
  return new ConfirmError(
    ConfirmErrorKind.PlanStale,
    `Plan ${planId} was not confirmed: other changes were committed during each of ${String(attempts)} attempts`,
    'confirm it again',
    { planId },
  )
}

/** The local replica has not reached the head revision yet. */
export function replicaBehind(revision: number): ConfirmError {
  return new ConfirmError(
    ConfirmErrorKind.StoreUnavailable,
    `This control daemon does not hold revision ${String(revision)} yet; nothing was committed`,
    'try again, or use another control daemon',
    { revision },
  )
}

/** The store did not answer or rejected the call; nothing was committed. */
export function storeUnavailable(error: Error): ConfirmError {
  return new ConfirmError(
    ConfirmErrorKind.StoreUnavailable,
    `Nothing was committed: ${messageWithoutRemedy(error)}`,
    'try again when the key-value service answers; the configuration stays in force',
  )
}

/** The stored plan could not be read. */
export function planUnreadable(error: SteeringError): ConfirmError {
  return new ConfirmError(
    ConfirmErrorKind.StoreUnavailable,
    `The stored plan can't be read: ${messageWithoutRemedy(error)}`,
    error.remedy,
  )
}

/** The commit may or may not have taken effect. */
export function outcomeUnknown(planId: string, error: Error): ConfirmError {
  return new ConfirmError(
    ConfirmErrorKind.OutcomeUnknown,
    `Plan ${planId} may have been confirmed: ${messageWithoutRemedy(error)}`,
    `ask again with: tamarackdrift confirm ${planId}; it commits at most once`,
    { planId },
  )
}
