/** Second attempts for idempotent requests that are late on a slow worker. */
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { DispatchOptions } from './dispatchOptions.js'
import type { ServiceSlots } from './serviceSlots.js'
import { slotErrors } from './slotErrors.js'
import type { SlotError, SlotGrant, SlotRequest } from './slotSource.js'
import { SlotUse } from './slotSource.js'
import { WorkerPace } from './workerPreference.js'

interface Watched {
  readonly request: SlotRequest
  readonly service: ServiceSlots
  readonly workerId: string
  readonly startedAtMs: number
  isTrying: boolean
  readonly settle: (result: Result<SlotGrant, SlotError>) => void
}

/** Takes a slot that is free now, or refuses. */
export type TakeFreeSlot = (
  request: SlotRequest,
  service: ServiceSlots,
  nowMs: number,
) => Promise<Result<SlotGrant, SlotError>>

/** Hedges that may be saved up while none is needed. */
const MAX_SAVED_HEDGES = 10

/**
 * Grants hedges only for requests on a worker that is judged slow: a request
 * that is long by itself would run as long a second time.
 */
export class HedgeWatch {
  readonly #options: DispatchOptions
  readonly #takeFreeSlot: TakeFreeSlot
  readonly #watched = new Set<Watched>()
  #budget = MAX_SAVED_HEDGES / 2

  constructor(options: DispatchOptions, takeFreeSlot: TakeFreeSlot) {
    this.#options = options
    this.#takeFreeSlot = takeFreeSlot
  }

  /** Resolves with a second slot once the request needs one, or with an error when aborted. */
  watch(
    request: SlotRequest,
    service: ServiceSlots,
    workerId: string,
    nowMs: number,
  ): Promise<Result<SlotGrant, SlotError>> {
    this.#budget = Math.min(MAX_SAVED_HEDGES, this.#budget + this.#options.hedgeShare)
    if (request.signal.aborted) return Promise.resolve(Err(slotErrors.cancelled()))
    return new Promise((resolve) => {
      const settle = (result: Result<SlotGrant, SlotError>): void => {
        this.#watched.delete(watched)
        request.signal.removeEventListener('abort', abort)
        resolve(result)
      }
      const abort = (): void => {
        settle(Err(slotErrors.cancelled()))
      }
      const watched = { request, service, workerId, startedAtMs: nowMs, isTrying: false, settle }
      this.#watched.add(watched)
      request.signal.addEventListener('abort', abort)
    })
  }

  /** Grants the hedges that are due. */
  tick(nowMs: number): void {
    for (const watched of this.#watched) {
      if (this.#budget < 1) return
      if (!this.#isDue(watched, nowMs)) continue
      void this.#hedge(watched, nowMs)
    }
  }

  /** Ends all watches. */
  stop(): void {
    for (const watched of [...this.#watched]) watched.settle(Err(slotErrors.cancelled()))
  }

  async #hedge(watched: Watched, nowMs: number): Promise<void> {
    const excludedWorkers = new Set([...watched.request.excludedWorkers, watched.workerId])
    watched.isTrying = true
    this.#budget -= 1
    const request = { ...watched.request, excludedWorkers }
    const taken = await this.#takeFreeSlot(request, watched.service, nowMs)
    watched.isTrying = false
    if (taken.err) {
      this.#budget += 1
      return
    }
    if (this.#watched.has(watched)) watched.settle(Ok(taken.val))
    else taken.val.release(SlotUse.Unused, 0, this.#options.clock())
  }

  #isDue(watched: Watched, nowMs: number): boolean {
    if (watched.isTrying) return false
    const usualMs = watched.service.estimates.usualMs(watched.request.requestClass)
    if (usualMs === undefined) return false
    const isLate = nowMs - watched.startedAtMs > this.#options.hedgeAgeFactor * usualMs
    if (!isLate) return false
    return watched.service.preference.paceOf(watched.workerId, nowMs) !== WorkerPace.Normal
  }
}
