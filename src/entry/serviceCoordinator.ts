/**
 * Central request queue of one service in one region; tracks every slot in use.
 *
 * Many small entry instances send to the same backend servers. If each instance
 * estimated the load of the others, requests would queue at the servers, where
 * they can be neither reordered nor refused in time. Instead, all instances of a
 * region request slots from one coordinator, which fills each server up to its slots.
 */
import { combineHashes, hashText } from '../common/hashing.js'
import type { QueueState, RequestNeed } from './admission.js'
import { AdmissionKind, LATE_WAIT_SHARE, admit, retryAfterMs } from './admission.js'
import { DEFAULT_DURATION_MS, DurationEstimates } from './durationEstimates.js'
import type { LoadReport } from './loadReport.js'
import { DecayingRate, MovingMean } from './movingMean.js'
import type { AdoptedUse, LentSlots } from './peerMessages.js'
import { SlotUse } from './peerMessages.js'
import { ObjectMemory } from './objectMemory.js'
import {
  AssumedDemand,
  RemoteShare,
  evenPart,
  usableNeed,
  wantedRemoteShare,
} from './regionShare.js'
import type { CoordinatedServer, RunningUse } from './serverState.js'
import { ServerState } from './serverState.js'
import type { RegionDemand } from './slotLending.js'
import { chooseLentSlots } from './slotLending.js'
import type { Waiter } from './waitingLine.js'
import { WaitingLine } from './waitingLine.js'

/** Time constant of the arrival rate, in ms; short enough to follow a burst of some seconds. */
const ARRIVAL_WINDOW_MS = 1500
/** Weight of a new sample in the mean time for which a slot is held. */
const HOLD_WEIGHT = 0.03
/** Time to live of slots lent by other regions, in ms; four renewals fit into it. */
const LENT_LIFE_MS = 2000
/** Cost of a server in another zone, in milliseconds: the round-trip time between zones. */
const OTHER_ZONE_COST_MS = 4
/** Weight of the load of a server, relative to the usual duration; spreads work over servers. */
const LOAD_WEIGHT = 0.1
/** Weight of the hash-based preference of an object for a server; instances agree on the hash. */
const OBJECT_PREFERENCE_WEIGHT = 0.4

/** Queued requests considered when a slot becomes free; bounds the work for a long queue. */
const MAX_REVIEWED = 32
/** Fraction of the remote hold time to fill with requests; more would queue at the server. */
const WAY_USE = 0.8
/** Upper bound of requests in flight per lent slot; a wrong estimate must not overload a server. */
const MAX_WAY_FACTOR = 3

/** Fraction of the target latency assumed as duration; the rest covers waits and stragglers. */
const FIRST_DURATION_SHARE = 0.4

/** Statistics of a coordinator, for the log and for tests. */
export interface CoordinatorFigures {
  readonly service: string
  readonly slots: number
  readonly running: number
  readonly waiting: number
  readonly arrivalsPerSecond: number
  readonly remoteShare: number
}

/** Owns the slots, the queue and the duration estimates of one service. */
export class ServiceCoordinator {
  readonly #service: string
  readonly #region: string
  readonly #random: () => number
  /** Also holds removed servers while requests still run there. */
  readonly #servers = new Map<string, ServerState>()
  readonly #estimates = new DurationEstimates()
  readonly #memory = new ObjectMemory()
  readonly #line = new WaitingLine()
  readonly #arrivals: DecayingRate
  readonly #holdMs = new MovingMean(HOLD_WEIGHT)
  readonly #remoteHoldMs = new MovingMean(HOLD_WEIGHT)
  readonly #remoteShare: RemoteShare
  readonly #assumed = new AssumedDemand()
  /** Server that each queued request waits for, and number of waiting requests by server. */
  readonly #awaited = new Map<string, string>()
  readonly #awaiting = new Map<string, number>()
  readonly #lentOut = new Map<string, readonly LentSlots[]>()
  readonly #lentIn = new Map<
    string,
    { readonly slots: readonly LentSlots[]; readonly untilMs: number }
  >()
  #totalSlots = 0
  #firstHoldMs = DEFAULT_DURATION_MS
  #own: readonly CoordinatedServer[] = []
  #findServer: (id: string) => CoordinatedServer | undefined = () => undefined

  /** @param random uniform in [0, 1) */
  constructor(service: string, region: string, random: () => number, nowMs: number) {
    this.#service = service
    this.#region = region
    this.#random = random
    this.#arrivals = new DecayingRate(ARRIVAL_WINDOW_MS, nowMs)
    this.#remoteShare = new RemoteShare(nowMs)
  }

