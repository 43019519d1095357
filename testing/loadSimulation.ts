/** Simulation of a service coordinator under load, with simulated backend servers and time. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { SlotOutcome } from '../src/entry/peerMessages.js'
import type { CoordinatedServer } from '../src/entry/serverState.js'
import { ServiceCoordinator } from '../src/entry/serviceCoordinator.js'

/** Load and servers of a simulation. */
export interface LoadOptions {
  readonly seed: number
  readonly servers: number
  readonly slots: number
  /** Number of objects, requested with equal probability. */
  readonly objects: number
  /** Object cache size of a server. */
  readonly cacheSize: number
  readonly cachedMs: number
  readonly uncachedMs: number
  readonly targetMs: number
  readonly deadlineMs: number
  readonly seconds: number
  /** Requests per second as a function of the time in seconds. */
  readonly rateAt: (second: number) => number
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
}

interface ScheduledEvent {
  readonly atMs: number
  readonly run: () => void
}

const REGION = 'here'
const STRAGGLER_FRACTION = 0.03
const STRAGGLER_FACTOR = 7
const TICK_MS = 25

/** Runs the simulation to its end. */
export function simulateLoad(options: LoadOptions): LoadResult {
  const generator = xoroshiro128plus(options.seed)
  const random = (): number => (generator.next() >>> 0) / 2 ** 32
  const queue: ScheduledEvent[] = []
  const schedule = (atMs: number, run: () => void): void => {
    let index = queue.length
    while (index > 0 && (queue[index - 1]?.atMs ?? 0) > atMs) index -= 1
    queue.splice(index, 0, { atMs, run })
  }
  const coordinator = new ServiceCoordinator('service', REGION, random, 0)
  coordinator.setTargetLatency('route', options.targetMs)
  const servers = Array.from({ length: options.servers }, (_, index): CoordinatedServer => ({
    id: `server-${index}`,
    region: REGION,
    zone: 'zone',
    slots: options.slots,
    coldUntilMs: Number.NEGATIVE_INFINITY,
    coldRequestsPerSecond: 10,
  }))
  coordinator.updateServers(servers, (id) => servers.find((server) => server.id === id), 0)
  const caches = new Map<string, string[]>(servers.map(({ id }) => [id, []]))
  const running = new Map<string, number>()
  const result = {
    requests: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    peakConcurrency: 0,
    cacheMisses: 0,
    longestRefusedWaitMs: 0,
  }

  const run = (
    key: string,
    serverId: string,
    object: string,
    arrivedAtMs: number,
    nowMs: number,
  ) => {
    const cache = caches.get(serverId) ?? []
    const isCached = cache.includes(object)
    caches.set(
      serverId,
      [...cache.filter((other) => other !== object), object].slice(-options.cacheSize),
    )
    if (!isCached) result.cacheMisses += 1
    const count = (running.get(serverId) ?? 0) + 1
    running.set(serverId, count)
    result.peakConcurrency = Math.max(result.peakConcurrency, count)
    const factor = random() < STRAGGLER_FRACTION ? STRAGGLER_FACTOR : 0.85 + 0.3 * random()
    const durationMs = (isCached ? options.cachedMs : options.uncachedMs) * factor
    schedule(nowMs + durationMs, () => {
      const endMs = nowMs + durationMs
      running.set(serverId, (running.get(serverId) ?? 1) - 1)
      if (endMs - arrivedAtMs <= options.targetMs) result.inTime += 1
      else result.late += 1
      coordinator.releaseSlot(key, SlotOutcome.Completed, durationMs, null, endMs)
    })
  }
  const arrive = (nowMs: number): void => {
    result.requests += 1
    const askId = result.requests
    const key = `instance/${askId}`
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
          run(key, serverId, object, nowMs, currentMs)
        },
        onRefused: () => {
          result.refused += 1
          result.longestRefusedWaitMs = Math.max(result.longestRefusedWaitMs, currentMs - nowMs)
        },
      },
      nowMs,
    )
  }
  const endMs = options.seconds * 1000
  let currentMs = 0
  for (let atMs = 0; atMs < endMs;) {
    const arrivedAtMs = atMs
    schedule(arrivedAtMs, () => {
      arrive(arrivedAtMs)
    })
    atMs += -Math.log(1 - random()) * (1000 / options.rateAt(atMs / 1000))
  }
  for (let atMs = TICK_MS; atMs < endMs + options.deadlineMs; atMs += TICK_MS) {
    const tickAtMs = atMs
    schedule(tickAtMs, () => {
      coordinator.tick(tickAtMs)
    })
  }
  for (let event = queue.shift(); event !== undefined; event = queue.shift()) {
    currentMs = event.atMs
    event.run()
  }
  return result
}
