/** Callers of the demo: a steady mix of reads and non-idempotent operations from all regions. */
import { setMaxListeners } from 'node:events'
import type { HttpExchangeClient } from '../src/common/httpExchange.js'
import { sleep, systemClock } from '../src/common/clock.js'
import type { CallReport, ServiceCall } from '../src/client/callerClient.js'
import { CallerClient } from '../src/client/callerClient.js'
import { HttpLookupSource } from '../src/client/lookupSource.js'
import type { ClientBlock } from '../src/configuration/document.js'
import { RecordKind } from '../src/configuration/document.js'
import { MemberRole } from '../src/membership/memberRecord.js'
import type { Deployment } from './deployment.js'
import type { LocalDeployment } from './localDeployment.js'

const CALL_TIMEOUT_MS = 4000
/** Every fifth call of a caller is a non-idempotent operation. */
const OPERATION_INTERVAL_CALLS = 5

/** One finished call. */
export interface DemoCall {
  readonly homeRegion: string
  readonly call: ServiceCall
  readonly report: CallReport
  readonly startMs: number
  readonly endMs: number
}

/** Options of {@link DemoTraffic}. */
export interface DemoTrafficOptions {
  readonly callersPerBlock: number
  /** Pause of a caller between two calls, in milliseconds. */
  readonly pauseMs: number
  readonly services: readonly string[]
}

/** Runs callers until they are stopped, and records their calls. */
export class DemoTraffic {
  readonly #local: LocalDeployment
  readonly #http: HttpExchangeClient
  readonly #options: DemoTrafficOptions
  readonly #stop = new AbortController()
  readonly #callers: Promise<void>[] = []
  readonly #calls: DemoCall[] = []

  constructor(local: LocalDeployment, http: HttpExchangeClient, options: DemoTrafficOptions) {
    this.#local = local
    this.#http = http
    this.#options = options
    // Every caller listens to this signal, more of them than the default limit allows for.
    setMaxListeners(0, this.#stop.signal)
  }

  /** Finished calls so far. */
  get calls(): readonly DemoCall[] {
    return this.#calls
  }

  start(): void {
    for (const block of blocksOf(this.#local.deployment)) {
      for (let index = 0; index < this.#options.callersPerBlock; index++) {
        this.#callers.push(this.#run(block, index))
      }
    }
  }

  /** Stops all callers after their current call. */
  async stop(): Promise<void> {
    this.#stop.abort()
    await Promise.all(this.#callers)
  }

  async #run(block: ClientBlock, index: number): Promise<void> {
    const region = regionOfSite(this.#local.deployment, block.site)
    const clientAddress = addressIn(block, index + 1)
    const client = new CallerClient(this.#createLookupSource(region), this.#http, systemClock, {
      clientAddress,
    })
    const { services, pauseMs } = this.#options
    for (let callIndex = index; !this.#stop.signal.aborted; callIndex++) {
      const service = services[callIndex % services.length] ?? ''
      const call = createCall(service, `${clientAddress}-${String(callIndex)}`, callIndex)
      const startMs = Date.now()
      const report = await client.call(call)
      this.#calls.push({ homeRegion: region, call, report, startMs, endMs: Date.now() })
      await sleep(pauseMs, this.#stop.signal)
    }
  }

  /** Returns the lookup daemons as a source, those of the caller's own region first. */
  #createLookupSource(region: string): HttpLookupSource {
    const ownRegionDaemons = this.#local.daemonsOf(MemberRole.Lookup, region)
    const allDaemons = this.#local.daemonsOf(MemberRole.Lookup)
    const otherDaemons = allDaemons.filter((daemon) => daemon.instance.region !== region)
    const addresses = [...ownRegionDaemons, ...otherDaemons].map((daemon) => daemon.serviceAddress)
    return new HttpLookupSource(this.#http, addresses)
  }
}

function createCall(service: string, name: string, callIndex: number): ServiceCall {
  const isOperation = callIndex % OPERATION_INTERVAL_CALLS === 0
  return {
    service,
    method: isOperation ? 'POST' : 'GET',
    target: `/${isOperation ? 'operations' : 'items'}/${name}`,
    headers: isOperation ? [['content-type', 'text/plain']] : [],
    body: Buffer.from(isOperation ? `content of ${name}` : ''),
    timeoutMs: CALL_TIMEOUT_MS,
    idempotent: !isOperation,
  }
}

function blocksOf(deployment: Deployment): ClientBlock[] {
  return deployment.records.flatMap((record) =>
    record.kind === RecordKind.PutBlocks ? record.blocks : [],
  )
}

function regionOfSite(deployment: Deployment, site: string): string {
  for (const record of deployment.records) {
    if (record.kind === RecordKind.PutSite && record.site.name === site) return record.site.region
  }
  throw new Error(`There is no site ${site}`)
}

/** Returns the address at offset `number` of an IPv4 or IPv6 block. */
function addressIn(block: ClientBlock, number: number): string {
  const base = block.cidr.split('/')[0] ?? ''
  if (base.includes(':')) return `${base.replace(/::$/, '')}::${number.toString(16)}`
  return [...base.split('.').slice(0, 3), String(number)].join('.')
}
