/** A backend server at the coordinator: slots in use, slowdown, failures and cached objects. */
import { TokenBucket } from '../gateway/tokenBucket.js'
import type { LoadReport } from './loadReport.js'
import { hashText } from '../common/hashing.js'
import type { ObjectMemory } from './objectMemory.js'
import { SlotUse } from './peerMessages.js'

/** A backend server with the slots that the coordinator may use. */
export interface CoordinatedServer {
  readonly id: string
  readonly region: string
  readonly zone: string
  /** Slots that this coordinator may fill. */
  readonly slots: number
  readonly coldUntilMs: number
  /** Requests per second that the server can handle while cold. */
  readonly coldRequestsPerSecond: number
}

/** A request that runs in a slot. */
export interface RunningUse {
  readonly route: string
  readonly object: string
  readonly startedAtMs: number
  readonly expectedMs: number
  /** Requests with objects at the server since the last one for this object; `undefined`: none. */
  readonly objectRank: number | undefined
}

/** Weight of a new sample in the slowdown; it reflects about the last ten requests. */
const PACE_WEIGHT = 0.15
/**
 * Time in which the weight of a load report falls from 1 to 0, in milliseconds; the load of other
 * processes on the machine changes within it.
 */
const REPORT_LIFE_MS = 500
/** Time without grants after a server reported that it is full, in ms; half a short request. */
const FULL_PAUSE_MS = 60
/** Time without grants after a failed connection, in ms; a crashed server is down for seconds. */
const UNREACHABLE_PAUSE_MS = 1500
/** Weight of a new outcome in the fraction of failures. */
const FAILURE_WEIGHT = 0.1
/** Bounds of a single slowdown sample, so that one straggler has little effect. */
const MIN_PACE = 0.3
const MAX_PACE = 8
/** Cost of a failure in durations of the request: the failed attempt and its repetition. */
const FAILURE_COST = 4
/** Slowdown of a cold server. */
const COLD_FACTOR = 2

/** State of one server. */
export class ServerState {
  #server: CoordinatedServer
  readonly running = new Map<string, RunningUse>()
  /** Sequence number of the last request for each object, in ascending order. */
  readonly #objects = new Map<string, number>()
  #handled = 0
  readonly #memory: ObjectMemory
  readonly #coldBucket: TokenBucket
  #pace = 1
  #failureShare = 0
  #report: LoadReport | undefined
  #reportAtMs = Number.NEGATIVE_INFINITY
  #blockedUntilMs = Number.NEGATIVE_INFINITY
  #paceAtMs = Number.NaN
  #presentPace = 1
  /** Hash of the identifier, for the affinity of objects to servers. */
  readonly hash: number

  constructor(server: CoordinatedServer, memory: ObjectMemory, nowMs: number) {
    this.#server = server
    this.hash = hashText(server.id)
    this.#memory = memory
    this.#coldBucket = new TokenBucket(1, nowMs)
  }

  get server(): CoordinatedServer {
    return this.#server
  }

  update(server: CoordinatedServer): void {
    this.#server = server
  }

  /** Slots that may be granted now. */
  freeSlots(nowMs: number): number {
    if (this.isBlocked(nowMs)) return 0
    const free = this.#server.slots - this.running.size
    if (free <= 0 || !this.isCold(nowMs)) return Math.max(0, free)
    const rate = this.#server.coldRequestsPerSecond
    this.#coldBucket.refill(rate, Math.max(1, rate / 4), nowMs)
    return this.#coldBucket.tokens >= 1 ? free : 0
  }

  /** Whether grants are suspended after a full or unreachable server. */
  isBlocked(nowMs: number): boolean {
    return nowMs < this.#blockedUntilMs
  }

  isCold(nowMs: number): boolean {
    return nowMs < this.#server.coldUntilMs
  }

  /** Requests with objects since the last one for this object; `undefined`: none is tracked. */
  rankOf(object: string): number | undefined {
    const number = object === '' ? undefined : this.#objects.get(object)
    return number === undefined ? undefined : this.#handled - number
  }

  /** Whether the server is expected to have the object cached. */
  knows(object: string): boolean {
    const rank = this.rankOf(object)
    return rank !== undefined && rank < this.#memory.kept
  }

