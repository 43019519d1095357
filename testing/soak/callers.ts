/** Callers of the soak test: query the directory, reuse connections, and honour Retry-After. */
import { Agent, request as httpRequest } from 'node:http'
import { sleep } from '../../src/common/clock.js'
import type { PromiseChecker, SentRequest } from './promiseChecker.js'
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
const PATIENCE_MS = 1500
/** Time for which a caller caches a directory answer; equal to the answer's `ttl`. */
const DIRECTORY_MS = 2000
const DIRECTORY_TIMEOUT_MS = 1000
/** Mean pause of a caller between requests. */
const PAUSE_MS = 60
/** Attempts per request, including the first. */
const MAX_TRIES = 2

/** Kinds of requests. */
enum Wish {
  Reveal = 'reveal',
  Spend = 'spend',
  Charge = 'charge',
}

const WISHES: Readonly<
  Record<Wish, Pick<SentRequest, 'service' | 'isIdempotent' | 'homeRegions'> & { host: string }>
> = {
  [Wish.Reveal]: { host: SAFE_HOST, service: 'reveals', isIdempotent: true, homeRegions: [] },
  [Wish.Spend]: { host: UNSAFE_HOST, service: 'wallet', isIdempotent: false, homeRegions: [] },
  [Wish.Charge]: {
    host: HOME_HOST,
    service: 'wallet',
    isIdempotent: false,
    homeRegions: [HOME_REGION],
  },
}

export interface CallerParts {
  readonly checker: PromiseChecker
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
  readonly #parts: CallerParts
  readonly #zone: string
  readonly #agent = new Agent({ keepAlive: true })
  #addresses: readonly string[] = []
  #askedAtMs = Number.NEGATIVE_INFINITY
  static #lastRequest = 0

  constructor(parts: CallerParts, zone: string) {
    this.#parts = parts
    this.#zone = zone
  }

  /** Sends requests until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#wish(signal)
      await sleep(PAUSE_MS * (0.5 + this.#parts.random()), signal)
    }
    this.#agent.destroy()
  }

  async #wish(signal: AbortSignal): Promise<void> {
    const { random } = this.#parts
    const wishes = Object.values(Wish)
    const { host, ...what } = WISHES[wishes[Math.floor(random() * wishes.length)] ?? Wish.Reveal]
    for (let attempt = 0; attempt < MAX_TRIES && !signal.aborted; attempt += 1) {
      const address = await this.#address()
      if (address === undefined) return
      const reply = await this.#send(address, host, what)
      if (reply.status === 200) return
      if (reply.status === undefined) this.#forget(address)
      const isNotRun = reply.status === 503 || reply.status === 429
      if (!what.isIdempotent && !isNotRun) return
      await sleep(reply.retryAfterMs, signal)
    }
  }

  async #send(
    address: string,
    host: string,
    what: Pick<SentRequest, 'service' | 'isIdempotent' | 'homeRegions'>,
  ): Promise<Reply> {
    const { checker, disturbances, nowMs, nameOfHost, random } = this.#parts
    Caller.#lastRequest += 1
    const requestId = `q${Caller.#lastRequest}`
    const instance = nameOfHost(address.split(':')[0] ?? '')
    const start = disturbances.startOf(instance)
    checker.sent({ requestId, instance, sentAtMs: nowMs(), ...what })
    const object = `X-Tamarackdrift-Affinity-Key=${Math.floor(random() * 20)}`
    const reply = await exchange(this.#agent, address, '/work', PATIENCE_MS, {
      Host: host,
      Cookie: object,
      ...headersOf(requestId),
    })
    if (reply.status === undefined) {
      checker.cut(requestId, disturbances.isOnlyLeaving(instance, start, nowMs()), nowMs())
    } else {
      const isOwn = reply.body === `done ${requestId}`
      checker.answered({ requestId, status: reply.status, isOwn, atMs: nowMs() })
    }
    return reply
  }

  #forget(address: string): void {
    this.#addresses = this.#addresses.filter((known) => known !== address)
  }

  async #address(): Promise<string | undefined> {
    const { random, nowMs } = this.#parts
    const isOld = nowMs() - this.#askedAtMs > DIRECTORY_MS
    if (isOld || this.#addresses.length === 0) await this.#askDirectory()
    return this.#addresses[Math.floor(random() * this.#addresses.length)]
  }

  async #askDirectory(): Promise<void> {
    const { hosts, random, nowMs } = this.#parts
    const first = Math.floor(random() * hosts.length)
    const region = REGION_OF_ZONE[this.#zone] ?? ''
    const path = `/resolution?name=${SAFE_HOST}&region=${region}&zone=${this.#zone}`
    for (let index = 0; index < Math.min(3, hosts.length); index += 1) {
      const host = hosts[(first + index) % hosts.length] ?? ''
      const address = `${host}:${EntryPort.Directory}`
      const reply = await exchange(undefined, address, path, DIRECTORY_TIMEOUT_MS, {})
      if (reply.status !== 200) continue
      this.#addresses = (JSON.parse(reply.body) as { addresses: string[] }).addresses
      this.#askedAtMs = nowMs()
      return
    }
  }
}

/** Checks whether a configuration version is in force at an instance, by a request on its route. */
export async function probe(
  parts: CallerParts,
  host: string,
  version: number,
  requestId: string,
): Promise<void> {
  const { checker, disturbances, nowMs, nameOfHost } = parts
  const instance = nameOfHost(host)
  const start = disturbances.startOf(instance)
  const sentAtMs = nowMs()
  const what = { service: 'reveals', isIdempotent: true, homeRegions: [] }
  checker.sent({ requestId, instance, sentAtMs, ...what })
  const address = `${host}:${EntryPort.Callers}`
  const reply = await exchange(undefined, address, `/v${version}/probe`, PATIENCE_MS, {
    Host: PROBE_HOST,
    ...headersOf(requestId),
  })
  const isSameStart = disturbances.startOf(instance) === start
  const tells = reply.status === 200 || reply.status === 404
  if (!tells || !isSameStart) return
  const wasInTouch = disturbances.isInTouch(instance, sentAtMs)
  checker.probed(start, version, reply.status === 200, sentAtMs, nowMs(), wasInTouch)
}

function headersOf(requestId: string): Readonly<Record<string, string>> {
  return {
    'X-Tamarackdrift-Request-Id': requestId,
    'X-Tamarackdrift-Deadline-Milliseconds': String(PATIENCE_MS),
  }
}

function exchange(
  agent: Agent | undefined,
  address: string,
  path: string,
  timeoutMs: number,
  headers: Readonly<Record<string, string>>,
): Promise<Reply> {
  const [host = '', port = ''] = address.split(':')
  const nothing: Reply = { status: undefined, body: '', retryAfterMs: 0 }
  return new Promise((resolve) => {
    const call = httpRequest(
      { host, port, path, headers, agent: agent ?? false, timeout: timeoutMs },
      (response) => {
        let body = ''
        response.on('data', (bytes: Buffer) => {
          body += bytes.toString()
        })
        response.on('end', () => {
          const retryAfterMs = Number(response.headers['retry-after'] ?? 0) * 1000
          resolve({ status: response.statusCode, body, retryAfterMs })
        })
        response.on('error', () => {
          resolve(nothing)
        })
      },
    )
    call.on('timeout', () => {
      call.destroy()
    })
    call.on('error', () => {
      resolve(nothing)
    })
    call.end()
  })
}
