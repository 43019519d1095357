/** Queue of the requests that wait for a slot of one service. */
import type { SlotRequestDetails } from './peerMessages.js'

/** A slot request at the coordinator. Times are of the coordinator's monotonic clock. */
export interface Waiter {
  /** Unique at the coordinator. */
  readonly key: string
  readonly request: SlotRequestDetails
  /** Availability zone of the requesting entry instance. */
  readonly zone: string
  readonly arrivedAtMs: number
  readonly targetAtMs: number
  readonly deadlineAtMs: number
  /** Called at most once. */
  onGranted(serverId: string): void
  /** Called at most once, and not after {@link onGranted}. */
  onRefused(reason: string, retryAfterMs: number): void
}

/** Unordered set of waiters; sorted at each use, because lateness changes with time. */
export class RequestQueue {
  readonly #waiters = new Map<string, Waiter>()

  get length(): number {
    return this.#waiters.size
  }

  add(waiter: Waiter): void {
    this.#waiters.set(waiter.key, waiter)
  }

  remove(key: string): Waiter | undefined {
    const waiter = this.#waiters.get(key)
    this.#waiters.delete(key)
    return waiter
  }

  all(): Waiter[] {
    return [...this.#waiters.values()]
  }

  /**
   * Waiters in the order of service: those that can still meet their target first,
   * then by priority, then retries before first attempts, then by target.
   * @param latestStartAtMs latest start time at which a waiter meets its target
   */
  ordered(latestStartAtMs: (waiter: Waiter) => number, nowMs: number): Waiter[] {
    return this.all()
      .map((waiter) => ({ waiter, isLate: latestStartAtMs(waiter) < nowMs }))
      .sort(
        (left, right) =>
          Number(left.isLate) - Number(right.isLate) ||
          left.waiter.request.priority - right.waiter.request.priority ||
          Number(right.waiter.request.isReturn) - Number(left.waiter.request.isReturn) ||
          left.waiter.targetAtMs - right.waiter.targetAtMs,
      )
      .map(({ waiter }) => waiter)
  }

  /** Counts the waiters that are served before a request with this priority. */
  countAhead(
    request: SlotRequestDetails,
    latestStartAtMs: (waiter: Waiter) => number,
    nowMs: number,
  ): { readonly inTime: number; readonly late: number } {
    let inTime = 0
    let late = 0
    for (const waiter of this.#waiters.values()) {
      if (latestStartAtMs(waiter) < nowMs) late += 1
      else if (waiter.request.priority <= request.priority) inTime += 1
    }
    return { inTime, late }
  }
}
