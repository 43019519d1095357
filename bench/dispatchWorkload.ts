/** Arrivals, service times and slow phases of the dispatch bench; the same in every process. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** One request of the workload. */
export interface Arrival {
  /** Milliseconds after the start of the run. */
  readonly atMs: number
  /** Time that a worker of normal speed takes, in milliseconds. */
  readonly workMs: number
  readonly isLong: boolean
}

/** Sizes and load of one scenario. */
export interface Workload {
  readonly slotsPerWorker: readonly number[]
  readonly gateways: number
  /** Offered work as a share of the slots. */
  readonly load: number
  readonly durationMs: number
  readonly seed: number
}

/**
 * Large enough that 3 to 9 gateways and the stand-ins leave the processor of the build machine
 * mostly idle: with 10 ms, all policies measured waits for the processor.
 */
export const SHORT_MEAN_MS = 60
export const LONG_FACTOR = 20
export const LONG_SHARE = 0.02
export const SLOW_FACTOR = 8
export const SLOW_MS = 400
/** A slow phase of one worker starts each time this has passed. */
export const SLOW_PERIOD_MS = 800
/** Requests that arrive earlier are not counted; estimates and connections form then. */
export const WARM_UP_MS = 600
export const TIMEOUT_MS = 4000

/** Header with the work of a request in milliseconds. */
export const WORK_HEADER = 'bench-work-ms'
/** Headers with the times at which execution started and ended, milliseconds since the epoch. */
export const STARTED_HEADER = 'bench-started'
export const ENDED_HEADER = 'bench-ended'

const RESOLUTION = 1 << 30

/** Returns a source of uniform numbers in [0, 1). */
export function uniformSource(seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformInt(generator, 0, RESOLUTION - 1) / RESOLUTION
}

export function totalSlots(workload: Workload): number {
  return workload.slotsPerWorker.reduce((sum, slots) => sum + slots, 0)
}

/** Requests per second over all gateways. */
export function offeredRate(workload: Workload): number {
  const meanMs = SHORT_MEAN_MS * (1 - LONG_SHARE + LONG_SHARE * LONG_FACTOR)
  return (workload.load * totalSlots(workload) * 1000) / meanMs
}

/** Poisson arrivals at one gateway; short service times are uniform within ±50%. */
export function arrivalsAt(workload: Workload, gateway: number): Arrival[] {
  const random = uniformSource(workload.seed * 1009 + gateway)
  const ratePerMs = offeredRate(workload) / workload.gateways / 1000
  const arrivals: Arrival[] = []
  let atMs = 0
  for (;;) {
    atMs -= Math.log(1 - random()) / ratePerMs
    const isLong = random() < LONG_SHARE
    const shortMs = SHORT_MEAN_MS * (0.5 + random())
    if (atMs >= workload.durationMs) return arrivals
    arrivals.push({ atMs, workMs: isLong ? shortMs * LONG_FACTOR : shortMs, isLong })
  }
}

/** Index of the worker that is slow in each period. */
export function slowWorkers(workload: Workload): number[] {
  const random = uniformSource(workload.seed * 2003 + 1)
  const periods = Math.ceil(workload.durationMs / SLOW_PERIOD_MS) + 20
  return Array.from({ length: periods }, () =>
    Math.floor(random() * workload.slotsPerWorker.length),
  )
}

/** Tells whether the worker is slow at a time after the start of the run. */
export function isSlowAt(slow: readonly number[], worker: number, atMs: number): boolean {
  const period = Math.floor(atMs / SLOW_PERIOD_MS)
  return atMs - period * SLOW_PERIOD_MS < SLOW_MS && slow[period] === worker
}

/** End of work that starts at `startMs` on a worker, slow phases included. */
export function finishTime(
  slow: readonly number[],
  worker: number,
  startMs: number,
  workMs: number,
): number {
  let atMs = startMs
  let leftMs = workMs
  for (;;) {
    const periodStart = Math.floor(atMs / SLOW_PERIOD_MS) * SLOW_PERIOD_MS
    const inSlowHalf = atMs - periodStart < SLOW_MS
    const boundary = inSlowHalf ? periodStart + SLOW_MS : periodStart + SLOW_PERIOD_MS
    const speed = isSlowAt(slow, worker, atMs) ? 1 / SLOW_FACTOR : 1
    const doable = (boundary - atMs) * speed
    if (doable >= leftMs) return atMs + leftMs / speed
    leftMs -= doable
    atMs = boundary
  }
}

/** Present time with a fraction, in milliseconds since the epoch. */
export function preciseNow(): number {
  return performance.timeOrigin + performance.now()
}
