/** Bench `shift`: cap, headroom and duration of a shift, simulated with production code. */
import type { ShiftRecord } from '../src/configuration/document.js'
import { ShiftState } from '../src/configuration/document.js'
import { CappedShift } from '../src/shift/cappedShift.js'
import { shiftPauseReason } from '../src/shift/shiftPause.js'
import type { BenchOptions, BenchReport } from './report.js'
import { atMost } from './report.js'
import { MODEL_SERVICE } from './steeringConfiguration.js'
import type { TickStats } from './steeringModel.js'
import { ANSWER_CACHE_MS, CAPACITY, SteeringModel, TICK_MS } from './steeringModel.js'

const INTENT = {
  shiftId: 'bench-shift',
  service: MODEL_SERVICE,
  from: 'east',
  to: 'north',
  capShare: 0.3,
  stepShare: 0.05,
  stepIntervalMs: 5000,
  plannedRate: CAPACITY * 0.6,
}
const LOAD = { east: 0.6, north: 0.5, west: 0.5 }
const WARM_UP_MS = 10_000
const MAX_SHIFT_MS = 150_000
/**
 * Sliding window over which the moved share and the load are computed, since a share is meaningless
 * for single requests.
 */
const WINDOW_MS = 1000
/** The shift counts as complete once this fraction of the cap has moved within a window. */
const COMPLETE_FRACTION = 0.9
const CONFIGURATION_SPREAD_MS = 4000
const RESUME_AFTER_INTERVALS = 2

interface Scenario {
  readonly name: string
  /** Start and end of a gap in the measurements, in milliseconds after the start of the shift. */
  readonly measurementGapMs?: readonly [number, number]
  /** When the operator reverses the shift, in milliseconds after its start. */
  readonly reverseAtMs?: number
}

const SCENARIOS: readonly Scenario[] = [
  { name: 'steady' },
  { name: 'measurements stop for 10 s', measurementGapMs: [12_000, 22_000] },
  { name: 'reversed at 18 s', reverseAtMs: 18_000 },
]

interface Round {
  readonly scenario: string
  readonly seed: number
  readonly highestMovedShare: number
  readonly highestTargetLoad: number
  readonly durationMs: number
  readonly imposedMs: number
  readonly finalMovedShare: number
}

/** Advances, pauses and resumes the shift once a second, as the control daemon does. */
class ShiftController {
  readonly #model: SteeringModel
  #shift: CappedShift
  #resumableSinceMs: number | undefined
  pausedMs = 0

  constructor(model: SteeringModel) {
    this.#model = model
    this.#shift = CappedShift.plan(INTENT, model.nowMs).unwrap()
    this.#commit(this.#shift)
  }

  get record(): ShiftRecord {
    return this.#shift.record
  }

  reverse(): void {
    this.#commit(this.#shift.reverse(this.#model.nowMs).unwrap())
  }

