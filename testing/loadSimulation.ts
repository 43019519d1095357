/** Simulation of a service coordinator under load, with simulated backend servers and time. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { SlotOutcome } from '../src/entry/peerMessages.js'
import type { CoordinatedServer } from '../src/entry/serverState.js'
import { ServiceCoordinator } from '../src/entry/serviceCoordinator.js'
import { EventQueue } from './eventQueue.js'
import type { ServerModel } from './simulatedServers.js'
import { SimulatedServers } from './simulatedServers.js'

/** Load and servers of a simulation. */
export interface LoadOptions extends ServerModel {
  readonly seed: number
  readonly servers: number
  readonly slots: number
  /** Number of objects, requested with equal probability. */
  readonly objects: number
  readonly targetMs: number
  readonly deadlineMs: number
  readonly seconds: number
  /** Requests per second as a function of the time in seconds. */
  readonly rateAt: (second: number) => number
  /** Instances that send the requests in turn, each on its own connections; one if left out. */
  readonly instances?: number
  /** Time for which instances reuse a connection. */
  readonly reuseMs?: number
  /** Whether they state it to the coordinator. */
  readonly statesReuse?: boolean
}

/** Outcomes of the requests. */
export interface LoadResult {
  readonly requests: number
  readonly inTime: number
  readonly late: number
  readonly refused: number
  /** Peak number of concurrent requests at one server. */
  readonly peakConcurrency: number
  /** Requests that ran at a server without their object in its cache. */
  readonly cacheMisses: number
  /** Longest wait of a request that was refused in the end, in milliseconds. */
  readonly longestRefusedWaitMs: number
  /** Connections that the instances opened. */
  readonly openedConnections: number
  /** Servers in the order of the grants. */
  readonly grants: readonly string[]
}

const REGION = 'here'
const TICK_MS = 25

/** Runs the simulation to its end. */
export function simulateLoad(options: LoadOptions): LoadResult {
  const generator = xoroshiro128plus(options.seed)
  const random = (): number => (generator.next() >>> 0) / 2 ** 32
  const queue = new EventQueue()
  const simulated = new SimulatedServers(options, random)
  const coordinator = new ServiceCoordinator('service', REGION, random, 0)
  coordinator.setTargetLatency('route', options.targetMs)
  const servers = Array.from({ length: options.servers }, (_, index): CoordinatedServer => ({
    id: `server-${index}`,
    region: REGION,
    zone: 'zone',
    slots: options.slots,
    coldUntilMs: Number.NEGATIVE_INFINITY,
    coldRequestsPerSecond: 10,
    startedAtMs: 0,
  }))
  coordinator.updateServers(servers, (id) => servers.find((server) => server.id === id), 0)
  const result = {
    requests: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    longestRefusedWaitMs: 0,
    openedConnections: 0,
  }
  const { instances = 1, reuseMs = 0, statesReuse = false } = options
  const grants: string[] = []
  /** Times until which kept connections may be reused, by instance and server. */
  const kept = new Map<string, number[]>()

  const run = (
    key: string,
    serverId: string,
    object: string,
    arrivedAtMs: number,
    nowMs: number,
  ) => {
    const durationMs = simulated.start(serverId, object)
    grants.push(serverId)
    const pair = `${key.slice(0, key.indexOf('/'))}>${serverId}`
    const keptUntilMs = kept.get(pair)?.pop() ?? 0
    if (keptUntilMs <= nowMs) {
      result.openedConnections += 1
      kept.delete(pair)
    }
    queue.schedule(nowMs + durationMs, () => {
      const endMs = queue.nowMs
      simulated.end(serverId)
      if (endMs - arrivedAtMs <= options.targetMs) result.inTime += 1
      else result.late += 1
      kept.set(pair, [...(kept.get(pair) ?? []), endMs + reuseMs])
      const connection = statesReuse ? { keptForMs: reuseMs } : undefined
      const completed = SlotOutcome.Completed
      coordinator.releaseSlot(key, completed, durationMs, null, endMs, undefined, connection)
    })
  }
  const arrive = (nowMs: number): void => {
    result.requests += 1
    const askId = result.requests
    const key = `instance-${askId % instances}/${askId}`
    const object = `object-${Math.floor(random() * options.objects)}`
    const targetAtMs = nowMs + options.targetMs
    const deadlineAtMs = nowMs + options.deadlineMs
    coordinator.requestSlot(
      {
        key,
        zone: 'zone',
        arrivedAtMs: nowMs,
        targetAtMs,
        deadlineAtMs,
        request: {
          askId,
          service: 'service',
          route: 'route',
          object,
          priority: 1,
          targetInMs: options.targetMs,
          deadlineInMs: options.deadlineMs,
          isReturn: false,
          excludedServers: [],
          regions: [],
        },
        onGranted: (serverId) => {
          run(key, serverId, object, nowMs, queue.nowMs)
        },
        onRefused: () => {
          result.refused += 1
          result.longestRefusedWaitMs = Math.max(result.longestRefusedWaitMs, queue.nowMs - nowMs)
        },
      },
      nowMs,
    )
  }
  const endMs = options.seconds * 1000
  for (let atMs = 0; atMs < endMs;) {
    const arrivedAtMs = atMs
    queue.schedule(arrivedAtMs, () => {
      arrive(arrivedAtMs)
    })
    atMs += -Math.log(1 - random()) * (1000 / options.rateAt(atMs / 1000))
  }
  for (let atMs = TICK_MS; atMs < endMs + options.deadlineMs; atMs += TICK_MS) {
    const tickAtMs = atMs
    queue.schedule(tickAtMs, () => {
      coordinator.tick(tickAtMs)
    })
  }
  queue.run()
  const { peakConcurrency, cacheMisses } = simulated
  return { ...result, peakConcurrency, cacheMisses, grants }
}
