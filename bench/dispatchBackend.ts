/** Child process of the dispatch bench: stub workers with slots, queue and slow phases. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { NOT_STARTED_HEADER } from '../src/common/headers.js'
import {
  ENDED_HEADER,
  STARTED_HEADER,
  WORK_HEADER,
  finishTime,
  preciseNow,
} from './dispatchWorkload.js'

/** Maximum queue length of a worker; further requests are rejected as not started. */
const MAX_QUEUED_REQUESTS = 64
const REPORT_INTERVAL_MS = 50
const REPORT_DELAY_MS = 500

/** Sent by the bench once, before the first run. */
export interface BackendSetup {
  readonly type: 'setup'
  /** Global indices of the workers that this process hosts, with their slots. */
  readonly workers: readonly { readonly index: number; readonly slots: number }[]
}

/** Sent by the bench at the start of each run. */
export interface BackendRun {
  readonly type: 'run'
  /** Start of the first slow phase, in milliseconds since the epoch. */
  readonly startAtMs: number
  /** Index of the slow worker in each period; see `dispatchWorkload.ts`. */
  readonly slow: readonly number[]
}

interface WorkItem {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly workMs: number
}

let currentRun: BackendRun = { type: 'run', startAtMs: 0, slow: [] }

class StubWorker {
  readonly #index: number
  readonly #slots: number
  #running = 0
  readonly #queue: WorkItem[] = []
  readonly #samples: { readonly atMs: number; readonly busy: number }[] = []

  constructor(index: number, slots: number) {
    this.#index = index
    this.#slots = slots
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    const work: WorkItem = { request, response, workMs: Number(request.headers[WORK_HEADER]) }
    if (this.#running < this.#slots) this.#execute(work)
    else if (this.#queue.length < MAX_QUEUED_REQUESTS) this.#enqueue(work)
    else response.writeHead(503, { [NOT_STARTED_HEADER]: 'true' }).end()
  }

  /** Records the current load and returns the load as of the report delay ago, or 0 before that. */
  recordLoad(nowMs: number): number {
    this.#samples.push({ atMs: nowMs, busy: this.#running + this.#queue.length })
    while ((this.#samples[1]?.atMs ?? nowMs) <= nowMs - REPORT_DELAY_MS) this.#samples.shift()
    const oldest = this.#samples[0]
    return oldest !== undefined && oldest.atMs <= nowMs - REPORT_DELAY_MS ? oldest.busy : 0
  }

  #enqueue(work: WorkItem): void {
    this.#queue.push(work)
    work.response.once('close', () => {
      const position = this.#queue.indexOf(work)
      if (position >= 0) this.#queue.splice(position, 1)
    })
  }

  #execute(work: WorkItem): void {
    this.#running += 1
    const startedMs = preciseNow()
    const relativeMs = Math.max(0, startedMs - currentRun.startAtMs)
    const endMs = finishTime(currentRun.slow, this.#index, relativeMs, work.workMs)
    let isFinished = false
    const finish = (): void => {
      if (isFinished) return
      isFinished = true
      clearTimeout(timer)
      this.#running -= 1
      const next = this.#queue.shift()
      if (next !== undefined) this.#execute(next)
    }
    const timer = setTimeout(() => {
      const headers = { [STARTED_HEADER]: startedMs, [ENDED_HEADER]: preciseNow() }
      work.response.writeHead(200, headers).end('done')
      finish()
    }, endMs - relativeMs)
    work.response.once('close', finish)
  }
}

const stubWorkers: StubWorker[] = []
let reportedLoads: number[] = []

async function startWorkers(setup: BackendSetup): Promise<void> {
  const ports: number[] = []
  for (const { index, slots } of setup.workers) {
    const stubWorker = new StubWorker(index, slots)
    stubWorkers.push(stubWorker)
    const server = createServer((request, response) => {
      if (request.url === '/loads') response.end(JSON.stringify(reportedLoads))
      else stubWorker.handle(request, response)
    })
    server.keepAliveTimeout = 60_000
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    ports.push((server.address() as AddressInfo).port)
  }
  setInterval(() => {
    const nowMs = preciseNow()
    reportedLoads = stubWorkers.map((stubWorker) => stubWorker.recordLoad(nowMs))
  }, REPORT_INTERVAL_MS)
  process.send?.({ type: 'ready', ports })
}

process.on('message', (message: BackendSetup | BackendRun) => {
  if (message.type === 'setup') void startWorkers(message)
  else currentRun = message
})
process.on('disconnect', () => process.exit(0))
