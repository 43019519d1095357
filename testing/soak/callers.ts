/** Callers of the soak test: query the directory, reuse connections, and honour Retry-After. */
import { monotonicClock, sleep } from '../../src/common/clock.js'
import { ExchangeKind, findHeader } from '../../src/common/exchange.js'
import type { HeaderPair } from '../../src/common/exchange.js'
import { HttpExchangeClient } from '../../src/common/httpExchange.js'
import type { InvariantChecker, SentRequest } from './invariantChecker.js'
import {
  HOME_HOST,
  HOME_REGION,
  PROBE_HOST,
  REGION_OF_ZONE,
  SAFE_HOST,
  UNSAFE_HOST,
} from './deployment.js'
import { EntryPort } from './entryProcess.js'
import type { DisturbanceLog } from './disturbances.js'

/** Time that a caller waits for an answer; equal to the timeout of the routes. */
const CALLER_TIMEOUT_MS = 1500
/** Time for which a caller caches a directory answer; equal to the answer's `ttl`. */
const DIRECTORY_TTL_MS = 2000
const DIRECTORY_TIMEOUT_MS = 1000
/** Mean pause of a caller between requests. */
const REQUEST_PAUSE_MS = 60
const MAX_ANSWER_BYTES = 1024 * 1024
/** Shorter than the idle timeout of the instances, as callers keep to it. */
const IDLE_TIMEOUT_MS = 12_000
/** Attempts per request, including the first. */
const MAX_ATTEMPTS = 2

/** Kinds of requests. */
enum RequestKind {
  Reveal = 'reveal',
  Spend = 'spend',
  Charge = 'charge',
}

const PROPERTIES_BY_KIND: Readonly<
  Record<
    RequestKind,
    Pick<SentRequest, 'service' | 'isIdempotent' | 'homeRegions'> & { host: string }
  >
> = {
  [RequestKind.Reveal]: {
    host: SAFE_HOST,
    service: 'reveals',
    isIdempotent: true,
    homeRegions: [],
  },
  [RequestKind.Spend]: {
    host: UNSAFE_HOST,
    service: 'wallet',
    isIdempotent: false,
    homeRegions: [],
  },
  [RequestKind.Charge]: {
    host: HOME_HOST,
    service: 'wallet',
    isIdempotent: false,
    homeRegions: [HOME_REGION],
  },
}

export interface CallerDependencies {
  readonly checker: InvariantChecker
  readonly disturbances: DisturbanceLog
  /** Addresses of all entry instances; each also serves the directory. */
  readonly hosts: readonly string[]
  readonly nameOfHost: (host: string) => string
  readonly random: () => number
  /** Milliseconds since the start of the soak test. */
  readonly nowMs: () => number
}

interface Reply {
  /** `undefined` if the connection ended without an answer. */
  readonly status: number | undefined
  readonly body: string
  readonly retryAfterMs: number
}

/** Caller with keep-alive connections. */
export class Caller {
  readonly #dependencies: CallerDependencies
  readonly #zone: string
  readonly #http = createClient()
  #addresses: readonly string[] = []
  #directoryReadAtMs = Number.NEGATIVE_INFINITY
  static #requestCount = 0

  constructor(dependencies: CallerDependencies, zone: string) {
    this.#dependencies = dependencies
    this.#zone = zone
  }

