/**
 * Simulation of a service coordinator under a load of several kinds of requests, with callers that
 * come back once after a refusal. The duration of each request is drawn with its arrival, so that an
 * ideal schedule can be computed for the same load.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { combineHashes, hashText } from '../src/common/hashing.js'
import { SlotOutcome } from '../src/entry/peerMessages.js'
import type { CoordinatedServer } from '../src/entry/serverState.js'
import { ServiceCoordinator } from '../src/entry/serviceCoordinator.js'
import { EventQueue } from './eventQueue.js'
import type { SimulatedWork } from './simulatedServers.js'
import { SimulatedServers, drawDurationFactor } from './simulatedServers.js'

/** A kind of request and its callers. */
export interface SimulatedKind {
  readonly route: string
  readonly priority: number
  readonly work: SimulatedWork
  /** Number of objects, requested with equal probability; 0: requests concern no object. */
  readonly objects: number
  readonly targetMs: number
  /** Time that callers wait in total. */
  readonly deadlineMs: number
  /** Time after which a single attempt is cut. */
  readonly timeoutMs: number
  /** Whether callers come back after an attempt that was cut. */
  readonly isRepeatable: boolean
  /** Requests per second as a function of the time in seconds. */
  readonly rateAt: (second: number) => number
}

export interface KindLoadOptions {
  readonly seed: number
  readonly servers: number
  readonly slots: number
  readonly cacheSize: number
  readonly seconds: number
  readonly kinds: readonly SimulatedKind[]
  /** Fraction of the requests that take seven times as long. */
  readonly stragglerFraction?: number
  /** Duration of work at a server relative to the usual one. */
  readonly paceOf?: (server: number, second: number) => number
  /** Whether a server rejects all requests as not run. */
  readonly isShedding?: (server: number, second: number) => boolean
  /** Configures the coordinator, for example its scheduling policy. */
  readonly prepare?: (coordinator: ServiceCoordinator) => void
}

/** A request of the load, with what an ideal schedule may know of it. */
export interface SimulatedArrival {
  readonly kind: SimulatedKind
  readonly arrivedAtMs: number
  readonly object: string
  /** Duration relative to the usual one. */
  readonly factor: number
  /** As `factor`, for a second run. */
  readonly factorOfRepetition: number
}

/** Outcomes of the requests of one kind. */
export interface KindResult {
  requests: number
  inTime: number
  late: number
  /** Refused, or cut at the timeout, at the last attempt. */
  unserved: number
  refusals: number
  /** Refusals of callers that had come back. */
  refusedAgain: number
  /** Refused callers that were told when to come back. */
  toldToReturn: number
  runs: number
  runsCut: number
  slotMs: number
  slotMsCut: number
  longestRefusedWaitMs: number
}

export interface KindLoadResult {
  readonly kinds: ReadonlyMap<string, KindResult>
  readonly arrivals: readonly SimulatedArrival[]
  /** Peak number of concurrent requests at one server. */
  readonly peakConcurrency: number
  /** Requests that ran at a server without their object in its cache. */
  readonly cacheMisses: number
  /** Hash of all decisions in their order. */
  readonly decisionsHash: number
  /** Times at which refused callers were told to return, in milliseconds. */
  readonly promisedAtMs: readonly number[]
}

const REGION = 'here'
const TICK_MS = 25
/** Share of the remaining time for which callers follow Retry-After at most. */
const MAX_RETRY_AFTER_FRACTION = 1 / 3
/** Mean pause before a second attempt without Retry-After. */
const DEFAULT_BACKOFF_MS = 200
const MAX_ATTEMPTS = 2
/** Servers that an attempt is sent to at most, when they reject it as not run. */
const MAX_SENDS = 3
/** Duration of a request that a server rejects. */
const REJECTION_MS = 2

interface Attempt {
  readonly arrival: SimulatedArrival
  readonly number: number
  readonly startedAtMs: number
  readonly deadlineAtMs: number
  readonly excludedServers: readonly string[]
}

/** Runs the simulation to its end. */
export function simulateKinds(options: KindLoadOptions): KindLoadResult {
  return new KindSimulation(options).run()
}

class KindSimulation {
  readonly #options: KindLoadOptions
  readonly #queue = new EventQueue()
  readonly #servers: SimulatedServers
  readonly #coordinator: ServiceCoordinator
  readonly #arrivals: SimulatedArrival[]
  readonly #results = new Map<string, KindResult>()
  readonly #promisedAtMs: number[] = []
  readonly #serverIndexes = new Map<string, number>()
  readonly #backoffRandom: () => number
  #decisionsHash = 0
  #askCount = 0

