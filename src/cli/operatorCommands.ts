/** Implementation of the commands of the `tamarackdrift` program. */
import { randomBytes } from 'node:crypto'
import type { ErrorDetails } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { HistoryEntry } from '../control/changeLog.js'
import type { StatusReport } from '../control/operatorStatus.js'
import type { PlanDocument } from '../control/plan.js'
import { createCommandId } from '../control/shiftCommands.js'
import type { ControlAnswer, ControlClient, ControlFailure } from './controlClient.js'
import { CallEffect } from './controlClient.js'
import { ExitCode, exitCodeOf } from './exitCodes.js'
import type { FollowState } from './followProgress.js'
import { ProgressDisplay, follow } from './followProgress.js'
import { formatError, formatHistory, formatPlan, formatStatus } from './output.js'

/** Output of the commands; replaced in tests. */
export interface Terminal {
  readonly out: (text: string) => void
  readonly error: (text: string) => void
  /** Whether the output is a terminal that can show progress bars. */
  readonly isInteractive: boolean
}

export interface OperatorCommandsDependencies {
  readonly client: ControlClient
  readonly terminal: Terminal
  readonly operator: string
  readonly json: boolean
  readonly clock: () => number
}

const FOLLOW_INTERVAL_MS = 500
/** The longest history that a control daemon returns. */
const MAX_HISTORY_ENTRIES = 256

/** The commands. Each resolves to an exit code and never rejects. */
export class OperatorCommands {
  readonly #dependencies: OperatorCommandsDependencies

  constructor(dependencies: OperatorCommandsDependencies) {
    this.#dependencies = dependencies
  }

  async plan(intent: unknown): Promise<ExitCode> {
    const answer = await this.#call('intent.plan', { intent }, CallEffect.Reads)
    return this.#showPlan(answer)
  }

  async show(planId: string): Promise<ExitCode> {
    return this.#showPlan(await this.#call('plan.show', { planId }, CallEffect.Reads))
  }

  /**
   * If an answer was lost and another daemon reports the plan as already confirmed, this command
   * has succeeded.
   */
  async confirm(planId: string, digest: string): Promise<ExitCode> {
    const { operator } = this.#dependencies
    const params = { planId, digest, operator }
    const answer = await this.#call('plan.confirm', params, CallEffect.Changes)
    if (answer.ok) return this.#reportConfirmed(answer.val.value as { revision: number }, planId)
    const { error, afterLostAnswer } = answer.val
    if (afterLostAnswer && error.kind === 'planAlreadyConfirmed') {
      return this.#reportConfirmed(error.details as { revision: number }, planId)
    }
    return this.#fail(error)
  }

  async commandShift(method: string, shiftId: string, changeId?: string): Promise<ExitCode> {
    const { operator } = this.#dependencies
    const id =
      changeId ?? createCommandId(this.#dependencies.clock(), randomBytes(6).toString('hex'))
    const params = { shiftId, operator, changeId: id }
    const answer = await this.#call(method, params, CallEffect.Changes)
    if (answer.err) {
      const { error } = answer.val
      const isOutcomeUnknown = exitCodeOf(error) === ExitCode.OutcomeUnknown
      return this.#fail(
        isOutcomeUnknown
          ? {
              ...error,
              remedy: `${error.remedy} (--change-id ${id})`,
              message: `${error.message} Change id: ${id}`,
            }
          : error,
      )
    }
    const { revision } = answer.val.value as { revision: number }
    this.#print(answer.val.value, `done in revision ${String(revision)}`)
    return ExitCode.Done
  }

  async status(): Promise<ExitCode> {
    const answer = await this.#call('status', { askMembers: true }, CallEffect.Reads)
    if (answer.err) return this.#fail(answer.val.error)
    const report = answer.val.value as StatusReport
    this.#print(report, formatStatus(report))
    return ExitCode.Done
  }

  async history(limit: number): Promise<ExitCode> {
    const answer = await this.#call('history', { limit }, CallEffect.Reads)
    if (answer.err) return this.#fail(answer.val.error)
    const entries = answer.val.value as HistoryEntry[]
    this.#print(entries, formatHistory(entries))
    return ExitCode.Done
  }

