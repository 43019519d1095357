/** Hedging: second attempts for idempotent requests that are late on a slow worker. */
import type { Result } from '../common/results.js'
import type { DispatchOptions } from './dispatchOptions.js'
import type { ServiceSlots } from './serviceSlots.js'
import type { SlotError, SlotGrant, SlotRequest } from './slotSource.js'
import { SlotUse } from './slotSource.js'
import { WorkerSpeed } from './workerMonitor.js'

interface WatchedRequest {
  readonly request: SlotRequest
  readonly service: ServiceSlots
  readonly workerId: string
  readonly startedAtMs: number
  isAcquiring: boolean
  readonly onGrant: (grant: SlotGrant) => void
}

/** Grants a slot that is free now, or refuses without waiting. */
export type TakeFreeSlot = (
  request: SlotRequest,
  service: ServiceSlots,
  nowMs: number,
) => Promise<Result<SlotGrant, SlotError>>

/** Upper limit of the hedge budget that accumulates while no hedge is needed. */
const MAX_HEDGE_BUDGET = 10

/**
 * Grants hedges only for requests on a worker that is judged slow: a request that takes long on
 * a normal worker would take as long on a second one.
 */
export class HedgeWatch {
  readonly #options: DispatchOptions
  readonly #takeFreeSlot: TakeFreeSlot
  readonly #watched = new Set<WatchedRequest>()
  #budget = 2

  constructor(options: DispatchOptions, takeFreeSlot: TakeFreeSlot) {
    this.#options = options
    this.#takeFreeSlot = takeFreeSlot
  }

  /**
   * Calls `onGrant` at most once, when the request needs a second attempt and a slot is free.
   * Returns a function that ends the watch; call it when the first attempt ends. The interface
   * uses callbacks because almost every watch ends unused, and an abort signal costs more than
   * the rest of the watch.
   */
  watch(
    request: SlotRequest,
    service: ServiceSlots,
    workerId: string,
    nowMs: number,
    onGrant: (grant: SlotGrant) => void,
  ): () => void {
    this.#budget = Math.min(MAX_HEDGE_BUDGET, this.#budget + this.#options.hedgeShare)
    const watched = { request, service, workerId, startedAtMs: nowMs, isAcquiring: false, onGrant }
    this.#watched.add(watched)
    return () => {
      this.#watched.delete(watched)
    }
  }

  /** Starts the hedges that are due, within the budget. */
  tick(nowMs: number): void {
    for (const watched of this.#watched) {
      if (this.#budget < 1) return
      if (!this.#isDue(watched, nowMs)) continue
      void this.#hedge(watched, nowMs)
    }
  }

  /** Ends all watches. */
  stop(): void {
    this.#watched.clear()
  }

  async #hedge(watched: WatchedRequest, nowMs: number): Promise<void> {
    const excludedWorkers = new Set([...watched.request.excludedWorkers, watched.workerId])
    watched.isAcquiring = true
    this.#budget -= 1
    const request = { ...watched.request, excludedWorkers }
    const acquired = await this.#takeFreeSlot(request, watched.service, nowMs)
    watched.isAcquiring = false
    if (acquired.err) {
      this.#budget += 1
      return
    }
    if (this.#watched.delete(watched)) watched.onGrant(acquired.val)
    else acquired.val.release(SlotUse.Unused, 0, this.#options.clock())
  }

  #isDue(watched: WatchedRequest, nowMs: number): boolean {
    if (watched.isAcquiring) return false
    const medianMs = watched.service.serviceTimes.medianMs(watched.request.requestClass)
    if (medianMs === undefined) return false
    const isLate = nowMs - watched.startedAtMs > this.#options.hedgeAgeFactor * medianMs
    if (!isLate) return false
    return watched.service.workerMonitor.speedOf(watched.workerId, nowMs) !== WorkerSpeed.Normal
  }
}
