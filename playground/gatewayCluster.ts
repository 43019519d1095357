/**
 * Several gateways in this process with real sockets, a configuration set by the
 * test and a shared list of members. Used by gateway tests and histories.
 */
import { randomBytes } from 'node:crypto'
import type { Clock } from '../src/common/clock.js'
import { systemClock } from '../src/common/clock.js'
import { hashText } from '../src/common/hashing.js'
import { createLogger } from '../src/common/logger.js'
import { noMetrics } from '../src/common/metrics.js'
import { Ok } from '../src/common/results.js'
import { HttpRpcClient } from '../src/common/rpcClient.js'
import { HttpRpcServer } from '../src/common/rpcServer.js'
import { BlockTable } from '../src/configuration/blockTable.js'
import type { ConfigurationDocument, ServiceRecord } from '../src/configuration/document.js'
import type { Configuration, ConfigurationView } from '../src/configuration/view.js'
import type { LookupAnswer, LookupSource } from '../src/client/lookupSource.js'
import { ArrivalMeter } from '../src/gateway/arrivalMeter.js'
import type { Gateway, GatewayDependencies } from '../src/gateway/gatewayDaemon.js'
import { createGateway } from '../src/gateway/gatewayDaemon.js'
import type { GatewaySettings } from '../src/gateway/gatewaySettings.js'
import { GATEWAY_SETTINGS } from '../src/gateway/gatewaySettings.js'
import { checkSettings } from '../src/common/settings.js'
import type { Member, MemberRecord, MembershipView } from '../src/membership/memberRecord.js'
import { MemberHealth, MemberRole, MemberState } from '../src/membership/memberRecord.js'
import { OperationPrefixCodec } from '../src/operations/operationPrefix.js'
import { LeastOutstandingSource } from '../src/slots/leastOutstandingSource.js'

/** Authenticates calls between the gateways; also the key of the operation prefixes. */
export const CLUSTER_TOKEN = 'peer-token-of-the-cluster'

/** Configuration view that changes only by {@link SettableConfiguration.set}. */
export class SettableConfiguration implements ConfigurationView {
  #current: Configuration | undefined
  readonly #listeners = new Set<(configuration: Configuration) => void>()

