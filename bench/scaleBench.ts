/**
 * Bench `scale`: processor time of the coordinator of a service for each request, and share of the
 * requests that end in time, as the service grows. Runs the decision classes with simulated
 * servers and time; the figures include the simulation.
 */
import { simulateLoad } from '../testing/loadSimulation.js'
import type { BenchOptions, BenchReport } from './report.js'
import { atMost } from './report.js'

const SLOTS = 6
/** Objects for each server, and how many of them a server keeps, as on the large deployment. */
const OBJECTS_PER_SERVER = 4.1
const CACHE_SIZE = 18
const CACHED_MS = 400
const UNCACHED_MS = 1440
const TARGET_MS = 1019
const DEADLINE_MS = 6023
/** Mean duration from which the nominal capacity is worked out; some requests find their object. */
const NOMINAL_DURATION_MS = 826
const SERVER_COUNTS = [12, 60, 126, 250, 500]
const LOADS = [0.8, 1.3, 2]
/** Sizes and loads that the goals name. */
const SMALLEST = 12
const LARGE_SITE = 126
const LARGEST = 500
const OVERLOAD = 2
const USUAL_LOAD = 0.8
/** Requests of a round; bounds the time of the largest ones. */
const MAX_REQUESTS = 20_000
const QUICK_MAX_REQUESTS = 4000
const MAX_SECONDS = 12

interface Round {
  readonly servers: number
  readonly load: number
  readonly seed: number
  readonly requests: number
  readonly microsecondsPerRequest: number
  readonly inTimeShare: number
  readonly refusedShare: number
  readonly missShare: number
}

function runRound(servers: number, load: number, options: BenchOptions): Round {
  const rate = ((servers * SLOTS * 1000) / NOMINAL_DURATION_MS) * load
  const maxRequests = options.quick ? QUICK_MAX_REQUESTS : MAX_REQUESTS
  const startedAt = process.cpuUsage()
  const result = simulateLoad({
    seed: options.seed,
    servers,
    slots: SLOTS,
    objects: Math.round(servers * OBJECTS_PER_SERVER),
    cacheSize: CACHE_SIZE,
    cachedMs: CACHED_MS,
    uncachedMs: UNCACHED_MS,
    targetMs: TARGET_MS,
    deadlineMs: DEADLINE_MS,
    seconds: Math.min(MAX_SECONDS, maxRequests / rate),
    rateAt: () => rate,
  })
  const { user, system } = process.cpuUsage(startedAt)
  return {
    servers,
    load,
    seed: options.seed,
    requests: result.requests,
    microsecondsPerRequest: (user + system) / result.requests,
    inTimeShare: result.inTime / result.requests,
    refusedShare: result.refused / result.requests,
    missShare: result.cacheMisses / Math.max(1, result.inTime + result.late),
  }
}

export function runScaleBench(options: BenchOptions): Promise<BenchReport> {
  const rounds = SERVER_COUNTS.flatMap((servers) =>
    LOADS.map((load) => runRound(servers, load, options)),
  )
  const costOf = (servers: number, load: number): number =>
    rounds.find((round) => round.servers === servers && round.load === load)
      ?.microsecondsPerRequest ?? Number.NaN
  const growth = costOf(LARGEST, USUAL_LOAD) / costOf(SMALLEST, USUAL_LOAD)
  return Promise.resolve({
    bench: 'scale',
    seed: options.seed,
    rounds,
    goals: [
      atMost('cost of a request at 126 servers', 100, costOf(LARGE_SITE, OVERLOAD), 'µs'),
      atMost('growth of the cost from 12 to 500 servers', 1.5, growth, 'times'),
    ],
    lines: rounds.map(
      (round) =>
        `${round.servers} servers, load ${round.load}: ${Math.round(round.microsecondsPerRequest)} µs a request, ` +
        `${percent(round.inTimeShare)} in time, ${percent(round.refusedShare)} refused, ` +
        `${percent(round.missShare)} without their object (${round.requests} requests)`,
    ),
  })
}

function percent(share: number): string {
  return `${Math.round(share * 1000) / 10}%`
}
