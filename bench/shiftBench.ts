/** Bench `shift`: cap, headroom and duration of a shift, with the production code in a model. */
import type { ShiftRecord } from '../src/configuration/document.js'
import { ShiftState } from '../src/configuration/document.js'
import { CappedShift } from '../src/shift/cappedShift.js'
import { shiftPauseReason } from '../src/shift/shiftPause.js'
import type { BenchOptions, BenchReport } from './report.js'
import { atMost } from './report.js'
import { MODEL_SERVICE } from './steeringConfiguration.js'
import type { TickFigures } from './steeringModel.js'
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
const LIMIT_MS = 150_000
/** Sliding window over which the moved share and the load are computed. */
const WINDOW_MS = 1000
/** The shift counts as complete once this fraction of the cap has moved within a window. */
const MOVED_PART = 0.9
const CONFIGURATION_SPREAD_MS = 4000
const RESUME_INTERVALS = 2

interface Scenario {
  readonly name: string
  /** Start and end of a gap in the measurements, in milliseconds after the start of the shift. */
  readonly silentMs?: readonly [number, number]
  /** When the operator reverses the shift, in milliseconds after its start. */
  readonly reverseAtMs?: number
}

const SCENARIOS: readonly Scenario[] = [
  { name: 'steady' },
  { name: 'measurements stop for 10 s', silentMs: [12_000, 22_000] },
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
class ShiftRun {
  readonly #model: SteeringModel
  #shift: CappedShift
  #goodSinceMs: number | undefined
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
    const reason = shiftPauseReason(INTENT, this.#model.controlLoads, conditions, nowMs)
    this.#goodSinceMs = reason === undefined ? (this.#goodSinceMs ?? nowMs) : undefined
    const { state } = this.record
    if (state === ShiftState.Paused) {
      this.pausedMs += 1000
      const goodMs = this.#goodSinceMs === undefined ? 0 : nowMs - this.#goodSinceMs
      if (goodMs < RESUME_INTERVALS * INTENT.stepIntervalMs) return
      this.#commit(this.#shift.resume(nowMs).unwrap())
    } else if (state === ShiftState.Running && reason !== undefined) {
      this.#commit(this.#shift.pause(reason, nowMs).unwrap())
    } else {
      const next = this.#shift.advance(nowMs)
      if (next.ok) this.#commit(next.val)
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
  const run = new ShiftRun(model)
  const ticks: TickFigures[] = []
  let finishedMs: number | undefined
  let isReversed = false
  while (model.nowMs - startMs < LIMIT_MS) {
    const sinceMs = model.nowMs - startMs
    const [from = Infinity, to = 0] = scenario.silentMs ?? []
    model.isMeasuring = sinceMs < from || sinceMs >= to
    if (!isReversed && sinceMs >= (scenario.reverseAtMs ?? Infinity)) {
      run.reverse()
      isReversed = true
    }
    ticks.push(model.tick())
    if (model.nowMs % 1000 === 0) run.step()
    if (run.record.state === ShiftState.Finished) finishedMs ??= model.nowMs
    if (finishedMs !== undefined && model.nowMs - finishedMs > 15_000) break
  }
  const steps = run.record.step
  return {
    scenario: scenario.name,
    seed,
    highestMovedShare: Math.max(...windowShares(ticks)),
    highestTargetLoad: Math.max(...windowLoads(ticks, 'north')),
    durationMs: durationOf(scenario, ticks, finishedMs ?? model.nowMs, startMs),
    // Each step lasts its interval, in which caches warm up; after the last, cached answers expire.
    imposedMs: steps * INTENT.stepIntervalMs + ANSWER_CACHE_MS,
    finalMovedShare: windowShares(ticks).at(-1) ?? 0,
  }
}

/** A reversed shift lasts until its last step, any other until most of the capped traffic has moved. */
function durationOf(
  scenario: Scenario,
  ticks: readonly TickFigures[],
  finishedMs: number,
  startMs: number,
): number {
  if (scenario.reverseAtMs !== undefined) return finishedMs - startMs
  const index = windowShares(ticks).findIndex((share) => share >= MOVED_PART * INTENT.capShare)
  const reachedMs = index < 0 ? LIMIT_MS : (index + WINDOW_MS / TICK_MS) * TICK_MS
  return Math.max(reachedMs, finishedMs - startMs)
}

function windows(ticks: readonly TickFigures[]): (readonly TickFigures[])[] {
  const length = WINDOW_MS / TICK_MS
  return ticks.slice(length - 1).map((_, index) => ticks.slice(index, index + length))
}

function windowShares(ticks: readonly TickFigures[]): number[] {
  return windows(ticks).map((window) => {
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

function windowLoads(ticks: readonly TickFigures[], region: string): number[] {
  return windows(ticks).map(
    (window) => window.reduce((sum, tick) => sum + (tick.load[region] ?? 0), 0) / window.length,
  )
}

/** Simulates every scenario with several seeds. */
export function runShiftBench(options: BenchOptions): Promise<BenchReport> {
  const seeds = Array.from({ length: options.quick ? 1 : 4 }, (_, index) => options.seed + index)
  const rounds = SCENARIOS.flatMap((scenario) => seeds.map((seed) => runScenario(scenario, seed)))
  const moved = Math.max(...rounds.map(({ highestMovedShare }) => highestMovedShare))
  const load = Math.max(...rounds.map(({ highestTargetLoad }) => highestTargetLoad))
  const steady = rounds.filter(({ scenario }) => scenario === SCENARIOS[0]?.name)
  const factor = Math.max(...steady.map(({ durationMs, imposedMs }) => durationMs / imposedMs))
  return Promise.resolve({
    bench: 'shift',
    seed: options.seed,
    rounds,
    goals: [
      atMost(
        'highest share of moved requests within 1 s',
        INTENT.capShare,
        moved,
        'of the source region',
      ),
      atMost('highest load of the target region within 1 s', 1, load, 'of its capacity'),
      atMost('duration of a steady shift', 1.5, factor, 'x the imposed time'),
    ],
    lines: rounds.map(
      (round) =>
        `${round.scenario}, seed ${String(round.seed)}: moved at most ${percent(round.highestMovedShare)}, ` +
        `at the end ${percent(round.finalMovedShare)}, target load at most ${percent(round.highestTargetLoad)}, ` +
        `${String(round.durationMs)} ms (imposed ${String(round.imposedMs)} ms)`,
    ),
  })
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)}%`
}