  constructor(options: KindLoadOptions) {
    this.#options = options
    const random = randomOf(options.seed)
    this.#arrivals = options.kinds
      .flatMap((kind) => drawArrivals(kind, options, random))
      .sort((left, right) => left.arrivedAtMs - right.arrivedAtMs)
    for (const { route } of options.kinds) this.#results.set(route, emptyResult())
    this.#backoffRandom = randomOf(options.seed + 1)
    const model = { cacheSize: options.cacheSize, cachedMs: 0, uncachedMs: 0 }
    this.#servers = new SimulatedServers(model, random)
    this.#coordinator = new ServiceCoordinator('service', REGION, randomOf(options.seed + 2), 0)
    options.prepare?.(this.#coordinator)
    for (const { route, targetMs } of options.kinds)
      this.#coordinator.setTargetLatency(route, targetMs)
    const servers = Array.from({ length: options.servers }, (_, index): CoordinatedServer => {
      const id = `server-${index}`
      this.#serverIndexes.set(id, index)
      return {
        id,
        region: REGION,
        zone: 'zone',
        slots: options.slots,
        coldUntilMs: Number.NEGATIVE_INFINITY,
        coldRequestsPerSecond: 10,
        startedAtMs: 0,
      }
    })
    this.#coordinator.updateServers(servers, (id) => servers.find((each) => each.id === id), 0)
  }

  run(): KindLoadResult {
    const { seconds, kinds } = this.#options
    for (const arrival of this.#arrivals) {
      this.#queue.schedule(arrival.arrivedAtMs, () => {
        this.#resultOf(arrival).requests += 1
        this.#attempt(arrival, 1)
      })
    }
    const endMs = seconds * 1000 + Math.max(...kinds.map(({ deadlineMs }) => deadlineMs))
    for (let atMs = TICK_MS; atMs < endMs; atMs += TICK_MS) {
      this.#queue.schedule(atMs, () => {
        this.#coordinator.tick(atMs)
      })
    }
    this.#queue.run()
    return {
      kinds: this.#results,
      arrivals: this.#arrivals,
      peakConcurrency: this.#servers.peakConcurrency,
      cacheMisses: this.#servers.cacheMisses,
      decisionsHash: this.#decisionsHash,
      promisedAtMs: this.#promisedAtMs,
    }
  }

  #attempt(arrival: SimulatedArrival, number: number): void {
    const { nowMs } = this.#queue
    const { kind } = arrival
    const patienceEndsAtMs = arrival.arrivedAtMs + kind.deadlineMs
    this.#request({
      arrival,
      number,
      startedAtMs: nowMs,
      deadlineAtMs: Math.min(patienceEndsAtMs, nowMs + kind.timeoutMs),
      excludedServers: [],
    })
  }

  #request(attempt: Attempt): void {
    const { arrival, deadlineAtMs, excludedServers } = attempt
    const { nowMs } = this.#queue
    const { route, priority, targetMs, deadlineMs, isRepeatable } = arrival.kind
    this.#askCount += 1
    const askId = this.#askCount
    const key = `instance/${askId}`
    const targetAtMs = arrival.arrivedAtMs + targetMs
    this.#coordinator.requestSlot(
      {
        key,
        zone: 'zone',
        arrivedAtMs: nowMs,
        targetAtMs,
        deadlineAtMs,
        request: {
          askId,
          service: 'service',
          route,
          object: arrival.object,
          priority,
          targetInMs: targetAtMs - nowMs,
          deadlineInMs: deadlineAtMs - nowMs,
          isReturn: attempt.number > 1,
          excludedServers,
          regions: [],
          callerLeftMs: arrival.arrivedAtMs + deadlineMs - nowMs,
          isRepeatable,
        },
        onGranted: (serverId) => {
          this.#recordDecision(`${key} ${serverId}`)
          this.#send(attempt, key, serverId)
        },
        onRefused: (_reason, retryAfterMs) => {
          this.#recordDecision(`${key} ${retryAfterMs}`)
          this.#refuse(attempt, retryAfterMs)
        },
      },
      nowMs,
    )
  }

  #send(attempt: Attempt, key: string, serverId: string): void {
    const { nowMs } = this.#queue
    const { arrival } = attempt
    const index = this.#serverIndexes.get(serverId) ?? 0
    const second = nowMs / 1000
    if (this.#options.isShedding?.(index, second) === true) {
      this.#queue.schedule(nowMs + REJECTION_MS, () => {
        this.#reject(attempt, key, serverId)
      })
      return
    }
    const result = this.#resultOf(arrival)
    const pace = this.#options.paceOf?.(index, second) ?? 1
    const drawn = attempt.number === 1 ? arrival.factor : arrival.factorOfRepetition
    const factor = drawn * pace
    const workMs = this.#servers.start(serverId, arrival.object, arrival.kind.work, factor)
    const leftMs = attempt.deadlineAtMs - nowMs
    const isCut = workMs > leftMs
    const heldMs = Math.min(workMs, leftMs)
    result.runs += 1
    result.slotMs += heldMs
    if (isCut) {
      result.runsCut += 1
      result.slotMsCut += heldMs
    }
    this.#queue.schedule(nowMs + heldMs, () => {
      const endMs = this.#queue.nowMs
      this.#servers.end(serverId)
      const use = isCut ? SlotOutcome.Failed : SlotOutcome.Completed
      this.#coordinator.releaseSlot(key, use, heldMs, null, endMs)
      if (isCut) this.#finishCut(attempt)
      else if (endMs - arrival.arrivedAtMs <= arrival.kind.targetMs) result.inTime += 1
      else result.late += 1
    })
  }

  #reject(attempt: Attempt, key: string, serverId: string): void {
    const { slots } = this.#options
    const report = { running: slots, waiting: 0, slots, pace: 1 }
    const { nowMs } = this.#queue
    this.#coordinator.releaseSlot(key, SlotOutcome.NotRun, REJECTION_MS, report, nowMs)
    const excludedServers = [...attempt.excludedServers, serverId]
    if (excludedServers.length < MAX_SENDS) this.#request({ ...attempt, excludedServers })
    else this.#refuse(attempt, 0)
  }

  #finishCut(attempt: Attempt): void {
    const { kind } = attempt.arrival
    if (kind.isRepeatable && attempt.number < MAX_ATTEMPTS) this.#comeBack(attempt, 0)
    else this.#resultOf(attempt.arrival).unserved += 1
  }

  #refuse(attempt: Attempt, retryAfterMs: number): void {
    const result = this.#resultOf(attempt.arrival)
    const { nowMs } = this.#queue
    const waitedMs = nowMs - attempt.startedAtMs
    result.refusals += 1
    result.longestRefusedWaitMs = Math.max(result.longestRefusedWaitMs, waitedMs)
    if (attempt.number >= MAX_ATTEMPTS) {
      result.unserved += 1
      result.refusedAgain += 1
      return
    }
    if (retryAfterMs > 0) {
      result.toldToReturn += 1
      this.#promisedAtMs.push(nowMs + retryAfterMs)
    }
    this.#comeBack(attempt, retryAfterMs)
  }

  #comeBack({ arrival, number }: Attempt, retryAfterMs: number): void {
    const { nowMs } = this.#queue
    const leftMs = arrival.arrivedAtMs + arrival.kind.deadlineMs - nowMs
    const backoffMs = DEFAULT_BACKOFF_MS * (0.5 + this.#backoffRandom())
    const desiredMs = retryAfterMs > 0 ? retryAfterMs : backoffMs
    const waitMs = Math.min(desiredMs, leftMs * MAX_RETRY_AFTER_FRACTION)
    if (waitMs <= 0) {
      this.#resultOf(arrival).unserved += 1
      return
    }
    this.#queue.schedule(nowMs + waitMs, () => {
      this.#attempt(arrival, number + 1)
    })
  }

  #resultOf({ kind }: SimulatedArrival): KindResult {
    return this.#results.get(kind.route) ?? emptyResult()
  }

  #recordDecision(decision: string): void {
    const text = `${this.#queue.nowMs.toFixed(3)} ${decision}`
    this.#decisionsHash = combineHashes(this.#decisionsHash, hashText(text))
  }
}

