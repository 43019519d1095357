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
const MAX_UNKNOWN_SHARE = 0.01

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
export interface DemoFinding {
  readonly promise: string
  readonly kept: boolean
  readonly detail: string
}

/** Checks every guarantee that a demo run can observe. */
export function checkDemo(run: DemoRun): readonly DemoFinding[] {
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

function checkInForce(run: DemoRun): DemoFinding {
  return {
    promise: 'an accepted configuration is in force everywhere within 4 s',
    kept: run.inForceMs !== undefined,
    detail: `${String(run.inForceMs)} ms`,
  }
}

/** Counts as moved the requests of source-region callers that the target region executed. */
function checkShift(run: DemoRun, records: readonly ExecutionRecord[]): DemoFinding {
  const { service, from, to, cap, startMs } = run.shift
  const regionOfWorker = new Map(
    workersOf(run.local.deployment).map((worker) => [worker.workerId, worker.region]),
  )
  const homeCalls = run.calls.filter(
    (call) => call.call.service === service && call.homeRegion === from && call.startMs >= startMs,
  )
  const targets = new Set(homeCalls.map((call) => call.call.target))
  const moved = records.filter(
    (record) => targets.has(record.target) && regionOfWorker.get(record.workerId) === to,
  ).length
  const share = homeCalls.length === 0 ? 0 : moved / homeCalls.length
  return {
    promise: 'a shift stays under its cap and moves traffic',
    kept: share <= cap && moved > 0,
    detail: `${String(moved)} of ${String(homeCalls.length)} requests moved, cap ${String(cap)}`,
  }
}

function checkAnswers(run: DemoRun): DemoFinding {
  const ran = run.calls.filter((call) => call.report.outcome === Outcome.Ran)
  const wrong = ran.filter((call) => !isOwnWholeAnswer(call))
  return {
    promise: 'each caller gets the whole answer to its own request',
    kept: wrong.length === 0,
    detail: `${String(ran.length)} answers, ${String(wrong.length)} wrong`,
  }
}

function isOwnWholeAnswer({ call, report }: DemoCall): boolean {
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
function checkNotRun(run: DemoRun, records: readonly ExecutionRecord[]): DemoFinding {
  const executed = new Set(records.map((record) => record.operation))
  const refused = run.calls
    .filter((call) => !call.call.idempotent)
    .flatMap((call) => call.report.tries)
    .filter((tried) => tried.sent && tried.outcome === Outcome.NotRun)
  const broken = refused.filter((tried) => executed.has(tried.identifier))
  return {
    promise: 'no operation that was refused as not run was executed',
    kept: broken.length === 0,
    detail: `${String(refused.length)} refusals, ${String(broken.length)} executed`,
  }
}

function checkAtMostOnce(run: DemoRun, records: readonly ExecutionRecord[]): DemoFinding {
  const targets = new Set(
    run.calls.filter((call) => !call.call.idempotent).map((call) => call.call.target),
  )
  const counts = new Map<string, number>()
  for (const { target } of records) {
    if (targets.has(target)) counts.set(target, (counts.get(target) ?? 0) + 1)
  }
  const twice = [...counts.values()].filter((count) => count > 1).length
  return {
    promise: 'no operation runs twice',
    kept: twice === 0,
    detail: `${String(targets.size)} operations, ${String(twice)} ran more than once`,
  }
}

function checkDrain(run: DemoRun): DemoFinding {
  const { workerId, confirmedMs } = run.drain
  const server = run.local.backendServers.find((candidate) => candidate.workerId === workerId)
  const after = (server?.records ?? []).filter((record) => record.startMs > confirmedMs)
  const last = Math.max(0, ...after.map((record) => record.startMs - confirmedMs))
  return {
    promise: 'a leaving backend server gets no new work after a few seconds',
    kept: last <= NEW_WORK_LIMIT_MS,
    detail: `last new work ${String(last)} ms after the confirmation`,
  }
}

function checkGracefulShutdown(run: DemoRun): DemoFinding {
  const { address, startMs, endMs, exitCode } = run.leavingGateway
  const cut = run.calls
    .flatMap((call) => call.report.tries)
    .filter((tried) => tried.address === address && tried.sent)
    .filter((tried) => tried.endMs >= startMs && tried.endMs <= endMs && tried.status === undefined)
  return {
    promise: 'a graceful shutdown cuts no request in flight',
    kept: cut.length === 0 && exitCode === 0,
    detail: `${String(cut.length)} requests cut, exit code ${String(exitCode)}, ${String(endMs - startMs)} ms`,
  }
}

function checkUnknown(run: DemoRun): DemoFinding {
  const unknown = run.calls.filter((call) => call.report.outcome === Outcome.Unknown).length
  return {
    promise: 'unknown outcomes are rare',
    kept: unknown <= run.calls.length * MAX_UNKNOWN_SHARE,
    detail: `${String(unknown)} of ${String(run.calls.length)}`,
  }
}
