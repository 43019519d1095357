/** Dispatches the requests of this gateway to slots of the region's backend servers. */
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { RpcClient, RpcMethodRegistry } from '../common/rpc.js'
import type { ConfigurationView } from '../configuration/view.js'
import type { LeavingRegistry } from '../drain/leavingRegistry.js'
import type { MembershipView } from '../membership/memberRecord.js'
import type { DispatchCounters, MutableCounters, ServiceDispatchLoad } from './dispatchCounters.js'
import { newCounters } from './dispatchCounters.js'
import type { DispatchOptions } from './dispatchOptions.js'
import { DEFAULT_DISPATCH_OPTIONS } from './dispatchOptions.js'
import { HedgeWatch } from './hedgeWatch.js'
import { LocalDispatch } from './localDispatch.js'
import { ServiceSlots } from './serviceSlots.js'
import { SlotAssignments } from './slotAssignments.js'
import { SlotBorrowing } from './slotBorrowing.js'
import { slotErrors } from './slotErrors.js'
import { SlotExchange } from './slotExchange.js'
import { SlotLending } from './slotLending.js'
import type { SlotPeer } from './slotPool.js'
import type { SlotError, SlotGrant, SlotRequest, SlotSource } from './slotSource.js'
import { SlotUse } from './slotSource.js'

/** {@link SlotSource} that uses owned slots, slots borrowed from other gateways, and overcommit. */
export class SlotDispatcher implements SlotSource {
  readonly #configuration: ConfigurationView
  readonly #membership: MembershipView
  readonly #leaving: LeavingRegistry
  readonly #options: DispatchOptions
  readonly #assignments: SlotAssignments
  readonly #services = new Map<string, ServiceSlots>()
  readonly #counters: MutableCounters = newCounters()
  readonly #exchange: SlotExchange
  readonly #lending: SlotLending
  readonly #borrowing: SlotBorrowing
  readonly #local: LocalDispatch
  readonly #hedges: HedgeWatch
  readonly #subscriptions: (() => void)[] = []
  #idleTimer: NodeJS.Timeout | undefined
  #queueTimer: NodeJS.Timeout | undefined
  #gatewayFingerprint = ''
  #nextId = 0

