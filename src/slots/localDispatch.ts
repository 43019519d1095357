/** Dispatch of the requests that arrive at this gateway: queueing, grants and refusals. */
import type { Result } from '../common/results.js'
import { Err } from '../common/results.js'
import type { WorkerRecord } from '../configuration/document.js'
import type { MutableCounters } from './dispatchCounters.js'
import type { DispatchOptions } from './dispatchOptions.js'
import type { OwnGrantFactory } from './localWaiter.js'
import { LocalWaiter } from './localWaiter.js'
import { OvercommitPolicy } from './overcommitPolicy.js'
import { expectedWaitMs, isDeadlineUnreachable } from './requestQueue.js'
import type { ServiceSlots } from './serviceSlots.js'
import type { Loan, SlotBorrowing } from './slotBorrowing.js'
import { slotErrors } from './slotErrors.js'
import { makeGrant } from './slotGrants.js'
import type { PoolSlot, SlotHold } from './slotPool.js'
import type { SlotError, SlotGrant, SlotRequest } from './slotSource.js'
import { SlotUse } from './slotSource.js'
import { WorkerSpeed } from './workerMonitor.js'

/** The caller interface has no field for a priority yet. */
const DEFAULT_PRIORITY = 1

/** Dependencies of {@link LocalDispatch}; `borrowing` is a getter because it is created later. */
export interface LocalDispatchDependencies {
  readonly options: DispatchOptions
  readonly counters: MutableCounters
  readonly borrowing: () => SlotBorrowing
  readonly newId: () => string
}

/** Queues the requests of this gateway and grants or refuses each of them once. */
export class LocalDispatch {
  readonly #dependencies: LocalDispatchDependencies
  readonly #overcommit: OvercommitPolicy
  readonly #waiting = new Map<ServiceSlots, Set<LocalWaiter>>()
  readonly #inFlight = new Map<string, number>()

  constructor(dependencies: LocalDispatchDependencies) {
    this.#dependencies = dependencies
    this.#overcommit = new OvercommitPolicy(dependencies.options)
  }

  /** Number of requests of the service that hold a slot or run without one. */
  inFlight(service: string): number {
    return this.#inFlight.get(service) ?? 0
  }

  /** Number of requests of the service that wait for a slot. */
  queued(service: ServiceSlots): number {
    return this.#waiting.get(service)?.size ?? 0
  }

  /** Grants a slot now, queues the request, or refuses it. */
  acquire(
    request: SlotRequest,
    service: ServiceSlots,
    nowMs: number,
  ): Promise<Result<SlotGrant, SlotError>> {
    const refusal = this.#refusalOf(request, service, nowMs)
    if (refusal !== undefined) {
      this.#dependencies.counters.refused += 1
      return Promise.resolve(Err(refusal))
    }
    const waiter = this.#newWaiter(request, service, nowMs)
    if (service.queue.length === 0 && service.tryGrant(waiter, nowMs)) return waiter.outcome
    this.#enqueue(waiter, service, nowMs)
    return waiter.outcome
  }

  /**
   * Grants a slot that is free now: an own slot of a worker of normal speed, or one of an owner
   * that reported free slots. Refuses otherwise. Never queues and never overtakes a waiter.
   */
  takeFreeSlot(
    request: SlotRequest,
    service: ServiceSlots,
    nowMs: number,
  ): Promise<Result<SlotGrant, SlotError>> {
    const waiter = this.#newWaiter(request, service, nowMs, false)
    const hasOwnFreeSlot = service.queue.length === 0 && service.freeNormalSlotCount(nowMs) > 0
    if (hasOwnFreeSlot && service.tryGrant(waiter, nowMs)) return waiter.outcome
    const hasAskedOwner = this.#dependencies.borrowing().askOwners(waiter, service, nowMs)
    if (!hasAskedOwner) waiter.refuse(slotErrors.queueFull(request.service, 0))
    return waiter.outcome
  }

