/** Which worker to prefer: slow ones are detected while their requests still run. */
import type { ClassEstimates } from './classEstimates.js'

/** How a worker may be used. */
export enum WorkerPace {
  Normal = 'normal',
  /** It was slow and may have recovered: one request at a time until one completes normally. */
  Probing = 'probing',
  /** Used only when nothing else is free. */
  Slow = 'slow',
}

/** Limits of the slow detection. */
export interface PaceOptions {
  /** A request in flight for longer than this many usual times is late. */
  readonly lateFactor: number
  /** Time after the last sign of slowness until the worker is probed, in milliseconds. */
  readonly slowHoldMs: number
}

/**
 * Section 8 of the design page has a factor of 3. In trials 2 hedged earlier, with the spread
 * of the class as a lower bound. The hold keeps a probe out of the same slow phase.
 */
export const DEFAULT_PACE_OPTIONS: PaceOptions = { lateFactor: 2, slowHoldMs: 150 }

interface Running {
  readonly requestClass: string
  readonly startedAtMs: number
}

interface WorkerState {
  readonly running: Map<string, Running>
  /** End of the latest completion in normal time. */
  normalUntilMs: number
  lateSeenAtMs: number | undefined
  /** Moving mean of duration divided by the usual time of the class. */
  paceRatio: number
}

/**
 * Observes the requests on each worker of a service. A late request alone does
 * not make its worker slow, because a few requests run many times longer than
 * the rest; it does so unless another request completed in normal time after
 * the late one should have ended.
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

  /** Records a completion; `durationMs` is the time the worker took. */
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

  /** Forgets a request that ended without a completion, for example refused or cancelled. */
  abandoned(workerId: string, holdId: string): void {
    this.#workers.get(workerId)?.running.delete(holdId)
  }

  /** Judges the worker. */
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

  /** Requests that this process knows to run on the worker. */
  runningOn(workerId: string): number {
    return this.#workers.get(workerId)?.running.size ?? 0
  }

  /** Requests started on the worker since it last showed signs of slowness. */
  probesOn(workerId: string): number {
    const state = this.#workers.get(workerId)
    const sinceMs = state?.lateSeenAtMs
    if (state === undefined || sinceMs === undefined) return 0
    let probes = 0
    for (const running of state.running.values()) if (running.startedAtMs >= sinceMs) probes += 1
    return probes
  }

  /** Recent time on the worker relative to the usual time; 1 without observations. */
  paceRatioOf(workerId: string): number {
    return this.#workers.get(workerId)?.paceRatio ?? 1
  }

  /** Drops the state of workers that are no longer configured. */
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