  /** Merges `document` into the configuration, as a new revision, and notifies subscribers. */
  set(document: Partial<ConfigurationDocument>): void {
    const previous = this.#current?.document
    const revision = (this.#current?.revision ?? 0) + 1
    const empty: ConfigurationDocument = {
      regions: new Map(),
      links: new Map(),
      sites: new Map(),
      services: new Map(),
      steering: new Map(),
      shifts: new Map(),
      leaving: new Map(),
    }
    const merged = { ...(previous ?? empty), ...document }
    this.#current = { revision, document: merged, blocks: BlockTable.empty() }
    for (const listener of this.#listeners) listener(this.#current)
  }

  current(): Configuration | undefined {
    return this.#current
  }

  subscribe(listener: (configuration: Configuration) => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }
}

/** List of members that all gateways of the cluster share. */
export class SharedMembers {
  readonly #members = new Map<string, Member>()

  put(record: MemberRecord, health = MemberHealth.Alive): void {
    this.#members.set(record.memberId, { ...record, health })
  }

  remove(memberId: string): void {
    this.#members.delete(memberId)
  }

  /** Returns the membership view of one member. */
  viewOf(memberId: string): MembershipView {
    return {
      self: () => {
        const own = this.#members.get(memberId)
        if (own === undefined) throw new Error(`There is no member ${memberId}`)
        return own
      },
      members: () => [...this.#members.values()],
      find: (wanted) => this.#members.get(wanted),
      largestGatewayCount: (region) =>
        [...this.#members.values()].filter((member) => member.region === region).length,
      subscribe: () => () => undefined,
    }
  }
}

/** A running gateway of the cluster. */
export interface ClusterGateway {
  readonly memberId: string
  readonly region: string
  readonly incarnation: string
  readonly daemon: Gateway
  readonly callerAddress: string
  /** Stops the gateway without a drain. */
  kill(): Promise<void>
}

/** Options of one gateway. */
export interface ClusterGatewayOptions {
  readonly memberId: string
  readonly region: string
  /** Settings that override the defaults, as strings. */
  readonly settings?: Readonly<Record<string, string>>
  readonly clock?: Clock
}

/** Starts and tracks gateways in this process. */
export class GatewayCluster {
  readonly configuration = new SettableConfiguration()
  readonly members = new SharedMembers()
  readonly codec = new OperationPrefixCodec(CLUSTER_TOKEN)
  readonly #gateways = new Map<string, ClusterGateway>()
  readonly #leaving = new Set<string>()

  /** Running gateways. */
  get gateways(): readonly ClusterGateway[] {
    return [...this.#gateways.values()]
  }

  /** Starts a gateway; each start is a new incarnation of the member. */
  async startGateway(options: ClusterGatewayOptions): Promise<ClusterGateway> {
    const { memberId, region } = options
    const incarnation = randomBytes(8).toString('hex')
    const rpcServer = new HttpRpcServer({ host: '127.0.0.1', port: 0, token: CLUSTER_TOKEN })
    const rpc = new HttpRpcClient(CLUSTER_TOKEN)
    await rpcServer.start()
    this.members.put(this.#createRecord(options, incarnation, '', rpcServer.port))
    const dependencies = this.#createDependencies(options, rpc, rpcServer)
    const daemon = createGateway(dependencies, createGatewaySettings(options))
    await daemon.start()
    const callerAddress = `127.0.0.1:${String(daemon.callerPort)}`
    this.members.put(this.#createRecord(options, incarnation, callerAddress, rpcServer.port))
    const kill = async (): Promise<void> => {
      this.#gateways.delete(memberId)
      rpc.close()
      await Promise.all([daemon.kill(), rpcServer.stop(0)])
    }
    const gateway = { memberId, region, incarnation, daemon, callerAddress, kill }
    this.#gateways.set(memberId, gateway)
    return gateway
  }

  /** Stops all gateways without a drain. */
  async stop(): Promise<void> {
    await Promise.all(this.gateways.map((gateway) => gateway.kill()))
  }

  /** Issues an operation prefix, accepted for `validMs` milliseconds, as a lookup daemon does. */
  issuePrefix(
    gateway: ClusterGateway,
    service: string,
    validMs: number,
    overrides: { readonly homeRegion?: string; readonly shiftId?: string } = {},
  ): string {
    return this.codec.encode({
      gatewayId: gateway.memberId,
      incarnation: gateway.incarnation,
      service,
      homeRegion: overrides.homeRegion ?? gateway.region,
      ...(overrides.shiftId === undefined ? {} : { shiftId: overrides.shiftId }),
      acceptUntilMs: Date.now() + validMs,
      nonce: randomBytes(8).toString('hex'),
    })
  }

  /** Returns a look-up source of the region's live gateways, rotated by the client's address. */
  createLookupSource(region: string, cacheMs: number): LookupSource {
    return {
      lookup: (service, clientAddress) => {
        const live = this.gateways.filter(
          (gateway) =>
            gateway.region === region &&
            this.members.viewOf(gateway.memberId).self().state === MemberState.Live,
        )
        const offset = hashText(clientAddress)
        const entries = live
          .map((_, index) => live[(index + offset) % live.length])
          .filter((gateway) => gateway !== undefined)
          .map((gateway) => ({
            address: gateway.callerAddress,
            operationPrefix: this.issuePrefix(gateway, service, cacheMs + 2000),
          }))
        const answer: LookupAnswer = { entries, cacheMs }
        return Promise.resolve(Ok(answer))
      },
    }
  }

  #createRecord(
    options: ClusterGatewayOptions,
    incarnation: string,
    callerAddress: string,
    internalPort: number,
  ): MemberRecord {
    return {
      memberId: options.memberId,
      role: MemberRole.Gateway,
      incarnation,
      startedAtMs: Date.now(),
      version: 1,
      state: MemberState.Live,
      region: options.region,
      zone: `${options.region}-a`,
      site: `${options.region}-a`,
      callerAddress,
      internalAddress: `127.0.0.1:${String(internalPort)}`,
    }
  }

  #createDependencies(
    options: ClusterGatewayOptions,
    rpc: HttpRpcClient,
    server: HttpRpcServer,
  ): GatewayDependencies {
    const membership = this.members.viewOf(options.memberId)
    return {
      clock: options.clock ?? systemClock,
      configuration: this.configuration,
      membership,
      loads: { load: () => undefined, all: () => [] },
      rpc,
      methods: server,
      arrivals: new ArrivalMeter(),
      slots: new LeastOutstandingSource(this.configuration, options.region, (workerId) =>
        this.#leaving.has(workerId),
      ),
      log: createLogger('gateway'),
      metrics: noMetrics,
      onAnswer: (workerId, isLeaving) => {
        if (isLeaving) this.#leaving.add(workerId)
      },
      announceLeaving: () => {
        this.members.put({ ...membership.self(), state: MemberState.Leaving, version: 2 })
        return Promise.resolve()
      },
      loansReturned: () => Promise.resolve(),
    }
  }
}

/** Returns the validated settings of a gateway; `options.settings` overrides the defaults. */
function createGatewaySettings(options: ClusterGatewayOptions): GatewaySettings {
  const checked = checkSettings<GatewaySettings>(GATEWAY_SETTINGS, {
    memberId: options.memberId,
    region: options.region,
    zone: `${options.region}-a`,
    site: `${options.region}-a`,
    internalPort: '0',
    callerPort: '0',
    storeUrl: 'http://127.0.0.1:1',
    instanceListUrl: 'http://127.0.0.1:1',
    peerToken: CLUSTER_TOKEN,
    answerCacheMs: '200',
    ...options.settings,
  })
  return checked.unwrap()
}

/** Returns a service with default limits; `overrides` replaces its fields. */
export function createService(name: string, overrides: Partial<ServiceRecord>): ServiceRecord {
  return {
    name,
    priority: 1,
    idempotentMethods: ['GET', 'HEAD', 'OPTIONS'],
    workers: [],
    maxQueued: 200,
    defaultTimeoutMs: 2000,
    maxRequestBytes: 64 * 1024,
    maxResponseBytes: 64 * 1024,
    typicalResponseBytes: 400,
    linkWeight: 1,
    ...overrides,
  }
}
