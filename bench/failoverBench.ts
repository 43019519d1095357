/** Bench `failover`: one of three regions fails at 60% load and recovers cold, in a simulation. */
import type { BenchOptions, BenchReport } from './report.js'
import { atMost } from './report.js'
import type { TickStats } from './steeringModel.js'
import { REGIONS } from './steeringLookupDaemon.js'
import { SteeringModel, TICK_MS } from './steeringModel.js'

const LOAD = { east: 0.6, north: 0.6, west: 0.6 }
const FAILURE_AT_MS = 15_000
const RECOVERY_AT_MS = 60_000
const END_MS = 110_000
/** Fraction of the capacity that a region has right after recovery, and time until it has all. */
const COLD_START = { capacityFraction: 0.4, warmUpMs: 18_000 }
/** Time after the failure until the spill-over has converged, in milliseconds. */
const CONVERGENCE_MS = 15_000
const WINDOW_MS = 1000
/** Members are declared failed 4 to 5 s after the failure; cached answers expire 2 s later. */
const LAST_REQUEST_TARGET_MS = 7000

interface Round {
  readonly seed: number
  /** Time from the failure to the last request sent to the failed region. */
  readonly lastLostMs: number
  readonly lostRequests: number
  /** Shares of the failed region's requests once the spill-over has converged. */
  readonly servedShare: number
  readonly refusedShare: number
  readonly peakLoadOfOthers: number
  readonly peakLoadOfReturned: number
}

function runRound(seed: number): Round {
  const model = new SteeringModel({ seed, load: LOAD })
  const startMs = model.nowMs
  const ticks: TickStats[] = []
  while (model.nowMs - startMs < END_MS) {
    const elapsedMs = model.nowMs - startMs
    if (elapsedMs === FAILURE_AT_MS) {
      model.capacityFraction.set('east', 0)
      model.setRegionFailed('east', true)
    }
    if (elapsedMs === RECOVERY_AT_MS) model.setRegionFailed('east', false)
    if (elapsedMs >= RECOVERY_AT_MS) {
      const warmFraction = Math.min(1, (elapsedMs - RECOVERY_AT_MS) / COLD_START.warmUpMs)
      model.capacityFraction.set(
        'east',
        COLD_START.capacityFraction + (1 - COLD_START.capacityFraction) * warmFraction,
      )
    }
    ticks.push(model.tick())
  }
  return createRound(seed, startMs, ticks)
}

function createRound(seed: number, startMs: number, ticks: readonly TickStats[]): Round {
  const ticksBetween = (fromMs: number, untilMs: number): TickStats[] =>
    ticks.filter(({ atMs }) => atMs - startMs > fromMs && atMs - startMs <= untilMs)
  const lossyTicks = ticks.filter((tick) => tick.lost > 0)
  const convergedTicks = ticksBetween(FAILURE_AT_MS + CONVERGENCE_MS, RECOVERY_AT_MS)
  const requestCount = sum(convergedTicks, 'eastRequests')
  const otherRegions = REGIONS.filter((region) => region !== 'east')
  return {
    seed,
    lastLostMs: (lossyTicks.at(-1)?.atMs ?? startMs + FAILURE_AT_MS) - startMs - FAILURE_AT_MS,
    lostRequests: sum(ticks, 'lost'),
    servedShare: sum(convergedTicks, 'movedRequests') / requestCount,
    refusedShare: sum(convergedTicks, 'refused') / requestCount,
    peakLoadOfOthers: Math.max(
      ...otherRegions.map((region) => peakLoad(ticksBetween(FAILURE_AT_MS, END_MS), region)),
    ),
    peakLoadOfReturned: peakLoad(ticksBetween(RECOVERY_AT_MS, END_MS), 'east'),
  }
}

function sum(
  ticks: readonly TickStats[],
  name: 'lost' | 'refused' | 'eastRequests' | 'movedRequests',
): number {
  return ticks.reduce((total, tick) => total + tick[name], 0)
}

function peakLoad(ticks: readonly TickStats[], region: string): number {
  const length = WINDOW_MS / TICK_MS
  const means = ticks.slice(length - 1).map((_, index) => {
    const window = ticks.slice(index, index + length)
    return window.reduce((total, tick) => total + (tick.load[region] ?? 0), 0) / length
  })
  return Math.max(0, ...means)
}

/** Simulates the failure with several seeds. */
export function runFailoverBench(options: BenchOptions): Promise<BenchReport> {
  const seeds = Array.from({ length: options.quick ? 1 : 5 }, (_, index) => options.seed + index)
  const rounds = seeds.map(runRound)
  const worst = (name: keyof Round): number => Math.max(...rounds.map((round) => round[name]))
  return Promise.resolve({
    bench: 'failover',
    seed: options.seed,
    rounds,
    goals: [
      atMost(
        'time to the last request for the dead region',
        LAST_REQUEST_TARGET_MS,
        worst('lastLostMs'),
        'ms',
      ),
      atMost(
        'peak load of the other regions within 1 s',
        1,
        worst('peakLoadOfOthers'),
        'of capacity',
      ),
      atMost(
        'peak load of the returned region within 1 s',
        1,
        worst('peakLoadOfReturned'),
        'of capacity',
      ),
    ],
    lines: rounds.map(
      (round) =>
        `seed ${String(round.seed)}: last request for the failed region after ${String(round.lastLostMs)} ms ` +
        `(${String(round.lostRequests)} lost), served ${formatPercent(round.servedShare)}, refused as not run ` +
        `${formatPercent(round.refusedShare)}, peak load of the other regions ${formatPercent(round.peakLoadOfOthers)}, ` +
        `of the recovered region ${formatPercent(round.peakLoadOfReturned)}`,
    ),
  })
}

function formatPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`
}
