/**
 * Simulation of one service in several regions: the coordinators of the product, with simulated
 * backend servers, callers that come back once after a refusal, links between regions, and time.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { BackendServerRegistry } from '../src/entry/backendServerRegistry.js'
import { CallerTimeouts } from '../src/entry/callerTimeouts.js'
import { Coordination } from '../src/entry/coordination.js'
import type { InstanceRecord } from '../src/entry/instanceRecord.js'
import { InstanceTable, LinkState } from '../src/entry/instanceTable.js'
import type { PeerMessage } from '../src/entry/peerMessages.js'
import { PeerMessageKind, SlotOutcome } from '../src/entry/peerMessages.js'
import { EventQueue } from './eventQueue.js'
import type { ServerModel } from './simulatedServers.js'
import { SimulatedServers } from './simulatedServers.js'

export interface SimulatedRegion {
  readonly name: string
  readonly servers: number
  /** Requests per second as a function of the time in seconds. */
  readonly rateAt: (second: number) => number
}

export interface RegionSimulationOptions {
  readonly seed: number
  readonly regions: readonly SimulatedRegion[]
  readonly model: ServerModel
  readonly slots: number
  /** Number of objects of each region, requested with equal probability. */
  readonly objects: number
  /** One-way latency between regions. */
  readonly latencyMs: number
  readonly targetMs: number
  readonly deadlineMs: number
  readonly seconds: number
  /** Requests per second that a server states as its limit at a time; `undefined` for none. */
  readonly limitAt?: (serverId: string, second: number) => number | undefined
  /** Calls for a scheduling policy; the requests tell their callers' patience only then. */
  readonly hasTenants?: boolean
  /** Times before the traffic, in ms, at which an operator sends one request in each region. */
  readonly probesBeforeMs?: readonly number[]
}

/** Outcomes of the requests of one region's callers. */
export interface RegionResult {
  requests: number
  inTime: number
  late: number
  /** Callers that were not served in the end. */
  refused: number
  /** Refusals of callers that had come back. */
  refusedAgain: number
  /** Requests that ran in another region. */
  remote: number
}

export interface RegionSimulationResult {
  readonly regions: ReadonlyMap<string, RegionResult>
  readonly peakConcurrency: number
  /** Times in ms from the start of the traffic at which requests arrived, by server. */
  readonly arrivals: ReadonlyMap<string, readonly number[]>
  /** Fraction of the requests that ran without their object in the server's cache. */
  readonly missFraction: number
  /** Largest change of the share that runs remotely between windows of two seconds, by region. */
  readonly largestShift: ReadonlyMap<string, number>
}

const SERVICE = 'service'
const ROUTE = 'route'
/** Time before the first request in which coordinators exchange their assumed demand. */
const LEAD_MS = 4000
const TICK_MS = 25
/** Share of the remaining time for which callers follow Retry-After at most. */
const MAX_RETRY_AFTER_FRACTION = 1 / 3
const SHIFT_WINDOW_MS = 2000
/** Windows with fewer requests are left out; their share varies by chance. */
const MIN_WINDOW_REQUESTS = 60

interface RegionState {
  readonly region: SimulatedRegion
  readonly coordination: Coordination
  readonly callerTimeouts: CallerTimeouts
  readonly result: RegionResult
  /** Numbers of requests and of remote ones that ran, by window. */
  readonly windows: Map<number, { total: number; remote: number }>
}

/** A caller's request, which may be sent twice. */
interface SimulatedRequest {
  readonly object: string
  readonly firstSentAtMs: number
  readonly attempt: number
}

/** Runs the simulation to its end. */
export function simulateRegions(options: RegionSimulationOptions): RegionSimulationResult {
  return new RegionSimulation(options).run()
}

class RegionSimulation {
  readonly #options: RegionSimulationOptions
  readonly #queue = new EventQueue()
  readonly #random: () => number
  readonly #servers: SimulatedServers
  readonly #regionOfServer = new Map<string, string>()
  readonly #arrivals = new Map<string, number[]>()
  readonly #states = new Map<string, RegionState>()
  #askCount = 0
  #runCount = 0

