/** Dispatch state of one service at this gateway: own slots, waiting requests and worker speeds. */
import type { ServiceRecord, WorkerRecord } from '../configuration/document.js'
import type { DispatchOptions } from './dispatchOptions.js'
import type { QueuedRequest } from './requestQueue.js'
import { RequestQueue } from './requestQueue.js'
import { ServiceTimeStats } from './serviceTimeStats.js'
import type { SlotIdentity } from './slotOwnership.js'
import type { PoolSlot, SlotHold, SlotPeer } from './slotPool.js'
import { SlotPool } from './slotPool.js'
import { SlotUse } from './slotSource.js'
import { WorkerMonitor, WorkerSpeed } from './workerMonitor.js'

/** A request of this gateway or of a borrower that waits for one of this gateway's own slots. */
export interface SlotWaiter extends QueuedRequest {
  readonly excludedWorkers: ReadonlySet<string>
  readonly borrower?: SlotPeer
  /** Called at most once, after the waiter has left the queue. */
  onGranted(slot: PoolSlot, hold: SlotHold, reason: string, nowMs: number): void
}

/** A class is long work if its median exceeds this multiple of the median of the service. */
const LONG_WORK_FACTOR = 5
/** Fraction of the own slots that long work may hold while other requests wait. */
const LONG_WORK_FRACTION = 0.5
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
  readonly serviceTimes = new ServiceTimeStats()
  readonly workerMonitor: WorkerMonitor
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
    this.workerMonitor = new WorkerMonitor(this.serviceTimes, options.pace)
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
    this.workerMonitor.retain(new Set(assignment.workers.map((worker) => worker.workerId)))
    this.dispatchQueue(nowMs)
  }

  /** Grants a free own slot at once if one suits the waiter, which must not be queued. */
  tryGrant(waiter: SlotWaiter, nowMs: number): boolean {
    const choice = this.#chooseSlot(waiter, nowMs)
    if (choice === undefined) return false
    const hold: SlotHold = {
      holdId: this.#newHoldId(),
      requestClass: waiter.requestClass,
      sinceMs: nowMs,
      deadlineMs: waiter.deadlineMs + this.#options.holdGraceMs,
      ...(waiter.borrower === undefined ? {} : { borrower: waiter.borrower }),
    }
    if (!this.pool.placeHold(choice.slot.slotId, hold)) return false
    this.workerMonitor.started(choice.slot.worker.workerId, hold.holdId, waiter.requestClass, nowMs)
    waiter.onGranted(choice.slot, hold, choice.reason, nowMs)
    return true
  }

  /** Grants free slots to waiters in order, until no slot or no suitable waiter is left. */
  dispatchQueue(nowMs: number): void {
    if (this.queue.length === 0) return
    for (const waiter of this.queue.entries().slice(0, MAX_WAITERS_SCANNED)) {
      if (this.pool.free(nowMs).length === 0) return
      // Remove the waiter first, because `onGranted` may call back into this object.
      if (this.#chooseSlot(waiter, nowMs) === undefined || !this.queue.remove(waiter)) continue
      if (!this.tryGrant(waiter, nowMs)) this.queue.add(waiter)
    }
  }

  /** Ends a hold on an own slot; returns false if it had ended before. */
  endHold(holdId: string, use: SlotUse, durationMs: number, nowMs: number): boolean {
    const ended = this.pool.endHold(holdId)
    if (ended === undefined) return false
    this.recordEnd(ended.worker.workerId, holdId, use, durationMs, nowMs)
    if (use === SlotUse.Shed) this.pool.block(ended.slotId, nowMs + this.#options.shedBlockMs)
    this.dispatchQueue(nowMs)
    return true
  }

  /** Records a completed request on a lent slot that the borrower reuses for another request. */
  renew(holdId: string, durationMs: number, requestClass: string, nowMs: number): void {
    const worker = this.pool.workerOf(holdId)
    if (worker === undefined) return
    this.workerMonitor.completed(worker.workerId, holdId, durationMs, nowMs)
    this.workerMonitor.started(worker.workerId, holdId, requestClass, nowMs)
  }

  /** Updates the statistics of a worker after the use of an own or a borrowed slot. */
  recordEnd(
    workerId: string,
    holdId: string,
    use: SlotUse,
    durationMs: number,
    nowMs: number,
  ): void {
    if (use === SlotUse.Completed) {
      this.workerMonitor.completed(workerId, holdId, durationMs, nowMs)
    } else {
      this.workerMonitor.abandoned(workerId, holdId)
    }
  }

  /** True if requests of the class typically run much longer than others of the service. */
  isLongWork(requestClass: string): boolean {
    const medianMs = this.serviceTimes.medianMs(requestClass)
    const serviceMedianMs = this.serviceTimes.serviceMedianMs()
    if (medianMs === undefined || serviceMedianMs === undefined) return false
    return medianMs > LONG_WORK_FACTOR * serviceMedianMs
  }

  /** Number of free own slots on workers of normal speed; sent to borrowers as a hint. */
  freeNormalSlotCount(nowMs: number): number {
    return this.pool
      .free(nowMs)
      .filter(
        (slot) => this.workerMonitor.speedOf(slot.worker.workerId, nowMs) === WorkerSpeed.Normal,
      ).length
  }

  #chooseSlot(
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
    const speed = this.workerMonitor.speedOf(best.worker.workerId, nowMs)
    return { slot: best, reason: `${speed} worker` }
  }

  #rank(slot: PoolSlot, mayUseSlow: boolean, nowMs: number): number {
    const workerId = slot.worker.workerId
    const speed = this.workerMonitor.speedOf(workerId, nowMs)
    const isUsable = USABLE_BY_SPEED[speed](mayUseSlow, this.workerMonitor.probesOn(workerId))
    if (!isUsable) return Number.POSITIVE_INFINITY
    const load = this.workerMonitor.runningOn(workerId) / slot.worker.slots
    return RANK_BY_SPEED[speed] + this.workerMonitor.slowdownOf(workerId) + load
  }

  #isHeldBack(waiter: SlotWaiter): boolean {
    if (!this.isLongWork(waiter.requestClass)) return false
    const othersWait = this.queue
      .entries()
      .some((other) => other !== waiter && !this.isLongWork(other.requestClass))
    if (!othersWait) return false
    const longHolds = this.pool.holdsWhere((hold) => this.isLongWork(hold.requestClass)).length
    return longHolds >= Math.max(1, Math.floor(this.#assignment.owned.length * LONG_WORK_FRACTION))
  }
}

const RANK_BY_SPEED: Readonly<Record<WorkerSpeed, number>> = {
  [WorkerSpeed.Normal]: 0,
  [WorkerSpeed.Probing]: 100,
  [WorkerSpeed.Slow]: 200,
}

const USABLE_BY_SPEED: Readonly<
  Record<WorkerSpeed, (mayUseSlow: boolean, probes: number) => boolean>
> = {
  [WorkerSpeed.Normal]: () => true,
  [WorkerSpeed.Probing]: (mayUseSlow, probes) => mayUseSlow || probes === 0,
  [WorkerSpeed.Slow]: (mayUseSlow) => mayUseSlow,
}
