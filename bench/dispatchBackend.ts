/** Child process of the dispatch bench: stub workers with slots, a request queue and slow phases. */
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
const QUEUE_LIMIT = 64
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

interface Work {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly workMs: number
}

let run: BackendRun = { type: 'run', startAtMs: 0, slow: [] }

class StandIn {
  readonly #index: number
  readonly #slots: number
  #running = 0
  readonly #queue: Work[] = []
  readonly #reports: { readonly atMs: number; readonly busy: number }[] = []

  constructor(index: number, slots: number) {
    this.#index = index
    this.#slots = slots
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    const work: Work = { request, response, workMs: Number(request.headers[WORK_HEADER]) }
    if (this.#running < this.#slots) this.#execute(work)
    else if (this.#queue.length < QUEUE_LIMIT) this.#enqueue(work)
    else response.writeHead(503, { [NOT_STARTED_HEADER]: 'true' }).end()
  }

  /** Records the current load and returns the load as of the report delay ago, or 0 before that. */
  report(nowMs: number): number {
    this.#reports.push({ atMs: nowMs, busy: this.#running + this.#queue.length })
    while ((this.#reports[1]?.atMs ?? nowMs) <= nowMs - REPORT_DELAY_MS) this.#reports.shift()
    const oldest = this.#reports[0]
    return oldest !== undefined && oldest.atMs <= nowMs - REPORT_DELAY_MS ? oldest.busy : 0
  }

  #enqueue(work: Work): void {
    this.#queue.push(work)
    work.response.once('close', () => {
      const position = this.#queue.indexOf(work)
      if (position >= 0) this.#queue.splice(position, 1)
    })
  }

  #execute(work: Work): void {
    this.#running += 1
    const startedMs = preciseNow()
    const relativeMs = Math.max(0, startedMs - run.startAtMs)
    const endMs = finishTime(run.slow, this.#index, relativeMs, work.workMs)
    let isOver = false
    const finish = (): void => {
      if (isOver) return
      isOver = true
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

const standIns: StandIn[] = []
let reports: number[] = []

async function setUp(setup: BackendSetup): Promise<void> {
  const ports: number[] = []
  for (const { index, slots } of setup.workers) {
    const standIn = new StandIn(index, slots)
    standIns.push(standIn)
    const server = createServer((request, response) => {
      if (request.url === '/loads') response.end(JSON.stringify(reports))
      else standIn.handle(request, response)
    })
    server.keepAliveTimeout = 60_000
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    ports.push((server.address() as AddressInfo).port)
  }
  setInterval(() => {
    const nowMs = preciseNow()
    reports = standIns.map((standIn) => standIn.report(nowMs))
  }, REPORT_INTERVAL_MS)
  process.send?.({ type: 'ready', ports })
}

process.on('message', (message: BackendSetup | BackendRun) => {
  if (message.type === 'setup') void setUp(message)
  else run = message
})
process.on('disconnect', () => process.exit(0))
