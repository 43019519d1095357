/**
 * Discrete-event simulation of gateways with the production dispatcher, but a simulated clock,
 * network and workers. Its results do not depend on the load of the machine, but serve exploration
 * only; decisions rest on the bench with real processes.
 */
import { Ok } from '../src/common/results.js'
import type { RpcClient, RpcMethod, RpcMethodRegistry } from '../src/common/rpc.js'
import { LeavingRegistry } from '../src/drain/index.js'
import type { DispatchOptions, SlotGrant } from '../src/slots/index.js'
import { SlotDispatcher, SlotUse } from '../src/slots/index.js'
import {
  benchConfiguration,
  benchMembership,
  benchRequest,
  benchWorker,
} from './dispatchFixtures.js'
import type { Arrival, Workload } from './dispatchWorkload.js'
import {
  WARM_UP_MS,
  generateArrivals,
  finishTime,
  chooseSlowWorkers,
  createUniformRandom,
} from './dispatchWorkload.js'

interface SimulationEvent {
  readonly atMs: number
  readonly sequence: number
  readonly run: () => void
}

/** Binary heap ordered by time; events at the same time keep the order of insertion. */
class EventQueue {
  readonly #heap: SimulationEvent[] = []
  #lastSequence = 0

  add(atMs: number, run: () => void): void {
    const heap = this.#heap
    let child = heap.push({ atMs, sequence: (this.#lastSequence += 1), run }) - 1
    while (child > 0) {
      const parent = (child - 1) >> 1
      if (!this.#swapIfBefore(child, parent)) break
      child = parent
    }
  }

  take(): SimulationEvent | undefined {
    const heap = this.#heap
    const first = heap[0]
    const last = heap.pop()
    if (first === undefined || last === undefined || heap.length === 0) return first
    heap[0] = last
    for (let parent = 0; ;) {
      const left = 2 * parent + 1
      const child = this.#isBefore(left + 1, left) ? left + 1 : left
      if (!this.#swapIfBefore(child, parent)) return first
      parent = child
    }
  }

  #isBefore(left: number, right: number): boolean {
    const leftEvent = this.#heap[left]
    const rightEvent = this.#heap[right]
    if (leftEvent === undefined || rightEvent === undefined) return false
    return (
      leftEvent.atMs < rightEvent.atMs ||
      (leftEvent.atMs === rightEvent.atMs && leftEvent.sequence < rightEvent.sequence)
    )
  }

  #swapIfBefore(child: number, parent: number): boolean {
    const lower = this.#heap[child]
    const upper = this.#heap[parent]
    if (lower === undefined || upper === undefined || !this.#isBefore(child, parent)) return false
    this.#heap[child] = upper
    this.#heap[parent] = lower
    return true
  }
}

interface Attempt {
  readonly grant: SlotGrant
  readonly sentMs: number
  readonly slot: { readonly freeAtMs: number[]; readonly index: number }
  readonly endMs: number
}

export interface SimulationResult {
  /** Latencies of served short requests after the warm-up, in milliseconds. */
  readonly latencies: readonly number[]
  readonly refused: number
  readonly beyondSlots: number
  readonly callsPerRequest: number
  readonly hedgedShare: number
}

/** Simulates a workload; `callMs` is the one-way latency of a call between gateways. */
export async function runSimulation(
  workload: Workload,
  options: Partial<DispatchOptions>,
  callMs: number,
): Promise<SimulationResult> {
  const simulation = new Simulation(workload, options, callMs)
  return simulation.run()
}

class Simulation {
  readonly #workload: Workload
  readonly #callMs: number
  readonly #events = new EventQueue()
  readonly #slowWorkers: readonly number[]
  readonly #gateways: SlotDispatcher[] = []
  readonly #methodByAddress = new Map<string, RpcMethod>()
  readonly #slotFreeAtMs: number[][]
  readonly #latencies: number[] = []
  #nowMs = 0
  #openRequests = 0
  #refused = 0
  #beyondSlots = 0
  #hedged = 0
  #requests = 0

  constructor(workload: Workload, options: Partial<DispatchOptions>, callMs: number) {
    this.#workload = workload
    this.#callMs = callMs
    this.#slowWorkers = chooseSlowWorkers(workload)
    this.#slotFreeAtMs = workload.slotsPerWorker.map((slots) => new Array<number>(slots).fill(0))
    const workers = workload.slotsPerWorker.map((slots, index) => benchWorker(index, slots, 0))
    const ports = Array.from({ length: workload.gateways }, (_, index) => index)
    for (const index of ports) {
      const gateway = new SlotDispatcher(
        benchConfiguration(workers),
        benchMembership(ports, index),
        new LeavingRegistry(),
        this.#createRpcCaller(),
        {
          ...options,
          clock: () => this.#nowMs,
          random: createUniformRandom(workload.seed * 31 + index),
          tickMs: 1_000_000,
          idleTickMs: 1_000_000,
        },
      )
      gateway.registerMethods(this.#createMethodRegistry(index))
      gateway.start()
      this.#gateways.push(gateway)
    }
  }

  async run(): Promise<SimulationResult> {
    this.#gateways.forEach((gateway, index) => {
      for (const arrival of generateArrivals(this.#workload, index)) {
        this.#openRequests += 1
        this.#requests += 1
        this.#events.add(arrival.atMs, () => void this.#handleArrival(gateway, arrival))
      }
      this.#scheduleTick(gateway, 5 * (index / this.#gateways.length))
    })
    for (let event = this.#events.take(); event !== undefined; event = this.#events.take()) {
      this.#nowMs = event.atMs
      event.run()
      // The message batcher sends at the end of this event-loop turn; its promises resolve in the next.
      await new Promise((resolve) => setImmediate(resolve))
      await new Promise((resolve) => setImmediate(resolve))
      if (this.#openRequests === 0) break
    }
    const calls = this.#gateways.reduce((sum, gateway) => sum + gateway.counters().calls, 0)
    for (const gateway of this.#gateways) gateway.stop()
    return {
      latencies: this.#latencies,
      refused: this.#refused,
      beyondSlots: this.#beyondSlots,
      callsPerRequest: calls / this.#requests,
      hedgedShare: this.#hedged / this.#requests,
    }
  }

  #scheduleTick(gateway: SlotDispatcher, atMs: number): void {
    this.#events.add(atMs, () => {
      gateway.tick(this.#nowMs)
      this.#scheduleTick(gateway, atMs + 5)
    })
  }

  async #handleArrival(gateway: SlotDispatcher, arrival: Arrival): Promise<void> {
    const request = benchRequest(arrival.atMs, new Set())
    const acquired = await gateway.acquire(request, this.#nowMs)
    if (acquired.err) {
      this.#refused += 1
      this.#openRequests -= 1
      return
    }
    const grant = acquired.val
    if (grant.reason === 'beyond slots') this.#beyondSlots += 1
    let isFinished = false
    const attempts: Attempt[] = []
    const finish = (winner: Attempt): void => {
      if (isFinished) return
      isFinished = true
      stopHedgeWatch()
      for (const attempt of attempts) this.#release(attempt, attempt === winner)
      this.#openRequests -= 1
      const isCounted = !arrival.isLong && arrival.atMs >= WARM_UP_MS
      if (isCounted) this.#latencies.push(this.#nowMs - arrival.atMs)
    }
    this.#startAttempt(grant, arrival, attempts, finish)
    const stopHedgeWatch = gateway.watchForHedge(request, grant, this.#nowMs, (hedge) => {
      this.#hedged += 1
      this.#startAttempt(hedge, arrival, attempts, finish)
      this.#events.add(this.#nowMs + gateway.hedgeLimitMs(request), () => {
        const attempt = attempts[1]
        if (isFinished || attempt === undefined) return
        attempts.pop()
        this.#release(attempt, false)
      })
    })
  }

  #release({ grant, sentMs, slot, endMs }: Attempt, isWinner: boolean): void {
    const use = isWinner ? SlotUse.Completed : SlotUse.Cancelled
    if (!isWinner && slot.freeAtMs[slot.index] === endMs) slot.freeAtMs[slot.index] = this.#nowMs
    grant.release(use, this.#nowMs - sentMs, this.#nowMs)
  }

  /** Assigns the request to the first slot to become free, like a FIFO queue at the worker. */
  #startAttempt(
    grant: SlotGrant,
    arrival: Arrival,
    attempts: Attempt[],
    finish: (attempt: Attempt) => void,
  ): void {
    const worker = Number(grant.workerId.replace('worker-', ''))
    const freeAtMs = this.#slotFreeAtMs[worker]
    if (freeAtMs === undefined) throw new Error(`unknown worker ${worker}`)
    const index = freeAtMs.indexOf(Math.min(...freeAtMs))
    const startMs = Math.max(this.#nowMs, freeAtMs[index] ?? 0)
    const endMs = finishTime(this.#slowWorkers, worker, startMs, arrival.workMs)
    freeAtMs[index] = endMs
    const attempt = { grant, sentMs: this.#nowMs, slot: { freeAtMs, index }, endMs }
    attempts.push(attempt)
    this.#events.add(endMs, () => {
      if (attempts.includes(attempt)) finish(attempt)
    })
  }

  #createMethodRegistry(index: number): RpcMethodRegistry {
    return {
      addMethod: (_name, _schema, method) => {
        this.#methodByAddress.set(`127.0.0.1:${index}`, method)
      },
    }
  }

  #createRpcCaller(): RpcClient {
    return {
      call: (address, _method, params) =>
        new Promise((resolve) => {
          this.#events.add(this.#nowMs + this.#callMs, () => {
            const method = this.#methodByAddress.get(address)
            if (method === undefined) throw new Error(`no gateway at address ${address}`)
            const context = { signal: new AbortController().signal }
            void method(params as never, context).then((answer) => {
              this.#events.add(this.#nowMs + this.#callMs, () => {
                resolve(Ok(answer))
              })
            })
          })
        }),
    }
  }
}
