/**
 * Central request queue of one service in one region; tracks every slot in use.
 *
 * Many small entry instances send to the same backend servers. If each instance
 * estimated the load of the others, requests would queue at the servers, where
 * they can be neither reordered nor refused in time. Instead, all instances of a
 * region request slots from one coordinator, which fills each server up to its slots.
 */
import { DispatchOrder } from '../placement/dispatchOrder.js'
import type {
  Refusal,
  SchedulingContext,
  SchedulingPolicy,
  SchedulingPolicyFactory,
} from '../scheduling/schedulingPolicy.js'
import { WorkEnd } from '../scheduling/schedulingPolicy.js'
import { TargetFirstPolicy } from '../scheduling/targetFirstPolicy.js'
import type { Waiter } from '../scheduling/waiter.js'
import { DEFAULT_DURATION_MS, DurationEstimates } from './durationEstimates.js'
import type { LoadReport } from './loadReport.js'
import { DecayingRate, MovingMean } from './movingMean.js'
import type { HeldSlotReport, LentSlots } from './peerMessages.js'
import { SlotOutcome } from './peerMessages.js'
import { ObjectCacheEstimate } from './objectCacheEstimate.js'
import {
  AssumedDemand,
  RemoteShare,
  evenDemand,
  usableSlots,
  targetRemoteShare,
} from './remoteShare.js'
import { KeptConnections } from '../connections/keptConnections.js'
import { LimitedCapacity } from './limitedCapacity.js'
import type { LimitStatement } from './serverLimits.js'
import type { CoordinatedServer, PaceExpectation, RunningRequest } from './serverState.js'
import { ServerIndex } from './serverIndex.js'
import { ServerSelection, instanceOf, isAllowed } from '../placement/serverSelection.js'
import { ServerState } from './serverState.js'
import type { ConnectionUse } from './serverExchange.js'
import type { ServerStatement } from './serverStatement.js'
import type { RegionDemand } from './slotLending.js'
import { chooseLentSlots } from './slotLending.js'
import type { LinkLoss } from './unconfirmedSlots.js'
import { UnconfirmedSlots, reportedUntilMs, unconfirmedUntilMs } from './unconfirmedSlots.js'

/** Time constant of the arrival rate, in ms; short enough to follow a burst of some seconds. */
const ARRIVAL_WINDOW_MS = 1500
/** Weight of a new sample in the mean time for which a slot is held. */
const HOLD_TIME_WEIGHT = 0.03
/** Time to live of slots lent by other regions, in ms; four renewals fit into it. */
const BORROWED_SLOTS_TTL_MS = 2000

/** Queued requests considered when a slot becomes free; bounds the work for a long queue. */
const MAX_DISPATCH_CANDIDATES = 32
/** Fraction of the remote hold time to fill with requests; more would queue at the server. */
const PIPELINE_FRACTION = 0.8
/** Upper bound of requests in flight per lent slot; a wrong estimate must not overload a server. */
const MAX_PIPELINE_FACTOR = 3

/** Fraction of the target latency assumed as duration; the rest covers waits and stragglers. */
const INITIAL_DURATION_FRACTION = 0.4

/** Statistics of a coordinator, for the log and for tests. */
export interface CoordinatorStats {
  readonly service: string
  readonly slots: number
  readonly running: number
  readonly waiting: number
  readonly arrivalsPerSecond: number
  readonly remoteShare: number
  /** Servers that state a limit, and requests per second that all servers complete. */
  readonly limitedServers: number
  readonly completionsPerSecond: number
}

const WORK_END_BY_OUTCOME: Readonly<Record<SlotOutcome, WorkEnd>> = {
  [SlotOutcome.Completed]: WorkEnd.Completed,
  [SlotOutcome.Failed]: WorkEnd.Failed,
  [SlotOutcome.Broken]: WorkEnd.Failed,
  [SlotOutcome.NotRun]: WorkEnd.Unknown,
  [SlotOutcome.Abandoned]: WorkEnd.Unknown,
}

