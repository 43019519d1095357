/**
 * Decisions of a service coordinator while there is too little room: which request gets a free
 * slot, which one is queued, which queued one is let go, and which one is not started at all.
 */
import type { ServerOption } from './serverCost.js'
import type { Waiter } from './waiter.js'

/** Throughput and load of a service in one region, measured in requests per second. */
export interface ServiceLoad {
  /** Requests that the usable slots complete. */
  readonly completionsPerSecond: number
  readonly arrivalsPerSecond: number
  /** Slots that can be in use on average. */
  readonly usableSlots: number
}

/** What the coordinator knows of the work of a service. */
export interface SchedulingContext {
  /** Expected duration of a request of a route at a warm server of this region. */
  readonly serviceMsOf: (route: string) => number
  readonly loadAt: (nowMs: number) => ServiceLoad
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** Why a request is not served, and when its caller should come back; 0: unknown. */
export interface Refusal {
  readonly reason: string
  readonly retryAfterMs: number
}

/** A queued request that is let go. */
export interface Displacement extends Refusal {
  readonly waiter: Waiter
}

/** How the work of a started request ended. */
export enum WorkEnd {
  Completed = 'completed',
  /** The server answered with a failure, or its answer broke off. */
  Failed = 'failed',
  /** Not run, withdrawn, or unknown. */
  Unknown = 'unknown',
}

/** Holds the queue of one service and decides about it. */
export interface SchedulingPolicy {
  /** Fraction of the running requests that usually run for over twice the expected duration. */
  readonly overdueFraction: number
  /** Time constant in which a server's slowdown fades while no run confirms it, in milliseconds. */
  readonly slowdownFadeMs: number
  /** Whether a request that arrives may start in a slot that the queued ones have declined. */
  readonly usesDeclinedSlots: boolean
  /** Number of queued requests. */
  readonly length: number
  has(key: string): boolean
  all(): readonly Waiter[]
  /** Records a request that arrives, before any decision on it. */
  recordArrival(waiter: Waiter, nowMs: number): void
  /** Queues the request, or tells why not. */
  offer(waiter: Waiter, nowMs: number): Refusal | undefined
  /** Puts a request into the queue that another policy has admitted. */
  adopt(waiter: Waiter): void
  remove(key: string): Waiter | undefined
  /** First requests in the order of service. */
  next(count: number, nowMs: number): readonly Waiter[]
  /** Number of other queued requests that a longer use of a slot by this one would delay. */
  countDelayedBy(waiter: Waiter): number
  /** Removes the queued requests that can't be served in useful time any more. */
  takeDisplaced(nowMs: number): readonly Displacement[]
  /**
   * Refuses a request that no server takes at present.
   * @param turnedAwayForMs time until the first server takes it; `undefined` if unknown
   */
  refuseWithoutServer(waiter: Waiter, turnedAwayForMs: number | undefined, nowMs: number): Refusal
  /** Refuses a request that no server can end in time. */
  refuseInfeasible(waiter: Waiter, nowMs: number): Refusal
  /**
   * Cost of running the request at a server, in milliseconds: the expected time until completion
   * and what it costs others; infinite if it must not be started there.
   */
  costMs(waiter: Waiter, option: ServerOption, nowMs: number): number
  /** @param expectedMs expected duration at the server that was chosen */
  recordStart(waiter: Waiter, expectedMs: number, nowMs: number): void
  /** @returns whether the work failed because its time was up, as work with a long tail does */
  recordEnd(key: string, end: WorkEnd, durationMs: number, nowMs: number): boolean
}

/** Creates a policy for one coordinator. */
export type SchedulingPolicyFactory = (context: SchedulingContext) => SchedulingPolicy
