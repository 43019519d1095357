/** Detects slow workers while their requests are still running. */
import type { ClassEstimates } from './classEstimates.js'

/** Speed of a worker, which determines how it may be used. */
export enum WorkerPace {
  Normal = 'normal',
  /** Was slow and may have recovered: gets one request at a time until one completes normally. */
  Probing = 'probing',
  /** Used only if no other slot is free. */
  Slow = 'slow',
}

/** Thresholds of the detection of slow workers. */
export interface PaceOptions {
  /** A request is late after this multiple of the median service time of its class. */
  readonly lateFactor: number
  /** Time after the last late request until the worker is probed, in milliseconds. */
  readonly slowHoldMs: number
}

/**
 * A factor of 2 allows earlier hedges than 3 (section 8 of the design page); the lower limit in
 * {@link ClassEstimates.lateMs} prevents false positives for classes with a wide spread.
 * `slowHoldMs` keeps the probe out of the same slow phase.
 */
export const DEFAULT_PACE_OPTIONS: PaceOptions = { lateFactor: 2, slowHoldMs: 150 }

interface Running {
  readonly requestClass: string
  readonly startedAtMs: number
}

interface WorkerState {
  readonly running: Map<string, Running>
  /** Time of the latest completion that was not late. */
  normalUntilMs: number
  lateSeenAtMs: number | undefined
  /** Moving mean of the duration divided by the median of its class. */
  paceRatio: number
}

/**
 * Observes the requests on each worker of a service. A few requests run many times longer than
 * the rest, so a late request does not mark its worker as slow if another request completed in
 * normal time after the late one should have ended.
 */
export class WorkerPreference {
  readonly #estimates: ClassEstimates
  readonly #options: PaceOptions
  readonly #workers = new Map<string, WorkerState>()

  constructor(estimates: ClassEstimates, options: PaceOptions = DEFAULT_PACE_OPTIONS) {
    this.#estimates = estimates
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
    const usualMs = this.#estimates.usualMs(running.requestClass)
    if (usualMs !== undefined) {
      const ratio = durationMs / Math.max(usualMs, 1)
      state.paceRatio += (Math.min(ratio, 2 * this.#options.lateFactor) - state.paceRatio) / 8
      const lateMs = this.#estimates.lateMs(running.requestClass, this.#options.lateFactor)
      if (lateMs === undefined || durationMs <= lateMs) this.#completedNormally(state, nowMs)
      else if (this.#isUnexplained(state, running)) state.lateSeenAtMs = nowMs
    }
    this.#estimates.add(running.requestClass, durationMs)
  }

  /** Removes a request that ended without a completion, for example refused or cancelled. */
  abandoned(workerId: string, holdId: string): void {
    this.#workers.get(workerId)?.running.delete(holdId)
  }

  /** Current speed of the worker, updated from the requests that are running on it. */
  paceOf(workerId: string, nowMs: number): WorkerPace {
    const state = this.#workers.get(workerId)
    if (state === undefined) return WorkerPace.Normal
    for (const running of state.running.values()) {
      if (this.#isLate(running, nowMs) && this.#isUnexplained(state, running)) {
        state.lateSeenAtMs = nowMs
      }
    }
    if (state.lateSeenAtMs === undefined) return WorkerPace.Normal
    return nowMs - state.lateSeenAtMs < this.#options.slowHoldMs
      ? WorkerPace.Slow
      : WorkerPace.Probing
  }

  /** Number of requests of this process, or lent by it, that are running on the worker. */
  runningOn(workerId: string): number {
    return this.#workers.get(workerId)?.running.size ?? 0
  }

  /** Number of running requests that started on the worker after the last late request. */
  probesOn(workerId: string): number {
    const state = this.#workers.get(workerId)
    const sinceMs = state?.lateSeenAtMs
    if (state === undefined || sinceMs === undefined) return 0
    let probes = 0
    for (const running of state.running.values()) if (running.startedAtMs >= sinceMs) probes += 1
    return probes
  }

  /** Recent duration on the worker relative to the median of the class; 1 without observations. */
  paceRatioOf(workerId: string): number {
    return this.#workers.get(workerId)?.paceRatio ?? 1
  }

  /** Removes the state of idle workers that are not in `workerIds`. */
  retain(workerIds: ReadonlySet<string>): void {
    for (const [workerId, state] of this.#workers) {
      if (!workerIds.has(workerId) && state.running.size === 0) this.#workers.delete(workerId)
    }
  }

  #completedNormally(state: WorkerState, nowMs: number): void {
    state.normalUntilMs = nowMs
    state.lateSeenAtMs = undefined
  }

  #isLate(running: Running, nowMs: number): boolean {
    const lateMs = this.#estimates.lateMs(running.requestClass, this.#options.lateFactor)
    return lateMs !== undefined && nowMs - running.startedAtMs > lateMs
  }

  #isUnexplained(state: WorkerState, running: Running): boolean {
    const usualMs = this.#estimates.usualMs(running.requestClass) ?? 0
    return state.normalUntilMs < running.startedAtMs + usualMs
  }

  #state(workerId: string): WorkerState {
    let state = this.#workers.get(workerId)
    if (state === undefined) {
      state = {
        running: new Map(),
        normalUntilMs: Number.NEGATIVE_INFINITY,
        lateSeenAtMs: undefined,
        paceRatio: 1,
      }
      this.#workers.set(workerId, state)
    }
    return state
  }
}
