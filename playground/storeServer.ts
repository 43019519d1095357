/**
 * Stand-in for the platform's key-value service:
 * `node dist/playground/storeServer.js --port 7000`.
 *
 * Serves the protocol of `src/platform/httpKeyValueStore.ts`, and for tests:
 * - `POST /admin/faults` with any fields of {@link StoreFaults}
 * - `POST /admin/expireLeases`
 * - `GET /admin/calls`: {@link StoreCallCounts}; `POST /admin/resetCalls`
 */
import type { Request, ResponseObject, ResponseToolkit, Server } from '@hapi/hapi'
import { server as createHapiServer } from '@hapi/hapi'
import Joi from 'joi'
import { sleep } from '../src/common/clock.js'
import { runStandIn } from './standInProgram.js'
import type { StoreAnswer, StoreRequest } from './storeMethods.js'
import { STORE_METHODS, WRITE_METHODS, waitForChange } from './storeMethods.js'
import { MAX_VALUE_BYTES, StoreState } from './storeState.js'

/** Ways in which the store fails every call. */
export enum StoreOutage {
  None = 'none',
  /** Answers 503 without executing it. */
  Refuse = 'refuse',
  /** Closes the connection without executing or answering. */
  HangUp = 'hangUp',
  /** Leaves the call unanswered, without executing it. */
  Silent = 'silent',
}

/** Faults that the stand-in injects. */
export interface StoreFaults {
  outage: StoreOutage
  /** Delay before each call is executed, in milliseconds. */
  slownessMs: number
  /** Number of next successful writes whose answers are dropped. */
  dropNextAnswers: number
}

/** Calls and bytes since the start or the last reset, and watches that wait at present. */
export interface StoreCallCounts {
  readonly total: number
  readonly byMethod: Readonly<Record<string, number>>
  readonly waitingWatches: number
  readonly requestBytes: number
  readonly responseBytes: number
}

/** Time after which a silent store closes the connection of a call. */
const SILENT_TIMEOUT_MS = 600_000
const FAULTS_SCHEMA = Joi.object<Partial<StoreFaults>>({
  outage: Joi.valid(...Object.values(StoreOutage)),
  slownessMs: Joi.number().min(0),
  dropNextAnswers: Joi.number().integer().min(0),
})

/** In-memory key-value service with fault injection. */
export class StoreServer {
  readonly state = new StoreState()
  readonly #hapi: Server
  readonly #faults: StoreFaults = {
    outage: StoreOutage.None,
    slownessMs: 0,
    dropNextAnswers: 0,
  }
  readonly #calls = new Map<string, number>()
  readonly #abort = new AbortController()
  #outageAbort = new AbortController()
  #waitingWatches = 0
  #requestBytes = 0
  #responseBytes = 0

  /** @param port TCP port; 0 selects a free port */
  constructor(port = 0, host = '127.0.0.1') {
    this.#hapi = createHapiServer({ host, port })
    const payload = { maxBytes: 2 * MAX_VALUE_BYTES }
    this.#hapi.route([
      { method: 'POST', path: '/v1/{method}', options: { payload }, handler: this.#serve },
      { method: 'POST', path: '/admin/faults', handler: this.#serveFaults },
      { method: 'POST', path: '/admin/expireLeases', handler: () => this.#expireLeases() },
      { method: 'GET', path: '/admin/calls', handler: () => this.counts() },
      { method: 'POST', path: '/admin/resetCalls', handler: () => this.resetCounts() },
    ])
  }

  /** Base URL; valid after {@link start}. */
  get url(): string {
    return `http://${this.#hapi.info.host}:${String(this.#hapi.info.port)}`
  }

  async start(): Promise<void> {
    await this.#hapi.start()
  }

  async stop(): Promise<void> {
    this.#abort.abort()
    this.#outageAbort.abort()
    await this.#hapi.stop({ timeout: 100 })
  }

  /** Changes the given faults; setting `outage` also ends the waiting watches. */
  setFaults(faults: Partial<StoreFaults>): void {
    Object.assign(this.#faults, faults)
    if (faults.outage === undefined) return
    this.#outageAbort.abort()
    this.#outageAbort = new AbortController()
  }

  counts(): StoreCallCounts {
    return {
      total: [...this.#calls.values()].reduce((sum, count) => sum + count, 0),
      byMethod: Object.fromEntries(this.#calls),
      waitingWatches: this.#waitingWatches,
      requestBytes: this.#requestBytes,
      responseBytes: this.#responseBytes,
    }
  }

  resetCounts(): object {
    this.#calls.clear()
    this.#requestBytes = 0
    this.#responseBytes = 0
    return {}
  }

  #expireLeases(): object {
    this.state.expireLeases()
    return {}
  }

  readonly #serveFaults = (request: Request, toolkit: ResponseToolkit): ResponseObject => {
    const checked = FAULTS_SCHEMA.validate(request.payload)
    if (checked.error !== undefined) {
      return toolkit.response({ message: checked.error.message }).code(400)
    }
    this.setFaults(checked.value)
    return toolkit.response({ ...this.#faults })
  }

  readonly #serve = async (
    request: Request,
    toolkit: ResponseToolkit,
  ): Promise<ResponseObject | symbol> => {
    const method = String(request.params.method)
    this.#calls.set(method, (this.#calls.get(method) ?? 0) + 1)
    this.#requestBytes += Number(request.headers['content-length'] ?? 0)
    const outage = this.#faults.outage
    if (outage === StoreOutage.Refuse) return toolkit.response({ message: 'outage' }).code(503)
    if (outage === StoreOutage.HangUp) return closeConnection(request, toolkit)
    if (outage === StoreOutage.Silent) {
      await sleep(SILENT_TIMEOUT_MS, this.#abort.signal)
      return closeConnection(request, toolkit)
    }
    if (this.#faults.slownessMs > 0) await sleep(this.#faults.slownessMs, this.#abort.signal)
    const answer = await this.#execute(method, request)
    if (answer === undefined || this.#consumeAnswerDrop(method, answer))
      return closeConnection(request, toolkit)
    const text = JSON.stringify(answer.body)
    this.#responseBytes += text.length
    return toolkit.response(text).type('application/json').code(answer.status)
  }

  /** Executes a call; returns `undefined` if `outage` was set during a watch. */
  async #execute(method: string, request: Request): Promise<StoreAnswer | undefined> {
    const execute = STORE_METHODS[method]
    if (execute === undefined) return { status: 404, body: { message: 'unknown method' } }
    const body = request.payload as StoreRequest
    if (method !== 'watch') return execute(this.state, body, Date.now())
    const closed = new AbortController()
    request.raw.res.once('close', () => {
      closed.abort()
    })
    const outage = this.#outageAbort.signal
    const signal = AbortSignal.any([closed.signal, outage, this.#abort.signal])
    this.#waitingWatches++
    try {
      const answer = await waitForChange(this.state, body, signal)
      return outage.aborted ? undefined : answer
    } finally {
      this.#waitingWatches--
    }
  }

  #consumeAnswerDrop(method: string, answer: StoreAnswer): boolean {
    const isDropped =
      this.#faults.dropNextAnswers > 0 && WRITE_METHODS.has(method) && answer.status === 200
    if (isDropped) this.#faults.dropNextAnswers--
    return isDropped
  }
}

function closeConnection(request: Request, toolkit: ResponseToolkit): symbol {
  request.raw.req.socket.destroy()
  return toolkit.abandon
}

await runStandIn(import.meta.url, 'storeServer', (port) => new StoreServer(port))