  step(): void {
    const nowMs = this.#model.nowMs
    const conditions = { isStoreAvailable: true, targetLostAtMs: undefined }
    const pauseReason = shiftPauseReason(INTENT, this.#model.controlLoads, conditions, nowMs)
    this.#resumableSinceMs =
      pauseReason === undefined ? (this.#resumableSinceMs ?? nowMs) : undefined
    const { state } = this.record
    if (state === ShiftState.Paused) {
      this.pausedMs += 1000
      const resumableForMs =
        this.#resumableSinceMs === undefined ? 0 : nowMs - this.#resumableSinceMs
      if (resumableForMs < RESUME_AFTER_INTERVALS * INTENT.stepIntervalMs) return
      this.#commit(this.#shift.resume(nowMs).unwrap())
    } else if (state === ShiftState.Running && pauseReason !== undefined) {
      this.#commit(this.#shift.pause(pauseReason, nowMs).unwrap())
    } else {
      const advanced = this.#shift.advance(nowMs)
      if (advanced.ok) this.#commit(advanced.val)
    }
  }

  #commit(shift: CappedShift): void {
    this.#shift = shift
    this.#model.commit([shift.record], CONFIGURATION_SPREAD_MS)
  }
}

function runScenario(scenario: Scenario, seed: number): Round {
  const model = new SteeringModel({ seed, load: LOAD })
  while (model.nowMs < 1_000_000 + WARM_UP_MS) model.tick()
  const startMs = model.nowMs
  const controller = new ShiftController(model)
  const ticks: TickStats[] = []
  let finishedAtMs: number | undefined
  let isReversed = false
  while (model.nowMs - startMs < MAX_SHIFT_MS) {
    const elapsedMs = model.nowMs - startMs
    const [gapStartMs = Infinity, gapEndMs = 0] = scenario.measurementGapMs ?? []
    model.isMeasuring = elapsedMs < gapStartMs || elapsedMs >= gapEndMs
    if (!isReversed && elapsedMs >= (scenario.reverseAtMs ?? Infinity)) {
      controller.reverse()
      isReversed = true
    }
    ticks.push(model.tick())
    if (model.nowMs % 1000 === 0) controller.step()
    if (controller.record.state === ShiftState.Finished) finishedAtMs ??= model.nowMs
    if (finishedAtMs !== undefined && model.nowMs - finishedAtMs > 15_000) break
  }
  const stepCount = controller.record.step
  return {
    scenario: scenario.name,
    seed,
    highestMovedShare: Math.max(...movedShares(ticks)),
    highestTargetLoad: Math.max(...meanLoads(ticks, 'north')),
    durationMs: shiftDurationMs(scenario, ticks, finishedAtMs ?? model.nowMs, startMs),
    // Each step lasts its interval, in which caches warm up; after the last, cached answers expire.
    imposedMs: stepCount * INTENT.stepIntervalMs + ANSWER_CACHE_MS,
    finalMovedShare: movedShares(ticks).at(-1) ?? 0,
  }
}

/**
 * A reversed shift lasts until its last step, any other shift at least until most of the capped
 * traffic has moved.
 */
function shiftDurationMs(
  scenario: Scenario,
  ticks: readonly TickStats[],
  finishedAtMs: number,
  startMs: number,
): number {
  if (scenario.reverseAtMs !== undefined) return finishedAtMs - startMs
  const index = movedShares(ticks).findIndex(
    (share) => share >= COMPLETE_FRACTION * INTENT.capShare,
  )
  const movedAfterMs = index < 0 ? MAX_SHIFT_MS : (index + WINDOW_MS / TICK_MS) * TICK_MS
  return Math.max(movedAfterMs, finishedAtMs - startMs)
}

function slidingWindows(ticks: readonly TickStats[]): (readonly TickStats[])[] {
  const length = WINDOW_MS / TICK_MS
  return ticks.slice(length - 1).map((_, index) => ticks.slice(index, index + length))
}

function movedShares(ticks: readonly TickStats[]): number[] {
  return slidingWindows(ticks).map((window) => {
    const moved = window.reduce((sum, tick) => sum + tick.movedRequests, 0)
    return (
      moved /
      Math.max(
        1,
        window.reduce((sum, tick) => sum + tick.eastRequests, 0),
      )
    )
  })
}

function meanLoads(ticks: readonly TickStats[], region: string): number[] {
  return slidingWindows(ticks).map(
    (window) => window.reduce((sum, tick) => sum + (tick.load[region] ?? 0), 0) / window.length,
  )
}

/** Simulates every scenario with several seeds. */
export function runShiftBench(options: BenchOptions): Promise<BenchReport> {
  const seeds = Array.from({ length: options.quick ? 1 : 4 }, (_, index) => options.seed + index)
  const rounds = SCENARIOS.flatMap((scenario) => seeds.map((seed) => runScenario(scenario, seed)))
  const maxMovedShare = Math.max(...rounds.map(({ highestMovedShare }) => highestMovedShare))
  const maxTargetLoad = Math.max(...rounds.map(({ highestTargetLoad }) => highestTargetLoad))
  const steadyRounds = rounds.filter(({ scenario }) => scenario === SCENARIOS[0]?.name)
  const maxDurationFactor = Math.max(
    ...steadyRounds.map(({ durationMs, imposedMs }) => durationMs / imposedMs),
  )
  return Promise.resolve({
    bench: 'shift',
    seed: options.seed,
    rounds,
    goals: [
      atMost(
        'highest share of moved requests within 1 s',
        INTENT.capShare,
        maxMovedShare,
        'of the source region',
      ),
      atMost('highest load of the target region within 1 s', 1, maxTargetLoad, 'of its capacity'),
      atMost('duration of a steady shift', 1.5, maxDurationFactor, 'x the imposed time'),
    ],
    lines: rounds.map(
      (round) =>
        `${round.scenario}, seed ${String(round.seed)}: moved at most ${formatPercent(round.highestMovedShare)}, ` +
        `at the end ${formatPercent(round.finalMovedShare)}, target load at most ${formatPercent(round.highestTargetLoad)}, ` +
        `${String(round.durationMs)} ms (imposed ${String(round.imposedMs)} ms)`,
    ),
  })
}

function formatPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`
}
