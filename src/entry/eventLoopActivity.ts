/** Measures how long the turns of the event loop take and how many connections they accept. */
import { performance } from 'node:perf_hooks'

/** Counters of the event loop since the start of the process. */
export interface EventLoopCounters {
  readonly turns: number
  /** Time outside of waiting for events, in milliseconds. */
  readonly activeMs: number
}

/** Activity of the event loop in one interval. */
export interface EventLoopInterval {
  readonly turns: number
  /** Mean active time of a turn, in milliseconds. */
  readonly turnMs: number
  /** Fraction of the interval in which the event loop did not wait for events, in 0..1. */
  readonly utilization: number
  /** Connections of callers accepted. Node.js accepts at most one in each turn. */
  readonly accepted: number
}

/** Reads the counters of this process. */
export function readEventLoopCounters(): EventLoopCounters {
  const { active } = performance.eventLoopUtilization()
  return { turns: performance.nodeTiming.uvMetricsInfo.loopCount, activeMs: active }
}

/** Splits the counters into intervals. */
export class EventLoopActivity {
  #counters: EventLoopCounters
  #accepted = 0
  #measuredAtMs: number

  constructor(counters: EventLoopCounters, nowMs: number) {
    this.#counters = counters
    this.#measuredAtMs = nowMs
  }

  /** Returns the activity since the last call. @param accepted connections since the start */
  measure(counters: EventLoopCounters, accepted: number, nowMs: number): EventLoopInterval {
    const turns = counters.turns - this.#counters.turns
    const activeMs = counters.activeMs - this.#counters.activeMs
    const interval = {
      turns,
      turnMs: activeMs / Math.max(1, turns),
      utilization: Math.min(1, activeMs / Math.max(1, nowMs - this.#measuredAtMs)),
      accepted: accepted - this.#accepted,
    }
    this.#counters = counters
    this.#accepted = accepted
    this.#measuredAtMs = nowMs
    return interval
  }
}
