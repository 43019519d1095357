/** Checks the system's guarantees on the calls, executions and processes of a demo run. */
import { createHash } from 'node:crypto'
import { Outcome } from '../src/common/headers.js'
import type { EchoedRequest, ExecutionRecord } from './backendServer.js'
import type { DemoCall } from './demoTraffic.js'
import { workersOf } from './deployment.js'
import type { LocalDeployment } from './localDeployment.js'

/** Time after a confirmed drain from which the backend server gets no new work. */
const NEW_WORK_LIMIT_MS = 3000
/** Fraction of calls that may end with an unknown outcome when one gateway of nine is killed. */
const MAX_UNKNOWN_FRACTION = 0.01

/** Observations of a demo run. */
export interface DemoRun {
  readonly local: LocalDeployment
  readonly calls: readonly DemoCall[]
  /** Time until all live members held the first configuration; `undefined` after a timeout. */
  readonly inForceMs: number | undefined
  readonly shift: {
    readonly service: string
    readonly from: string
    readonly to: string
    readonly cap: number
    readonly startMs: number
  }
  readonly drain: { readonly workerId: string; readonly confirmedMs: number }
  readonly leavingGateway: {
    readonly address: string
    readonly startMs: number
    readonly endMs: number
    readonly exitCode: number | null
  }
  readonly killedGateway: { readonly address: string; readonly killedMs: number }
}

/** Result of the check of one guarantee; part of the demo's JSON output. */
export interface DemoCheckResult {
  readonly promise: string
  readonly kept: boolean
  readonly detail: string
}

/** Checks every guarantee that a demo run can observe. */
export function checkDemo(run: DemoRun): readonly DemoCheckResult[] {
  const records = run.local.backendServers.flatMap((server) => [...server.records])
  return [
    checkInForce(run),
    checkShift(run, records),
    checkAnswers(run),
    checkNotRun(run, records),
    checkAtMostOnce(run, records),
    checkDrain(run),
    checkGracefulShutdown(run),
    checkUnknown(run),
  ]
}

function checkInForce(run: DemoRun): DemoCheckResult {
  return {
    promise: 'an accepted configuration is in force everywhere within 4 s',
    kept: run.inForceMs !== undefined,
    detail: `${String(run.inForceMs)} ms`,
  }
}

/** Counts as moved the requests of source-region callers that the target region executed. */
function checkShift(run: DemoRun, records: readonly ExecutionRecord[]): DemoCheckResult {
  const { service, from, to, cap, startMs } = run.shift
  const regionOfWorker = new Map(
    workersOf(run.local.deployment).map((worker) => [worker.workerId, worker.region]),
  )
  const homeCalls = run.calls.filter(
    (call) => call.call.service === service && call.homeRegion === from && call.startMs >= startMs,
  )
  const targets = new Set(homeCalls.map((call) => call.call.target))
  const movedCount = records.filter(
    (record) => targets.has(record.target) && regionOfWorker.get(record.workerId) === to,
  ).length
  const movedShare = homeCalls.length === 0 ? 0 : movedCount / homeCalls.length
  return {
    promise: 'a shift stays under its cap and moves traffic',
    kept: movedShare <= cap && movedCount > 0,
    detail: `${String(movedCount)} of ${String(homeCalls.length)} requests moved, cap ${String(cap)}`,
  }
}

function checkAnswers(run: DemoRun): DemoCheckResult {
  const ranCalls = run.calls.filter((call) => call.report.outcome === Outcome.Ran)
  const wrongCalls = ranCalls.filter((call) => !isCompleteOwnAnswer(call))
  return {
    promise: 'each caller gets the whole answer to its own request',
    kept: wrongCalls.length === 0,
    detail: `${String(ranCalls.length)} answers, ${String(wrongCalls.length)} wrong`,
  }
}

function isCompleteOwnAnswer({ call, report }: DemoCall): boolean {
  try {
    const echoed = JSON.parse(report.answer?.body.toString('utf8') ?? '') as EchoedRequest
    const bodySha256 = createHash('sha256').update(call.body).digest('hex')
    return echoed.target === call.target && echoed.bodySha256 === bodySha256
  } catch {
    return false
  }
}

/**
 * Checks that no backend server executed an operation that was refused with the
 * outcome "not run": that outcome is final for an operation identifier.
 */
function checkNotRun(run: DemoRun, records: readonly ExecutionRecord[]): DemoCheckResult {
  const executed = new Set(records.map((record) => record.operation))
  const refusals = run.calls
    .filter((call) => !call.call.idempotent)
    .flatMap((call) => call.report.attempts)
    .filter((attempt) => attempt.sent && attempt.outcome === Outcome.NotRun)
  const executedRefusals = refusals.filter((attempt) => executed.has(attempt.identifier))
  return {
    promise: 'what was refused as not run did not run',
    kept: executedRefusals.length === 0,
    detail: `${String(refusals.length)} refusals, ${String(executedRefusals.length)} had run`,
  }
}

function checkAtMostOnce(run: DemoRun, records: readonly ExecutionRecord[]): DemoCheckResult {
  const targets = new Set(
    run.calls.filter((call) => !call.call.idempotent).map((call) => call.call.target),
  )
  const counts = new Map<string, number>()
  for (const { target } of records) {
    if (targets.has(target)) counts.set(target, (counts.get(target) ?? 0) + 1)
  }
  const repeatedCount = [...counts.values()].filter((count) => count > 1).length
  return {
    promise: 'no operation runs twice',
    kept: repeatedCount === 0,
    detail: `${String(targets.size)} operations, ${String(repeatedCount)} ran more than once`,
  }
}

function checkDrain(run: DemoRun): DemoCheckResult {
  const { workerId, confirmedMs } = run.drain
  const server = run.local.backendServers.find((candidate) => candidate.workerId === workerId)
  const laterExecutions = (server?.records ?? []).filter((record) => record.startMs > confirmedMs)
  const lastNewWorkMs = Math.max(
    0,
    ...laterExecutions.map((record) => record.startMs - confirmedMs),
  )
  return {
    promise: 'a leaving backend server gets no new work after a few seconds',
    kept: lastNewWorkMs <= NEW_WORK_LIMIT_MS,
    detail: `last new work ${String(lastNewWorkMs)} ms after the confirmation`,
  }
}

function checkGracefulShutdown(run: DemoRun): DemoCheckResult {
  const { address, startMs, endMs, exitCode } = run.leavingGateway
  const cutAttempts = run.calls
    .flatMap((call) => call.report.attempts)
    .filter((attempt) => attempt.address === address && attempt.sent)
    .filter(
      (attempt) =>
        attempt.endMs >= startMs && attempt.endMs <= endMs && attempt.status === undefined,
    )
  return {
    promise: 'a graceful shutdown cuts no request in flight',
    kept: cutAttempts.length === 0 && exitCode === 0,
    detail: `${String(cutAttempts.length)} cut, exit code ${String(exitCode)}, ${String(endMs - startMs)} ms`,
  }
}

function checkUnknown(run: DemoRun): DemoCheckResult {
  const unknownCount = run.calls.filter((call) => call.report.outcome === Outcome.Unknown).length
  return {
    promise: 'unknown outcomes are rare',
    kept: unknownCount <= run.calls.length * MAX_UNKNOWN_FRACTION,
    detail: `${String(unknownCount)} of ${String(run.calls.length)}`,
  }
}
