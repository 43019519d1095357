/** Chooses the server of a request: compares servers of this region and of others by their cost. */
import { combineHashes, hashText } from '../common/hashing.js'
import { placementCostMs } from './objectPlacement.js'
import type { SchedulingPolicy } from '../scheduling/schedulingPolicy.js'
import type { ServerOption } from '../scheduling/serverCost.js'
import type { Waiter } from '../scheduling/waiter.js'
import type { DurationEstimates } from '../entry/durationEstimates.js'
import type { KeptConnections } from '../connections/keptConnections.js'
import type { RemoteShare } from '../entry/remoteShare.js'
import type { ServerIndex } from '../entry/serverIndex.js'
import type { ServerState } from '../entry/serverState.js'

/** Expected durations of a route in one region. */
interface UsualDurations {
  readonly region: string
  readonly cachedMs: number
  readonly uncachedMs: number
}

/** A server chosen for a request, and its expected time until completion. */
interface ServerChoice {
  readonly state: ServerState
  readonly costMs: number
}

/** What all servers are compared by for one request. */
interface Comparison {
  readonly waiter: Waiter
  readonly objectHash: number
  /** Whether a server has the object that takes as many requests as it has slots for. */
  readonly isHeld: boolean
  readonly slotTimeWeight: number
  /** Entry instance that sent the request. */
  readonly instance: string
  readonly nowMs: number
}

export interface ServerSelectionDependencies {
  readonly region: string
  readonly servers: ServerIndex
  readonly estimates: DurationEstimates
  readonly remoteShare: RemoteShare
  readonly keptConnections: KeptConnections<ServerState>
  readonly policy: () => SchedulingPolicy
  /** Number of queued requests that wait for a server. */
  readonly waiterCountOf: (serverId: string) => number
  readonly meanHoldTimeMs: () => number
  readonly usableSlots: () => number
  /** Number of servers that state a limit. */
  readonly limitedServers: () => number
}

/** Selection of servers for one coordinator. */
export class ServerSelection {
  readonly #dependencies: ServerSelectionDependencies
  #isInfeasible = false

  constructor(dependencies: ServerSelectionDependencies) {
    this.#dependencies = dependencies
  }

  /** Whether the latest selection found a server at which the request would not end in time. */
  get isInfeasible(): boolean {
    return this.#isInfeasible
  }

  /**
   * Returns the server with the earliest expected completion, which may be a full one; `undefined`
   * if no server may run the request, or none that would end it in time.
   */
  select(waiter: Waiter, nowMs: number): ServerState | undefined {
    this.#isInfeasible = false
    const compared = this.#selectFrom(waiter, nowMs, false)
    if (compared !== undefined || !this.isInfeasible) return compared
    // The servers that are compared at first are a part of a large service's.
    return this.#selectFrom(waiter, nowMs, true)
  }

  #selectFrom(waiter: Waiter, nowMs: number, isComplete: boolean): ServerState | undefined {
    const isLocalAllowed = isAllowed(waiter, this.#dependencies.region)
    const { object } = waiter.request
    const hash = object === '' ? 0 : hashText(object)
    const comparison: Comparison = {
      waiter,
      objectHash: hash,
      isHeld: this.#isHeld(object, nowMs),
      slotTimeWeight: this.#slotTimeWeight(waiter),
      instance: instanceOf(waiter.key),
      nowMs,
    }
    const mustRunRemotely = !isLocalAllowed || this.#mustRunRemotely(object, hash, nowMs)
    const mayRunRemotely = mustRunRemotely || this.#dependencies.remoteShare.mayRunRemotely(nowMs)
    const select = (isLocal: boolean): ServerChoice | undefined => {
      const servers = isComplete
        ? this.#dependencies.servers.all()
        : this.#candidates(comparison, isLocal)
      return this.#cheapestServer(comparison, servers, isLocal)
    }
    const remote = mayRunRemotely ? select(false) : undefined
    if (mustRunRemotely && remote !== undefined) return remote.state
    const local = isLocalAllowed ? select(true) : undefined
    if (local === undefined || remote === undefined) return (local ?? remote)?.state
    return remote.costMs < local.costMs ? remote.state : local.state
  }

