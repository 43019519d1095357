/** Dispatch state of one service at this gateway: own slots, waiting requests and worker speeds. */
import type { ServiceRecord, WorkerRecord } from '../configuration/document.js'
import { ClassEstimates } from './classEstimates.js'
import type { DispatchOptions } from './dispatchOptions.js'
import type { QueuedRequest } from './requestQueue.js'
import { RequestQueue } from './requestQueue.js'
import type { SlotIdentity } from './slotOwnership.js'
import type { PoolSlot, SlotHold, SlotPeer } from './slotPool.js'
import { SlotPool } from './slotPool.js'
import { SlotUse } from './slotSource.js'
import { WorkerPace, WorkerPreference } from './workerPreference.js'

/** A request of this gateway or of a borrower that waits for one of this gateway's own slots. */
export interface SlotWaiter extends QueuedRequest {
  readonly excludedWorkers: ReadonlySet<string>
  readonly borrower?: SlotPeer
  /** Called at most once, after the waiter has left the queue. */
  granted(slot: PoolSlot, hold: SlotHold, reason: string, nowMs: number): void
}

/** A class is long work if its median exceeds this multiple of the median of the service. */
const LONG_WORK_FACTOR = 5
/** Fraction of the own slots that long work may hold while other requests wait. */
const LONG_WORK_SHARE = 0.5
/** Limits the work per pass when many waiters at the head of the queue are held back. */
const MAX_WAITERS_SCANNED = 32

/** Configuration of a service in this region and the owners of its slots. */
export interface ServiceAssignment {
  readonly record: ServiceRecord
  /** Workers of the region that are not marked as leaving. */
  readonly workers: readonly WorkerRecord[]
  /** Slots that this gateway owns. */
  readonly owned: readonly SlotIdentity[]
  /** Number of slots per owner, by member identifier. */
  readonly slotsByOwner: ReadonlyMap<string, number>
}

/** Grants the own slots of one service to the oldest waiter, local or remote. */
export class ServiceSlots {
  readonly pool = new SlotPool()
  readonly queue = new RequestQueue<SlotWaiter>()
  readonly estimates = new ClassEstimates()
  readonly preference: WorkerPreference
  readonly #options: DispatchOptions
  readonly #newHoldId: () => string
  #assignment: ServiceAssignment

  constructor(
    assignment: ServiceAssignment,
    options: DispatchOptions,
    newHoldId: () => string,
    nowMs: number,
  ) {
    this.#options = options
    this.#newHoldId = newHoldId
    this.preference = new WorkerPreference(this.estimates, options.pace)
    this.#assignment = assignment
    this.assign(assignment, nowMs)
  }

  get assignment(): ServiceAssignment {
    return this.#assignment
  }

  /** Number of slots of all live workers in the region. */
  get regionSlots(): number {
    return this.#assignment.workers.reduce((sum, worker) => sum + worker.slots, 0)
  }

  /** Applies a change of the workers or of the ownership. */
  assign(assignment: ServiceAssignment, nowMs: number): void {
    this.#assignment = assignment
    this.pool.assign(assignment.owned, assignment.workers, nowMs)
    this.preference.retain(new Set(assignment.workers.map((worker) => worker.workerId)))
    this.pump(nowMs)
  }

  /** Grants a free own slot at once if one suits the waiter, which must not be queued. */
  tryGrant(waiter: SlotWaiter, nowMs: number): boolean {
    const choice = this.#pick(waiter, nowMs)
    if (choice === undefined) return false
    const hold: SlotHold = {
      holdId: this.#newHoldId(),
      requestClass: waiter.requestClass,
      sinceMs: nowMs,
      deadlineMs: waiter.deadlineMs + this.#options.holdGraceMs,
      ...(waiter.borrower === undefined ? {} : { borrower: waiter.borrower }),
    }
    if (!this.pool.hold(choice.slot.slotId, hold)) return false
    this.preference.started(choice.slot.worker.workerId, hold.holdId, waiter.requestClass, nowMs)
    waiter.granted(choice.slot, hold, choice.reason, nowMs)
    return true
  }