  /** Grants a borrowed slot to its waiter; on release, the slot is reused or returned. */
  acceptLoan(waiter: LocalWaiter, loan: Loan, nowMs: number): void {
    const { service, loanId, workerId, address } = loan
    service.queue.remove(waiter)
    this.#dependencies.counters.borrowedGrants += 1
    service.workerMonitor.started(workerId, loanId, waiter.requestClass, nowMs)
    const reason = `borrowed from ${loan.lender.memberId}`
    const grant = this.#trackInFlight(
      service,
      { workerId, address, reason },
      (use, durationMs, endMs) => {
        service.recordEnd(workerId, loanId, use, durationMs, endMs)
        const nextWaiter = use === SlotUse.Completed ? this.#waiterForReuse(loan, endMs) : undefined
        if (nextWaiter === undefined)
          this.#dependencies.borrowing().returnSlot(loan, use, durationMs)
        else {
          this.#dependencies.borrowing().renew(loan, durationMs, nextWaiter.requestClass)
          this.acceptLoan(nextWaiter, loan, endMs)
        }
      },
    )
    this.#endWait(waiter, service, nowMs)
    waiter.accept(grant)
  }

  /**
   * Returns the waiter that may reuse a borrowed slot. A slot that is returned and lent again is
   * idle for two network trips, which costs throughput under overload. The time of reuse is
   * limited by `maxLoanReuseMs`, so that waiters of the lender are not starved.
   */
  #waiterForReuse(loan: Loan, nowMs: number): LocalWaiter | undefined {
    const { service, workerId } = loan
    if (nowMs - loan.sinceMs > this.#dependencies.options.maxLoanReuseMs) return undefined
    if (!service.assignment.workers.some((worker) => worker.workerId === workerId)) return undefined
    if (service.workerMonitor.speedOf(workerId, nowMs) !== WorkerSpeed.Normal) return undefined
    for (const waiter of this.#waiting.get(service) ?? []) {
      const isSuitable = waiter.deadlineMs <= loan.untilMs && !waiter.excludedWorkers.has(workerId)
      if (isSuitable) return waiter
    }
    return undefined
  }

  /** Refuses waiters that can't meet their deadline, and asks further owners for the oldest. */
  reviewWaiters(service: ServiceSlots, nowMs: number): void {
    let position = 0
    for (const waiter of [...(this.#waiting.get(service) ?? [])]) {
      const name = service.assignment.record.name
      const medianMs = service.serviceTimes.medianMs(waiter.requestClass)
      if (isDeadlineUnreachable(waiter.deadlineMs, 0, medianMs, nowMs)) {
        this.#refuse(waiter, service, slotErrors.deadlineUnreachable(name, 0), nowMs)
        continue
      }
      position += 1
      const mayBorrow = position <= this.#dependencies.options.maxBorrowers
      if (!mayBorrow || waiter.unansweredCalls > 0) continue
      if (!this.#tryOvercommit(waiter, service, nowMs)) {
        this.#dependencies.borrowing().askOwners(waiter, service, nowMs)
      }
    }
  }

  /** Refuses all waiting requests of a service. */
  refuseAll(service: ServiceSlots, error: SlotError, nowMs: number): void {
    for (const waiter of [...(this.#waiting.get(service) ?? [])]) {
      this.#refuse(waiter, service, error, nowMs)
    }
  }

  #newWaiter(
    request: SlotRequest,
    service: ServiceSlots,
    nowMs: number,
    mayWait = true,
  ): LocalWaiter {
    const makeGrant: OwnGrantFactory = (waiter, slot, hold, reason) =>
      this.#ownGrant(waiter, service, slot, hold, reason)
    return new LocalWaiter(request, DEFAULT_PRIORITY, nowMs, makeGrant, mayWait)
  }

  #refusalOf(request: SlotRequest, service: ServiceSlots, nowMs: number): SlotError | undefined {
    const { workers, record } = service.assignment
    if (workers.length === 0) return slotErrors.noBackendServer(record.name)
    if (request.signal.aborted) return slotErrors.cancelled()
    const queued = this.queued(service)
    const waitMs = this.#expectedWaitMs(service, queued)
    if (queued >= record.maxQueued) return slotErrors.queueFull(record.name, waitMs)
    const medianMs = service.serviceTimes.medianMs(request.requestClass)
    return isDeadlineUnreachable(request.deadlineMs, waitMs, medianMs, nowMs)
      ? slotErrors.deadlineUnreachable(record.name, waitMs)
      : undefined
  }

  /** Assumes that this gateway's queue is served by an equal fraction of the region's slots. */
  #expectedWaitMs(service: ServiceSlots, queued: number): number {
    const owners = Math.max(1, service.assignment.slotsByOwner.size)
    return expectedWaitMs(queued, service.regionSlots / owners, service.serviceTimes.meanMs())
  }

  #enqueue(waiter: LocalWaiter, service: ServiceSlots, nowMs: number): void {
    let waiting = this.#waiting.get(service)
    if (waiting === undefined) {
      waiting = new Set()
      this.#waiting.set(service, waiting)
    }
    waiting.add(waiter)
    waiter.request.signal.addEventListener(
      'abort',
      () => {
        this.#refuse(waiter, service, slotErrors.cancelled(), this.#dependencies.options.clock())
      },
      { once: true },
    )
    service.queue.add(waiter)
    service.dispatchQueue(nowMs)
    const mayBorrow = waiting.size <= this.#dependencies.options.maxBorrowers
    if (waiter.isWaiting && mayBorrow)
      this.#dependencies.borrowing().askOwners(waiter, service, nowMs)
  }

  #tryOvercommit(waiter: LocalWaiter, service: ServiceSlots, nowMs: number): boolean {
    const worker = this.#overcommit.chooseWorker(waiter, service, this.queued(service), nowMs)
    if (worker === undefined) return false
    service.queue.remove(waiter)
    const grant = this.#overcommitGrant(waiter, service, worker, nowMs)
    this.#endWait(waiter, service, nowMs)
    waiter.accept(grant)
    return true
  }

  #overcommitGrant(
    waiter: LocalWaiter,
    service: ServiceSlots,
    worker: WorkerRecord,
    nowMs: number,
  ): SlotGrant {
    const holdId = this.#dependencies.newId()
    const { workerId, address } = worker
    this.#dependencies.counters.overcommitGrants += 1
    this.#overcommit.started(service.assignment.record.name)
    service.workerMonitor.started(workerId, holdId, waiter.requestClass, nowMs)
    return this.#trackInFlight(
      service,
      { workerId, address, reason: 'beyond slots' },
      (use, durationMs, endMs) => {
        this.#overcommit.ended(service.assignment.record.name)
        service.recordEnd(workerId, holdId, use, durationMs, endMs)
      },
    )
  }

  #ownGrant(
    waiter: LocalWaiter,
    service: ServiceSlots,
    slot: PoolSlot,
    hold: SlotHold,
    reason: string,
  ): SlotGrant {
    const { workerId, address } = slot.worker
    this.#dependencies.counters.ownGrants += 1
    this.#endWait(waiter, service, hold.sinceMs)
    return this.#trackInFlight(
      service,
      { workerId, address, reason: `own slot, ${reason}` },
      (use, durationMs, endMs) => {
        service.endHold(hold.holdId, use, durationMs, endMs)
      },
    )
  }

  /** Creates a grant that counts as in flight until its first release. */
  #trackInFlight(
    service: ServiceSlots,
    target: { readonly workerId: string; readonly address: string; readonly reason: string },
    onRelease: (use: SlotUse, durationMs: number, endMs: number) => void,
  ): SlotGrant {
    const name = service.assignment.record.name
    this.#inFlight.set(name, this.inFlight(name) + 1)
    return makeGrant(
      target,
      (use, durationMs, endMs) => {
        this.#inFlight.set(name, this.inFlight(name) - 1)
        onRelease(use, durationMs, endMs)
      },
      () => {
        this.#dependencies.counters.repeatedReleases += 1
      },
    )
  }

  #refuse(waiter: LocalWaiter, service: ServiceSlots, error: SlotError, nowMs: number): void {
    if (!waiter.isWaiting) return
    service.queue.remove(waiter)
    this.#dependencies.counters.refused += 1
    this.#endWait(waiter, service, nowMs)
    waiter.refuse(error)
  }

  #endWait(waiter: LocalWaiter, service: ServiceSlots, nowMs: number): void {
    this.#waiting.get(service)?.delete(waiter)
    this.#dependencies.counters.waitedMs += Math.max(0, nowMs - waiter.arrivedAtMs)
    this.#dependencies.borrowing().cancelBorrows(waiter)
  }
}
