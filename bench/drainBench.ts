/**
 * Bench `drain`: drains backend servers on each of the signals that announce it, and shuts gateways
 * down gracefully, under load that includes long requests. Gateways and the lookup daemon run in
 * separate processes.
 */
import type { ExecutionRecord, BackendServer } from '../playground/backendServer.js'
import { runCallers } from '../playground/callerLoad.js'
import {
  GatewayProcesses,
  PROCESS_CACHE_MS,
  PROCESS_SERVICE,
} from '../playground/gatewayProcesses.js'
import type { LocalDaemon } from '../playground/localDeployment.js'
import { HttpLookupSource } from '../src/client/lookupSource.js'
import { sleep, systemClock } from '../src/common/clock.js'
import { Outcome } from '../src/common/headers.js'
import { HttpExchangeClient } from '../src/common/httpExchange.js'
import type { HistoryCall, HistoryShutdown } from '../src/history/historyChecker.js'
import { checkHistory, Guarantee } from '../src/history/historyChecker.js'
import type { BenchOptions, BenchReport, Goal } from './report.js'

const CALLERS = 16
const LONG_MS = 2500
const LONG_FRACTION = 0.05
const MAX_SHORT_MS = 20
const CALL_TIMEOUT_MS = 8000
/** Six of them leave; the other four can carry the load, so that no requests queue up. */
const WORKER_COUNT = 10
const GATEWAY_COUNT = 3
const WARM_UP_MS = 3000
/** Wait after each drain: covers the longest request and the limit of 3 s for new work to end. */
const DRAIN_GAP_MS = 3500
const LONG_REQUEST_TIMEOUT_MS = 5000
const RECENT_START_MS = 100
const NEW_WORK_TARGET_MS = 1000
const DRAIN_RATIO_TARGET = 1.1

/** Signal that announces that a backend server leaves. */
enum LeaveSignal {
  Answer = 'own answer and status',
  Platform = 'platform list',
  Operator = "operator's intent",
}

interface WorkerRound {
  readonly kind: 'backendServer'
  readonly source: LeaveSignal
  /** Time from the signal to the start of the last new request, ms; 0 if there is none. */
  readonly newWorkEndedMs: number
  /** Longest request that was in flight at the signal or started after it, ms. */
  readonly longestMs: number
  /** Time from the signal to the end of the last request, ms. */
  readonly drainMs: number
}

interface GatewayRound {
  readonly kind: 'gateway'
  readonly exitCode: number | null
  /** Service time of the longest request that was in flight at SIGTERM, ms. */
  readonly longestMs: number
  /** Time from SIGTERM to the exit of the process, ms. */
  readonly drainMs: number
}

export async function runDrainBench(options: BenchOptions): Promise<BenchReport> {
  const processes = await GatewayProcesses.start({
    gatewayCount: GATEWAY_COUNT,
    seed: options.seed,
    maxTimeoutMs: CALL_TIMEOUT_MS,
    backendServerCount: WORKER_COUNT,
  })
  try {
    return await measure(processes, options)
  } finally {
    await processes.stop()
  }
}

async function measure(processes: GatewayProcesses, options: BenchOptions): Promise<BenchReport> {
  const callersController = new AbortController()
  const callHistory = startCallers(processes, options.seed, callersController.signal)
  await sleep(WARM_UP_MS)
  const shutdowns: HistoryShutdown[] = []
  const gatewayRounds: GatewayRound[] = []
  for (const gateway of processes.gateways.slice(0, options.quick ? 1 : GATEWAY_COUNT)) {
    gatewayRounds.push(await drainGateway(processes, gateway, shutdowns))
  }
  const workerRounds = await drainWorkers(processes, options.quick)
  callersController.abort()
  return createReport(
    options.seed,
    workerRounds,
    gatewayRounds,
    await callHistory,
    shutdowns,
    processes,
  )
}