  #candidates(
    { waiter, objectHash, instance, nowMs }: Comparison,
    isLocal: boolean,
  ): Iterable<ServerState> {
    const { servers, keptConnections } = this.#dependencies
    const connected = keptConnections.serversOf(instance, nowMs)
    return servers.candidates(waiter.request.object, objectHash, isLocal, nowMs, connected)
  }

  /** Objects don't decide beside servers with a limit, which are short of requests. */
  #mustRunRemotely(object: string, hash: number, nowMs: number): boolean {
    const { remoteShare, limitedServers } = this.#dependencies
    return object === '' || limitedServers() > 0
      ? remoteShare.mustRunRemotely(nowMs)
      : remoteShare.mustRunObjectRemotely(hash / 2 ** 32, nowMs)
  }

  #cheapestServer(
    comparison: Comparison,
    servers: Iterable<ServerState>,
    isLocal: boolean,
  ): ServerChoice | undefined {
    const { waiter, instance, nowMs } = comparison
    let best: ServerState | undefined
    let bestMs = Number.POSITIVE_INFINITY
    let durations: UsualDurations | undefined
    for (const state of servers) {
      const { id, region, slots } = state.server
      const isInScope = (region === this.#dependencies.region) === isLocal
      if (!isInScope || slots <= 0 || state.isSuspended(nowMs)) continue
      if (state.turnedAwayUntilMs(instance, nowMs) > 0) continue
      if (waiter.request.excludedServers.includes(id) || !isAllowed(waiter, region)) continue
      if (durations?.region !== region)
        durations = this.#usualDurations(waiter.request.route, region)
      const costMs = this.#costMs(comparison, state, durations)
      if (costMs === Number.POSITIVE_INFINITY) this.#isInfeasible = true
      if (costMs < bestMs) {
        best = state
        bestMs = costMs
      }
    }
    return best === undefined ? undefined : { state: best, costMs: bestMs }
  }

  /** Cost by the policy, and what follows from the object and the connections of the request. */
  #costMs(comparison: Comparison, state: ServerState, durations: UsualDurations): number {
    const { waiter, instance, isHeld, nowMs } = comparison
    const { policy, keptConnections } = this.#dependencies
    const option = this.#optionOf(comparison, state, durations)
    const workCostMs = policy().costMs(waiter, option, nowMs)
    // A server with a limit is short of requests rather than of slot time.
    if (state.limit !== undefined) return workCostMs
    const { cachedMs, uncachedMs } = durations
    const savingMs = keptConnections.savingMs(instance, state, cachedMs, nowMs)
    return placementCostMs(workCostMs - savingMs, {
      isHit: waiter.request.object === '' || option.isCached,
      gainMs: uncachedMs - cachedMs,
      fill: state.objectFill,
      isHeld,
      answerInMs: option.waitMs + option.usualMs * option.slowdown,
      targetInMs: waiter.targetAtMs - nowMs,
    })
  }

  /** Whether a server has the object that takes as many requests as it has slots for. */
  #isHeld(object: string, nowMs: number): boolean {
    for (const state of this.#dependencies.servers.holders.of(object)) {
      const isUsable = state.server.slots > 0 && !state.isSuspended(nowMs)
      if (isUsable && state.limit === undefined && state.hasCached(object)) return true
    }
    return false
  }

  #usualDurations(route: string, region: string): UsualDurations {
    return {
      region,
      cachedMs: this.#dependencies.estimates.expectedMs(route, region, true),
      uncachedMs: this.#dependencies.estimates.expectedMs(route, region, false),
    }
  }

  #optionOf(
    { waiter, objectHash, slotTimeWeight, nowMs }: Comparison,
    state: ServerState,
    durations: UsualDurations,
  ): ServerOption {
    const { object } = waiter.request
    const { id, zone, slots } = state.server
    const waiterCount = this.#dependencies.waiterCountOf(id)
    const isCached = state.hasCached(object)
    return {
      isCached,
      usualMs: isCached ? durations.cachedMs : durations.uncachedMs,
      slowdown: state.slowdownAt(nowMs),
      pace: state.paceAt(nowMs),
      idleMs: state.idleMs(nowMs),
      waitMs: state.waitMs(waiterCount + 1, this.#dependencies.meanHoldTimeMs(), nowMs),
      load: state.running.size / Math.max(1, slots),
      preference: object === '' ? 0 : combineHashes(objectHash, state.hash) / 2 ** 32,
      isInOtherZone: zone !== waiter.zone,
      slotTimeWeight,
    }
  }

  /**
   * Weight of slot time relative to the duration of the request itself: each extra
   * millisecond in a slot delays other queued requests.
   */
  #slotTimeWeight(waiter: Waiter): number {
    const others = this.#dependencies.policy().countDelayedBy(waiter)
    return 1 + others / Math.max(1, this.#dependencies.usableSlots())
  }
}

/** Whether a request may run in a region. */
export function isAllowed({ request: { regions } }: Waiter, region: string): boolean {
  return regions.length === 0 || regions.includes(region)
}

/** Instance that sent a request, from the key of the request. */
export function instanceOf(key: string): string {
  return key.slice(0, key.lastIndexOf('/'))
}
