/**
 * Stand-in for a backend server:
 * `node dist/playground/backendServer.js --port 7100 --worker w1 --slots 4`.
 *
 * Every request occupies a slot for its service time and is answered with JSON
 * that repeats it ({@link EchoedRequest}). The query parameter `serviceMs=N` sets
 * the service time in milliseconds; without it, paths that start with `/long`
 * take `longMs`, others `shortMs`. Also serves:
 * - `GET /status`: health and load as they were `statusLagMs` ago
 * - `POST /admin/faults`: see `backendFaults.ts`; `POST /admin/drain`: starts to leave
 * - `GET /admin/record`: all executions ({@link ExecutionRecord})
 */
import { createHash } from 'node:crypto'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { pathToFileURL } from 'node:url'
import { Command } from 'commander'
import { sleep } from '../src/common/clock.js'
import { messageOf } from '../src/common/errors.js'
import {
  DEADLINE_HEADER,
  LEAVING_HEADER,
  NOT_STARTED_HEADER,
  OPERATION_HEADER,
  REQUEST_HEADER,
} from '../src/common/headers.js'
import type { BackendStatus } from '../src/platform/backendStatus.js'
import { BackendHealth } from '../src/platform/backendStatus.js'
import type { BackendFaults } from './backendFaults.js'
import {
  BACKEND_FAULTS_SCHEMA,
  chooseFault,
  noFaults,
  RequestFault,
  SeededRandom,
} from './backendFaults.js'
import { getHeader, readBody, sendJson } from './backendHttp.js'
import type { BackendServerOptions, EchoedRequest, ExecutionRecord } from './backendRecords.js'
import { BACKEND_DEFAULTS } from './backendRecords.js'

export type { BackendServerOptions, EchoedRequest, ExecutionRecord } from './backendRecords.js'

const KEEP_ALIVE_MS = 30_000
const MAX_STATUS_HISTORY_LENGTH = 1000

/** Backend server stand-in that runs in this process. */
export class BackendServer {
  readonly #options: BackendServerOptions
  readonly #http: Server
  readonly #records: ExecutionRecord[] = []
  readonly #faults: BackendFaults = noFaults()
  readonly #random: SeededRandom
  readonly #statusHistory: BackendStatus[] = []
  #busy = 0
  #startedAtMs = 0
  #drainedAtMs: number | undefined