  /** Expected duration of work relative to the usual one, which is 1; cached per point in time. */
  paceAt(nowMs: number): number {
    if (nowMs !== this.#paceAtMs) {
      this.#presentPace = this.#computePace(nowMs)
      this.#paceAtMs = nowMs
    }
    return this.#presentPace
  }

  #computePace(nowMs: number): number {
    const reportWeight = Math.max(0, 1 - (nowMs - this.#reportAtMs) / REPORT_LIFE_MS)
    const reported = this.#report?.pace ?? this.#pace
    const known = Math.max(this.#pace, this.#overduePace(nowMs))
    const pace = reportWeight * Math.max(reported, known * 0.5) + (1 - reportWeight) * known
    return pace * (this.isCold(nowMs) ? COLD_FACTOR : 1) * (1 + FAILURE_COST * this.#failureShare)
  }

  start(key: string, use: RunningUse, nowMs: number): void {
    this.running.set(key, use)
    this.#remember(use.object)
    if (this.isCold(nowMs)) this.#coldBucket.charge(1)
  }

  /** Ends a request and records its outcome; returns `undefined` for an unknown key. */
  end(
    key: string,
    use: SlotUse,
    durationMs: number,
    report: LoadReport | null,
    nowMs: number,
  ): RunningUse | undefined {
    const running = this.running.get(key)
    this.#paceAtMs = Number.NaN
    this.running.delete(key)
    if (report !== null) {
      this.#report = report
      this.#reportAtMs = nowMs
    }
    OBSERVE_BY_USE[use](this, running, durationMs, nowMs)
    return running
  }

  /** Whether the last load report says that all slots are in use. */
  get reportsFull(): boolean {
    return this.#report !== undefined && this.#report.running >= this.#report.slots
  }

  /** Suspends grants until the given time. */
  block(untilMs: number): void {
    this.#blockedUntilMs = Math.max(this.#blockedUntilMs, untilMs)
  }

  observeCompletion(running: RunningUse | undefined, durationMs: number): void {
    this.observeFailure(0)
    if (running === undefined) return
    const ratio = durationMs / Math.max(1, running.expectedMs)
    const bounded = Math.min(MAX_PACE, Math.max(MIN_PACE, ratio))
    // Geometric mean: a single straggler has little effect, a lasting slowdown is followed.
    this.#pace *= Math.pow(bounded / this.#pace, PACE_WEIGHT)
  }

  /** @param failed 1 for a failure, 0 for a success */
  observeFailure(failed: number): void {
    this.#failureShare += (failed - this.#failureShare) * FAILURE_WEIGHT
  }

  /** Slowdown inferred from running requests that are overdue; 0: none. */
  #overduePace(nowMs: number): number {
    let overdue = 0
    for (const use of this.running.values()) {
      const ratio = (nowMs - use.startedAtMs) / Math.max(1, use.expectedMs)
      if (ratio > 2) overdue += 1
    }
    // A single overdue request is a normal straggler; several at once indicate a slow server.
    return overdue >= 2 ? 1 + overdue : 0
  }

  #remember(object: string): void {
    if (object === '') return
    this.#handled += 1
    this.#objects.delete(object)
    this.#objects.set(object, this.#handled)
    if (this.#objects.size <= this.#memory.remembered) return
    const oldest = this.#objects.keys().next().value
    if (oldest !== undefined) this.#objects.delete(oldest)
  }
}

type Observation = (
  state: ServerState,
  running: RunningUse | undefined,
  durationMs: number,
  nowMs: number,
) => void

const OBSERVE_BY_USE: Readonly<Record<SlotUse, Observation>> = {
  [SlotUse.Completed]: (state, running, durationMs) => {
    state.observeCompletion(running, durationMs)
  },
  [SlotUse.Failed]: (state) => {
    state.observeFailure(1)
  },
  [SlotUse.NotRun]: (state, _running, durationMs, nowMs) => {
    // A full server reports its load; a negative duration marks a failed connection attempt.
    const isUnreachable = durationMs < 0
    if (isUnreachable) state.block(nowMs + UNREACHABLE_PAUSE_MS)
    else if (state.reportsFull) state.block(nowMs + FULL_PAUSE_MS)
    else state.observeFailure(1)
  },
  [SlotUse.Broken]: (state) => {
    state.observeFailure(1)
  },
  [SlotUse.Abandoned]: () => undefined,
}