  /** Grants free slots to waiters in order, until no slot or no suitable waiter is left. */
  pump(nowMs: number): void {
    if (this.queue.length === 0) return
    for (const waiter of this.queue.entries().slice(0, MAX_WAITERS_SCANNED)) {
      if (this.pool.free(nowMs).length === 0) return
      // Remove the waiter first, because `granted` may call back into this object.
      if (this.#pick(waiter, nowMs) === undefined || !this.queue.remove(waiter)) continue
      if (!this.tryGrant(waiter, nowMs)) this.queue.add(waiter)
    }
  }

  /** Ends a hold on an own slot; returns false if it had ended before. */
  end(holdId: string, use: SlotUse, durationMs: number, nowMs: number): boolean {
    const ended = this.pool.end(holdId)
    if (ended === undefined) return false
    this.observeEnd(ended.worker.workerId, holdId, use, durationMs, nowMs)
    if (use === SlotUse.Shed) this.pool.block(ended.slotId, nowMs + this.#options.shedBlockMs)
    this.pump(nowMs)
    return true
  }

  /** Records a completed request on a lent slot that the borrower reuses for another request. */
  renew(holdId: string, durationMs: number, requestClass: string, nowMs: number): void {
    const worker = this.pool.workerOf(holdId)
    if (worker === undefined) return
    this.preference.completed(worker.workerId, holdId, durationMs, nowMs)
    this.preference.started(worker.workerId, holdId, requestClass, nowMs)
  }

  /** Updates the statistics of a worker after the use of an own or a borrowed slot. */
  observeEnd(
    workerId: string,
    holdId: string,
    use: SlotUse,
    durationMs: number,
    nowMs: number,
  ): void {
    if (use === SlotUse.Completed) {
      this.preference.completed(workerId, holdId, durationMs, nowMs)
    } else {
      this.preference.abandoned(workerId, holdId)
    }
  }

  /** True if requests of the class typically run much longer than others of the service. */
  isLongWork(requestClass: string): boolean {
    const usualMs = this.estimates.usualMs(requestClass)
    const serviceMs = this.estimates.serviceUsualMs()
    if (usualMs === undefined || serviceMs === undefined) return false
    return usualMs > LONG_WORK_FACTOR * serviceMs
  }

  /** Number of free own slots on workers of normal speed; sent to borrowers as a hint. */
  freeNormal(nowMs: number): number {
    return this.pool
      .free(nowMs)
      .filter((slot) => this.preference.paceOf(slot.worker.workerId, nowMs) === WorkerPace.Normal)
      .length
  }

  #pick(
    waiter: SlotWaiter,
    nowMs: number,
  ): { readonly slot: PoolSlot; readonly reason: string } | undefined {
    if (this.#isHeldBack(waiter)) return undefined
    const isSoleOwner = this.#assignment.slotsByOwner.size <= 1
    const mayUseSlow = isSoleOwner || nowMs - waiter.arrivedAtMs >= this.#options.slowSlotWaitMs
    let best: PoolSlot | undefined
    let bestRank = Number.POSITIVE_INFINITY
    for (const slot of this.pool.free(nowMs)) {
      if (waiter.excludedWorkers.has(slot.worker.workerId)) continue
      const rank = this.#rank(slot, mayUseSlow, nowMs)
      if (rank < bestRank) {
        best = slot
        bestRank = rank
      }
    }
    if (best === undefined) return undefined
    const pace = this.preference.paceOf(best.worker.workerId, nowMs)
    return { slot: best, reason: `${pace} worker` }
  }

  #rank(slot: PoolSlot, mayUseSlow: boolean, nowMs: number): number {
    const workerId = slot.worker.workerId
    const pace = this.preference.paceOf(workerId, nowMs)
    const isUsable = USABLE_BY_PACE[pace](mayUseSlow, this.preference.probesOn(workerId))
    if (!isUsable) return Number.POSITIVE_INFINITY
    const load = this.preference.runningOn(workerId) / slot.worker.slots
    return RANK_BY_PACE[pace] + this.preference.paceRatioOf(workerId) + load
  }

  #isHeldBack(waiter: SlotWaiter): boolean {
    if (!this.isLongWork(waiter.requestClass)) return false
    const othersWait = this.queue
      .entries()
      .some((other) => other !== waiter && !this.isLongWork(other.requestClass))
    if (!othersWait) return false
    const longHolds = this.pool.holdsWhere((hold) => this.isLongWork(hold.requestClass)).length
    return longHolds >= Math.max(1, Math.floor(this.#assignment.owned.length * LONG_WORK_SHARE))
  }
}

const RANK_BY_PACE: Readonly<Record<WorkerPace, number>> = {
  [WorkerPace.Normal]: 0,
  [WorkerPace.Probing]: 100,
  [WorkerPace.Slow]: 200,
}

const USABLE_BY_PACE: Readonly<
  Record<WorkerPace, (mayUseSlow: boolean, probes: number) => boolean>
> = {
  [WorkerPace.Normal]: () => true,
  [WorkerPace.Probing]: (mayUseSlow, probes) => mayUseSlow || probes === 0,
  [WorkerPace.Slow]: (mayUseSlow) => mayUseSlow,
}
