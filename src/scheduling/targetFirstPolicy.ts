/**
 * Serves requests that can still meet their target first, in the order of priority. A request is
 * checked when it arrives; once queued, it stays until it is overdue.
 */
import type { QueueState, RequestNeed } from './admission.js'
import { AdmissionKind, LATE_WAIT_FRACTION, admit, retryAfterMs } from './admission.js'
import { RequestQueue } from './requestQueue.js'
import type {
  Displacement,
  Refusal,
  SchedulingContext,
  SchedulingPolicy,
} from './schedulingPolicy.js'
import type { ServerOption } from './serverCost.js'
import { spreadingCostMs, wayCostMs } from './serverCost.js'
import type { Waiter } from './waiter.js'

export class TargetFirstPolicy implements SchedulingPolicy {
  /** A second overdue request counts as a sign of a slow server. */
  readonly overdueFraction = 0
  readonly usesDeclinedSlots = false
  readonly slowdownFadeMs = Number.POSITIVE_INFINITY
  readonly #context: SchedulingContext
  readonly #queue = new RequestQueue()

  constructor(context: SchedulingContext) {
    this.#context = context
  }

  get length(): number {
    return this.#queue.length
  }

  has(key: string): boolean {
    return this.#queue.has(key)
  }

  all(): readonly Waiter[] {
    return this.#queue.all()
  }

  recordArrival(): void {
    // The load that the coordinator measures suffices.
  }

  offer(waiter: Waiter, nowMs: number): Refusal | undefined {
    const need = this.#needOf(waiter, nowMs)
    const queue = this.#queueState(waiter, nowMs)
    const admission = admit(queue, need)
    if (admission.kind === AdmissionKind.Refused) {
      return {
        reason: `no slot in useful time: ${describeQueue(queue, admission.waitMs)}`,
        retryAfterMs: this.#retryAfterMs(admission.waitMs, need),
      }
    }
    this.#queue.add(waiter)
    return undefined
  }

  adopt(waiter: Waiter): void {
    this.#queue.add(waiter)
  }

  remove(key: string): Waiter | undefined {
    return this.#queue.remove(key)
  }

  next(count: number, nowMs: number): readonly Waiter[] {
    return this.#queue.first(count, this.#context.serviceMsOf, nowMs)
  }

  countDelayedBy({ key }: Waiter): number {
    return this.#queue.length - Number(this.#queue.has(key))
  }

  /**
   * Removes queued requests that can no longer meet their deadline, and late ones that have used
   * up the wait that a late request may take.
   */
  takeDisplaced(nowMs: number): readonly Displacement[] {
    const displaced: Displacement[] = []
    for (const waiter of this.#queue.all()) {
      const need = this.#needOf(waiter, nowMs)
      const isLate = need.targetInMs < need.serviceMs
      const waitedMs = nowMs - waiter.arrivedAtMs
      const hasWaitedTooLong =
        isLate && waitedMs > (waitedMs + need.deadlineInMs) * LATE_WAIT_FRACTION
      if (!hasWaitedTooLong && need.deadlineInMs > need.serviceMs) continue
      this.#queue.remove(waiter.key)
      displaced.push({
        waiter,
        reason: 'no slot before the deadline',
        retryAfterMs: hasWaitedTooLong ? this.#retryAfterMs(need.serviceMs, need) : 0,
      })
    }
    return displaced
  }

  refuseWithoutServer(waiter: Waiter, turnedAwayForMs: number | undefined, nowMs: number): Refusal {
    const need = this.#needOf(waiter, nowMs)
    return {
      reason: describeMissingServer(turnedAwayForMs),
      retryAfterMs: this.#retryAfterMs(turnedAwayForMs ?? need.deadlineInMs, need),
    }
  }

  refuseInfeasible(waiter: Waiter, nowMs: number): Refusal {
    return this.refuseWithoutServer(waiter, undefined, nowMs)
  }

  costMs(_waiter: Waiter, option: ServerOption): number {
    const { waitMs, usualMs, slowdown, slotTimeWeight } = option
    // A full server that has the object cached is often worth the short wait for a slot.
    return (
      waitMs + usualMs * slowdown * slotTimeWeight + spreadingCostMs(option) + wayCostMs(option)
    )
  }

  recordStart(): void {
    // Starts don't influence the order.
  }

  recordEnd(): boolean {
    // Any failure counts against the server.
    return false
  }

  #needOf(waiter: Waiter, nowMs: number): RequestNeed {
    return {
      serviceMs: this.#context.serviceMsOf(waiter.request.route),
      targetInMs: waiter.targetAtMs - nowMs,
      deadlineInMs: waiter.deadlineAtMs - nowMs,
      isReturn: waiter.request.isReturn,
    }
  }

  #queueState(waiter: Waiter, nowMs: number): QueueState {
    const ahead = this.#queue.countAhead(waiter.request, this.#context.serviceMsOf, nowMs)
    const { completionsPerSecond, arrivalsPerSecond } = this.#context.loadAt(nowMs)
    return {
      aheadInTime: ahead.inTime,
      aheadLate: ahead.late,
      completionsPerSecond,
      arrivalsPerSecond,
    }
  }

  #retryAfterMs(waitMs: number, need: RequestNeed): number {
    return retryAfterMs(waitMs, need, this.#context.random())
  }
}

/** Explains that no server takes a request. */
export function describeMissingServer(turnedAwayForMs: number | undefined): string {
  return turnedAwayForMs === undefined
    ? 'no backend server'
    : `turned away by all backend servers for ${Math.round(turnedAwayForMs)} ms`
}

/** Formats the inputs of a refusal for the log. */
function describeQueue(queue: QueueState, waitMs: number): string {
  const { aheadInTime, aheadLate, completionsPerSecond, arrivalsPerSecond } = queue
  return (
    `${aheadInTime}+${aheadLate} ahead, ${Math.round(completionsPerSecond)}/s of ` +
    `${Math.round(arrivalsPerSecond)}/s, wait ${Math.round(waitMs)} ms`
  )
}
