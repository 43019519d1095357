/** Deployment under test: store, backend servers behind proxies, and entry processes. */
import path from 'node:path'
import { ServerStandIn } from '../../platform/standIn/serverStandIn.js'
import { StoreStandIn } from '../../platform/standIn/storeStandIn.js'
import { CONFIGURATION_KEY, EVACUATION_PREFIX, SERVER_PREFIX } from '../../platform/wireNames.js'
import { EntryProcess } from './entryProcess.js'
import { FaultyProxy } from './faultyProxy.js'

/** Region of each availability zone. */
export const REGION_OF_ZONE: Readonly<Record<string, string>> = {
  'east-a': 'east',
  'east-b': 'east',
  'west-a': 'west',
  'west-b': 'west',
}
export const ZONES = Object.keys(REGION_OF_ZONE)
/** Time between SIGTERM and SIGKILL, as in deployments of the platform. */
export const GRACE_PERIOD_MS = 6000
/** Time within which a configuration must take effect, as in deployments of the platform. */
export const CONFIGURATION_APPLY_MS = 2500
/** Retry budget: resends per request and constant slack, as in deployments of the platform. */
export const RETRY_BUDGET_RATIO = 0.2
export const RETRY_BUDGET_SLACK = 56
/** Duration of a request at a backend server; short, so that a soak runs many requests. */
const WORK_DURATION_MS = 40
const SLOTS_PER_SERVER = 4
/** Number of versions whose probe routes the configuration holds. */
const MAX_PROBED_VERSIONS = 4

/** First three bytes of the instances' addresses; differ between soaks that run concurrently. */
const LOOPBACK_PREFIX = `127.${64 + (process.pid % 64)}.${Math.floor(process.pid / 64) % 256}`

export const SAFE_HOST = 'hints.example'
export const UNSAFE_HOST = 'coins.example'
export const HOME_HOST = 'cards.example'
export const PROBE_HOST = 'probe.example'
/** Region that may run the requests of {@link HOME_HOST}. */
export const HOME_REGION = 'east'

/** Backend server with the proxy in front of it. */
export interface SoakServer {
  readonly id: string
  readonly service: string
  readonly zone: string
  /** `host:port` of the proxy, which the server's store entry states. */
  readonly address: string
  readonly standIn: ServerStandIn
  readonly proxy: FaultyProxy
  isDraining: boolean
}

/** Called when a backend server starts to run a request. */
export type RunListener = (server: SoakServer, requestId: string) => void

/** Starts, changes and stops the components of the deployment. */
export class Deployment {
  readonly store = new StoreStandIn()
  readonly servers: SoakServer[] = []
  readonly entries: EntryProcess[] = []
  /** Proxy between each entry instance and the store, by the instance's name. */
  readonly storeProxies = new Map<string, FaultyProxy>()
  readonly #onRun: RunListener
  readonly #folder: string
  /** Last values that operators and backend servers wrote, by key. */
  readonly #written = new Map<string, unknown>()
  readonly #startedAtMs = Date.now()
  #version = 1
  /** Timeout of all routes, in configurations that are published from now on. */
  routeTimeoutMs = 1500
  /** Limit on bodies of requests, in configurations that are published from now on. */
  bodyBytes = 1_048_576
  /** Limit on the descriptors of each entry process; `undefined`: that of this process. */
  descriptors: number | undefined
  /** Memory of each machine in MB, as the settings state it; `undefined`: not stated. */
  memoryMb: number | undefined
  #serverCount = 0
  #writeCount = 0

  /** @param folder for settings files and logs */
  constructor(folder: string, onRun: RunListener) {
    this.#folder = folder
    this.#onRun = onRun
  }

  /** Newest configuration version. */
  get version(): number {
    return this.#version
  }

  async start(
    instances: number,
    serversPerService: number,
    nodeOptions: readonly string[],
  ): Promise<void> {
    const storeAddress = await this.store.start()
    this.#putConfiguration()
    for (const service of ['reveals', 'wallet']) {
      for (let index = 0; index < serversPerService; index += 1) {
        await this.addServer(service, ZONES[index % ZONES.length] ?? '')
      }
    }
    for (let index = 0; index < instances; index += 1) {
      await this.#addEntry(index, storeAddress, nodeOptions)
    }
    for (const entry of this.entries) entry.start()
  }

  /** Ends all processes, proxies and stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.entries.map((entry) => entry.terminate()))
    for (const { standIn, proxy } of this.servers) {
      proxy.stop()
      standIn.stop()
    }
    for (const storeProxy of this.storeProxies.values()) storeProxy.stop()
    this.store.stop()
  }

  async addServer(service: string, zone: string): Promise<SoakServer> {
    this.#serverCount += 1
    const id = `i-${this.#serverCount}`
    const standIn = new ServerStandIn(id, WORK_DURATION_MS, (requestId) => {
      this.#onRun(server, requestId)
    })
    const proxy = new FaultyProxy(await standIn.start())
    const address = await proxy.start()
    const server: SoakServer = { id, service, zone, address, standIn, proxy, isDraining: false }
    this.servers.push(server)
    this.#putServer(server, 'ready')
    return server
  }

  /** Marks a server as draining in the store; it keeps serving. */
  drain(server: SoakServer): void {
    server.isDraining = true
    this.#putServer(server, 'draining')
  }