  constructor(options: RegionSimulationOptions) {
    this.#options = options
    const generator = xoroshiro128plus(options.seed)
    this.#random = () => (generator.next() >>> 0) / 2 ** 32
    this.#servers = new SimulatedServers(options.model, this.#random)
    const registry = this.#createRegistry()
    for (const region of options.regions) {
      this.#states.set(region.name, {
        region,
        coordination: this.#createCoordination(region.name, registry),
        callerTimeouts: new CallerTimeouts(),
        result: { requests: 0, inTime: 0, late: 0, refused: 0, refusedAgain: 0, remote: 0 },
        windows: new Map(),
      })
    }
  }

  run(): RegionSimulationResult {
    const { seconds, deadlineMs } = this.#options
    const endMs = LEAD_MS + seconds * 1000
    for (const state of this.#states.values()) {
      for (const beforeMs of this.#options.probesBeforeMs ?? []) {
        this.#scheduleRequest(state, LEAD_MS - beforeMs)
      }
      for (let atMs = TICK_MS; atMs < endMs + deadlineMs; atMs += TICK_MS) {
        this.#queue.schedule(atMs, () => {
          state.coordination.tick(this.#queue.nowMs)
        })
      }
      for (let atMs = LEAD_MS; atMs < endMs;) {
        this.#scheduleRequest(state, atMs)
        const rate = state.region.rateAt((atMs - LEAD_MS) / 1000)
        atMs += -Math.log(1 - this.#random()) * (1000 / rate)
      }
    }
    this.#queue.run()
    const states = [...this.#states]
    return {
      regions: new Map(states.map(([name, { result }]) => [name, result])),
      peakConcurrency: this.#servers.peakConcurrency,
      arrivals: this.#arrivals,
      missFraction: this.#servers.cacheMisses / Math.max(1, this.#runCount),
      largestShift: new Map(states.map(([name, { windows }]) => [name, largestShift(windows)])),
    }
  }

  #createRegistry(): BackendServerRegistry {
    const registry = new BackendServerRegistry()
    for (const { name: region, servers } of this.#options.regions) {
      for (let index = 0; index < servers; index += 1) {
        const id = `${region}-${index}`
        this.#regionOfServer.set(id, region)
        const server = {
          id,
          service: SERVICE,
          address: '127.0.0.1:1',
          zone: region,
          slots: this.#options.slots,
          isDraining: false,
          startedAtMs: 0,
          coldForMs: 0,
        }
        registry.apply({ id, revision: 1, server }, 0)
      }
    }
    return registry
  }

  #createCoordination(region: string, registry: BackendServerRegistry): Coordination {
    const table = new InstanceTable(instanceOf(region))
    for (const { name } of this.#options.regions) {
      if (name === region) continue
      table.register(instanceOf(name), 0)
      table.setLinkState(name, LinkState.Up, 0)
    }
    return new Coordination({
      table,
      registry,
      peers: {
        isUp: () => true,
        send: (peer, message) => {
          this.#queue.schedule(this.#queue.nowMs + this.#options.latencyMs, () => {
            this.#deliver(peer, message)
          })
          return true
        },
      },
      random: this.#random,
      regionOfZone: (zone) => zone,
      serviceSettings: () => undefined,
      serviceNames: () => [SERVICE],
      targetLatencyMs: () => this.#options.targetMs,
      hasTenants: () => this.#options.hasTenants === true,
    })
  }

  #deliver(region: string, message: PeerMessage): void {
    const coordination = this.#states.get(region)?.coordination
    const { nowMs } = this.#queue
    if (message.kind === PeerMessageKind.Demand) coordination?.handleDemand(message, nowMs)
    if (message.kind === PeerMessageKind.LendSlots) coordination?.handleLentSlots(message, nowMs)
    if (message.kind === PeerMessageKind.StatedLimits) {
      coordination?.handleStatedLimits(message, nowMs)
    }
  }

  #scheduleRequest(state: RegionState, atMs: number): void {
    const object = `${state.region.name}-${Math.floor(this.#random() * this.#options.objects)}`
    this.#queue.schedule(atMs, () => {
      state.result.requests += 1
      this.#send(state, { object, firstSentAtMs: atMs, attempt: 1 })
    })
  }

  #send(state: RegionState, request: SimulatedRequest): void {
    const { targetMs, deadlineMs } = this.#options
    const { nowMs } = this.#queue
    this.#askCount += 1
    const askId = this.#askCount
    const deadlineInMs = request.firstSentAtMs + deadlineMs - nowMs
    const waitedMs = state.callerTimeouts.waitedMs(ROUTE, deadlineInMs)
    const targetInMs = targetMs - waitedMs
    const key = `${state.region.name}/${askId}`
    state.coordination.requestSlot(
      {
        key,
        zone: state.region.name,
        arrivedAtMs: nowMs,
        targetAtMs: nowMs + targetInMs,
        deadlineAtMs: nowMs + deadlineInMs,
        request: {
          askId,
          service: SERVICE,
          route: ROUTE,
          object: request.object,
          priority: 1,
          targetInMs,
          deadlineInMs,
          isReturn: waitedMs > 0,
          excludedServers: [],
          regions: [],
          ...(this.#options.hasTenants === true
            ? { callerLeftMs: deadlineInMs, isRepeatable: true }
            : {}),
        },
        onGranted: (serverId) => {
          this.#runAt(state, request, key, serverId)
        },
        onRefused: (_reason, retryAfterMs) => {
          this.#refuse(state, request, retryAfterMs)
        },
      },
      nowMs,
    )
  }

  #runAt(state: RegionState, request: SimulatedRequest, key: string, serverId: string): void {
    const { nowMs } = this.#queue
    const { targetMs, deadlineMs, latencyMs } = this.#options
    const isRemote = this.#regionOfServer.get(serverId) !== state.region.name
    const oneWayMs = isRemote ? latencyMs : 0
    this.#runCount += 1
    if (isRemote) state.result.remote += 1
    countInWindow(state, isRemote, nowMs)
    this.#queue.schedule(nowMs + oneWayMs, () => {
      const durationMs = this.#servers.start(serverId, request.object)
      const arrivals = this.#arrivals.get(serverId) ?? []
      this.#arrivals.set(serverId, arrivals)
      arrivals.push(this.#queue.nowMs - LEAD_MS)
      this.#queue.schedule(this.#queue.nowMs + durationMs, () => {
        this.#servers.end(serverId)
        const second = (this.#queue.nowMs - LEAD_MS) / 1000
        const limitPerSecond = this.#options.limitAt?.(serverId, second)
        const stated = limitPerSecond === undefined ? undefined : { limitPerSecond }
        this.#queue.schedule(this.#queue.nowMs + oneWayMs, () => {
          const endMs = this.#queue.nowMs
          const totalMs = endMs - request.firstSentAtMs
          if (totalMs <= targetMs) state.result.inTime += 1
          else if (totalMs <= deadlineMs) state.result.late += 1
          else state.result.refused += 1
          const use = SlotOutcome.Completed
          const heldMs = durationMs + 2 * oneWayMs
          state.coordination.releaseSlot(SERVICE, key, use, heldMs, null, endMs, stated)
        })
      })
    })
  }

  #refuse(state: RegionState, request: SimulatedRequest, retryAfterMs: number): void {
    const { nowMs } = this.#queue
    if (request.attempt > 1) {
      state.result.refused += 1
      state.result.refusedAgain += 1
      return
    }
    const leftMs = request.firstSentAtMs + this.#options.deadlineMs - nowMs
    const waitMs = Math.min(Math.max(1, retryAfterMs), leftMs * MAX_RETRY_AFTER_FRACTION)
    this.#queue.schedule(nowMs + waitMs, () => {
      this.#send(state, { ...request, attempt: request.attempt + 1 })
    })
  }
}

function instanceOf(region: string): InstanceRecord {
  return {
    name: region,
    incarnation: '1',
    region,
    zone: region,
    callerAddress: '127.0.0.1:1',
    peerAddress: '127.0.0.1:2',
    capacity: 1,
  }
}

function countInWindow({ windows }: RegionState, isRemote: boolean, nowMs: number): void {
  const index = Math.floor(nowMs / SHIFT_WINDOW_MS)
  const window = windows.get(index) ?? { total: 0, remote: 0 }
  window.total += 1
  if (isRemote) window.remote += 1
  windows.set(index, window)
}

function largestShift(windows: ReadonlyMap<number, { total: number; remote: number }>): number {
  let largest = 0
  for (const [index, { total, remote }] of windows) {
    const previous = windows.get(index - 1)
    if (previous === undefined || Math.min(total, previous.total) < MIN_WINDOW_REQUESTS) continue
    largest = Math.max(largest, Math.abs(remote / total - previous.remote / previous.total))
  }
  return largest
}