function emptyResult(): KindResult {
  return {
    requests: 0,
    inTime: 0,
    late: 0,
    unserved: 0,
    refusals: 0,
    refusedAgain: 0,
    toldToReturn: 0,
    runs: 0,
    runsCut: 0,
    slotMs: 0,
    slotMsCut: 0,
    longestRefusedWaitMs: 0,
  }
}

function randomOf(seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => (generator.next() >>> 0) / 2 ** 32
}

function drawArrivals(
  kind: SimulatedKind,
  { seconds, stragglerFraction }: KindLoadOptions,
  random: () => number,
): SimulatedArrival[] {
  const arrivals: SimulatedArrival[] = []
  const endMs = seconds * 1000
  for (let atMs = 0; atMs < endMs;) {
    const rate = kind.rateAt(atMs / 1000)
    // Without requests, time moves on to the next look at the rate.
    const pauseMs = rate <= 0 ? TICK_MS : -Math.log(1 - random()) * (1000 / rate)
    atMs += pauseMs
    if (rate <= 0 || atMs >= endMs) continue
    const object = kind.objects === 0 ? '' : `${kind.route}-${Math.floor(random() * kind.objects)}`
    const factor = drawDurationFactor(random, stragglerFraction)
    const factorOfRepetition = drawDurationFactor(random, stragglerFraction)
    arrivals.push({ kind, arrivedAtMs: atMs, object, factor, factorOfRepetition })
  }
  return arrivals
}
