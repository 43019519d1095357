/** Soak test: injects overlapping faults while callers send requests, and checks invariants. */
import { setMaxListeners } from 'node:events'
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { sleep, steadyClock } from '../../src/common/clock.js'
import type { CallerParts } from './callers.js'
import { Caller, probe } from './callers.js'
import {
  APPLY_MS,
  Deployment,
  GRACE_MS,
  REGION_OF_ZONE,
  RETRY_RATIO,
  RETRY_SLACK,
  ZONES,
} from './deployment.js'
import { DisturbanceLog } from './disturbances.js'
import { SoakFault, runFault } from './faults.js'
import type { Violation } from './promiseChecker.js'
import { PromiseChecker } from './promiseChecker.js'

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
const DRAIN_MS = 2500
const ROLLBACK_MS = 250
const BUDGET_WINDOW_MS = 10_000
/** Time after the last fault until requests must be served again; half of what users allow. */
const RECOVERY_MS = 7500
/** Time without faults at the end. */
const CALM_MS = 12_000
/** Time for the entry instances to start. */
const START_MS = 3000
/** Mean time between the starts of two faults; shorter than most faults, so that they overlap. */
const FAULT_PAUSE_MS = 1500
const PROBE_PAUSE_MS = 400

/** Runs a soak test with entry instances in processes of their own. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const generator = xoroshiro128plus(options.seed)
  const random = (): number => (generator.next() >>> 0) / 2 ** 32
  const startedAtMs = steadyClock()
  const nowMs = (): number => steadyClock() - startedAtMs
  const folder = mkdtempSync(path.join(tmpdir(), `tamarackdrift-soak-${options.seed}-`))
  const checker = new PromiseChecker({
    drainMs: DRAIN_MS,
    applyMs: APPLY_MS,
    rollbackMs: ROLLBACK_MS,
    retryRatio: RETRY_RATIO,
    retrySlack: RETRY_SLACK,
    budgetWindowMs: BUDGET_WINDOW_MS,
  })
  const deployment = new Deployment(folder, (server, requestId) => {
    const atMs = nowMs()
    const instance = checker.instanceOf(requestId)
    const region = REGION_OF_ZONE[server.zone] ?? ''
    const run = { requestId, serverId: server.id, region, atMs }
    checker.ran(run, disturbances.isInTouch(instance, atMs))
  })
  const disturbances = new DisturbanceLog(
    (name) => deployment.entries.find((entry) => entry.name === name)?.start ?? '',
  )
  const { instances, serversPerService, nodeOptions = [] } = options
  await deployment.start(instances, serversPerService, nodeOptions)
  const counts: Record<string, number> = {}
  const stop = new AbortController()
  // Each caller and each of its sleeps adds a listener.
  setMaxListeners(0, stop.signal)
  try {
    await sleep(START_MS)
    const byHost = new Map(deployment.entries.map((entry) => [entry.options.host, entry.name]))
    const parts: CallerParts = {
      checker,
      disturbances,
      hosts: [...byHost.keys()],
      nameOfHost: (host) => byHost.get(host) ?? '',
      random,
      nowMs,
    }
    const running = Array.from({ length: options.callers }, (_, index) =>
      new Caller(parts, ZONES[index % ZONES.length] ?? '').run(stop.signal),
    )
    running.push(probeVersions(parts, deployment, stop.signal))
    await disturb(options, { deployment, disturbances, checker, random, nowMs }, counts)
    const calmFromMs = nowMs()
    await sleep(CALM_MS)
    stop.abort()
    await Promise.all(running)
    checker.finish(calmFromMs + RECOVERY_MS)
  } finally {
    stop.abort()
    await deployment.stop()
  }
  const { requests, violations } = checker
  return { seed: options.seed, requests, faults: counts, violations, folder }
}

/** Injects faults at random intervals, then waits until all have ended. */
async function disturb(
  options: SoakOptions,
  parts: Parameters<typeof runFault>[1],
  counts: Record<string, number>,
): Promise<void> {
  const kinds = options.faults ?? Object.values(SoakFault)
  const open: Promise<void>[] = []
  const endMs = parts.nowMs() + options.seconds * 1000
  while (parts.nowMs() < endMs) {
    const fault = kinds[Math.floor(parts.random() * kinds.length)]
    if (fault === undefined) break
    counts[fault] = (counts[fault] ?? 0) + 1
    open.push(runFault(fault, parts))
    await sleep(FAULT_PAUSE_MS * 2 * parts.random())
  }
  await Promise.race([Promise.all(open), sleep(GRACE_MS * 2)])
}

/** Probes all instances for the newest and the previous configuration version. */
async function probeVersions(
  parts: CallerParts,
  deployment: Deployment,
  signal: AbortSignal,
): Promise<void> {
  let count = 0
  while (!signal.aborted) {
    for (const version of [deployment.version, deployment.version - 1]) {
      for (const host of parts.hosts) {
        count += 1
        if (version > 0) void probe(parts, host, version, `p${count}`)
      }
    }
    await sleep(PROBE_PAUSE_MS, signal)
  }
}
