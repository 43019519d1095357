/**
 * Workload of the dispatch bench: arrivals, service times and slow phases, derived from the seed so
 * that every process computes the same.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export interface Arrival {
  /** In milliseconds after the start of the run. */
  readonly atMs: number
  /** Service time on a worker outside slow phases, in milliseconds. */
  readonly workMs: number
  readonly isLong: boolean
}

export interface Workload {
  readonly slotsPerWorker: readonly number[]
  readonly gateways: number
  /** Offered load as a fraction of all slots. */
  readonly load: number
  readonly durationMs: number
  readonly seed: number
}

/**
 * Mean service time of short requests. Long enough that 3 to 9 gateways and the stub workers leave
 * the CPU of the build machine mostly idle; with 10 ms, waits for the CPU dominated all policies.
 */
export const SHORT_MEAN_MS = 60
export const LONG_WORK_FACTOR = 20
export const LONG_FRACTION = 0.02
export const SLOW_FACTOR = 8
export const SLOW_PHASE_MS = 400
/** Each period starts with a slow phase of one worker. */
export const SLOW_PERIOD_MS = 800
/** Earlier arrivals are excluded, as connections open and estimates converge in this time. */
export const WARM_UP_MS = 600
export const TIMEOUT_MS = 4000

/** Request header with the service time outside slow phases, in milliseconds. */
export const WORK_HEADER = 'bench-work-ms'
/** Response headers with the start and end of the execution, in milliseconds since the epoch. */
export const STARTED_HEADER = 'bench-started'
export const ENDED_HEADER = 'bench-ended'

const RANDOM_RESOLUTION = 1 << 30

/** Creates a generator of uniformly distributed numbers in [0, 1). */
export function createUniformRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformInt(generator, 0, RANDOM_RESOLUTION - 1) / RANDOM_RESOLUTION
}

export function totalSlots(workload: Workload): number {
  return workload.slotsPerWorker.reduce((sum, slots) => sum + slots, 0)
}

/** Returns the requests per second of all gateways together. */
export function offeredRate(workload: Workload): number {
  const meanMs = SHORT_MEAN_MS * (1 - LONG_FRACTION + LONG_FRACTION * LONG_WORK_FACTOR)
  return (workload.load * totalSlots(workload) * 1000) / meanMs
}

/** Generates Poisson arrivals at one gateway; service times vary uniformly by ±50%. */
export function generateArrivals(workload: Workload, gateway: number): Arrival[] {
  const random = createUniformRandom(workload.seed * 1009 + gateway)
  const ratePerMs = offeredRate(workload) / workload.gateways / 1000
  const arrivals: Arrival[] = []
  let atMs = 0
  for (;;) {
    atMs -= Math.log(1 - random()) / ratePerMs
    const isLong = random() < LONG_FRACTION
    const shortMs = SHORT_MEAN_MS * (0.5 + random())
    if (atMs >= workload.durationMs) return arrivals
    arrivals.push({ atMs, workMs: isLong ? shortMs * LONG_WORK_FACTOR : shortMs, isLong })
  }
}

/** Returns the index of the slow worker in each period. */
export function chooseSlowWorkers(workload: Workload): number[] {
  const random = createUniformRandom(workload.seed * 2003 + 1)
  const periods = Math.ceil(workload.durationMs / SLOW_PERIOD_MS) + 20
  return Array.from({ length: periods }, () =>
    Math.floor(random() * workload.slotsPerWorker.length),
  )
}

/** Returns whether the worker is in a slow phase `atMs` after the start of the run. */
export function isSlowAt(slowWorkers: readonly number[], worker: number, atMs: number): boolean {
  const period = Math.floor(atMs / SLOW_PERIOD_MS)
  return atMs - period * SLOW_PERIOD_MS < SLOW_PHASE_MS && slowWorkers[period] === worker
}

/** Returns when work that starts at `startMs` ends on a worker, with its slow phases. */
export function finishTime(
  slowWorkers: readonly number[],
  worker: number,
  startMs: number,
  workMs: number,
): number {
  let atMs = startMs
  let remainingMs = workMs
  for (;;) {
    const periodStartMs = Math.floor(atMs / SLOW_PERIOD_MS) * SLOW_PERIOD_MS
    const isInSlowPhase = atMs - periodStartMs < SLOW_PHASE_MS
    const boundaryMs = isInSlowPhase
      ? periodStartMs + SLOW_PHASE_MS
      : periodStartMs + SLOW_PERIOD_MS
    const speed = isSlowAt(slowWorkers, worker, atMs) ? 1 / SLOW_FACTOR : 1
    const workUntilBoundaryMs = (boundaryMs - atMs) * speed
    if (workUntilBoundaryMs >= remainingMs) return atMs + remainingMs / speed
    remainingMs -= workUntilBoundaryMs
    atMs = boundaryMs
  }
}

/** Returns the time in milliseconds since the epoch, with sub-millisecond resolution. */
export function preciseNow(): number {
  return performance.timeOrigin + performance.now()
}
