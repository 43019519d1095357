/**
 * Overcommit: attempts on workers without a slot, so that requests are still served while the
 * owners of the slots can't be reached.
 */
import type { WorkerRecord } from '../configuration/document.js'
import type { DispatchOptions } from './dispatchOptions.js'
import type { LocalWaiter } from './localWaiter.js'
import type { ServiceSlots } from './serviceSlots.js'
import { WorkerSpeed } from './workerMonitor.js'

/**
 * Limits the overcommitted attempts per service and chooses their workers. A worker without
 * capacity refuses such a request before it starts, so the attempt can be repeated elsewhere.
 */
export class OvercommitPolicy {
  readonly #options: DispatchOptions
  readonly #inFlight = new Map<string, number>()

  constructor(options: DispatchOptions) {
    this.#options = options
  }

  /** Returns the worker to try, or `undefined` if no attempt should be made now. */
  chooseWorker(
    waiter: LocalWaiter,
    service: ServiceSlots,
    queued: number,
    nowMs: number,
  ): WorkerRecord | undefined {
    const name = service.assignment.record.name
    if ((this.#inFlight.get(name) ?? 0) >= this.#options.beyondSlotMaxInFlight) return undefined
    const isDue =
      nowMs - waiter.arrivedAtMs >= this.#options.beyondSlotWaitMs &&
      queued <= this.#options.beyondSlotMaxQueue
    if (!isDue && !hasNoReachableOwner(waiter, service)) return undefined
    return this.#leastLoadedWorker(waiter, service, nowMs)
  }

  started(service: string): void {
    this.#inFlight.set(service, (this.#inFlight.get(service) ?? 0) + 1)
  }

  ended(service: string): void {
    this.#inFlight.set(service, (this.#inFlight.get(service) ?? 1) - 1)
  }

  #leastLoadedWorker(
    waiter: LocalWaiter,
    service: ServiceSlots,
    nowMs: number,
  ): WorkerRecord | undefined {
    let best: WorkerRecord | undefined
    let bestRank = Number.POSITIVE_INFINITY
    for (const worker of service.assignment.workers) {
      if (waiter.excludedWorkers.has(worker.workerId)) continue
      const isSlow = service.workerMonitor.speedOf(worker.workerId, nowMs) !== WorkerSpeed.Normal
      const load = service.workerMonitor.runningOn(worker.workerId) / worker.slots
      const rank = (isSlow ? 100 : 0) + load + this.#options.random()
      if (rank < bestRank) {
        best = worker
        bestRank = rank
      }
    }
    return best
  }
}

/** True if this gateway owns no slot and no other owner is being asked or queues the request. */
function hasNoReachableOwner(waiter: LocalWaiter, service: ServiceSlots): boolean {
  return (
    service.assignment.owned.length === 0 &&
    waiter.unansweredCalls === 0 &&
    waiter.borrows.size === 0
  )
}
