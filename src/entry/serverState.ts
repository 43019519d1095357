/** A backend server at the coordinator: slots in use, slowdown, failures and cached objects. */
import { TokenBucket } from '../gateway/tokenBucket.js'
import type { LoadReport } from './loadReport.js'
import { hashText } from '../common/hashing.js'
import type { ObjectCacheEstimate } from './objectCacheEstimate.js'
import { SlotOutcome } from './peerMessages.js'
import type { ServerLimit } from './serverLimits.js'
import type { ObjectHolders } from './serverIndex.js'

/** A backend server with the slots that the coordinator may use. */
export interface CoordinatedServer {
  readonly id: string
  /** Start time in milliseconds since the epoch; distinguishes restarts under one identifier. */
  readonly startedAtMs: number
  readonly region: string
  readonly zone: string
  /** Slots that this coordinator may fill. */
  readonly slots: number
  readonly coldUntilMs: number
  /** Requests per second that the server can handle while cold. */
  readonly coldRequestsPerSecond: number
}

/** A request that runs in a slot. */
export interface RunningRequest {
  readonly route: string
  readonly object: string
  readonly startedAtMs: number
  readonly expectedMs: number
  /**
   * Requests with objects at the server since the last one for this object; `undefined` if
   * the object is not tracked.
   */
  readonly reuseDistance: number | undefined
}

/** Weight of a new sample in the slowdown; it reflects about the last ten requests. */
const SLOWDOWN_WEIGHT = 0.15
/**
 * Time in which the weight of a load report falls from 1 to 0, in milliseconds; the load of other
 * processes on the machine changes within it.
 */
const REPORT_TTL_MS = 500
/** Time without grants after a server reported that it is full, in ms; half a short request. */
const FULL_BACKOFF_MS = 60
/** Time without grants after a failed connection, in ms; a crashed server is down for seconds. */
const UNREACHABLE_BACKOFF_MS = 1500
/** Weight of a new outcome in the fraction of failures. */
const FAILURE_WEIGHT = 0.1
/** Bounds of a single slowdown sample, so that one straggler has little effect. */
const MIN_SLOWDOWN = 0.3
const MAX_SLOWDOWN = 8
/** Cost of a failure in durations of the request: the failed attempt and its repetition. */
const FAILURE_COST_FACTOR = 4
/** Requests overdue at once from which a server is taken for slow, unless more are usual. */
const MIN_OVERDUE_COUNT = 2
/** Slowdown of a cold server. */
const COLD_SLOWDOWN = 2

/** What is known of the durations of a service's work, shared by the states of its servers. */
export interface PaceExpectation {
  /** Fraction of the running requests that are usually overdue at a server with the usual pace. */
  overdueFraction: number
  /** Time constant in which a slowdown that no run confirms fades, in milliseconds. */
  slowdownFadeMs: number
}

/** State of one server. */
export class ServerState {
  #server: CoordinatedServer
  readonly running = new Map<string, RunningRequest>()
  /** Sequence number of the last request for each object, in ascending order. */
  readonly #lastUseByObject = new Map<string, number>()
  #objectRequests = 0
  readonly #objectCache: ObjectCacheEstimate
  readonly #expectation: PaceExpectation
  readonly #holders: ObjectHolders
  readonly #coldBucket: TokenBucket
  #slowdown = 1
  #failureFraction = 0
  /** Time of the latest completion. */
  #observedAtMs: number
  /** Time since which nothing runs at the server. */
  #idleSinceMs: number
  #report: LoadReport | undefined
  #reportAtMs = Number.NEGATIVE_INFINITY
  #suspendedUntilMs = Number.NEGATIVE_INFINITY
  /** Times until which the server wants no request of an instance, by instance. */
  readonly #turnedAwayUntilMs = new Map<string, number>()
  /** Limit that the server states, if any. */
  limit: ServerLimit | undefined
  #cachedSlowdownAtMs = Number.NaN
  #cachedSlowdown = 1
  #cachedPace = 1
  /** Hash of the identifier, for the affinity of objects to servers. */
  readonly hash: number
  /** Number of the latest selection of candidates that contains the server. */
  selection = 0

  constructor(
    server: CoordinatedServer,
    objectCache: ObjectCacheEstimate,
    holders: ObjectHolders,
    nowMs: number,
    expectation: PaceExpectation = { overdueFraction: 0, slowdownFadeMs: Infinity },
  ) {
    this.#observedAtMs = nowMs
    this.#idleSinceMs = nowMs
    this.#expectation = expectation
    this.#server = server
    this.#holders = holders
    this.hash = hashText(server.id)
    this.#objectCache = objectCache
    this.#coldBucket = new TokenBucket(1, nowMs)
  }