  /**
   * Replaces the usable servers.
   * @param own usable servers of this region
   * @param find looks up a usable server of any region, for borrowed slots
   */
  assign(
    own: readonly CoordinatedServer[],
    find: (id: string) => CoordinatedServer | undefined,
    nowMs: number,
  ): void {
    this.#own = own
    this.#findServer = find
    this.#rebuild(nowMs)
    this.#pump(nowMs)
  }

  /** Grants a slot, refuses it (both call back synchronously), or queues the request. */
  ask(waiter: Waiter, nowMs: number): void {
    const { ask } = waiter
    this.#assumed.asked(nowMs)
    if (ask.excludedServers.length === 0) this.#arrivals.add(1, nowMs)
    const isFirst = this.#line.length === 0
    if (isFirst && this.#tryGrant(waiter, nowMs)) return
    if (!this.#hasServerFor(waiter)) {
      this.#stopAwaiting(waiter.key)
      const need = this.#needOf(waiter, nowMs)
      waiter.refused('no backend server', retryAfterMs(need.deadlineInMs, need, this.#random()))
      return
    }
    const need = this.#needOf(waiter, nowMs)
    const queue = this.#queueState(waiter, nowMs)
    const admission = admit(queue, need)
    if (admission.kind === AdmissionKind.Refused) {
      this.#stopAwaiting(waiter.key)
      const returnMs = retryAfterMs(admission.waitMs, need, this.#random())
      waiter.refused(`no slot in useful time: ${describe(queue, admission.waitMs)}`, returnMs)
      return
    }
    this.#line.add(waiter)
    this.#pump(nowMs)
  }

  /** Withdraws a queued request. */
  cancel(key: string): void {
    this.#leaveLine(key)
  }

  /** Releases a slot and records how its use ended. */
  done(
    key: string,
    use: SlotUse,
    durationMs: number,
    report: LoadReport | null,
    nowMs: number,
  ): void {
    for (const state of this.#servers.values()) {
      const running = state.running.get(key)
      if (running === undefined) continue
      state.end(key, use, durationMs, report, nowMs)
      if (use === SlotUse.Completed) this.#learn(running, state, durationMs, nowMs)
      break
    }
    this.#pump(nowMs)
  }

  #await(key: string, serverId: string): void {
    this.#awaited.set(key, serverId)
    this.#awaiting.set(serverId, (this.#awaiting.get(serverId) ?? 0) + 1)
  }

  #stopAwaiting(key: string): void {
    const serverId = this.#awaited.get(key)
    if (serverId === undefined) return
    this.#awaited.delete(key)
    const left = (this.#awaiting.get(serverId) ?? 1) - 1
    if (left > 0) this.#awaiting.set(serverId, left)
    else this.#awaiting.delete(serverId)
  }

  #leaveLine(key: string): void {
    this.#line.remove(key)
    this.#stopAwaiting(key)
  }

  #learn(running: RunningUse, state: ServerState, durationMs: number, nowMs: number): void {
    const { route, objectRank } = running
    const { region } = state.server
    const isKnown = objectRank !== undefined && objectRank < this.#memory.kept
    if (objectRank !== undefined) {
      const fastMs = this.#estimates.expectedMs(route, region, true)
      const slowMs = this.#estimates.expectedMs(route, region, false)
      // Geometric mean of the hit and miss durations, scaled by the current slowdown.
      const limitMs = Math.sqrt(fastMs * slowMs) * Math.max(1, state.paceAt(nowMs))
      this.#memory.observe(objectRank, durationMs < limitMs)
    }
    this.#estimates.add(route, region, isKnown, durationMs)
    if (region === this.#region) this.#holdMs.add(nowMs - running.startedAtMs)
    else this.#remoteHoldMs.add(nowMs - running.startedAtMs)
  }

  /** Counts slots in use that another coordinator granted. */
  adopt(instance: string, uses: readonly AdoptedUse[], nowMs: number): void {
    for (const { askId, serverId, route, forMs } of uses) {
      const state = this.#servers.get(serverId)
      const expectedMs = this.#estimates.expectedMs(route, this.#region, true)
      const startedAtMs = nowMs - forMs
      const use = { route, object: '', startedAtMs, expectedMs, objectRank: undefined }
      state?.start(`${instance}/${askId}`, use, nowMs)
    }
  }

  /** Drops the queued requests and releases the slots of a failed or unreachable instance. */
  forgetInstance(instance: string, nowMs: number): void {
    const prefix = `${instance}/`
    for (const waiter of this.#line.all()) {
      if (waiter.key.startsWith(prefix)) this.#leaveLine(waiter.key)
    }
    for (const state of this.#servers.values()) {
      for (const key of [...state.running.keys()]) {
        if (key.startsWith(prefix)) state.running.delete(key)
      }
    }
    this.#pump(nowMs)
  }

  /** Adds or renews the slots that another region lends. */
  borrow(region: string, slots: readonly LentSlots[], nowMs: number): void {
    this.#lentIn.set(region, { slots, untilMs: nowMs + LENT_LIFE_MS })
    this.#rebuild(nowMs)
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
    const taken = new Map<string, number>()
    this.#lentOut.clear()
    const warm = this.#own.filter((server) => server.coldUntilMs <= nowMs)
    for (const [region, count] of counts) {
      const chosen = chooseLentSlots(region, count, warm, taken)
      for (const { serverId, slots } of chosen) {
        taken.set(serverId, (taken.get(serverId) ?? 0) + slots)
      }
      this.#lentOut.set(region, chosen)
    }
    this.#rebuild(nowMs)
    return this.#lentOut
  }

  /**
   * Assumes an even demand before the first request, so that slots are borrowed in time.
   * @param totalSlots slots of the service in all regions
   */
  prepare(totalSlots: number, regions: number): void {
    if (this.#assumed.wasAsked) return
    this.#assumed.assume(evenPart(totalSlots, regions))
    this.#remoteShare.settle()
  }

  /** Assumes an even demand at the first request, without a handover from another coordinator. */
  startCold(totalSlots: number, regions: number): void {
    if (!this.#assumed.wasAsked) this.#assumed.assume(evenPart(totalSlots, regions))
  }

  /** Continues with the remote share and the demand of the previous coordinator. */
  inherit(share: number, neededSlots: number, nowMs: number): void {
    if (this.#remoteShare.inherit(share, nowMs)) this.#assumed.assume(neededSlots)
  }

  /** Demand and capacity of this region. */
  demand(nowMs: number): RegionDemand {
    const slots = this.#own.reduce((sum, server) => sum + server.slots, 0)
    const neededSlots = this.#assumed.blend(this.#neededSlots(nowMs), nowMs)
    return { region: this.#region, neededSlots, slots }
  }

  /** Demand sent to other regions, limited to what the remote share can use soon. */
  lendableDemand(nowMs: number): RegionDemand {
    const { region, neededSlots, slots } = this.demand(nowMs)
    const usable = this.#assumed.wasAsked
      ? usableNeed(neededSlots, slots, this.#remoteShare.share)
      : neededSlots
    return { region, neededSlots: usable, slots }
  }

  /** Whether a demand is assumed, either an even one or that of the previous coordinator. */
  get isPrepared(): boolean {
    return this.#assumed.isSet
  }

  /** State that is handed over to the next coordinator. */
  sharing(nowMs: number): { readonly share: number; readonly neededSlots: number } {
    return { share: this.#remoteShare.share, neededSlots: this.demand(nowMs).neededSlots }
  }

  /** Whether any slot has been requested here. */
  get wasAsked(): boolean {
    return this.#assumed.wasAsked
  }

  /** Whether any request is queued. */
  get hasWaiters(): boolean {
    return this.#line.length > 0
  }

  /**
   * Expires borrowed slots, adjusts the remote share, dispatches the queue and refuses overdue
   * requests.
   */
  tick(nowMs: number): void {
    const lapsed = [...this.#lentIn].filter(([, { untilMs }]) => untilMs <= nowMs)
    for (const [region] of lapsed) this.#lentIn.delete(region)
    if (lapsed.length > 0) this.#rebuild(nowMs)
    const lent = [...this.#servers.values()]
      .filter(({ server }) => server.region !== this.#region)
      .reduce((sum, { server }) => sum + server.slots / this.#wayFactor(), 0)
    const { neededSlots, slots } = this.demand(nowMs)
    this.#remoteShare.steer(wantedRemoteShare(neededSlots, slots, lent), nowMs)
    this.#pump(nowMs)
    this.#refuseHopeless(nowMs)
  }

  /** Sets the target latency of a route, from which its duration is estimated until observed. */
  setTarget(route: string, targetMs: number): void {
    this.#firstHoldMs = targetMs * FIRST_DURATION_SHARE
    this.#estimates.setDefault(route, this.#firstHoldMs)
  }

  figures(nowMs: number): CoordinatorFigures {
    let slots = 0
    let running = 0
    for (const state of this.#servers.values()) {
      slots += state.server.slots
      running += state.running.size
    }
    return {
      service: this.#service,
      slots,
      running,
      waiting: this.#line.length,
      arrivalsPerSecond: this.#arrivals.perSecond(nowMs),
      remoteShare: this.#remoteShare.share,
    }
  }

  #rebuild(nowMs: number): void {
    const lentOut = new Map<string, number>()
    for (const slots of this.#lentOut.values()) {
      for (const { serverId, slots: count } of slots) {
        lentOut.set(serverId, (lentOut.get(serverId) ?? 0) + count)
      }
    }
    const next = new Map<string, CoordinatedServer>()
    for (const server of this.#own) {
      const slots = Math.max(0, server.slots - (lentOut.get(server.id) ?? 0))
      next.set(server.id, { ...server, slots })
    }
    for (const { slots } of this.#lentIn.values()) {
      for (const { serverId, slots: count } of slots) {
        const server = this.#findServer(serverId)
        if (server === undefined) continue
        next.set(serverId, { ...server, slots: Math.round(count * this.#wayFactor()) })
      }
    }
    for (const [id, state] of this.#servers) {
      const server = next.get(id)
      if (server !== undefined) state.update(server)
      else if (state.running.size === 0) this.#servers.delete(id)
      else state.update({ ...state.server, slots: 0 })
    }
    for (const [id, server] of next) {
      const isNew = !this.#servers.has(id)
      if (isNew) this.#servers.set(id, new ServerState(server, this.#memory, nowMs))
    }
    this.#totalSlots = 0
    for (const { server } of this.#servers.values()) this.#totalSlots += server.slots
  }

  #pump(nowMs: number): void {
    if (this.#line.length === 0 || !this.#hasFreeSlot(nowMs)) return
    const ordered = this.#line.ordered((waiter) => this.#latestStart(waiter), nowMs)
    for (const waiter of ordered.slice(0, MAX_REVIEWED)) {
      if (!this.#hasFreeSlot(nowMs)) return
      // Removed first, because the grant may call back into this coordinator.
      if (this.#line.remove(waiter.key) === undefined) continue
      if (!this.#tryGrant(waiter, nowMs)) this.#line.add(waiter)
    }
  }

  #hasFreeSlot(nowMs: number): boolean {
    for (const state of this.#servers.values()) if (state.freeSlots(nowMs) > 0) return true
    return false
  }

  #tryGrant(waiter: Waiter, nowMs: number): boolean {
    this.#stopAwaiting(waiter.key)
    const state = this.#pick(waiter, nowMs)
    if (state === undefined) return false
    if (state.freeSlots(nowMs) <= 0) {
      this.#await(waiter.key, state.server.id)
      return false
    }
    const { route, object } = waiter.ask
    const { id, region } = state.server
    const expectedMs = this.#estimates.expectedMs(route, region, state.knows(object))
    const objectRank = state.rankOf(object)
    state.start(waiter.key, { route, object, startedAtMs: nowMs, expectedMs, objectRank }, nowMs)
    this.#remoteShare.count(region !== this.#region, nowMs)
    waiter.granted(id)
    return true
  }

  /** Returns the server with the earliest expected completion, which may be a full one. */
  #pick(waiter: Waiter, nowMs: number): ServerState | undefined {
    const isHomeAllowed = this.#isAllowed(waiter, this.#region)
    const mustLeave = !isHomeAllowed || this.#remoteShare.mustGoAway(nowMs)
    const mayLeave = mustLeave || this.#remoteShare.mayGoAway(nowMs)
    const { object } = waiter.ask
    const hash = object === '' ? 0 : hashText(object)
    const away = mayLeave ? this.#best(waiter, false, hash, nowMs) : undefined
    if (mustLeave && away !== undefined) return away.state
    const here = isHomeAllowed ? this.#best(waiter, true, hash, nowMs) : undefined
    if (here === undefined || away === undefined) return (here ?? away)?.state
    return away.costMs < here.costMs ? away.state : here.state
  }

  #best(
    waiter: Waiter,
    isHere: boolean,
    objectHash: number,
    nowMs: number,
  ): { readonly state: ServerState; readonly costMs: number } | undefined {
    let best: ServerState | undefined
    let bestMs = Number.POSITIVE_INFINITY
    for (const state of this.#servers.values()) {
      const { id, region, slots } = state.server
      if ((region === this.#region) !== isHere || slots <= 0 || state.isBlocked(nowMs)) continue
      if (waiter.ask.excludedServers.includes(id) || !this.#isAllowed(waiter, region)) continue
      const costMs = this.#costMs(waiter, objectHash, state, nowMs)
      if (costMs < bestMs) {
        best = state
        bestMs = costMs
      }
    }
    return best === undefined ? undefined : { state: best, costMs: bestMs }
  }

  /**
   * Expected time until completion on the server, plus small terms that spread the work.
   * A full server that has the object cached is often worth the short wait for a slot.
   */
  #costMs(waiter: Waiter, objectHash: number, state: ServerState, nowMs: number): number {
    const { route, object } = waiter.ask
    const { id, region, zone, slots } = state.server
    const awaiting = this.#awaiting.get(id) ?? 0
    const isKnown = state.knows(object)
    const usualMs = this.#estimates.expectedMs(route, region, isKnown)
    const pace = state.paceAt(nowMs)
    const load = state.running.size / Math.max(1, slots)
    const preference = object === '' ? 0 : combineHashes(objectHash, state.hash) / 2 ** 32
    const isFull = state.freeSlots(nowMs) <= 0
    const waitMs = isFull ? ((awaiting + 1) * this.#meanHoldMs() * pace) / slots : 0
    return (
      waitMs +
      usualMs * pace * this.#scarcity() +
      usualMs * (LOAD_WEIGHT * load + OBJECT_PREFERENCE_WEIGHT * preference) +
      (zone === waiter.zone ? 0 : OTHER_ZONE_COST_MS)
    )
  }

  /**
   * Weight of slot time relative to the duration of the request itself: each extra
   * millisecond in a slot delays all queued requests.
   */
  #scarcity(): number {
    return 1 + this.#line.length / Math.max(1, this.#totalSlots)
  }

  #isAllowed(waiter: Waiter, region: string): boolean {
    const { regions } = waiter.ask
    return regions.length === 0 || regions.includes(region)
  }

  #hasServerFor(waiter: Waiter): boolean {
    for (const { server } of this.#servers.values()) {
      if (server.slots > 0 && this.#isAllowed(waiter, server.region)) return true
    }
    return false
  }

  #needOf(waiter: Waiter, nowMs: number): RequestNeed {
    return {
      serviceMs: this.#estimates.expectedMs(waiter.ask.route, this.#region, true),
      targetInMs: waiter.targetAtMs - nowMs,
      deadlineInMs: waiter.deadlineAtMs - nowMs,
      isReturn: waiter.ask.isReturn,
    }
  }

  #latestStart(waiter: Waiter): number {
    return waiter.targetAtMs - this.#estimates.expectedMs(waiter.ask.route, this.#region, true)
  }

  #queueState(waiter: Waiter, nowMs: number): QueueState {
    const ahead = this.#line.countAhead(waiter.ask, (other) => this.#latestStart(other), nowMs)
    return {
      aheadInTime: ahead.inTime,
      aheadLate: ahead.late,
      completionsPerSecond: this.#completionsPerSecond(),
      arrivalsPerSecond: this.#arrivals.perSecond(nowMs),
    }
  }

  #completionsPerSecond(): number {
    return (this.#totalSlots * 1000) / this.#meanHoldMs()
  }

  #meanHoldMs(): number {
    return this.#holdMs.value ?? this.#firstHoldMs
  }

  /** Requests in flight per lent slot, so that the slot does not idle for the round-trip time. */
  #wayFactor(): number {
    const remoteMs = this.#remoteHoldMs.value
    if (remoteMs === undefined) return 1
    return Math.min(MAX_WAY_FACTOR, Math.max(1, (remoteMs * WAY_USE) / this.#meanHoldMs()))
  }

  #neededSlots(nowMs: number): number {
    return (this.#arrivals.perSecond(nowMs) * this.#meanHoldMs()) / 1000
  }

  /**
   * Refuses queued requests that can no longer meet their deadline, and late ones that
   * have used up the wait that a late request may take.
   */
  #refuseHopeless(nowMs: number): void {
    for (const waiter of this.#line.all()) {
      const need = this.#needOf(waiter, nowMs)
      const isLate = need.targetInMs < need.serviceMs
      const waitedMs = nowMs - waiter.arrivedAtMs
      const isHopeless = isLate && waitedMs > (waitedMs + need.deadlineInMs) * LATE_WAIT_SHARE
      if (!isHopeless && need.deadlineInMs > need.serviceMs) continue
      this.#leaveLine(waiter.key)
      const returnMs = isHopeless ? retryAfterMs(need.serviceMs, need, this.#random()) : 0
      waiter.refused('no slot before the deadline', returnMs)
    }
  }
}

/** Formats the inputs of a refusal for the log. */
function describe(queue: QueueState, waitMs: number): string {
  const { aheadInTime, aheadLate, completionsPerSecond, arrivalsPerSecond } = queue
  return (
    `${aheadInTime}+${aheadLate} ahead, ${Math.round(completionsPerSecond)}/s of ` +
    `${Math.round(arrivalsPerSecond)}/s, wait ${Math.round(waitMs)} ms`
  )
}
