/** Chooses the server of a request: compares servers of this region and of others by their cost. */
import { combineHashes, hashText } from '../common/hashing.js'
import type { SchedulingPolicy } from '../scheduling/schedulingPolicy.js'
import type { ServerOption } from '../scheduling/serverCost.js'
import type { Waiter } from '../scheduling/waiter.js'
import type { DurationEstimates } from './durationEstimates.js'
import type { RemoteShare } from './remoteShare.js'
import type { ServerIndex } from './serverIndex.js'
import type { ServerState } from './serverState.js'

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

export interface ServerSelectionDependencies {
  readonly region: string
  readonly servers: ServerIndex
  readonly estimates: DurationEstimates
  readonly remoteShare: RemoteShare
  readonly policy: () => SchedulingPolicy
  /** Number of queued requests that wait for a server. */
  readonly waiterCountOf: (serverId: string) => number
  readonly meanHoldTimeMs: () => number
  readonly usableSlots: () => number
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
    const mustRunRemotely = !isLocalAllowed || this.#dependencies.remoteShare.mustRunRemotely(nowMs)
    const mayRunRemotely = mustRunRemotely || this.#dependencies.remoteShare.mayRunRemotely(nowMs)
    const { object } = waiter.request
    const hash = object === '' ? 0 : hashText(object)
    const select = (isLocal: boolean): ServerChoice | undefined => {
      const servers = isComplete
        ? this.#dependencies.servers.all()
        : this.#dependencies.servers.candidates(object, hash, isLocal, nowMs)
      return this.#cheapestServer(waiter, servers, isLocal, hash, nowMs)
    }
    const remote = mayRunRemotely ? select(false) : undefined
    if (mustRunRemotely && remote !== undefined) return remote.state
    const local = isLocalAllowed ? select(true) : undefined
    if (local === undefined || remote === undefined) return (local ?? remote)?.state
    return remote.costMs < local.costMs ? remote.state : local.state
  }

  #cheapestServer(
    waiter: Waiter,
    servers: Iterable<ServerState>,
    isLocal: boolean,
    objectHash: number,
    nowMs: number,
  ): ServerChoice | undefined {
    let best: ServerState | undefined
    let bestMs = Number.POSITIVE_INFINITY
    const { route } = waiter.request
    const policy = this.#dependencies.policy()
    const slotTimeWeight = this.#slotTimeWeight(waiter)
    const instance = instanceOf(waiter.key)
    let durations: UsualDurations | undefined
    for (const state of servers) {
      const { id, region, slots } = state.server
      if (
        (region === this.#dependencies.region) !== isLocal ||
        slots <= 0 ||
        state.isSuspended(nowMs)
      )
        continue
      if (state.turnedAwayUntilMs(instance, nowMs) > 0) continue
      if (waiter.request.excludedServers.includes(id) || !isAllowed(waiter, region)) continue
      if (durations?.region !== region) durations = this.#usualDurations(route, region)
      const option = this.#optionOf(waiter, objectHash, slotTimeWeight, state, durations, nowMs)
      const costMs = policy.costMs(waiter, option, nowMs)
      if (costMs === Number.POSITIVE_INFINITY) this.#isInfeasible = true
      if (costMs < bestMs) {
        best = state
        bestMs = costMs
      }
    }
    return best === undefined ? undefined : { state: best, costMs: bestMs }
  }

  #usualDurations(route: string, region: string): UsualDurations {
    return {
      region,
      cachedMs: this.#dependencies.estimates.expectedMs(route, region, true),
      uncachedMs: this.#dependencies.estimates.expectedMs(route, region, false),
    }
  }

  #optionOf(
    waiter: Waiter,
    objectHash: number,
    slotTimeWeight: number,
    state: ServerState,
    durations: UsualDurations,
    nowMs: number,
  ): ServerOption {
    const { object } = waiter.request
    const { id, zone, slots } = state.server
    const waiterCount = this.#dependencies.waiterCountOf(id)
    return {
      usualMs: state.hasCached(object) ? durations.cachedMs : durations.uncachedMs,
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