  get server(): CoordinatedServer {
    return this.#server
  }

  update(server: CoordinatedServer): void {
    if (server.startedAtMs !== this.#server.startedAtMs) this.#turnedAwayUntilMs.clear()
    this.#server = server
  }

  /** Slots that may be granted now. */
  freeSlots(nowMs: number): number {
    if (this.isSuspended(nowMs)) return 0
    const unusedSlots = this.#server.slots - this.running.size
    const free = Math.min(unusedSlots, this.limit?.availableRequests(nowMs) ?? unusedSlots)
    if (free <= 0 || !this.isCold(nowMs)) return Math.max(0, free)
    const rate = this.#server.coldRequestsPerSecond
    this.#coldBucket.refill(rate, Math.max(1, rate / 4), nowMs)
    return this.#coldBucket.tokens >= 1 ? free : 0
  }

  /** Records that the server wants no request of an instance for a time. */
  turnAway(instance: string, untilMs: number): void {
    this.#turnedAwayUntilMs.set(instance, untilMs)
  }

  /** Time until which the server wants no request of an instance; 0 if it takes them. */
  turnedAwayUntilMs(instance: string, nowMs: number): number {
    if (this.#turnedAwayUntilMs.size === 0) return 0
    const untilMs = this.#turnedAwayUntilMs.get(instance)
    if (untilMs === undefined) return 0
    if (untilMs > nowMs) return untilMs
    this.#turnedAwayUntilMs.delete(instance)
    return 0
  }

  /** Whether grants are suspended because the server was full or unreachable. */
  isSuspended(nowMs: number): boolean {
    return nowMs < this.#suspendedUntilMs
  }

  /**
   * Slots that can be in use on average, less than all if the server states a limit.
   * @param holdTimeMs mean time for which a request holds a slot
   */
  usableSlots(holdTimeMs: number): number {
    const { slots } = this.#server
    return this.limit?.usableSlots(slots, holdTimeMs) ?? slots
  }

  /**
   * Expected wait until a slot is granted, in milliseconds.
   * @param position of the request among those that wait for the server, from 1
   */
  waitMs(position: number, holdTimeMs: number, nowMs: number): number {
    if (this.freeSlots(nowMs) > 0) return 0
    const { slots } = this.#server
    const isInUse = this.running.size >= slots || this.limit === undefined
    const slotWaitMs = isInUse ? (position * holdTimeMs * this.slowdownAt(nowMs)) / slots : 0
    return Math.max(slotWaitMs, this.limit?.waitMs(position, nowMs) ?? 0)
  }

  isCold(nowMs: number): boolean {
    return nowMs < this.#server.coldUntilMs
  }

  /** Requests with objects since the last one for this object; `undefined` if it is not tracked. */
  reuseDistanceOf(object: string): number | undefined {
    const sequenceNumber = object === '' ? undefined : this.#lastUseByObject.get(object)
    return sequenceNumber === undefined ? undefined : this.#objectRequests - sequenceNumber
  }

  /** Objects of the latest requests. */
  trackedObjects(): Iterable<string> {
    return this.#lastUseByObject.keys()
  }

  /** Whether the server is expected to have the object cached. */
  hasCached(object: string): boolean {
    const reuseDistance = this.reuseDistanceOf(object)
    return reuseDistance !== undefined && reuseDistance < this.#objectCache.size
  }

  /** Expected duration of work relative to the usual one, which is 1; cached per point in time. */
  slowdownAt(nowMs: number): number {
    this.#updateSlowdown(nowMs)
    return this.#cachedSlowdown
  }

  /** As {@link slowdownAt}, without the cost of failures. */
  paceAt(nowMs: number): number {
    this.#updateSlowdown(nowMs)
    return this.#cachedPace
  }

  #updateSlowdown(nowMs: number): void {
    if (nowMs === this.#cachedSlowdownAtMs) return
    this.#cachedPace = this.#computePace(nowMs)
    this.#cachedSlowdown = this.#cachedPace * (1 + FAILURE_COST_FACTOR * this.#failureFraction)
    this.#cachedSlowdownAtMs = nowMs
  }

  #computePace(nowMs: number): number {
    const reportWeight = Math.max(0, 1 - (nowMs - this.#reportAtMs) / REPORT_TTL_MS)
    const reported = this.#report?.pace ?? this.#slowdown
    const observed = Math.max(this.#slowdown, this.#overdueSlowdown(nowMs))
    const slowdown =
      reportWeight * Math.max(reported, observed * 0.5) + (1 - reportWeight) * observed
    return slowdown * (this.isCold(nowMs) ? COLD_SLOWDOWN : 1)
  }

  /** Time since which nothing runs at the server, in milliseconds; 0 if something does. */
  idleMs(nowMs: number): number {
    return this.running.size === 0 ? Math.max(0, nowMs - this.#idleSinceMs) : 0
  }

  startRequest(key: string, request: RunningRequest, nowMs: number): void {
    this.running.set(key, request)
    this.#recordObject(request.object)
    if (this.isCold(nowMs)) this.#coldBucket.charge(1)
    this.limit?.recordRequest()
  }

  /** Ends a request and records its outcome; returns `undefined` for an unknown key. */
  endRequest(
    key: string,
    use: SlotOutcome,
    durationMs: number,
    report: LoadReport | null,
    nowMs: number,
  ): RunningRequest | undefined {
    const running = this.running.get(key)
    this.#cachedSlowdownAtMs = Number.NaN
    this.running.delete(key)
    if (this.running.size === 0) this.#idleSinceMs = nowMs
    if (report !== null) {
      this.#report = report
      this.#reportAtMs = nowMs
    }
    OUTCOME_RECORDERS[use](this, running, durationMs, nowMs)
    return running
  }

  /**
   * Whether the last load report says that all slots are in use, even if this coordinator granted
   * fewer.
   */
  get reportsFull(): boolean {
    return this.#report !== undefined && this.#report.running >= this.#report.slots
  }

  /** Suspends grants until the given time. */
  suspend(untilMs: number): void {
    this.#suspendedUntilMs = Math.max(this.#suspendedUntilMs, untilMs)
  }

  observeCompletion(running: RunningRequest | undefined, durationMs: number, nowMs: number): void {
    this.observeFailure(0)
    if (running === undefined) return
    const ratio = durationMs / Math.max(1, running.expectedMs)
    const bounded = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, ratio))
    // Geometric mean: a single straggler has little effect, a lasting slowdown is followed.
    const fadedFraction =
      1 - Math.exp((this.#observedAtMs - nowMs) / this.#expectation.slowdownFadeMs)
    this.#observedAtMs = nowMs
    const weight = Math.max(SLOWDOWN_WEIGHT, fadedFraction)
    this.#slowdown *= Math.pow(bounded / this.#slowdown, weight)
  }

  /** @param failed 1 for a failure, 0 for a success */
  observeFailure(failed: number): void {
    this.#failureFraction += (failed - this.#failureFraction) * FAILURE_WEIGHT
  }

  /** Slowdown inferred from running requests that are overdue; 0: none. */
  #overdueSlowdown(nowMs: number): number {
    let overdueCount = 0
    for (const request of this.running.values()) {
      const ratio = (nowMs - request.startedAtMs) / Math.max(1, request.expectedMs)
      if (ratio > 2) overdueCount += 1
    }
    // A single overdue request is a normal straggler; several at once indicate a slow server.
    const usualCount = this.running.size * this.#expectation.overdueFraction
    const limit = Math.max(MIN_OVERDUE_COUNT, usualCount + 2 * Math.sqrt(usualCount))
    return overdueCount >= limit ? 1 + overdueCount : 0
  }

  #recordObject(object: string): void {
    if (object === '') return
    this.#objectRequests += 1
    this.#lastUseByObject.delete(object)
    this.#lastUseByObject.set(object, this.#objectRequests)
    this.#holders.add(object, this)
    if (this.#lastUseByObject.size <= this.#objectCache.trackedObjects) return
    const oldest = this.#lastUseByObject.keys().next().value
    if (oldest === undefined) return
    this.#lastUseByObject.delete(oldest)
    this.#holders.remove(oldest, this)
  }
}

type OutcomeRecorder = (
  state: ServerState,
  running: RunningRequest | undefined,
  durationMs: number,
  nowMs: number,
) => void

const OUTCOME_RECORDERS: Readonly<Record<SlotOutcome, OutcomeRecorder>> = {
  [SlotOutcome.Completed]: (state, running, durationMs, nowMs) => {
    state.observeCompletion(running, durationMs, nowMs)
  },
  [SlotOutcome.Failed]: (state) => {
    state.observeFailure(1)
  },
  [SlotOutcome.NotRun]: (state, _running, durationMs, nowMs) => {
    // A full server reports its load; a negative duration marks a failed connection attempt.
    const isUnreachable = durationMs < 0
    if (isUnreachable) state.suspend(nowMs + UNREACHABLE_BACKOFF_MS)
    else if (state.reportsFull) state.suspend(nowMs + FULL_BACKOFF_MS)
    else state.observeFailure(1)
  },
  [SlotOutcome.Broken]: (state) => {
    state.observeFailure(1)
  },
  [SlotOutcome.Abandoned]: () => undefined,
}