  /** Sends requests until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#sendWithRetry(signal)
      await sleep(REQUEST_PAUSE_MS * (0.5 + this.#dependencies.random()), signal)
    }
    this.#http.close()
  }

  async #sendWithRetry(signal: AbortSignal): Promise<void> {
    const { random } = this.#dependencies
    const kinds = Object.values(RequestKind)
    const { host, ...properties } =
      PROPERTIES_BY_KIND[kinds[Math.floor(random() * kinds.length)] ?? RequestKind.Reveal]
    for (let attempt = 0; attempt < MAX_ATTEMPTS && !signal.aborted; attempt += 1) {
      const address = await this.#pickAddress()
      if (address === undefined) return
      const reply = await this.#send(address, host, properties)
      if (reply.status === 200) return
      if (reply.status === undefined) this.#removeAddress(address)
      const isNotRun = reply.status === 503 || reply.status === 429
      if (!properties.isIdempotent && !isNotRun) return
      await sleep(reply.retryAfterMs, signal)
    }
  }

  async #send(
    address: string,
    host: string,
    properties: Pick<SentRequest, 'service' | 'isIdempotent' | 'homeRegions'>,
  ): Promise<Reply> {
    const { checker, disturbances, nowMs, nameOfHost, random } = this.#dependencies
    Caller.#requestCount += 1
    const requestId = `q${Caller.#requestCount}`
    const instance = nameOfHost(address.split(':')[0] ?? '')
    const startId = disturbances.startIdOf(instance)
    checker.requestSent({ requestId, instance, sentAtMs: nowMs(), ...properties })
    const objectCookie = `X-Tamarackdrift-Affinity-Key=${Math.floor(random() * 20)}`
    const reply = await exchange(this.#http, address, '/work', CALLER_TIMEOUT_MS, [
      ['Host', host],
      ['Cookie', objectCookie],
      ...headersOf(requestId),
    ])
    if (reply.status === undefined) {
      checker.requestCut(
        requestId,
        disturbances.isOnlyShuttingDown(instance, startId, nowMs()),
        nowMs(),
      )
    } else {
      const isOwn = reply.body === `done ${requestId}`
      checker.requestAnswered({ requestId, status: reply.status, isOwn, atMs: nowMs() })
    }
    return reply
  }

  #removeAddress(address: string): void {
    this.#addresses = this.#addresses.filter((other) => other !== address)
  }

  async #pickAddress(): Promise<string | undefined> {
    const { random, nowMs } = this.#dependencies
    const isExpired = nowMs() - this.#directoryReadAtMs > DIRECTORY_TTL_MS
    if (isExpired || this.#addresses.length === 0) await this.#queryDirectory()
    return this.#addresses[Math.floor(random() * this.#addresses.length)]
  }

  async #queryDirectory(): Promise<void> {
    const { hosts, random, nowMs } = this.#dependencies
    const first = Math.floor(random() * hosts.length)
    const region = REGION_OF_ZONE[this.#zone] ?? ''
    const path = `/resolution?name=${SAFE_HOST}&region=${region}&zone=${this.#zone}`
    for (let index = 0; index < Math.min(3, hosts.length); index += 1) {
      const host = hosts[(first + index) % hosts.length] ?? ''
      const address = `${host}:${EntryPort.Directory}`
      const reply = await exchangeOnce(address, path, DIRECTORY_TIMEOUT_MS, [])
      if (reply.status !== 200) continue
      this.#addresses = (JSON.parse(reply.body) as { addresses: string[] }).addresses
      this.#directoryReadAtMs = nowMs()
      return
    }
  }
}

/** Checks whether a configuration version is in force at an instance, by a request on its route. */
export async function probe(
  dependencies: CallerDependencies,
  host: string,
  version: number,
  requestId: string,
): Promise<void> {
  const { checker, disturbances, nowMs, nameOfHost } = dependencies
  const instance = nameOfHost(host)
  const startId = disturbances.startIdOf(instance)
  const sentAtMs = nowMs()
  const properties = { service: 'reveals', isIdempotent: true, homeRegions: [] }
  checker.requestSent({ requestId, instance, sentAtMs, ...properties })
  const address = `${host}:${EntryPort.Callers}`
  const reply = await exchangeOnce(address, `/v${version}/probe`, CALLER_TIMEOUT_MS, [
    ['Host', PROBE_HOST],
    ...headersOf(requestId),
  ])
  const isSameStart = disturbances.startIdOf(instance) === startId
  const isConclusive = reply.status === 200 || reply.status === 404
  if (!isConclusive || !isSameStart) return
  const wasUndisturbed = disturbances.isUndisturbed(instance, sentAtMs)
  checker.versionProbed(startId, version, reply.status === 200, sentAtMs, nowMs(), wasUndisturbed)
}

function headersOf(requestId: string): HeaderPair[] {
  return [
    ['X-Tamarackdrift-Request-Id', requestId],
    ['X-Tamarackdrift-Deadline-Milliseconds', String(CALLER_TIMEOUT_MS)],
  ]
}

function createClient(): HttpExchangeClient {
  return new HttpExchangeClient({
    maxConnections: 64,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    clock: monotonicClock,
  })
}

/** Sends a request on a connection of its own. */
async function exchangeOnce(
  address: string,
  path: string,
  timeoutMs: number,
  headers: readonly HeaderPair[],
): Promise<Reply> {
  const client = createClient()
  const reply = await exchange(client, address, path, timeoutMs, [
    ...headers,
    ['Connection', 'close'],
  ])
  client.close()
  return reply
}

async function exchange(
  client: HttpExchangeClient,
  address: string,
  path: string,
  timeoutMs: number,
  headers: readonly HeaderPair[],
): Promise<Reply> {
  const result = await client.exchange({
    address,
    method: 'GET',
    target: path,
    headers,
    body: Buffer.alloc(0),
    deadlineMs: monotonicClock() + timeoutMs,
    maxAnswerBytes: MAX_ANSWER_BYTES,
    signal: new AbortController().signal,
  })
  if (result.kind !== ExchangeKind.Answered) return { status: undefined, body: '', retryAfterMs: 0 }
  const retryAfterMs = Number(findHeader(result.headers, 'retry-after') ?? 0) * 1000
  return { status: result.status, body: result.body.toString(), retryAfterMs }
}