function startCallers(
  processes: GatewayProcesses,
  seed: number,
  signal: AbortSignal,
): Promise<HistoryCall[]> {
  const http = new HttpExchangeClient({
    maxConnections: 64,
    idleTimeoutMs: 2000,
    clock: systemClock,
  })
  const lookups = new HttpLookupSource(http, [processes.lookup.serviceAddress])
  const callHistory = runCallers(lookups, {
    service: PROCESS_SERVICE,
    callers: CALLERS,
    calls: Number.POSITIVE_INFINITY,
    nonIdempotentFraction: 0.5,
    maxServiceMs: MAX_SHORT_MS,
    timeoutMs: CALL_TIMEOUT_MS,
    maxPauseMs: 40,
    longCallFraction: LONG_FRACTION,
    longServiceMs: LONG_MS,
    seed,
    signal,
  })
  return callHistory.finally(() => {
    http.close()
  })
}

const ANNOUNCE_LEAVING: Readonly<
  Record<LeaveSignal, (processes: GatewayProcesses, worker: BackendServer) => void | Promise<void>>
> = {
  [LeaveSignal.Answer]: (_processes, worker) => {
    worker.drain()
  },
  [LeaveSignal.Platform]: (processes, worker) => {
    processes.listAsLeaving(worker)
  },
  [LeaveSignal.Operator]: (processes, worker) => processes.commitLeaving(worker),
}

/** Drains two backend servers per signal, or one in a quick run. */
async function drainWorkers(processes: GatewayProcesses, quick: boolean): Promise<WorkerRound[]> {
  const rounds: WorkerRound[] = []
  const allSignals = Object.values(LeaveSignal)
  const signals = quick ? allSignals : [...allSignals, ...allSignals]
  const remaining = new Set(processes.backendServers)
  for (const source of signals) {
    const worker = await waitForLongRequest(remaining)
    remaining.delete(worker)
    rounds.push(await drainWorker(processes, source, worker))
  }
  return rounds
}

async function drainWorker(
  processes: GatewayProcesses,
  source: LeaveSignal,
  worker: BackendServer,
): Promise<WorkerRound> {
  await ANNOUNCE_LEAVING[source](processes, worker)
  const announcedAtMs = Date.now()
  const inFlight = executionsInFlightAt(worker.records, announcedAtMs)
  await sleep(DRAIN_GAP_MS)
  while (worker.busy > 0) await sleep(20)
  const laterExecutions = worker.records.filter((execution) => execution.startMs > announcedAtMs)
  return {
    kind: 'backendServer',
    source,
    newWorkEndedMs: Math.max(
      0,
      ...laterExecutions.map((execution) => execution.startMs - announcedAtMs),
    ),
    longestMs: Math.max(0, ...[...inFlight, ...laterExecutions].map(durationOf)),
    drainMs: Math.max(
      0,
      ...[...inFlight, ...laterExecutions].map(
        (execution) => (execution.endMs ?? announcedAtMs) - announcedAtMs,
      ),
    ),
  }
}

/**
 * Waits for a backend server that has just started a long request. The drain time is judged
 * relative to the longest request in flight, so each drain starts right after such a request.
 */
async function waitForLongRequest(workers: ReadonlySet<BackendServer>): Promise<BackendServer> {
  const hasRecentLongRequest = (worker: BackendServer): boolean =>
    worker.records.some(
      (execution) =>
        execution.endMs === undefined &&
        execution.target.endsWith(`serviceMs=${String(LONG_MS)}`) &&
        Date.now() - execution.startMs < RECENT_START_MS,
    )
  const deadlineMs = Date.now() + LONG_REQUEST_TIMEOUT_MS
  while (Date.now() < deadlineMs) {
    const found = [...workers].find(hasRecentLongRequest)
    if (found !== undefined) return found
    await sleep(10)
  }
  throw new Error('no long request started on a backend server that is not leaving')
}

async function drainGateway(
  processes: GatewayProcesses,
  gateway: LocalDaemon,
  shutdowns: HistoryShutdown[],
): Promise<GatewayRound> {
  const records = processes.backendServers.flatMap((worker) => worker.records)
  const inFlight = executionsInFlightAt(records, Date.now())
  const startMs = Date.now()
  gateway.process.signal('SIGTERM')
  const exit = await gateway.process.exited()
  const endMs = Date.now()
  shutdowns.push({ address: gateway.serviceAddress, startMs, endMs })
  gateway.start()
  await gateway.ready()
  await sleep(DRAIN_GAP_MS)
  const longestMs = Math.max(0, ...inFlight.map(durationOf))
  return { kind: 'gateway', exitCode: exit.code, longestMs, drainMs: endMs - startMs }
}