  constructor(options: Partial<BackendServerOptions>) {
    this.#options = { ...BACKEND_DEFAULTS, ...options }
    this.#random = new SeededRandom(this.#options.seed)
    this.#http = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
      this.#serve(request, response).catch((error: unknown) => {
        response.destroy(error instanceof Error ? error : new Error(messageOf(error)))
      })
    })
  }

  get workerId(): string {
    return this.#options.workerId
  }

  /** `host:port`; valid after {@link start}. */
  get address(): string {
    return `127.0.0.1:${String((this.#http.address() as AddressInfo).port)}`
  }

  /** Executions so far, ordered by start. */
  get records(): readonly ExecutionRecord[] {
    return this.#records
  }

  /** Number of requests that are being executed. */
  get busy(): number {
    return this.#busy
  }

  /** Time of the first {@link drain}, in milliseconds since the epoch. */
  get drainedAtMs(): number | undefined {
    return this.#drainedAtMs
  }

  start(): Promise<void> {
    this.#startedAtMs = Date.now()
    return new Promise((resolve, reject) => {
      this.#http.once('error', reject)
      this.#http.listen(this.#options.port, '127.0.0.1', () => {
        this.#recordStatus()
        resolve()
      })
    })
  }

  /** Closes the port and all connections, without waiting for requests in flight. */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      this.#http.close(() => {
        resolve()
      })
      this.#http.closeAllConnections()
    })
  }

  /** Changes the given faults and keeps the others. */
  setFaults(faults: Partial<BackendFaults>): void {
    Object.assign(this.#faults, faults)
  }

  /** Starts to leave: announces it in answers and in the status, and still executes requests. */
  drain(): void {
    this.#drainedAtMs ??= Date.now()
    this.#recordStatus()
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url?.split('?', 1)[0] ?? '/'
    if (path === '/status') {
      sendJson(response, 200, this.#status())
      return
    }
    const body = await readBody(request)
    if (path.startsWith('/admin/')) this.#serveAdmin(path, body, response)
    else await this.#execute(request, body, response)
  }

  async #execute(request: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> {
    const fault = chooseFault(this.#faults, this.#random)
    if (fault === RequestFault.ResetBefore) {
      request.socket.resetAndDestroy()
      return
    }
    const deadline = Number(request.headers[DEADLINE_HEADER] ?? Number.POSITIVE_INFINITY)
    const isLate = Date.now() > deadline
    if (isLate || this.#busy >= this.#options.slots || fault === RequestFault.Shed) {
      this.#refuse(request, response, isLate ? 'deadlinePassed' : 'busy')
      return
    }
    const record = this.#recordExecution(request)
    await this.#occupySlot(request, response, record)
    if (record.cancelled !== true) this.#answer(request, response, record, body, fault)
  }

  #recordExecution(request: IncomingMessage): ExecutionRecord {
    const record: ExecutionRecord = {
      workerId: this.#options.workerId,
      operation: getHeader(request, OPERATION_HEADER),
      request: getHeader(request, REQUEST_HEADER),
      method: request.method ?? '',
      target: request.url ?? '',
      startMs: Date.now(),
    }
    this.#records.push(record)
    return record
  }

  /** Occupies a slot for the service time, or until the connection closes. */
  async #occupySlot(
    request: IncomingMessage,
    response: ServerResponse,
    record: ExecutionRecord,
  ): Promise<void> {
    this.#busy += 1
    this.#recordStatus()
    const cancel = new AbortController()
    const onClose = (): void => {
      cancel.abort()
    }
    response.once('close', onClose)
    await sleep(this.#serviceMs(request), cancel.signal)
    response.off('close', onClose)
    this.#busy -= 1
    this.#recordStatus()
    record.endMs = Date.now()
    if (cancel.signal.aborted) record.cancelled = true
  }

  #serviceMs(request: IncomingMessage): number {
    const url = new URL(request.url ?? '/', 'http://backend')
    const requestedMs = url.searchParams.get('serviceMs')
    const defaultMs = url.pathname.startsWith('/long')
      ? this.#options.longMs
      : this.#options.shortMs
    const nowMs = Date.now()
    const slowdown = nowMs < this.#faults.slowUntilMs ? this.#faults.slowFactor : 1
    const coldStartProgress = Math.min(
      1,
      (nowMs - this.#startedAtMs) / Math.max(1, this.#options.coldStartMs),
    )
    const coldSlowdown =
      this.#options.coldStartMs === 0
        ? 1
        : this.#options.coldFactor * (1 - coldStartProgress) + coldStartProgress
    return (requestedMs === null ? defaultMs : Number(requestedMs)) * slowdown * coldSlowdown
  }

  #answer(
    request: IncomingMessage,
    response: ServerResponse,
    record: ExecutionRecord,
    body: Buffer,
    fault: RequestFault | undefined,
  ): void {
    const { workerId, operation, method, target } = record
    const bodySha256 = createHash('sha256').update(body).digest('hex')
    const echoed: EchoedRequest = {
      workerId,
      operation,
      request: record.request,
      method,
      target,
      bodySha256,
    }
    const text = JSON.stringify(echoed)
    if (fault === RequestFault.ResetAfter) request.socket.resetAndDestroy()
    else if (fault === RequestFault.Garbage) request.socket.end('no HTTP at all\r\n\r\n')
    else if (fault === RequestFault.Truncate) this.#sendTruncated(request, response, text)
    else if (fault === RequestFault.Cross) {
      const otherAnswer = JSON.stringify({ ...echoed, request: 'another', target: '/another' })
      this.#send(response, 200, otherAnswer, { [REQUEST_HEADER]: 'another' })
    } else this.#send(response, 200, text, { [REQUEST_HEADER]: record.request })
  }

  #sendTruncated(request: IncomingMessage, response: ServerResponse, text: string): void {
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    })
    response.write(text.slice(0, this.#faults.cutAfterBytes), () => {
      request.socket.end()
    })
  }

  #refuse(request: IncomingMessage, response: ServerResponse, reason: string): void {
    this.#send(response, 503, JSON.stringify({ refused: reason }), {
      [NOT_STARTED_HEADER]: 'true',
      [REQUEST_HEADER]: getHeader(request, REQUEST_HEADER),
    })
  }

  #send(
    response: ServerResponse,
    status: number,
    text: string,
    headers: Readonly<Record<string, string>>,
  ): void {
    const leaving = this.#drainedAtMs === undefined ? {} : { [LEAVING_HEADER]: 'true' }
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...headers,
      ...leaving,
    })
    response.end(text)
  }

  #serveAdmin(path: string, body: Buffer, response: ServerResponse): void {
    if (path === '/admin/record') sendJson(response, 200, { records: this.#records })
    else if (path === '/admin/faults') this.#changeFaults(body, response)
    else if (path === '/admin/drain') {
      this.drain()
      sendJson(response, 200, {})
    } else sendJson(response, 404, {})
  }

  #changeFaults(body: Buffer, response: ServerResponse): void {
    const content: unknown = JSON.parse(body.toString('utf8'))
    const checked = BACKEND_FAULTS_SCHEMA.validate(content)
    if (checked.error !== undefined) {
      sendJson(response, 400, { message: checked.error.message })
      return
    }
    const { slowForMs, ...faults } = checked.value
    this.setFaults(faults)
    if (slowForMs !== undefined) this.setFaults({ slowUntilMs: Date.now() + slowForMs })
    sendJson(response, 200, {})
  }

  #status(): BackendStatus {
    const visibleUntilMs = Date.now() - this.#options.statusLagMs
    const laggedStatus = this.#statusHistory
      .filter((status) => status.measuredAtMs <= visibleUntilMs)
      .at(-1)
    const status = laggedStatus ?? this.#statusHistory[0] ?? this.#currentStatus()
    const { reportedHealth } = this.#faults
    return reportedHealth === '' ? status : { ...status, health: reportedHealth }
  }

  #currentStatus(): BackendStatus {
    const health = this.#drainedAtMs === undefined ? BackendHealth.Healthy : BackendHealth.Draining
    return { health, busySlots: this.#busy, measuredAtMs: Date.now() }
  }

  #recordStatus(): void {
    this.#statusHistory.push(this.#currentStatus())
    if (this.#statusHistory.length > MAX_STATUS_HISTORY_LENGTH) this.#statusHistory.shift()
  }
}

