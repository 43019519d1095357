/** Detects slow workers while their requests are still running. */
import type { ServiceTimeStats } from './serviceTimeStats.js'

/** Speed of a worker, which determines how it may be used. */
export enum WorkerSpeed {
  Normal = 'normal',
  /** Was slow and may have recovered: gets one request at a time until one completes normally. */
  Probing = 'probing',
  /** Used only if no other slot is free. */
  Slow = 'slow',
}

/** Thresholds of the detection of slow workers. */
export interface SlowDetectionOptions {
  /** A request is late after this multiple of the median service time of its class. */
  readonly lateFactor: number
  /** Time after the last late request until the worker is probed, in milliseconds. */
  readonly slowHoldMs: number
}

/**
 * A factor of 2 allows earlier hedges than 3 (section 8 of the design page); the lower limit in
 * {@link ServiceTimeStats.lateThresholdMs} prevents false positives for classes with a wide spread.
 * `slowHoldMs` keeps the probe out of the same slow phase.
 */
export const DEFAULT_SLOW_DETECTION_OPTIONS: SlowDetectionOptions = {
  lateFactor: 2,
  slowHoldMs: 150,
}

interface RunningRequest {
  readonly requestClass: string
  readonly startedAtMs: number
}

interface WorkerState {
  readonly running: Map<string, RunningRequest>
  /** Time of the latest completion that was not late. */
  lastNormalEndAtMs: number
  lastLateAtMs: number | undefined
  /** Moving mean of the duration divided by the median of its class. */
  slowdown: number
}

/**
 * Observes the requests on each worker of a service. A few requests run many times longer than
 * the rest, so a late request does not mark its worker as slow if another request completed in
 * normal time after the late one should have ended.
 */
export class WorkerMonitor {
  readonly #serviceTimes: ServiceTimeStats
  readonly #options: SlowDetectionOptions
  readonly #workers = new Map<string, WorkerState>()

  constructor(
    serviceTimes: ServiceTimeStats,
    options: SlowDetectionOptions = DEFAULT_SLOW_DETECTION_OPTIONS,
  ) {
    this.#serviceTimes = serviceTimes
    this.#options = options
  }

  /** Records that a request starts on the worker. */
  started(workerId: string, holdId: string, requestClass: string, nowMs: number): void {
    this.#state(workerId).running.set(holdId, { requestClass, startedAtMs: nowMs })
  }

  /** Records a completion; `durationMs` is the time that the worker took. */
  completed(workerId: string, holdId: string, durationMs: number, nowMs: number): void {
    const state = this.#state(workerId)
    const running = state.running.get(holdId)
    if (running === undefined) return
    state.running.delete(holdId)
    const medianMs = this.#serviceTimes.medianMs(running.requestClass)
    if (medianMs !== undefined) {
      const ratio = durationMs / Math.max(medianMs, 1)
      state.slowdown += (Math.min(ratio, 2 * this.#options.lateFactor) - state.slowdown) / 8
      const lateThresholdMs = this.#serviceTimes.lateThresholdMs(
        running.requestClass,
        this.#options.lateFactor,
      )
      if (lateThresholdMs === undefined || durationMs <= lateThresholdMs)
        this.#markNormal(state, nowMs)
      else if (this.#indicatesSlowWorker(state, running)) state.lastLateAtMs = nowMs
    }
    this.#serviceTimes.add(running.requestClass, durationMs)
  }

  /** Removes a request that ended without a completion, for example refused or cancelled. */
  abandoned(workerId: string, holdId: string): void {
    this.#workers.get(workerId)?.running.delete(holdId)
  }

  /** Current speed of the worker, updated from the requests that are running on it. */
  speedOf(workerId: string, nowMs: number): WorkerSpeed {
    const state = this.#workers.get(workerId)
    if (state === undefined) return WorkerSpeed.Normal
    for (const running of state.running.values()) {
      if (this.#isLate(running, nowMs) && this.#indicatesSlowWorker(state, running)) {
        state.lastLateAtMs = nowMs
      }
    }
    if (state.lastLateAtMs === undefined) return WorkerSpeed.Normal
    return nowMs - state.lastLateAtMs < this.#options.slowHoldMs
      ? WorkerSpeed.Slow
      : WorkerSpeed.Probing
  }

  /** Number of requests of this process, or lent by it, that are running on the worker. */
  runningOn(workerId: string): number {
    return this.#workers.get(workerId)?.running.size ?? 0
  }

  /** Number of running requests that started on the worker after the last late request. */
  probesOn(workerId: string): number {
    const state = this.#workers.get(workerId)
    const sinceMs = state?.lastLateAtMs
    if (state === undefined || sinceMs === undefined) return 0
    let probes = 0
    for (const running of state.running.values()) if (running.startedAtMs >= sinceMs) probes += 1
    return probes
  }

  /** Recent duration on the worker relative to the median of the class; 1 without observations. */
  slowdownOf(workerId: string): number {
    return this.#workers.get(workerId)?.slowdown ?? 1
  }

  /** Removes the state of idle workers that are not in `workerIds`. */
  retain(workerIds: ReadonlySet<string>): void {
    for (const [workerId, state] of this.#workers) {
      if (!workerIds.has(workerId) && state.running.size === 0) this.#workers.delete(workerId)
    }
  }

  #markNormal(state: WorkerState, nowMs: number): void {
    state.lastNormalEndAtMs = nowMs
    state.lastLateAtMs = undefined
  }

  #isLate(running: RunningRequest, nowMs: number): boolean {
    const lateThresholdMs = this.#serviceTimes.lateThresholdMs(
      running.requestClass,
      this.#options.lateFactor,
    )
    return lateThresholdMs !== undefined && nowMs - running.startedAtMs > lateThresholdMs
  }

  #indicatesSlowWorker(state: WorkerState, running: RunningRequest): boolean {
    const medianMs = this.#serviceTimes.medianMs(running.requestClass) ?? 0
    return state.lastNormalEndAtMs < running.startedAtMs + medianMs
  }

  #state(workerId: string): WorkerState {
    let state = this.#workers.get(workerId)
    if (state === undefined) {
      state = {
        running: new Map(),
        lastNormalEndAtMs: Number.NEGATIVE_INFINITY,
        lastLateAtMs: undefined,
        slowdown: 1,
      }
      this.#workers.set(workerId, state)
    }
    return state
  }
}