/** Owns the slots, the queue and the duration estimates of one service. */
export class ServiceCoordinator {
  readonly #service: string
  readonly #region: string
  /** Also holds removed servers while requests still run there. */
  readonly #servers: ServerIndex
  readonly #estimates = new DurationEstimates()
  readonly #objectCache = new ObjectCacheEstimate()
  readonly #dispatchOrder = new DispatchOrder()
  readonly #paceExpectation: PaceExpectation = {
    overdueFraction: 0,
    slowdownFadeMs: Number.POSITIVE_INFINITY,
  }
  readonly #schedulingContext: SchedulingContext
  #policy: SchedulingPolicy
  readonly #selection: ServerSelection
  readonly #arrivals: DecayingRate
  /** Arrivals without retries, which would count the demand of a refused caller twice. */
  readonly #firstArrivals: DecayingRate
  readonly #holdTimeMs = new MovingMean(HOLD_TIME_WEIGHT)
  readonly #remoteHoldTimeMs = new MovingMean(HOLD_TIME_WEIGHT)
  readonly #remoteShare: RemoteShare
  readonly #assumedDemand = new AssumedDemand()
  /** Server that each queued request waits for, and number of waiting requests by server. */
  readonly #awaitedServers = new Map<string, string>()
  readonly #waiterCounts = new Map<string, number>()
  readonly #unconfirmedSlots = new UnconfirmedSlots()
  readonly #keptConnections = new KeptConnections<ServerState>()
  readonly #lentSlots = new Map<string, readonly LentSlots[]>()
  readonly #borrowedSlots = new Map<
    string,
    { readonly slots: readonly LentSlots[]; readonly untilMs: number }
  >()
  readonly #capacity: LimitedCapacity
  #initialHoldTimeMs = DEFAULT_DURATION_MS
  #localServers: readonly CoordinatedServer[] = []
  #findServer: (id: string) => CoordinatedServer | undefined = () => undefined

  /** @param random uniform in [0, 1) */
  constructor(service: string, region: string, random: () => number, nowMs: number) {
    this.#service = service
    this.#region = region
    this.#servers = new ServerIndex(region)
    this.#capacity = new LimitedCapacity(this.#servers)
    this.#schedulingContext = {
      serviceMsOf: (route) => this.#serviceMs(route),
      loadAt: (nowMs) => ({
        completionsPerSecond: this.#completionsPerSecond(),
        arrivalsPerSecond: this.#arrivals.perSecond(nowMs),
        usableSlots: this.#capacity.usableSlots(this.#meanHoldTimeMs()),
      }),
      random,
    }
    this.#policy = new TargetFirstPolicy(this.#schedulingContext)
    this.#arrivals = new DecayingRate(ARRIVAL_WINDOW_MS, nowMs)
    this.#firstArrivals = new DecayingRate(ARRIVAL_WINDOW_MS, nowMs)
    this.#remoteShare = new RemoteShare(nowMs)
    this.#selection = new ServerSelection({
      region,
      servers: this.#servers,
      estimates: this.#estimates,
      remoteShare: this.#remoteShare,
      keptConnections: this.#keptConnections,
      policy: () => this.#policy,
      waiterCountOf: (serverId) => this.#waiterCounts.get(serverId) ?? 0,
      meanHoldTimeMs: () => this.#meanHoldTimeMs(),
      usableSlots: () => this.#capacity.usableSlots(this.#meanHoldTimeMs()),
      limitedServers: () => this.#capacity.limitedServers,
    })
  }

  /**
   * Replaces the usable servers.
   * @param localServers usable servers of this region
   * @param findServer looks up a usable server of any region, for borrowed slots
   */
  updateServers(
    localServers: readonly CoordinatedServer[],
    findServer: (id: string) => CoordinatedServer | undefined,
    nowMs: number,
  ): void {
    this.#localServers = localServers
    this.#findServer = findServer
    this.#rebuildServers(nowMs)
    this.#dispatch(nowMs)
  }

  /** Replaces the policy; requests that the previous one has queued stay queued. */
  setPolicy(createPolicy: SchedulingPolicyFactory): void {
    const policy = createPolicy(this.#schedulingContext)
    for (const waiter of this.#policy.all()) policy.adopt(waiter)
    this.#policy = policy
  }

  /** Grants a slot, refuses it (both call back synchronously), or queues the request. */
  requestSlot(waiter: Waiter, nowMs: number): void {
    const { request } = waiter
    this.#expireBorrowedSlots(nowMs)
    this.#assumedDemand.recordRequest(nowMs)
    if (request.excludedServers.length === 0) {
      this.#arrivals.add(1, nowMs)
      if (!request.isReturn) this.#firstArrivals.add(1, nowMs)
    }
    this.#policy.recordArrival(waiter, nowMs)
    const mayStart =
      this.#policy.length === 0 || (this.#policy.usesDeclinedSlots && this.#servers.hasFree(nowMs))
    const state = mayStart ? this.#findSlot(waiter, nowMs) : undefined
    if (state !== undefined) {
      this.#grant(waiter, state, nowMs)
      return
    }
    const refusal = this.#refusalOf(waiter, mayStart && this.#isRefusedAsInfeasible(waiter), nowMs)
    if (refusal !== undefined) {
      this.#stopAwaiting(waiter.key)
      waiter.onRefused(refusal.reason, refusal.retryAfterMs)
      return
    }
    this.#dispatch(nowMs)
  }

  /** Withdraws a queued request. */
  cancel(key: string): void {
    this.#removeWaiter(key)
  }

  /** Releases a slot and records how its use ended. */
  releaseSlot(
    key: string,
    use: SlotOutcome,
    durationMs: number,
    report: LoadReport | null,
    nowMs: number,
    stated?: ServerStatement,
    connection: ConnectionUse = {},
  ): void {
    this.#expireBorrowedSlots(nowMs)
    this.#unconfirmedSlots.remove(key)
    const state = this.#servers.takeRequest(key)
    const isCut = this.#policy.recordEnd(key, WORK_END_BY_OUTCOME[use], durationMs, nowMs)
    // Work that was cut says how slow the server is; it is no failure of the server.
    const effect = isCut ? SlotOutcome.Completed : use
    const running = state?.endRequest(key, effect, durationMs, report, nowMs)
    if (state !== undefined) {
      this.#servers.refresh(state)
      this.#capacity.recordAnswer(state.server.id, stated, use, running, nowMs)
      this.#keptConnections.recordUse(instanceOf(key), state, connection, nowMs)
      const { retryAfterMs, avoidForMs } = stated ?? {}
      const turnedAwayForMs = avoidForMs ?? retryAfterMs
      if (turnedAwayForMs !== undefined) state.turnAway(instanceOf(key), nowMs + turnedAwayForMs)
      // A server in trouble is in trouble for all instances.
      if (avoidForMs !== undefined) state.suspend(nowMs + avoidForMs)
    }
    if (state !== undefined && running !== undefined && use === SlotOutcome.Completed) {
      this.#recordDuration(running, state, durationMs, nowMs)
    }
    this.#dispatch(nowMs)
  }

  /** Accepts limits that servers stated to other coordinators. */
  acceptLimits(statements: readonly LimitStatement[], nowMs: number): void {
    this.#capacity.accept(statements, nowMs)
  }

  /** Whether a server states a limit. */
  hasLimit(serverId: string): boolean {
    return this.#capacity.limitOf(serverId) !== undefined
  }

  /** Limits that are known to this coordinator. */
  statedLimits(): LimitStatement[] {
    return this.#capacity.statements()
  }

  /** Limits stated in answers to this region since the last call. */
  takeNewLimits(nowMs: number): LimitStatement[] {
    return this.#capacity.takeNewStatements(nowMs)
  }

  #startAwaiting(key: string, serverId: string): void {
    this.#awaitedServers.set(key, serverId)
    this.#waiterCounts.set(serverId, (this.#waiterCounts.get(serverId) ?? 0) + 1)
  }

  #stopAwaiting(key: string): void {
    const serverId = this.#awaitedServers.get(key)
    if (serverId === undefined) return
    this.#awaitedServers.delete(key)
    const remaining = (this.#waiterCounts.get(serverId) ?? 1) - 1
    if (remaining > 0) this.#waiterCounts.set(serverId, remaining)
    else this.#waiterCounts.delete(serverId)
  }

  #removeWaiter(key: string): void {
    this.#policy.remove(key)
    this.#stopAwaiting(key)
  }

  #recordDuration(
    request: RunningRequest,
    state: ServerState,
    durationMs: number,
    nowMs: number,
  ): void {
    const { route, reuseDistance } = request
    const { region } = state.server
    const isCached = reuseDistance !== undefined && reuseDistance < this.#objectCache.size
    if (reuseDistance !== undefined) {
      const hitMs = this.#estimates.expectedMs(route, region, true)
      const missMs = this.#estimates.expectedMs(route, region, false)
      // Geometric mean of the hit and miss durations, scaled by the current slowdown.
      const thresholdMs = Math.sqrt(hitMs * missMs) * Math.max(1, state.slowdownAt(nowMs))
      this.#objectCache.observe(reuseDistance, durationMs < thresholdMs)
    }
    this.#estimates.add(route, region, isCached, durationMs)
    if (region === this.#region) this.#holdTimeMs.add(nowMs - request.startedAtMs)
    else this.#remoteHoldTimeMs.add(nowMs - request.startedAtMs)
  }

  /** Counts slots in use that another coordinator granted. */
  adopt(instance: string, uses: readonly HeldSlotReport[], nowMs: number): void {
    for (const { askId, serverId, route, forMs } of uses) {
      const key = `${instance}/${askId}`
      const state = this.#servers.find(serverId)
      const known = this.#servers.ofRequest(key)
      if (state === undefined || state === known) continue
      // Another coordinator granted the request a slot of another server while this one was away.
      if (known !== undefined) this.#freeSlot(key)
      const expectedMs = this.#estimates.expectedMs(route, this.#region, true)
      const startedAtMs = nowMs - forMs
      const request = { route, object: '', startedAtMs, expectedMs, reuseDistance: undefined }
      state.startRequest(key, request, nowMs)
      this.#servers.setRequest(key, state)
      this.#unconfirmedSlots.add(key, reportedUntilMs(request))
    }
  }

  /** Drops the queued requests of an instance without a link; its slots stay in use for a time. */
  suspectInstance(instance: string, loss: LinkLoss, nowMs: number): void {
    this.#removeWaitersOf(instance)
    this.#keptConnections.removeInstance(instance)
    for (const { key, request } of this.#requestsOf(instance)) {
      this.#unconfirmedSlots.add(key, unconfirmedUntilMs(request, loss, nowMs))
    }
    this.#dispatch(nowMs)
  }

  /** Keeps the slots that an instance still holds after its link was lost, and frees the others. */
  confirmInstance(instance: string, uses: readonly HeldSlotReport[], nowMs: number): void {
    const heldKeys = new Set(uses.map(({ askId }) => `${instance}/${askId}`))
    for (const key of this.#unconfirmedSlots.withPrefix(`${instance}/`)) {
      this.#unconfirmedSlots.remove(key)
      if (!heldKeys.has(key)) this.#freeSlot(key)
    }
    this.adopt(instance, uses, nowMs)
    this.#dispatch(nowMs)
  }

  /** Drops the queued requests and releases the slots of a process that has ended. */
  removeInstance(instance: string, nowMs: number): void {
    this.#removeWaitersOf(instance)
    for (const { key } of this.#requestsOf(instance)) {
      this.#unconfirmedSlots.remove(key)
      this.#freeSlot(key)
    }
    this.#dispatch(nowMs)
  }

  #removeWaitersOf(instance: string): void {
    for (const { key } of this.#policy.all()) {
      if (key.startsWith(`${instance}/`)) this.#removeWaiter(key)
    }
  }

  #requestsOf(instance: string): { readonly key: string; readonly request: RunningRequest }[] {
    return [...this.#servers.all()].flatMap(({ running }) =>
      [...running]
        .filter(([key]) => key.startsWith(`${instance}/`))
        .map(([key, request]) => ({ key, request })),
    )
  }

  /** Frees a slot whose request has ended in an unknown way. */
  #freeSlot(key: string): void {
    const state = this.#servers.takeRequest(key)
    if (state === undefined) return
    state.running.delete(key)
    this.#policy.recordEnd(key, WorkEnd.Unknown, 0, 0)
    this.#servers.refresh(state)
  }

  /** Adds or renews the slots that another region lends. */
  borrow(region: string, slots: readonly LentSlots[], nowMs: number): void {
    this.#borrowedSlots.set(region, { slots, untilMs: nowMs + BORROWED_SLOTS_TTL_MS })
    this.#rebuildServers(nowMs)
  }

  /** Gives up all borrowed slots; the lenders renew those that are still lent. */
  giveUpBorrowedSlots(nowMs: number): void {
    this.#expireBorrowedSlots(Number.POSITIVE_INFINITY)
    this.#dispatch(nowMs)
  }

  #expireBorrowedSlots(nowMs: number): void {
    let hasExpired = false
    for (const [region, { untilMs }] of this.#borrowedSlots) {
      if (untilMs > nowMs) continue
      this.#borrowedSlots.delete(region)
      hasExpired = true
    }
    if (hasExpired) this.#rebuildServers(nowMs)
  }

  /**
   * Chooses the slots to lend.
   * @param counts number of slots by borrowing region
   * @returns lent slots by borrowing region
   */
  lend(
    counts: ReadonlyMap<string, number>,
    nowMs: number,
  ): ReadonlyMap<string, readonly LentSlots[]> {
    const alreadyLent = new Map<string, number>()
    this.#lentSlots.clear()
    const warm = this.#localServers
      .filter((server) => server.coldUntilMs <= nowMs)
      .map((server) => ({
        ...server,
        usableSlots: this.#capacity.usableSlotsOf(server, this.#meanHoldTimeMs()),
      }))
    for (const [region, count] of counts) {
      const chosen = chooseLentSlots(region, count, warm, alreadyLent)
      for (const { serverId, slots } of chosen) {
        alreadyLent.set(serverId, (alreadyLent.get(serverId) ?? 0) + slots)
      }
      this.#lentSlots.set(region, chosen)
    }
    this.#rebuildServers(nowMs)
    return this.#lentSlots
  }

  /**
   * Assumes an even demand before traffic starts, so that slots are borrowed in time.
   * @param totalSlots slots of the service in all regions
   */
  prepare(totalSlots: number, regionCount: number): void {
    if (this.#assumedDemand.hasTraffic) return
    this.#assumedDemand.assume(evenDemand(totalSlots, regionCount))
    this.#remoteShare.markConverged()
  }

  /** Assumes an even demand at the first request, without a handover from another coordinator. */
  startCold(totalSlots: number, regionCount: number): void {
    if (!this.#assumedDemand.hasRequests)
      this.#assumedDemand.assume(evenDemand(totalSlots, regionCount))
  }

  /** Continues with the remote share and the demand of the previous coordinator. */
  acceptHandover(share: number, neededSlots: number, nowMs: number): void {
    if (this.#remoteShare.acceptHandover(share, nowMs)) this.#assumedDemand.assume(neededSlots)
  }

  /** Demand and capacity of this region. */
  demand(nowMs: number): RegionDemand {
    const holdTimeMs = this.#meanHoldTimeMs()
    const slots = this.#localServers.reduce(
      (sum, server) => sum + this.#capacity.usableSlotsOf(server, holdTimeMs),
      0,
    )
    const neededSlots = this.#assumedDemand.blend(this.#neededSlots(nowMs), nowMs)
    return { region: this.#region, neededSlots, slots }
  }

  /** Demand sent to other regions, limited to what the remote share can use soon. */
  advertisedDemand(nowMs: number): RegionDemand {
    const { region, neededSlots, slots } = this.demand(nowMs)
    const usable = this.#assumedDemand.hasTraffic
      ? usableSlots(neededSlots, slots, this.#remoteShare.share)
      : neededSlots
    return { region, neededSlots: usable, slots }
  }

  /** Whether a demand is assumed, either an even one or that of the previous coordinator. */
  get hasAssumedDemand(): boolean {
    return this.#assumedDemand.isSet
  }

  /** Whether the remote share still follows its target at once, as after a cold start. */
  isShareUnlimited(nowMs: number): boolean {
    return this.#remoteShare.isUnlimited(nowMs, this.hasTraffic)
  }

  /** State that is handed over to the next coordinator. */
  handoverState(nowMs: number): { readonly share: number; readonly neededSlots: number } {
    return { share: this.#remoteShare.share, neededSlots: this.demand(nowMs).neededSlots }
  }

  /** Whether any slot has been requested here. */
  get hasRequests(): boolean {
    return this.#assumedDemand.hasRequests
  }

  /** Whether more than single requests have arrived here. */
  get hasTraffic(): boolean {
    return this.#assumedDemand.hasTraffic
  }

  /** Whether any request is queued. */
  get hasWaiters(): boolean {
    return this.#policy.length > 0
  }

  /**
   * Expires borrowed slots, adjusts the remote share, dispatches the queue and refuses overdue
   * requests.
   */
  tick(nowMs: number): void {
    this.#expireBorrowedSlots(nowMs)
    for (const key of this.#unconfirmedSlots.takeExpired(nowMs)) this.#freeSlot(key)
    this.#capacity.expire(nowMs)
    const { overdueFraction, slowdownFadeMs } = this.#policy
    Object.assign(this.#paceExpectation, { overdueFraction, slowdownFadeMs })
    const holdTimeMs = this.#meanHoldTimeMs()
    const borrowedSlots = [...this.#servers.all()]
      .filter(({ server }) => server.region !== this.#region)
      .reduce((sum, state) => {
        const lentSlots = state.server.slots / this.#pipelineFactor()
        return sum + Math.min(lentSlots, state.usableSlots(holdTimeMs))
      }, 0)
    const { neededSlots, slots } = this.demand(nowMs)
    const target = targetRemoteShare(neededSlots, slots, borrowedSlots)
    this.#remoteShare.moveTowards(target, nowMs, this.#assumedDemand.hasTraffic)
    this.#dispatch(nowMs)
    this.#refuseDisplaced(nowMs)
  }

  /** Sets the target latency of a route, from which its duration is estimated until observed. */
  setTargetLatency(route: string, targetMs: number): void {
    this.#initialHoldTimeMs = targetMs * INITIAL_DURATION_FRACTION
    this.#estimates.setDefault(route, this.#initialHoldTimeMs)
  }

  stats(nowMs: number): CoordinatorStats {
    let slots = 0
    let running = 0
    for (const state of this.#servers.all()) {
      slots += state.server.slots
      running += state.running.size
    }
    return {
      service: this.#service,
      slots,
      running,
      waiting: this.#policy.length,
      arrivalsPerSecond: this.#arrivals.perSecond(nowMs),
      remoteShare: this.#remoteShare.share,
      limitedServers: this.#capacity.limitedServers,
      completionsPerSecond: this.#completionsPerSecond(),
    }
  }

  #rebuildServers(nowMs: number): void {
    const lentCounts = new Map<string, number>()
    for (const slots of this.#lentSlots.values()) {
      for (const { serverId, slots: count } of slots) {
        lentCounts.set(serverId, (lentCounts.get(serverId) ?? 0) + count)
      }
    }
    const servers = new Map<string, CoordinatedServer>()
    for (const server of this.#localServers) {
      const slots = Math.max(0, server.slots - (lentCounts.get(server.id) ?? 0))
      servers.set(server.id, { ...server, slots })
    }
    for (const { slots } of this.#borrowedSlots.values()) {
      for (const { serverId, slots: count } of slots) {
        const server = this.#findServer(serverId)
        if (server === undefined) continue
        servers.set(serverId, { ...server, slots: Math.round(count * this.#pipelineFactor()) })
      }
    }
    for (const state of [...this.#servers.all()]) {
      const server = servers.get(state.server.id)
      if (server === undefined && state.running.size === 0) {
        this.#servers.remove(state)
        this.#keptConnections.removeServer(state)
        continue
      }
      const isRestarted = server !== undefined && server.startedAtMs !== state.server.startedAtMs
      if (isRestarted) {
        this.#capacity.forget(state.server.id)
        this.#keptConnections.removeServer(state)
      }
      if (state.server.slots === 0) state.limit?.restart(nowMs)
      state.update(server ?? { ...state.server, slots: 0 })
      this.#servers.refresh(state)
    }
    for (const [id, server] of servers) {
      if (this.#servers.find(id) !== undefined) continue
      this.#capacity.limitOf(id)?.restart(nowMs)
      const { holders } = this.#servers
      const state = new ServerState(
        server,
        this.#objectCache,
        holders,
        nowMs,
        this.#paceExpectation,
      )
      this.#servers.add(state)
      if (this.#assumedDemand.hasTraffic) this.#keptConnections.addServer(state)
    }
    this.#capacity.refresh()
  }

  #dispatch(nowMs: number): void {
    if (this.#policy.length === 0 || !this.#servers.hasFree(nowMs)) return
    const deferred: Waiter[] = []
    for (const waiter of this.#policy.next(MAX_DISPATCH_CANDIDATES, nowMs)) {
      if (!this.#servers.hasFree(nowMs)) return
      // A grant may call back into this coordinator and withdraw other waiters.
      if (!this.#policy.has(waiter.key)) continue
      const state = this.#findSlot(waiter, nowMs)
      if (state === undefined) {
        this.#refuseIfInfeasible(waiter, nowMs)
        continue
      }
      if (this.#isDeferred(waiter, state, nowMs)) {
        deferred.push(waiter)
        continue
      }
      this.#dispatchOrder.recordGrant(deferred.length > 0)
      this.#policy.remove(waiter.key)
      this.#grant(waiter, state, nowMs)
    }
    for (const waiter of deferred) {
      if (!this.#servers.hasFree(nowMs)) return
      const state = this.#policy.has(waiter.key) ? this.#findSlot(waiter, nowMs) : undefined
      if (state === undefined) continue
      this.#dispatchOrder.recordGrant(false)
      this.#policy.remove(waiter.key)
      this.#grant(waiter, state, nowMs)
    }
  }

  /** A server with a limit is short of requests rather than of slot time, so the order holds. */
  #isDeferred({ request, targetAtMs }: Waiter, state: ServerState, nowMs: number): boolean {
    if (state.limit !== undefined) return false
    const { route, object } = request
    const isHit = object === '' || state.hasCached(object)
    const usualMs = this.#estimates.expectedMs(route, state.server.region, isHit && object !== '')
    return this.#dispatchOrder.isDeferred({
      isHit,
      durationMs: usualMs * state.slowdownAt(nowMs),
      targetInMs: targetAtMs - nowMs,
    })
  }

  /** Queues a request that gets no slot now, or tells why not. */
  #refusalOf(waiter: Waiter, isInfeasible: boolean, nowMs: number): Refusal | undefined {
    if (!this.#hasServerFor(waiter, nowMs)) {
      const turnedAwayForMs = this.#turnedAwayForMs(waiter, nowMs)
      return this.#policy.refuseWithoutServer(waiter, turnedAwayForMs, nowMs)
    }
    if (isInfeasible) return this.#policy.refuseInfeasible(waiter, nowMs)
    return this.#policy.offer(waiter, nowMs)
  }

  /** Whether the latest selection found no server for a request that would end in time. */
  #isRefusedAsInfeasible({ key, request }: Waiter): boolean {
    // A caller that came back may wait for a server to become faster.
    return this.#selection.isInfeasible && !request.isReturn && !this.#awaitedServers.has(key)
  }

  /** Refuses a queued request that no server can end in time. */
  #refuseIfInfeasible(waiter: Waiter, nowMs: number): void {
    if (!this.#isRefusedAsInfeasible(waiter)) return
    this.#removeWaiter(waiter.key)
    const { reason, retryAfterMs } = this.#policy.refuseInfeasible(waiter, nowMs)
    waiter.onRefused(reason, retryAfterMs)
  }

  /** Returns the server for a request if it has a free slot; else the request awaits it. */
  #findSlot(waiter: Waiter, nowMs: number): ServerState | undefined {
    this.#stopAwaiting(waiter.key)
    const state = this.#selection.select(waiter, nowMs)
    if (state === undefined || state.freeSlots(nowMs) > 0) return state
    this.#startAwaiting(waiter.key, state.server.id)
    return undefined
  }

  #grant(waiter: Waiter, state: ServerState, nowMs: number): void {
    const { route, object } = waiter.request
    const { id, region } = state.server
    const expectedMs = this.#estimates.expectedMs(route, region, state.hasCached(object))
    const reuseDistance = state.reuseDistanceOf(object)
    state.startRequest(
      waiter.key,
      { route, object, startedAtMs: nowMs, expectedMs, reuseDistance },
      nowMs,
    )
    this.#servers.setRequest(waiter.key, state)
    this.#keptConnections.take(instanceOf(waiter.key), state)
    this.#policy.recordStart(waiter, expectedMs * state.paceAt(nowMs), nowMs)
    this.#remoteShare.recordRequest(region !== this.#region, nowMs)
    waiter.onGranted(id, this.#keptConnections.mayBeLost(nowMs))
  }

  #hasServerFor(waiter: Waiter, nowMs: number): boolean {
    const instance = instanceOf(waiter.key)
    for (const state of this.#servers.all()) {
      const { slots, region } = state.server
      const isUsable = slots > 0 && isAllowed(waiter, region)
      if (isUsable && state.turnedAwayUntilMs(instance, nowMs) === 0) return true
    }
    return false
  }

  /** Time until the first server that turned the instance away takes its requests again. */
  #turnedAwayForMs(waiter: Waiter, nowMs: number): number | undefined {
    const instance = instanceOf(waiter.key)
    const times = [...this.#servers.all()]
      .map((state) => state.turnedAwayUntilMs(instance, nowMs))
      .filter((untilMs) => untilMs > 0)
    return times.length === 0 ? undefined : Math.min(...times) - nowMs
  }

  #serviceMs(route: string): number {
    return this.#estimates.expectedMs(route, this.#region, true)
  }

  #completionsPerSecond(): number {
    const holdTimeMs = this.#meanHoldTimeMs()
    return (this.#capacity.usableSlots(holdTimeMs) * 1000) / holdTimeMs
  }

  #meanHoldTimeMs(): number {
    return this.#holdTimeMs.value ?? this.#initialHoldTimeMs
  }

  /** Requests in flight per lent slot, so that the slot does not idle for the round-trip time. */
  #pipelineFactor(): number {
    const remoteMs = this.#remoteHoldTimeMs.value
    if (remoteMs === undefined) return 1
    return Math.min(
      MAX_PIPELINE_FACTOR,
      Math.max(1, (remoteMs * PIPELINE_FRACTION) / this.#meanHoldTimeMs()),
    )
  }

  #neededSlots(nowMs: number): number {
    return (this.#firstArrivals.perSecond(nowMs) * this.#meanHoldTimeMs()) / 1000
  }

  /** Refuses the queued requests that can't be served in useful time any more. */
  #refuseDisplaced(nowMs: number): void {
    for (const { waiter, reason, retryAfterMs } of this.#policy.takeDisplaced(nowMs)) {
      this.#stopAwaiting(waiter.key)
      waiter.onRefused(reason, retryAfterMs)
    }
  }
}
