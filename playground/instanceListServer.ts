/**
 * Stand-in for the platform's instance list:
 * `node dist/playground/instanceListServer.js --port 7001`.
 *
 * Serves `GET /v1/instances` for `src/platform/httpInstanceList.ts`, and for tests:
 * - `POST /admin/instances` with a `ListedInstance`: adds or replaces an instance
 * - `POST /admin/remove` with `{ instanceId }`
 * - `POST /admin/faults` with any of `{ lagMs, outage, slownessMs }`
 * - `GET /admin/calls`: `{ total }`
 */
import type { Request, ResponseObject, ResponseToolkit, Server } from '@hapi/hapi'
import { server as createHapiServer } from '@hapi/hapi'
import Joi from 'joi'
import { sleep } from '../src/common/clock.js'
import type { ListedInstance } from '../src/platform/instanceList.js'
import { runStandIn } from './standInProgram.js'

/** Faults that the stand-in injects. */
export interface InstanceListFaults {
  /** Age of the list that is served, in milliseconds. */
  lagMs: number
  /** Answers every read of the list with 503. */
  outage: boolean
  /** Delay of each answer in milliseconds. */
  slownessMs: number
}

interface TimestampedList {
  readonly atMs: number
  readonly instances: readonly ListedInstance[]
}

const FAULTS_SCHEMA = Joi.object<Partial<InstanceListFaults>>({
  lagMs: Joi.number().min(0),
  outage: Joi.boolean(),
  slownessMs: Joi.number().min(0),
})
/** Number of lists to keep; limits how far back `lagMs` can reach. */
const MAX_HISTORY_LENGTH = 10_000

/** In-memory instance list with fault injection. */
export class InstanceListServer {
  readonly #hapi: Server
  readonly #faults: InstanceListFaults = { lagMs: 0, outage: false, slownessMs: 0 }
  readonly #abort = new AbortController()
  #history: TimestampedList[] = [{ atMs: Number.NEGATIVE_INFINITY, instances: [] }]
  #calls = 0

  /** @param port TCP port; 0 selects a free port */
  constructor(port = 0, host = '127.0.0.1') {
    this.#hapi = createHapiServer({ host, port })
    this.#hapi.route([
      { method: 'GET', path: '/v1/instances', handler: this.#serveList },
      { method: 'POST', path: '/admin/instances', handler: this.#servePut },
      { method: 'POST', path: '/admin/remove', handler: this.#serveRemove },
      { method: 'POST', path: '/admin/faults', handler: this.#serveFaults },
      { method: 'GET', path: '/admin/calls', handler: () => ({ total: this.#calls }) },
    ])
  }

  /** Base URL; valid after {@link start}. */
  get url(): string {
    return `http://${this.#hapi.info.host}:${String(this.#hapi.info.port)}`
  }

  /** Number of reads of the list since the start. */
  get calls(): number {
    return this.#calls
  }

  async start(): Promise<void> {
    await this.#hapi.start()
  }

  async stop(): Promise<void> {
    this.#abort.abort()
    await this.#hapi.stop({ timeout: 100 })
  }

  setFaults(faults: Partial<InstanceListFaults>): void {
    Object.assign(this.#faults, faults)
  }

  /** Adds or replaces an instance. */
  put(instance: ListedInstance): void {
    const others = this.#latest().filter((other) => other.instanceId !== instance.instanceId)
    this.#append([...others, instance])
  }

  remove(instanceId: string): void {
    this.#append(this.#latest().filter((other) => other.instanceId !== instanceId))
  }

  /** Returns the list as it was `lagMs` before `nowMs`. */
  listAt(nowMs: number): readonly ListedInstance[] {
    const visibleAtMs = nowMs - this.#faults.lagMs
    return this.#history.findLast((list) => list.atMs <= visibleAtMs)?.instances ?? []
  }

  #latest(): readonly ListedInstance[] {
    return this.#history.at(-1)?.instances ?? []
  }

  #append(instances: readonly ListedInstance[]): void {
    this.#history.push({ atMs: Date.now(), instances })
    if (this.#history.length > MAX_HISTORY_LENGTH)
      this.#history = this.#history.slice(-MAX_HISTORY_LENGTH / 2)
  }

  readonly #serveList = async (
    _request: Request,
    toolkit: ResponseToolkit,
  ): Promise<ResponseObject> => {
    this.#calls++
    if (this.#faults.slownessMs > 0) await sleep(this.#faults.slownessMs, this.#abort.signal)
    if (this.#faults.outage) return toolkit.response({ message: 'outage' }).code(503)
    return toolkit.response({ instances: this.listAt(Date.now()) })
  }

  readonly #servePut = (request: Request): object => {
    this.put(request.payload as ListedInstance)
    return {}
  }

  readonly #serveRemove = (request: Request): object => {
    this.remove((request.payload as { instanceId: string }).instanceId)
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
}

await runStandIn(import.meta.url, 'instanceListServer', (port) => new InstanceListServer(port))