/** Parses the command line, starts the stand-in and stops it on SIGTERM or SIGINT. */
async function runProgram(): Promise<void> {
  const command = new Command('backendServer')
    .requiredOption('--port <number>', 'TCP port; 0 selects a free port')
    .requiredOption('--worker <id>', 'worker identifier')
    .requiredOption('--slots <number>', 'number of requests that are executed concurrently')
    .option('--short-ms <number>', 'default service time, ms', String(BACKEND_DEFAULTS.shortMs))
    .option(
      '--long-ms <number>',
      'default service time under /long, ms',
      String(BACKEND_DEFAULTS.longMs),
    )
    .option(
      '--status-lag-ms <number>',
      'age of the reported status, ms',
      String(BACKEND_DEFAULTS.statusLagMs),
    )
    .option(
      '--cold-start-ms <number>',
      'duration of the cold start, ms',
      String(BACKEND_DEFAULTS.coldStartMs),
    )
    .option('--seed <number>', 'seed of random faults', String(BACKEND_DEFAULTS.seed))
    .parse()
  const values = command.opts<Record<string, string>>()
  const server = new BackendServer({
    port: Number(values.port),
    workerId: values.worker ?? '',
    slots: Number(values.slots),
    shortMs: Number(values.shortMs),
    longMs: Number(values.longMs),
    statusLagMs: Number(values.statusLagMs),
    coldStartMs: Number(values.coldStartMs),
    seed: Number(values.seed),
  })
  await server.start()
  process.stdout.write(`backendServer ${server.workerId} listens on http://${server.address}\n`)
  const stop = (): void => {
    void server.stop().then(() => process.exit(0))
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

const programPath = process.argv[1]
if (programPath !== undefined && pathToFileURL(programPath).href === import.meta.url)
  await runProgram()
