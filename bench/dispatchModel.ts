/**
 * Discrete-event simulation of gateways with the production dispatcher, but a simulated clock,
 * network and workers. Its results do not depend on the load of the machine; they serve to explore
 * options only, and the bench with real processes confirms them.
 */
import { Ok } from '../src/common/results.js'
import type { RpcCaller, RpcMethod, RpcMethodRegistry } from '../src/common/rpc.js'
import { LeavingRegistry } from '../src/drain/index.js'
import type { DispatchOptions, SlotGrant } from '../src/slots/index.js'
import { SlotDispatcher, SlotUse } from '../src/slots/index.js'
import { benchConfiguration, benchMembership, benchRequest, benchWorker } from './dispatchParts.js'
import type { Arrival, Workload } from './dispatchWorkload.js'
import {
  WARM_UP_MS,
  arrivalsAt,
  finishTime,
  slowWorkers,
  uniformSource,
} from './dispatchWorkload.js'

interface Event {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

/** Binary heap ordered by time; events at the same time keep the order of insertion. */
class EventQueue {
  readonly #heap: Event[] = []
  #order = 0

  add(atMs: number, run: () => void): void {
    const heap = this.#heap
    let child = heap.push({ atMs, order: (this.#order += 1), run }) - 1
    while (child > 0) {
      const parent = (child - 1) >> 1
      if (!this.#swapIfBefore(child, parent)) break
      child = parent
    }
  }

  take(): Event | undefined {
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
    const one = this.#heap[left]
    const other = this.#heap[right]
    if (one === undefined || other === undefined) return false
    return one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order)
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
  readonly slot: { readonly free: number[]; readonly index: number }
  readonly endMs: number
}

export interface ModelResult {
  /** Latencies of served short requests after the warm-up, in milliseconds. */
  readonly latencies: readonly number[]
  readonly refused: number
  readonly beyond: number
  readonly callsPerRequest: number
  readonly hedgedShare: number
}

/** Simulates a workload; `callMs` is the one-way latency of a call between gateways. */
export async function runModel(
  workload: Workload,
  options: Partial<DispatchOptions>,
  callMs: number,
): Promise<ModelResult> {
  const model = new Model(workload, options, callMs)
  return model.run()
}

class Model {
  readonly #workload: Workload
  readonly #callMs: number
  readonly #events = new EventQueue()
  readonly #slow: readonly number[]
  readonly #gateways: SlotDispatcher[] = []
  readonly #methods = new Map<string, RpcMethod>()
  readonly #workerFreeMs: number[][]
  readonly #latencies: number[] = []
  #nowMs = 0
  #open = 0
  #refused = 0
  #beyond = 0
  #hedged = 0
  #requests = 0

  constructor(workload: Workload, options: Partial<DispatchOptions>, callMs: number) {
    this.#workload = workload
    this.#callMs = callMs
    this.#slow = slowWorkers(workload)
    this.#workerFreeMs = workload.slotsPerWorker.map((slots) => new Array<number>(slots).fill(0))
    const workers = workload.slotsPerWorker.map((slots, index) => benchWorker(index, slots, 0))
    const ports = Array.from({ length: workload.gateways }, (_, index) => index)
    for (const index of ports) {
      const gateway = new SlotDispatcher(
        benchConfiguration(workers),
        benchMembership(ports, index),
        new LeavingRegistry(),
        this.#rpc(),
        {
          ...options,
          clock: () => this.#nowMs,
          random: uniformSource(workload.seed * 31 + index),
          tickMs: 1_000_000,
          idleTickMs: 1_000_000,
        },
      )
      gateway.registerMethods(this.#registryOf(index))
      gateway.start()
      this.#gateways.push(gateway)
    }
  }

  async run(): Promise<ModelResult> {
    this.#gateways.forEach((gateway, index) => {
      for (const arrival of arrivalsAt(this.#workload, index)) {
        this.#open += 1
        this.#requests += 1
        this.#events.add(arrival.atMs, () => void this.#serve(gateway, arrival))
      }
      this.#tick(gateway, 5 * (index / this.#gateways.length))
    })
    for (let event = this.#events.take(); event !== undefined; event = this.#events.take()) {
      this.#nowMs = event.atMs
      event.run()
      // The mailbox sends at the end of this event-loop turn; its promises resolve in the next.
      await new Promise((resolve) => setImmediate(resolve))
      await new Promise((resolve) => setImmediate(resolve))
      if (this.#open === 0) break
    }
    const calls = this.#gateways.reduce((sum, gateway) => sum + gateway.counters().calls, 0)
    for (const gateway of this.#gateways) gateway.stop()
    return {
      latencies: this.#latencies,
      refused: this.#refused,
      beyond: this.#beyond,
      callsPerRequest: calls / this.#requests,
      hedgedShare: this.#hedged / this.#requests,
    }
  }

  #tick(gateway: SlotDispatcher, atMs: number): void {
    this.#events.add(atMs, () => {
      gateway.tick(this.#nowMs)
      this.#tick(gateway, atMs + 5)
    })
  }

  async #serve(gateway: SlotDispatcher, arrival: Arrival): Promise<void> {
    const request = benchRequest(arrival.atMs, new Set())
    const acquired = await gateway.acquire(request, this.#nowMs)
    if (acquired.err) {
      this.#refused += 1
      this.#open -= 1
      return
    }
    const grant = acquired.val
    if (grant.reason === 'beyond slots') this.#beyond += 1
    let isOver = false
    const attempts: Attempt[] = []
    const finish = (winner: Attempt): void => {
      if (isOver) return
      isOver = true
      endWatch()
      for (const attempt of attempts) this.#release(attempt, attempt === winner)
      this.#open -= 1
      const isCounted = !arrival.isLong && arrival.atMs >= WARM_UP_MS
      if (isCounted) this.#latencies.push(this.#nowMs - arrival.atMs)
    }
    this.#start(grant, arrival, attempts, finish)
    const endWatch = gateway.watchForHedge(request, grant, this.#nowMs, (hedge) => {
      this.#hedged += 1
      this.#start(hedge, arrival, attempts, finish)
      this.#events.add(this.#nowMs + gateway.hedgeLimitMs(request), () => {
        const attempt = attempts[1]
        if (isOver || attempt === undefined) return
        attempts.pop()
        this.#release(attempt, false)
      })
    })
  }

  #release({ grant, sentMs, slot, endMs }: Attempt, isWinner: boolean): void {
    const use = isWinner ? SlotUse.Completed : SlotUse.Cancelled
    if (!isWinner && slot.free[slot.index] === endMs) slot.free[slot.index] = this.#nowMs
    grant.release(use, this.#nowMs - sentMs, this.#nowMs)
  }

  /** Assigns the request to the slot that is free first, which equals a FIFO queue at the worker. */
  #start(
    grant: SlotGrant,
    arrival: Arrival,
    attempts: Attempt[],
    finish: (attempt: Attempt) => void,
  ): void {
    const worker = Number(grant.workerId.replace('worker-', ''))
    const free = this.#workerFreeMs[worker]
    if (free === undefined) throw new Error(`unknown worker ${worker}`)
    const index = free.indexOf(Math.min(...free))
    const startMs = Math.max(this.#nowMs, free[index] ?? 0)
    const endMs = finishTime(this.#slow, worker, startMs, arrival.workMs)
    free[index] = endMs
    const attempt = { grant, sentMs: this.#nowMs, slot: { free, index }, endMs }
    attempts.push(attempt)
    this.#events.add(endMs, () => {
      if (attempts.includes(attempt)) finish(attempt)
    })
  }

  #registryOf(index: number): RpcMethodRegistry {
    return {
      addMethod: (_name, _schema, method) => {
        this.#methods.set(`127.0.0.1:${index}`, method)
      },
    }
  }

  #rpc(): RpcCaller {
    return {
      call: (address, _method, params) =>
        new Promise((resolve) => {
          this.#events.add(this.#nowMs + this.#callMs, () => {
            const method = this.#methods.get(address)
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
