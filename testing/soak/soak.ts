/** Soak test: injects overlapping faults while callers send requests, and checks invariants. */
import { setMaxListeners } from 'node:events'
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { sleep, monotonicClock } from '../../src/common/clock.js'
import type { CallerDependencies } from './callers.js'
import { Caller, probe } from './callers.js'
import {
  CONFIGURATION_APPLY_MS,
  Deployment,
  GRACE_PERIOD_MS,
  REGION_OF_ZONE,
  RETRY_BUDGET_RATIO,
  RETRY_BUDGET_SLACK,
  ZONES,
} from './deployment.js'
import { DisturbanceLog } from './disturbances.js'
import { SoakFault, injectFault } from './faults.js'
import type { Violation } from './invariantChecker.js'
import { InvariantChecker } from './invariantChecker.js'

export interface SoakOptions {
  readonly seed: number
  readonly seconds: number
  readonly instances: number
  readonly serversPerService: number
  readonly callers: number
  /** Command line options of Node.js for the entry instances. */
  readonly nodeOptions?: readonly string[]
  /** Kinds of faults to inject; all by default. */
  readonly faults?: readonly SoakFault[]
}

/** Result of a soak test. */
export interface SoakReport {
  readonly seed: number
  readonly requests: number
  /** Number of faults by kind. */
  readonly faults: Readonly<Record<string, number>>
  readonly violations: readonly Violation[]
  /** Folder with the settings file and the log of each instance. */
  readonly folder: string
}

/** Time limits of the invariants, as configured in deployments of the platform. */
const MAX_DRAIN_MS = 2500
const MAX_ROLLBACK_MS = 250
const RETRY_BUDGET_WINDOW_MS = 10_000
/** Time after the last fault until requests must be served again; half of what users allow. */
const MAX_RECOVERY_MS = 7500
/** Time without faults at the end. */
const FAULT_FREE_MS = 12_000
/** Time for the entry instances to start. */
const STARTUP_MS = 3000
/** Mean time between the starts of two faults; shorter than most faults, so that they overlap. */
const MEAN_FAULT_INTERVAL_MS = 1500
const PROBE_INTERVAL_MS = 400

/** Runs a soak test with entry instances in processes of their own. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const generator = xoroshiro128plus(options.seed)
  const random = (): number => (generator.next() >>> 0) / 2 ** 32
  const startedAtMs = monotonicClock()
  const nowMs = (): number => monotonicClock() - startedAtMs
  const folder = mkdtempSync(path.join(tmpdir(), `tamarackdrift-soak-${options.seed}-`))
  const checker = new InvariantChecker({
    drainMs: MAX_DRAIN_MS,
    applyMs: CONFIGURATION_APPLY_MS,
    rollbackMs: MAX_ROLLBACK_MS,
    retryRatio: RETRY_BUDGET_RATIO,
    retrySlack: RETRY_BUDGET_SLACK,
    budgetWindowMs: RETRY_BUDGET_WINDOW_MS,
  })
  const deployment = new Deployment(folder, (server, requestId) => {
    const atMs = nowMs()
    const instance = checker.instanceOf(requestId)
    const region = REGION_OF_ZONE[server.zone] ?? ''
    const run = { requestId, serverId: server.id, region, atMs }
    checker.requestRan(run, disturbances.isUndisturbed(instance, atMs))
  })
  const disturbances = new DisturbanceLog(
    (name) => deployment.entries.find((entry) => entry.name === name)?.startId ?? '',
  )
  const { instances, serversPerService, nodeOptions = [] } = options
  await deployment.start(instances, serversPerService, nodeOptions)
  const faultCounts: Record<string, number> = {}
  const stop = new AbortController()
  // Each caller and each of its sleeps adds a listener.
  setMaxListeners(0, stop.signal)
  try {
    await sleep(STARTUP_MS)
    const byHost = new Map(deployment.entries.map((entry) => [entry.options.host, entry.name]))
    const dependencies: CallerDependencies = {
      checker,
      disturbances,
      hosts: [...byHost.keys()],
      nameOfHost: (host) => byHost.get(host) ?? '',
      random,
      nowMs,
    }
    const tasks = Array.from({ length: options.callers }, (_, index) =>
      new Caller(dependencies, ZONES[index % ZONES.length] ?? '').run(stop.signal),
    )
    tasks.push(probeVersions(dependencies, deployment, stop.signal))
    await injectFaults(options, { deployment, disturbances, checker, random, nowMs }, faultCounts)
    const faultsEndedAtMs = nowMs()
    await sleep(FAULT_FREE_MS)
    stop.abort()
    await Promise.all(tasks)
    checker.finish(faultsEndedAtMs + MAX_RECOVERY_MS)
  } finally {
    stop.abort()
    await deployment.stop()
  }
  const { requests, violations } = checker
  return { seed: options.seed, requests, faults: faultCounts, violations, folder }
}

/** Injects faults at random intervals, then waits until all have ended, or two grace periods. */
async function injectFaults(
  options: SoakOptions,
  context: Parameters<typeof injectFault>[1],
  faultCounts: Record<string, number>,
): Promise<void> {
  const kinds = options.faults ?? Object.values(SoakFault)
  const pending: Promise<void>[] = []
  const endMs = context.nowMs() + options.seconds * 1000
  while (context.nowMs() < endMs) {
    const fault = kinds[Math.floor(context.random() * kinds.length)]
    if (fault === undefined) break
    faultCounts[fault] = (faultCounts[fault] ?? 0) + 1
    pending.push(injectFault(fault, context))
    await sleep(MEAN_FAULT_INTERVAL_MS * 2 * context.random())
  }
  await Promise.race([Promise.all(pending), sleep(GRACE_PERIOD_MS * 2)])
}

/** Probes all instances for the newest and the previous configuration version. */
async function probeVersions(
  dependencies: CallerDependencies,
  deployment: Deployment,
  signal: AbortSignal,
): Promise<void> {
  let count = 0
  while (!signal.aborted) {
    for (const version of [deployment.version, deployment.version - 1]) {
      for (const host of dependencies.hosts) {
        count += 1
        if (version > 0) void probe(dependencies, host, version, `p${count}`)
      }
    }
    await sleep(PROBE_INTERVAL_MS, signal)
  }
}