function executionsInFlightAt(
  records: readonly ExecutionRecord[],
  atMs: number,
): ExecutionRecord[] {
  return records.filter(
    (execution) => execution.startMs <= atMs && (execution.endMs ?? atMs + 1) > atMs,
  )
}

function durationOf(execution: ExecutionRecord): number {
  return (execution.endMs ?? execution.startMs) - execution.startMs
}

function createReport(
  seed: number,
  workerRounds: readonly WorkerRound[],
  gatewayRounds: readonly GatewayRound[],
  calls: readonly HistoryCall[],
  shutdowns: readonly HistoryShutdown[],
  processes: GatewayProcesses,
): BenchReport {
  const executions = processes.backendServers.flatMap((worker) => worker.records)
  const violations = checkHistory({ calls, executions, shutdowns, drains: [], drainBoundMs: 0 })
  const cutRequests = violations.filter(
    (violation) => violation.guarantee === Guarantee.ShutdownCutsNothing,
  )
  const otherViolationCount = violations.length - cutRequests.length
  const count = (outcome: Outcome): number =>
    calls.filter((call) => call.outcome === outcome).length
  const summary = {
    calls: calls.length,
    ran: count(Outcome.Ran),
    notRun: count(Outcome.NotRun),
    unknown: count(Outcome.Unknown),
    cut: cutRequests.length,
    otherViolations: otherViolationCount,
  }
  return {
    bench: 'drain',
    seed,
    rounds: [...workerRounds, ...gatewayRounds, summary],
    goals: [
      createNewWorkGoal(workerRounds),
      createRatioGoal('drain time of backend servers', workerRounds),
      createRatioGoal('drain time of gateways', gatewayRounds),
      createGoal('requests cut', 0, cutRequests.length, 'requests', cutRequests.length === 0),
    ],
    lines: formatLines(workerRounds, gatewayRounds, summary),
  }
}

function createNewWorkGoal(rounds: readonly WorkerRound[]): Goal {
  const worst = Math.max(...rounds.map((round) => round.newWorkEndedMs))
  const met = worst <= NEW_WORK_TARGET_MS
  return createGoal('new work ends', NEW_WORK_TARGET_MS, worst, 'ms', met)
}

/** Goal on the drain time divided by the longest request in flight, in the worst round. */
function createRatioGoal(name: string, rounds: readonly (WorkerRound | GatewayRound)[]): Goal {
  const ratios = rounds.map((round) => round.drainMs / Math.max(1, round.longestMs))
  const worst = Math.round(Math.max(...ratios) * 1000) / 1000
  return createGoal(
    name,
    DRAIN_RATIO_TARGET,
    worst,
    '× longest request',
    worst <= DRAIN_RATIO_TARGET,
  )
}

function createGoal(
  name: string,
  target: number,
  measured: number,
  unit: string,
  met: boolean,
): Goal {
  return { name, target, measured, unit, met }
}

function formatLines(
  workerRounds: readonly WorkerRound[],
  gatewayRounds: readonly GatewayRound[],
  summary: Readonly<Record<string, number>>,
): string[] {
  const setup = `${String(GATEWAY_COUNT)} gateway processes, ${String(WORKER_COUNT)} backend servers, ${String(CALLERS)} callers, ${String(LONG_FRACTION * 100)}% of requests take ${String(LONG_MS)} ms, answers are cached ${String(PROCESS_CACHE_MS)} ms`
  return [
    setup,
    ...workerRounds.map(
      (round) =>
        `backend server by ${round.source}: last new work after ${String(round.newWorkEndedMs)} ms, longest in flight ${String(round.longestMs)} ms, drained after ${String(round.drainMs)} ms`,
    ),
    ...gatewayRounds.map(
      (round) =>
        `gateway: longest in flight ${String(round.longestMs)} ms, exited with ${String(round.exitCode)} after ${String(round.drainMs)} ms`,
    ),
    Object.entries(summary)
      .map(([name, value]) => `${name} ${String(value)}`)
      .join(', '),
  ]
}