  /** Stops a server and removes its store entry. */
  removeServer(server: SoakServer): void {
    this.servers.splice(this.servers.indexOf(server), 1)
    server.proxy.stop()
    server.standIn.stop()
    this.#remove(`${SERVER_PREFIX}${server.id}`)
  }

  /** Stores a new configuration with a probe route for its version. @returns the version */
  publishNextVersion(): number {
    this.#version += 1
    this.#putConfiguration()
    return this.#version
  }

  evacuate(zone: string): void {
    this.#put(`${EVACUATION_PREFIX}${zone}`, {})
  }

  endEvacuation(zone: string): void {
    this.#remove(`${EVACUATION_PREFIX}${zone}`)
  }

  async #addEntry(
    index: number,
    storeAddress: string,
    nodeOptions: readonly string[],
  ): Promise<void> {
    const name = `front-${index + 1}`
    const storeProxy = new FaultyProxy(storeAddress)
    this.storeProxies.set(name, storeProxy)
    const hosts = this.entries.map((entry) => entry.options.host)
    this.entries.push(
      new EntryProcess({
        name,
        host: `${LOOPBACK_PREFIX}.${index + 1}`,
        zone: ZONES[index % ZONES.length] ?? '',
        regionOfZone: REGION_OF_ZONE,
        storeAddress: await storeProxy.start(),
        seeds: hosts.slice(0, 3).map((host) => `${host}:18649`),
        graceMs: GRACE_PERIOD_MS,
        applyMs: CONFIGURATION_APPLY_MS,
        retryRatio: RETRY_BUDGET_RATIO,
        retrySlack: RETRY_BUDGET_SLACK,
        nodeOptions,
        descriptors: this.descriptors,
        memoryMb: this.memoryMb,
        folder: path.join(this.#folder, 'entries'),
      }),
    )
  }

  /** Writes again what operators and backend servers wrote and the store has lost. */
  rewriteStore(): void {
    for (const [key, value] of this.#written) {
      if (this.store.values(key)[0] !== JSON.stringify(value)) this.store.put(key, value)
    }
    const stored = [...this.store.keys(SERVER_PREFIX), ...this.store.keys(EVACUATION_PREFIX)]
    for (const key of stored) if (!this.#written.has(key)) this.store.remove(key)
  }

  #put(key: string, value: unknown): void {
    this.#written.set(key, value)
    this.store.put(key, value)
  }

  #remove(key: string): void {
    this.#written.delete(key)
    this.store.remove(key)
  }

  #putServer(server: SoakServer, state: string): void {
    const { id, service, zone, address } = server
    this.#writeCount += 1
    this.#put(`${SERVER_PREFIX}${id}`, {
      address,
      server_info: { service, version: 'v1', zone, slots: SLOTS_PER_SERVER },
      status: { state, sequence: this.#writeCount, cold_remaining: '0ms' },
      born: this.#startedAtMs,
    })
  }

  #putConfiguration(): void {
    const probes = Array.from(
      { length: Math.min(MAX_PROBED_VERSIONS, this.#version) },
      (_, index) => this.#version - index,
    )
    const timeoutMs = this.routeTimeoutMs
    const rows = [
      routeRow(timeoutMs, 'reveal', SAFE_HOST, '/', 'safe', 'reveals', []),
      routeRow(timeoutMs, 'spend', UNSAFE_HOST, '/', 'unsafe', 'wallet', []),
      routeRow(timeoutMs, 'charge', HOME_HOST, '/', 'unsafe', 'wallet', [HOME_REGION]),
      ...probes.map((version) =>
        routeRow(timeoutMs, `probe-${version}`, PROBE_HOST, `/v${version}/`, 'safe', 'reveals', []),
      ),
    ]
    this.#put(CONFIGURATION_KEY, {
      version: this.#version,
      routes: { columns: ROUTE_COLUMNS, rows },
      services: {
        columns: ['name', 'health_check_path', 'max_connections', 'cold_start', 'cold_per_s'],
        rows: ['reveals', 'wallet'].map((name) => [name, '/health', 330, '3s', 16]),
      },
      limits: {
        header_bytes: 16_384,
        body_bytes: this.bodyBytes,
        header_timeout: '3000ms',
        idle_timeout: '15000ms',
      },
    })
  }
}

const ROUTE_COLUMNS = [
  'name',
  'host',
  'prefix',
  'kind',
  'service',
  'home_regions',
  'timeout',
  'target_latency',
  'priority',
  'max_attempts',
  'session_affinity',
]

function routeRow(
  timeoutMs: number,
  name: string,
  host: string,
  prefix: string,
  kind: string,
  service: string,
  homeRegions: readonly string[],
): unknown[] {
  return [name, host, prefix, kind, service, homeRegions, `${timeoutMs}ms`, '300ms', 1, 2, true]
}