  /** @param id identifier of a confirmed plan or of a shift */
  async follow(id: string, timeoutMs: number): Promise<ExitCode> {
    const planId = id.replace(/^shift-/, '')
    const revision = await this.#findRevision(planId)
    if (revision.err) return this.#fail(revision.val)
    const { terminal, json, clock } = this.#dependencies
    const display = terminal.isInteractive && !json ? new ProgressDisplay() : undefined
    let lastLine = ''
    const show = (state: FollowState): void => {
      display?.show(state)
      const line = json ? JSON.stringify(state) : formatFollowState(state)
      if (display === undefined && line !== lastLine) terminal.out(line)
      lastLine = line
    }
    const result = await follow(revision.val, `shift-${planId}`, {
      status: (askMembers) => this.#fetchStatus(askMembers),
      show,
      intervalMs: FOLLOW_INTERVAL_MS,
      timeoutMs,
      clock,
    })
    display?.stop()
    return result.ok ? ExitCode.Done : this.#fail(result.val)
  }

  /** Calls each control daemon separately and reports which ones answer. */
  async check(clients: ReadonlyMap<string, ControlClient>): Promise<ExitCode> {
    let reachable = 0
    const results: object[] = []
    for (const [server, client] of clients) {
      const answer = await client.call('status', { askMembers: false }, CallEffect.Reads)
      if (answer.ok) reachable++
      results.push({ server, ok: answer.ok, ...(answer.err ? { problem: answer.val.error } : {}) })
      if (!this.#dependencies.json) {
        this.#dependencies.terminal.out(
          answer.ok ? `${server}: answers` : `${server}: ${formatError(answer.val.error)}`,
        )
      }
    }
    if (this.#dependencies.json) this.#dependencies.terminal.out(JSON.stringify(results))
    return reachable > 0 ? ExitCode.Done : ExitCode.Unavailable
  }

  #showPlan(answer: Result<ControlAnswer, ControlFailure>): ExitCode {
    if (answer.err) return this.#fail(answer.val.error)
    const plan = answer.val.value as PlanDocument
    this.#print(plan, formatPlan(plan, this.#dependencies.clock()))
    return plan.refusals.length === 0 ? ExitCode.Done : ExitCode.Refused
  }

  #reportConfirmed(result: { revision: number }, planId: string): ExitCode {
    const { revision } = result
    this.#print(
      { planId, revision },
      `confirmed as revision ${String(revision)}\nfollow with: tamarackdrift follow ${planId}`,
    )
    return ExitCode.Done
  }

  async #findRevision(planId: string): Promise<Result<number, ErrorDetails>> {
    const answer = await this.#call('history', { limit: MAX_HISTORY_ENTRIES }, CallEffect.Reads)
    if (answer.err) return Err(answer.val.error)
    const entry = (answer.val.value as HistoryEntry[]).find(({ changeId }) => changeId === planId)
    if (entry !== undefined) return Ok(entry.revision)
    return Err({
      kind: 'planNotFound',
      message: `Plan ${planId} is not among the latest ${String(MAX_HISTORY_ENTRIES)} changes`,
      remedy: 'confirm it first, or see older shifts with: tamarackdrift status',
    })
  }

  async #fetchStatus(askMembers: boolean): Promise<Result<StatusReport, ErrorDetails>> {
    const answer = await this.#call('status', { askMembers }, CallEffect.Reads)
    return answer.ok ? Ok(answer.val.value as StatusReport) : Err(answer.val.error)
  }

  #call(
    method: string,
    params: unknown,
    effect: CallEffect,
  ): Promise<Result<ControlAnswer, ControlFailure>> {
    return this.#dependencies.client.call(method, params, effect)
  }

  #print(value: unknown, text: string): void {
    this.#dependencies.terminal.out(this.#dependencies.json ? JSON.stringify(value) : text)
  }

  #fail(error: ErrorDetails): ExitCode {
    const { terminal, json } = this.#dependencies
    if (json) terminal.out(JSON.stringify({ error }))
    else terminal.error(formatError(error))
    return exitCodeOf(error)
  }
}

function formatFollowState(state: FollowState): string {
  const members = `in force on ${String(state.membersInForce)} of ${String(state.liveMembers)} members`
  if (state.shift === undefined) return members
  const { currentShare, capShare, state: shiftState, pauseReason } = state.shift
  const reason = pauseReason === undefined ? '' : ` (${pauseReason})`
  const percent = (share: number): string => String(Math.round(share * 1000) / 10)
  return `${members}; shift at ${percent(currentShare)}% of ${percent(capShare)}%, ${shiftState}${reason}`
}
