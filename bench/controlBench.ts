/**
 * Bench `control`: CPU, memory, traffic and store calls that coordination costs per daemon. Sweeps
 * the number of peers, changes per second and blocks, and fits a line to each result. The modules
 * that all daemons share (membership, configuration, RPC) run in child processes and talk over
 * loopback; the store and the instance list run in this process.
 */
import type { BenchOptions, BenchReport, Goal } from './report.js'
import type { ControlRound } from './controlBenchRound.js'
import { runControlRound } from './controlBenchRound.js'
import type { Point, LinearFit } from './linearFit.js'
import { fitLine } from './linearFit.js'

interface Sweep {
  readonly name: 'peers' | 'changesPerSecond' | 'blocks'
  readonly sizes: readonly number[]
  /** Sizes that replace the defaults throughout the sweep. */
  readonly overrides: { readonly peers?: number; readonly changesPerSecond?: number }
  readonly isParallel: boolean
}

const DEFAULT_PEERS = 16
const DEFAULT_CHANGES_PER_SECOND = 0.5
/** The block sweep runs a single daemon, which needs more changes for stable results. */
const BLOCK_SWEEP_CHANGES_PER_SECOND = 2
const MEASURE_MS = 3500
const QUICK_MEASURE_MS = 1500

/** The largest size of each sweep is a target of the design page. */
const SWEEPS: readonly Sweep[] = [
  { name: 'peers', sizes: [10, 30, 60, 115], overrides: {}, isParallel: false },
  { name: 'changesPerSecond', sizes: [0, 1, 2, 4], overrides: {}, isParallel: true },
  {
    name: 'blocks',
    sizes: [77_500, 155_000, 310_000, 620_000],
    overrides: { peers: 1, changesPerSecond: BLOCK_SWEEP_CHANGES_PER_SECOND },
    isParallel: true,
  },
]

/** Values per daemon that are fitted in every sweep. */
const PER_DAEMON_STATS = {
  cpuPercent: (round: ControlRound) => round.cpuPercent,
  kilobytesPerSecond: (round: ControlRound) => round.kilobytesPerSecond,
  storeCallsPerSecond: (round: ControlRound) => round.storeCallsPerSecond,
  heldMegabytes: (round: ControlRound) => round.heldMegabytes,
} as const

/** Values that are fitted in the block sweep only. */
const BLOCK_SWEEP_STATS = {
  startCpuSeconds: (round: ControlRound) => round.startCpuSeconds,
  startStoreMegabytes: (round: ControlRound) => round.startStoreMegabytes,
  startStoreCalls: (round: ControlRound) => round.startStoreCalls,
  residentMegabytes: (round: ControlRound) => round.residentMegabytes,
} as const

interface Fit {
  readonly sweep: string
  readonly figure: string
  readonly line: LinearFit
}

export async function runControlBench(options: BenchOptions): Promise<BenchReport> {
  const measureMs = options.quick ? QUICK_MEASURE_MS : MEASURE_MS
  const rounds: ControlRound[] = []
  for (const sweep of SWEEPS) {
    const roundSizes = sweep.sizes.map((size) => ({
      sweep: sweep.name,
      peers: DEFAULT_PEERS,
      changesPerSecond: DEFAULT_CHANGES_PER_SECOND,
      blocks: 0,
      measureMs,
      seed: options.seed,
      ...sweep.overrides,
      [sweep.name]: size,
    }))
    // A round with up to 16 daemons uses less than one core, so four rounds can run in parallel.
    if (sweep.isParallel) rounds.push(...(await Promise.all(roundSizes.map(runControlRound))))
    else for (const sizes of roundSizes) rounds.push(await runControlRound(sizes))
  }
  const fits = SWEEPS.flatMap((sweep) => fitSweep(sweep, rounds))
  return {
    bench: 'control',
    seed: options.seed,
    rounds: [...rounds, ...fits],
    goals: createGoals(rounds),
    lines: [...rounds.map(describeRound), ...fits.map(describeFit)],
  }
}

function fitSweep(sweep: Sweep, rounds: readonly ControlRound[]): Fit[] {
  const stats =
    sweep.name === 'blocks' ? { ...PER_DAEMON_STATS, ...BLOCK_SWEEP_STATS } : PER_DAEMON_STATS
  return Object.entries(stats).map(([figure, valueOf]) => {
    const points: Point[] = rounds
      .filter((round) => round.sweep === sweep.name)
      .map((round) => ({ x: round[sweep.name], y: valueOf(round) }))
    return { sweep: sweep.name, figure, line: fitLine(points) }
  })
}

/** Compares the largest round of each sweep with the budgets of the design page. */
function createGoals(rounds: readonly ControlRound[]): Goal[] {
  const largestRoundOf = (sweep: string): ControlRound | undefined =>
    rounds.filter((round) => round.sweep === sweep).at(-1)
  const largestPeerRound = largestRoundOf('peers')
  const largestBlockRound = largestRoundOf('blocks')
  const slowestInForceMs = Math.max(...rounds.map((round) => round.slowestInForceMs))
  const missingChanges = rounds.reduce((sum, round) => sum + round.notInForce, 0)
  const atMost = (name: string, target: number, measured: number, unit: string): Goal => ({
    name,
    target,
    measured: Number(measured.toFixed(3)),
    unit,
    met: measured <= target,
  })
  return [
    atMost('cpu-at-115-peers', 3.1, largestPeerRound?.cpuPercent ?? Number.NaN, '% of a core'),
    atMost('bytes-at-115-peers', 21, largestPeerRound?.kilobytesPerSecond ?? Number.NaN, 'KB/s'),
    atMost('cpu-at-620000-blocks', 3.1, largestBlockRound?.cpuPercent ?? Number.NaN, '% of a core'),
    atMost(
      'memory-at-620000-blocks',
      256,
      largestBlockRound?.residentMegabytes ?? Number.NaN,
      'MB resident',
    ),
    atMost('not-in-force', 0, missingChanges, 'changes that some daemon lacked at the end'),
    atMost('in-force-everywhere', 4000, slowestInForceMs, 'ms, slowest change of all rounds'),
  ]
}

function describeRound(round: ControlRound): string {
  const format = (value: number, digits = 2): string => value.toFixed(digits)
  return [
    `${round.sweep}: peers ${String(round.peers)}`,
    `changes/s ${String(round.changesPerSecond)} (committed ${String(round.committed)})`,
    `blocks ${String(round.blocks)}`,
    `cpu ${format(round.cpuPercent)} %`,
    `${format(round.kilobytesPerSecond)} KB/s`,
    `store calls/s ${format(round.storeCallsPerSecond, 3)}`,
    `not in force ${String(round.notInForce)}`,
    `load average ${format(round.loadAverage, 1)}`,
    `held ${format(round.heldMegabytes)} MB`,
    `resident (process) ${format(round.residentMegabytes, 0)} MB`,
    `in force median ${format(round.medianInForceMs, 0)} slowest ${format(round.slowestInForceMs, 0)} ms`,
    `start ${format(round.startCpuSeconds)} s cpu, ${format(round.startStoreMegabytes)} MB and ${String(round.startStoreCalls)} calls from the store`,
  ].join(', ')
}

function describeFit({ sweep, figure, line }: Fit): string {
  const format = (value: number): string => value.toPrecision(3)
  return (
    `fit ${figure} by ${sweep}: ${format(line.intercept)} + ${format(line.slope)} (± ${format(line.slopeError)}) per unit, ` +
    `largest residual ${format(line.largestResidual)}, r² ${format(line.rSquared)}`
  )
}
