/**
 * Checks the observations of callers against the executions that backend servers
 * recorded. Each rule checks one guarantee of the system and returns its violations.
 */
import { Outcome } from '../common/headers.js'

/** Guarantees that are checked; the values are their numbers in the design document. */
export enum Guarantee {
  /** A caller gets the complete answer to its own request. */
  OwnAnswer = 'P3',
  /** An operation that was refused as "not run" never runs. */
  NotRunIsFinal = 'P4',
  /** An operation that is not idempotent runs at most once. */
  AtMostOnce = 'P5',
  /** A leaving backend server gets no new work after {@link History.drainBoundMs}. */
  LeavingGetsNoWork = 'P6',
  /** A graceful shutdown interrupts no request in flight. */
  ShutdownCutsNothing = 'P7',
}

/** One attempt of a call. */
export interface HistoryAttempt {
  /** `host:port` of the entry instance. */
  readonly address: string
  readonly identifier: string
  readonly outcome: Outcome
  /** False if no connection was established. */
  readonly sent: boolean
  /** Status of the answer, or `undefined` if there was none. */
  readonly status: number | undefined
  /** Why there was no answer; empty if there was one. */
  readonly reason: string
  readonly startMs: number
  readonly endMs: number
}

/** The request that an answer belongs to, as the backend server echoed it in the body. */
export interface HistoryAnswer {
  readonly request: string
  readonly target: string
  readonly bodySha256: string
}

/** A completed call. Its target is unique in the history. */
export interface HistoryCall {
  readonly target: string
  readonly bodySha256: string
  /** True if the call may run more than once. */
  readonly repeatable: boolean
  readonly outcome: Outcome
  readonly attempts: readonly HistoryAttempt[]
  /** For outcome `ran`; `undefined` if the body could not be read. */
  readonly answer: HistoryAnswer | undefined
}

/** An execution that a backend server recorded. */
export interface HistoryExecution {
  readonly workerId: string
  readonly operation: string
  readonly request: string
  readonly target: string
  readonly startMs: number
}

/** A graceful shutdown of an entry instance. */
export interface HistoryShutdown {
  readonly address: string
  readonly startMs: number
  /** Time at which the process had ended. */
  readonly endMs: number
}

/** A backend server that was drained. */
export interface HistoryDrain {
  readonly workerId: string
  readonly atMs: number
}

/** Everything recorded in one test run. Times are in milliseconds since the epoch. */
export interface History {
  readonly calls: readonly HistoryCall[]
  readonly executions: readonly HistoryExecution[]
  readonly shutdowns: readonly HistoryShutdown[]
  readonly drains: readonly HistoryDrain[]
  /** Time after the start of a drain within which new work may still arrive. */
  readonly drainBoundMs: number
}

/** A violated guarantee. */
export interface Violation {
  readonly guarantee: Guarantee
  readonly message: string
}

/** Reasons for a missing answer that the caller caused itself. */
const CALLER_CAUSED_REASONS = new Set(['timedOut', 'cancelled'])

const CHECKS: Readonly<Record<Guarantee, (history: History) => string[]>> = {
  [Guarantee.OwnAnswer]: checkOwnAnswers,
  [Guarantee.NotRunIsFinal]: checkNotRunIsFinal,
  [Guarantee.AtMostOnce]: checkAtMostOnce,
  [Guarantee.LeavingGetsNoWork]: checkDrains,
  [Guarantee.ShutdownCutsNothing]: checkShutdowns,
}

/** Returns all violations in a history. */
export function checkHistory(history: History): Violation[] {
  return Object.values(Guarantee).flatMap((guarantee) =>
    CHECKS[guarantee](history).map((message) => ({ guarantee, message })),
  )
}

function checkOwnAnswers(history: History): string[] {
  const executed = new Map(history.executions.map((run) => [run.request, run]))
  return history.calls.flatMap((call) => {
    if (call.outcome !== Outcome.Ran) return []
    const { answer } = call
    if (answer === undefined) return [`${call.target}: incomplete answer`]
    if (answer.target !== call.target || answer.bodySha256 !== call.bodySha256) {
      return [`${call.target}: received the answer to ${answer.target}`]
    }
    return executed.get(answer.request)?.target === call.target
      ? []
      : [`${call.target}: answer to request ${answer.request}, which no backend server executed`]
  })
}

function checkNotRunIsFinal(history: History): string[] {
  const executed = new Set(history.executions.map((run) => run.operation))
  const refused = history.calls.flatMap((call) =>
    call.attempts.filter((attempt) => attempt.sent && attempt.outcome === Outcome.NotRun),
  )
  return refused
    .filter((attempt) => executed.has(attempt.identifier))
    .map(
      (attempt) => `${attempt.identifier}: refused as not run by ${attempt.address}, but executed`,
    )
}

/** Counts by target and not by identifier, to detect calls retried under a new identifier. */
function checkAtMostOnce(history: History): string[] {
  const runs = new Map<string, number>()
  for (const run of history.executions) runs.set(run.target, (runs.get(run.target) ?? 0) + 1)
  return history.calls
    .filter((call) => !call.repeatable && (runs.get(call.target) ?? 0) > 1)
    .map((call) => `${call.target}: ran ${String(runs.get(call.target))} times`)
}

function checkDrains(history: History): string[] {
  const drainStartMs = new Map(history.drains.map((drain) => [drain.workerId, drain.atMs]))
  return history.executions.flatMap((run) => {
    const atMs = drainStartMs.get(run.workerId)
    if (atMs === undefined || run.startMs <= atMs + history.drainBoundMs) return []
    return [
      `${run.target}: started at ${run.workerId} ${String(run.startMs - atMs)} ms after its drain began`,
    ]
  })
}

function checkShutdowns(history: History): string[] {
  const attempts = history.calls.flatMap((call) => call.attempts)
  return history.shutdowns.flatMap((shutdown) =>
    attempts
      .filter(
        (attempt) =>
          attempt.address === shutdown.address &&
          attempt.sent &&
          attempt.status === undefined &&
          !CALLER_CAUSED_REASONS.has(attempt.reason) &&
          attempt.startMs <= shutdown.endMs &&
          attempt.endMs >= shutdown.startMs,
      )
      .map((attempt) => `${attempt.identifier}: broken by ${shutdown.address} (${attempt.reason})`),
  )
}
