/**
 * Bench `control`: CPU, memory, traffic and store calls that coordination costs per daemon. Sweeps
 * the number of peers, changes per second and blocks, and fits a line to each result. The modules
 * that all daemons share (membership, configuration, RPC) run in child processes and talk over
 * loopback; the store and the instance list run in this process.
 */
import type { BenchOptions, BenchReport, Goal } from './report.js'
import type { ControlRound } from './controlBenchRound.js'
import { runControlRound } from './controlBenchRound.js'
import type { Point, StraightLine } from './straightLine.js'
import { fitStraightLine } from './straightLine.js'

interface Sweep {
  readonly name: 'peers' | 'changesPerSecond' | 'blocks'
  readonly sizes: readonly number[]
  /** Sizes that replace the defaults throughout the sweep. */
  readonly usual: { readonly peers?: number; readonly changesPerSecond?: number }
  readonly isParallel: boolean
}

const USUAL_PEERS = 16
const USUAL_CHANGES_PER_SECOND = 0.5
/** The block sweep runs a single daemon, which needs more changes for stable results. */
const CHANGES_PER_SECOND_WITH_BLOCKS = 2
const MEASURE_MS = 3500
const QUICK_MEASURE_MS = 1500

/** The largest size of each sweep is a target of the design page. */
const SWEEPS: readonly Sweep[] = [
  { name: 'peers', sizes: [10, 30, 60, 115], usual: {}, isParallel: false },
  { name: 'changesPerSecond', sizes: [0, 1, 2, 4], usual: {}, isParallel: true },
  {
    name: 'blocks',
    sizes: [77_500, 155_000, 310_000, 620_000],
    usual: { peers: 1, changesPerSecond: CHANGES_PER_SECOND_WITH_BLOCKS },
    isParallel: true,
  },
]

/** Values per daemon that are fitted in every sweep. */
const FIGURES = {
  cpuPercent: (round: ControlRound) => round.cpuPercent,
  kilobytesPerSecond: (round: ControlRound) => round.kilobytesPerSecond,
  storeCallsPerSecond: (round: ControlRound) => round.storeCallsPerSecond,
  heldMegabytes: (round: ControlRound) => round.heldMegabytes,
} as const

/** Values that are fitted in the block sweep only. */
const START_FIGURES = {
  startCpuSeconds: (round: ControlRound) => round.startCpuSeconds,
  startStoreMegabytes: (round: ControlRound) => round.startStoreMegabytes,
  startStoreCalls: (round: ControlRound) => round.startStoreCalls,
  residentMegabytes: (round: ControlRound) => round.residentMegabytes,
} as const

interface Fit {
  readonly sweep: string
  readonly figure: string
  readonly line: StraightLine
}

export async function runControlBench(options: BenchOptions): Promise<BenchReport> {
  const measureMs = options.quick ? QUICK_MEASURE_MS : MEASURE_MS
  const rounds: ControlRound[] = []
  for (const sweep of SWEEPS) {
    const orders = sweep.sizes.map((size) => ({
      sweep: sweep.name,
      peers: USUAL_PEERS,
      changesPerSecond: USUAL_CHANGES_PER_SECOND,
      blocks: 0,
      measureMs,
      seed: options.seed,
      ...sweep.usual,
      [sweep.name]: size,
    }))
    // A round with up to 16 daemons uses less than one core, so four rounds can run in parallel.
    if (sweep.isParallel) rounds.push(...(await Promise.all(orders.map(runControlRound))))
    else for (const order of orders) rounds.push(await runControlRound(order))
  }
  const fits = SWEEPS.flatMap((sweep) => fitsOf(sweep, rounds))
  return {
    bench: 'control',
    seed: options.seed,
    rounds: [...rounds, ...fits],
    goals: goalsOf(rounds),
    lines: [...rounds.map(describeRound), ...fits.map(describeFit)],
  }
}

function fitsOf(sweep: Sweep, rounds: readonly ControlRound[]): Fit[] {
  const figures = sweep.name === 'blocks' ? { ...FIGURES, ...START_FIGURES } : FIGURES
  return Object.entries(figures).map(([figure, read]) => {
    const points: Point[] = rounds
      .filter((round) => round.sweep === sweep.name)
      .map((round) => ({ x: round[sweep.name], y: read(round) }))
    return { sweep: sweep.name, figure, line: fitStraightLine(points) }
  })
}

/** Compares the largest round of each sweep with the budgets of the design page. */
function goalsOf(rounds: readonly ControlRound[]): Goal[] {
  const largest = (sweep: string): ControlRound | undefined =>
    rounds.filter((round) => round.sweep === sweep).at(-1)
  const peers = largest('peers')
  const blocks = largest('blocks')
  const slowest = Math.max(...rounds.map((round) => round.slowestInForceMs))
  const lacking = rounds.reduce((sum, round) => sum + round.notInForce, 0)
  const atMost = (name: string, target: number, measured: number, unit: string): Goal => ({
    name,
    target,
    measured: Number(measured.toFixed(3)),
    unit,
    met: measured <= target,
  })
  return [
    atMost('cpu-at-115-peers', 3.1, peers?.cpuPercent ?? Number.NaN, '% of a core'),
    atMost('bytes-at-115-peers', 21, peers?.kilobytesPerSecond ?? Number.NaN, 'KB/s'),
    atMost('cpu-at-620000-blocks', 3.1, blocks?.cpuPercent ?? Number.NaN, '% of a core'),
    atMost('memory-at-620000-blocks', 256, blocks?.residentMegabytes ?? Number.NaN, 'MB resident'),
    atMost('not-in-force', 0, lacking, 'changes that some daemon lacked at the end'),
    atMost('in-force-everywhere', 4000, slowest, 'ms, slowest change of all rounds'),
  ]
}

function describeRound(round: ControlRound): string {
  const fixed = (value: number, digits = 2): string => value.toFixed(digits)
  return [
    `${round.sweep}: peers ${String(round.peers)}`,
    `changes/s ${String(round.changesPerSecond)} (committed ${String(round.committed)})`,
    `blocks ${String(round.blocks)}`,
    `cpu ${fixed(round.cpuPercent)} %`,
    `${fixed(round.kilobytesPerSecond)} KB/s`,
    `store calls/s ${fixed(round.storeCallsPerSecond, 3)}`,
    `not in force ${String(round.notInForce)}`,
    `load average ${fixed(round.loadAverage, 1)}`,
    `held ${fixed(round.heldMegabytes)} MB`,
    `resident (process) ${fixed(round.residentMegabytes, 0)} MB`,
    `in force median ${fixed(round.medianInForceMs, 0)} slowest ${fixed(round.slowestInForceMs, 0)} ms`,
    `start ${fixed(round.startCpuSeconds)} s cpu, ${fixed(round.startStoreMegabytes)} MB and ${String(round.startStoreCalls)} calls from the store`,
  ].join(', ')
}

function describeFit({ sweep, figure, line }: Fit): string {
  const digits = (value: number): string => value.toPrecision(3)
  return (
    `fit ${figure} by ${sweep}: ${digits(line.intercept)} + ${digits(line.slope)} (± ${digits(line.slopeError)}) per unit, ` +
    `largest residual ${digits(line.largestResidual)}, r² ${digits(line.rSquared)}`
  )
}
