/** Methods for operators, independent of the transport. */
import type { Result } from '../common/results.js'
import { SteeringError } from '../common/errors.js'
import type { Logger } from '../common/logger.js'
import type { Configuration, ConfigurationView } from '../configuration/view.js'
import type { RegionLoadView } from '../shift/regionLoad.js'
import type { ChangeLog, HistoryEntry } from './changeLog.js'
import { parseIntent } from './intent.js'
import type { PlanDocument } from './plan.js'
import type {
  PlanConfirmation,
  ConfirmationRequest,
  ConfirmationResult,
} from './planConfirmation.js'
import type { PlanLimits } from './planContext.js'
import type { PlanStore } from './planStore.js'
import { planIntent } from './planner.js'
import type { ShiftCommand, ShiftCommandResult, ShiftCommands } from './shiftCommands.js'

/**
 * Kinds of errors that {@link ControlMethods} adds to those of plans, confirmations and shift
 * commands.
 */
export enum ControlErrorKind {
  /** This daemon holds no configuration yet. */
  NotReady = 'controlNotReady',
  PlanNotFound = 'planNotFound',
}

export interface ControlMethodsDependencies {
  readonly changeLog: ChangeLog
  readonly configuration: ConfigurationView
  /** Configuration at revision 0, used before the first change is committed. */
  readonly emptyConfiguration: Configuration
  readonly loads: RegionLoadView
  readonly limits: PlanLimits
  readonly plans: PlanStore
  readonly confirmation: PlanConfirmation
  readonly shiftCommands: ShiftCommands
  readonly logger: Logger
  readonly planLifetimeMs: number
  /** Generates a unique plan identifier. */
  readonly createPlanId: () => string
  readonly clock: () => number
}

/** Methods for operators. They reject with a {@link SteeringError}. */
export class ControlMethods {
  readonly #dependencies: ControlMethodsDependencies

  constructor(dependencies: ControlMethodsDependencies) {
    this.#dependencies = dependencies
  }

  /**
   * Makes and stores the plan of an intent. A plan with refusals is stored too, so that it can be
   * shown.
   */
  async plan(params: { readonly intent: unknown }): Promise<PlanDocument> {
    const { loads, limits, planLifetimeMs, createPlanId, clock, plans, logger } = this.#dependencies
    const intent = unwrapOrThrow(parseIntent(params.intent))
    const configuration = await this.#currentConfiguration()
    const input = { planId: createPlanId(), configuration, loads, limits }
    const plan = planIntent(intent, { ...input, lifetimeMs: planLifetimeMs }, clock())
    unwrapOrThrow(await plans.add(plan, clock()))
    logger.decision('planned', {
      planId: plan.planId,
      intent: intent.kind,
      summary: plan.content.summary,
      revision: plan.content.baseRevision,
      refusals: plan.content.refusals.map(({ kind }) => kind).join(','),
    })
    return plan.toDocument()
  }

  /** Returns a stored plan; rejects with `planNotFound` if there is none. */
  async show(params: { readonly planId: string }): Promise<PlanDocument> {
    const plan = unwrapOrThrow(await this.#dependencies.plans.find(params.planId))
    if (plan !== undefined) return plan.toDocument()
    throw new SteeringError(
      ControlErrorKind.PlanNotFound,
      `Plan ${params.planId} does not exist or was removed after it expired`,
      'see confirmed plans with: tamarackdrift history; otherwise plan the intent again',
    )
  }

  /** Commits a stored plan whose digest the operator has read. */
  async confirm(params: ConfirmationRequest): Promise<ConfirmationResult> {
    const result = await this.#dependencies.confirmation.confirm(params)
    this.#dependencies.logger.decision('confirmed', {
      planId: params.planId,
      operator: params.operator,
      revision: result.ok ? result.val.revision : undefined,
      reason: result.ok ? 'committed' : result.val.kind,
    })
    return unwrapOrThrow(result)
  }

  /** Pauses, resumes or reverses a shift. */
  async commandShift(command: ShiftCommand): Promise<ShiftCommandResult> {
    const result = await this.#dependencies.shiftCommands.run(command, this.#dependencies.clock())
    this.#dependencies.logger.decision('shiftCommand', {
      action: command.action,
      shiftId: command.shiftId,
      operator: command.operator,
      revision: result.ok ? result.val.revision : undefined,
      reason: result.ok ? 'committed' : result.val.kind,
    })
    return unwrapOrThrow(result)
  }

  /** Returns at most `limit` of the latest changes, newest first. */
  async history(params: { readonly limit: number }): Promise<readonly HistoryEntry[]> {
    const entries = unwrapOrThrow(await this.#dependencies.changeLog.history())
    return entries.slice(-params.limit).reverse()
  }

  async #currentConfiguration(): Promise<Configuration> {
    const held = this.#dependencies.configuration.current()
    if (held !== undefined) return held
    const head = await this.#dependencies.changeLog.head()
    if (head.ok && head.val.revision === 0) return this.#dependencies.emptyConfiguration
    throw new SteeringError(
      ControlErrorKind.NotReady,
      'This control daemon holds no configuration yet',
      'wait a few seconds, or use another control daemon',
    )
  }
}

function unwrapOrThrow<Value>(result: Result<Value, SteeringError>): Value {
  if (result.err) throw result.val
  return result.val
}