  constructor(
    configuration: ConfigurationView,
    membership: MembershipView,
    leaving: LeavingRegistry,
    rpc: RpcClient,
    options: Partial<DispatchOptions> = {},
  ) {
    this.#configuration = configuration
    this.#membership = membership
    this.#leaving = leaving
    this.#options = { ...DEFAULT_DISPATCH_OPTIONS, ...options }
    const unit = this.#options.ownershipUnit
    this.#assignments = new SlotAssignments(configuration, membership, leaving, unit)
    this.#exchange = new SlotExchange(
      rpc,
      this.#options,
      () => this.#selfPeer(),
      (nowMs) => this.#freeSlotHints(nowMs),
    )
    const send = this.#exchange.send.bind(this.#exchange)
    const newId = this.#newId.bind(this)
    this.#local = new LocalDispatch({
      options: this.#options,
      counters: this.#counters,
      borrowing: () => this.#borrowing,
      newId,
    })
    this.#hedges = new HedgeWatch(this.#options, this.#local.takeFreeSlot.bind(this.#local))
    this.#lending = new SlotLending(
      this.#services,
      membership,
      send,
      this.#options.remoteHandicapMs,
    )
    const accept = this.#local.acceptLoan.bind(this.#local)
    this.#borrowing = new SlotBorrowing(membership, this.#options, send, accept, newId)
    this.#exchange.setHandlers({ lending: this.#lending, borrowing: this.#borrowing })
  }

  /** Registers the RPC method through which gateways lend slots to each other. */
  registerMethods(registry: RpcMethodRegistry): void {
    this.#exchange.registerMethods(registry)
  }

  /** Applies the current configuration and membership, and subscribes to changes. */
  start(): void {
    if (this.#idleTimer !== undefined) return
    const clock = this.#options.clock
    this.#membershipChanged(clock())
    this.#reassign(clock())
    this.#subscriptions.push(
      this.#configuration.subscribe(() => {
        this.#reassign(clock())
      }),
      this.#leaving.subscribe(() => {
        this.#reassign(clock())
      }),
      this.#membership.subscribe(() => {
        this.#membershipChanged(clock())
      }),
    )
    this.#idleTimer = setInterval(() => {
      this.tick(clock())
    }, this.#options.idleTickMs)
    this.#idleTimer.unref()
  }

  /** Refuses the waiting requests as cancelled and aborts all calls to peers. */
  stop(): void {
    for (const unsubscribe of this.#subscriptions.splice(0)) unsubscribe()
    clearInterval(this.#idleTimer)
    clearTimeout(this.#queueTimer)
    this.#idleTimer = undefined
    for (const service of this.#services.values()) {
      this.#local.refuseAll(service, slotErrors.cancelled(), this.#options.clock())
    }
    this.#hedges.stop()
    this.#exchange.stop()
  }

  /** Waits for a slot until the deadline or until `request.signal` aborts. Never rejects. */
  acquire(request: SlotRequest, nowMs: number): Promise<Result<SlotGrant, SlotError>> {
    const service = this.#services.get(request.service)
    if (service === undefined) {
      this.#counters.refused += 1
      return Promise.resolve(Err(slotErrors.noBackendServer(request.service)))
    }
    const outcome = this.#local.acquire(request, service, nowMs)
    if (service.queue.length > 0) this.#scheduleTick()
    return outcome
  }

  /**
   * Watches an idempotent request that runs under `running`. Calls `onGrant` at most once, with a
   * free slot for a second attempt, if the request is late on a slow worker; the rate of second
   * attempts is limited. Call the returned function when the first attempt ends. Release the
   * attempt whose answer is not used as `SlotUse.Cancelled`.
   */
  watchForHedge(
    request: SlotRequest,
    running: SlotGrant,
    nowMs: number,
    onGrant: (grant: SlotGrant) => void,
  ): () => void {
    const service = this.#services.get(request.service)
    if (service === undefined) return () => undefined
    return this.#hedges.watch(request, service, running.workerId, nowMs, onGrant)
  }

  /**
   * Promise form of {@link watchForHedge}: resolves with the slot, or with an error when
   * `request.signal` aborts.
   */
  acquireHedge(
    request: SlotRequest,
    running: SlotGrant,
    nowMs: number,
  ): Promise<Result<SlotGrant, SlotError>> {
    return new Promise((resolve) => {
      const endWatch = this.watchForHedge(request, running, nowMs, (grant) => {
        request.signal.removeEventListener('abort', abort)
        resolve(Ok(grant))
      })
      const abort = (): void => {
        endWatch()
        resolve(Err(slotErrors.cancelled()))
      }
      if (request.signal.aborted) abort()
      else request.signal.addEventListener('abort', abort, { once: true })
    })
  }

  /**
   * Time after which a second attempt should be cancelled, in milliseconds. If it takes this long
   * on a worker of normal speed, the request itself is long, and two attempts only double the
   * work.
   */
  hedgeLimitMs(request: SlotRequest): number {
    const medianMs = this.medianMs(request.service, request.requestClass) ?? 0
    return this.#options.hedgeLimitFactor * medianMs
  }

  /** Median service time of a class in milliseconds, if known; hedging delays derive from it. */
  medianMs(service: string, requestClass: string): number | undefined {
    return this.#services.get(service)?.serviceTimes.medianMs(requestClass)
  }

  /** Totals since the start of the process. */
  counters(): DispatchCounters {
    return { ...this.#counters, calls: this.#exchange.callCount }
  }

  /** Current load of each configured service. */
  loads(nowMs: number): readonly ServiceDispatchLoad[] {
    return [...this.#services].map(([name, service]) => {
      const counts = service.pool.counts(nowMs)
      return {
        service: name,
        regionSlots: service.regionSlots,
        ownSlots: counts.own,
        freeSlots: counts.free,
        lentSlots: counts.lent,
        inFlight: this.#local.inFlight(name),
        queued: this.#local.queued(service),
        meanServiceMs: service.serviceTimes.meanMs(),
      }
    })
  }

  /**
   * Periodic work: expires holds and waiters, grants slots that became usable, and starts
   * overcommitted and hedged attempts.
   */
  tick(nowMs: number): void {
    this.#lending.tick(nowMs)
    for (const service of this.#services.values()) {
      this.#expireHolds(service, nowMs)
      service.dispatchQueue(nowMs)
      this.#local.reviewWaiters(service, nowMs)
    }
    this.#hedges.tick(nowMs)
  }

  /**
   * Schedules a tick while requests wait. Waiting requests must be checked every few milliseconds;
   * an idle dispatcher ticks less often, which saves CPU time.
   */
  #scheduleTick(): void {
    if (this.#idleTimer === undefined) return
    this.#queueTimer ??= setTimeout(() => {
      this.#queueTimer = undefined
      this.tick(this.#options.clock())
      const isQueued = [...this.#services.values()].some((service) => service.queue.length > 0)
      if (isQueued) this.#scheduleTick()
    }, this.#options.tickMs).unref()
  }

  #expireHolds(service: ServiceSlots, nowMs: number): void {
    for (const hold of service.pool.holdsWhere((held) => held.deadlineMs <= nowMs)) {
      this.#counters.expiredHolds += 1
      this.#lending.handleExpiredHold(hold.holdId)
      service.endHold(hold.holdId, SlotUse.Failed, 0, nowMs)
    }
  }

  #membershipChanged(nowMs: number): void {
    this.#lending.membershipChanged(nowMs)
    const fingerprint = this.#assignments.gatewayFingerprint()
    if (fingerprint === this.#gatewayFingerprint) return
    this.#gatewayFingerprint = fingerprint
    this.#reassign(nowMs)
  }

  #reassign(nowMs: number): void {
    const names = new Set<string>()
    for (const assignment of this.#assignments.all()) {
      const name = assignment.record.name
      names.add(name)
      const service = this.#services.get(name)
      if (service !== undefined) service.assign(assignment, nowMs)
      else {
        const created = new ServiceSlots(assignment, this.#options, () => this.#newId(), nowMs)
        this.#services.set(name, created)
      }
    }
    for (const [name, service] of this.#services) {
      if (names.has(name) && service.assignment.workers.length > 0) continue
      this.#local.refuseAll(service, slotErrors.noBackendServer(name), nowMs)
      if (!names.has(name)) this.#services.delete(name)
    }
  }

  #freeSlotHints(nowMs: number): Readonly<Record<string, number>> {
    const hints: Record<string, number> = {}
    for (const [name, service] of this.#services) {
      if (service.assignment.owned.length > 0) {
        hints[name] = Math.max(0, service.freeNormalSlotCount(nowMs) - service.queue.length)
      }
    }
    return hints
  }

  #selfPeer(): SlotPeer {
    const self = this.#membership.self()
    return {
      memberId: self.memberId,
      incarnation: self.incarnation,
      startedAtMs: self.startedAtMs,
      address: self.internalAddress,
    }
  }

  /** Unique across all processes and their restarts. */
  #newId(): string {
    this.#nextId += 1
    return `${this.#membership.self().incarnation}:${this.#nextId.toString(36)}`
  }
}
