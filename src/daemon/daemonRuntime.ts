/**
 * Components that every daemon has: RPC server and client for peers, store, configuration,
 * membership.
 */
import { randomBytes } from 'node:crypto'
import type { Clock } from '../common/clock.js'
import { systemClock } from '../common/clock.js'
import { createLogger } from '../common/logger.js'
import type { Metrics } from '../common/metrics.js'
import { createMetrics, noMetrics } from '../common/metrics.js'
import type { RpcClient, RpcMethodRegistry } from '../common/rpc.js'
import { HttpRpcClient } from '../common/rpcClient.js'
import { HttpRpcServer } from '../common/rpcServer.js'
import type { MemberRecord, MemberRole } from '../membership/memberRecord.js'
import { MemberState } from '../membership/memberRecord.js'
import { MemberTable } from '../membership/memberTable.js'
import { MembershipExchange } from '../membership/membershipExchange.js'
import { HttpInstanceList } from '../platform/httpInstanceList.js'
import { HttpKeyValueStore } from '../platform/httpKeyValueStore.js'
import type { InstanceList } from '../platform/instanceList.js'
import type { KeyValueStore } from '../platform/keyValueStore.js'
import { LoadAggregation } from '../shift/loadAggregation.js'
import type { ServiceSummary } from '../shift/regionLoadTable.js'
import { RegionLoadTable } from '../shift/regionLoadTable.js'
import { ConfigurationComponents } from './configurationComponents.js'
import type { DaemonSettings } from './daemonSettings.js'

/** Options of {@link DaemonRuntime}. */
export interface DaemonRuntimeOptions {
  readonly role: MemberRole
  readonly settings: DaemonSettings
  readonly clock?: Clock
  /** Identifiers of the members that this daemon depends on and therefore probes in turn. */
  readonly watchedMembers?: () => readonly string[]
  /** Load of this gateway, including the slots that it owns; not set in other daemons. */
  readonly ownLoad?: (nowMs: number) => readonly ServiceSummary[]
}

/** Time that peers' calls in progress get to complete when the daemon stops. */
const RPC_STOP_TIMEOUT_MS = 2000

/**
 * Creates and wires the shared components. A daemon registers its own methods with
 * {@link DaemonRuntime.methods} and payloads with {@link DaemonRuntime.exchange}, then calls
 * {@link DaemonRuntime.start} and, on SIGTERM, {@link DaemonRuntime.stop}.
 */
export class DaemonRuntime {
  readonly settings: DaemonSettings
  readonly clock: Clock
  readonly metrics: Metrics
  readonly store: KeyValueStore
  readonly instanceList: InstanceList
  readonly members: MemberTable
  readonly exchange: MembershipExchange
  readonly loads: RegionLoadTable
  readonly configuration: ConfigurationComponents
  readonly #server: HttpRpcServer
  readonly #rpcClient: HttpRpcClient
  readonly #loadAggregation: LoadAggregation
  readonly #logger = createLogger('daemon')
  #stopped: Promise<void> | undefined

  constructor(options: DaemonRuntimeOptions) {
    const { settings } = options
    this.settings = settings
    this.clock = options.clock ?? systemClock
    this.metrics =
      settings.metricsHost === ''
        ? noMetrics
        : createMetrics(settings.metricsHost, settings.metricsPort, {
            member: settings.memberId,
            region: settings.region,
          })
    this.store = new HttpKeyValueStore(settings.storeUrl)
    this.instanceList = new HttpInstanceList(settings.instanceListUrl)
    this.#server = new HttpRpcServer({
      host: settings.host,
      port: settings.internalPort,
      token: settings.peerToken,
    })
    this.#rpcClient = new HttpRpcClient(settings.peerToken)
    this.members = new MemberTable(createOwnRecord(settings, options.role, this.clock()))
    this.exchange = new MembershipExchange(this.members, this.#rpcClient, this.instanceList, {
      clock: this.clock,
      ...(options.watchedMembers === undefined ? {} : { watchedMembers: options.watchedMembers }),
    })
    this.loads = new RegionLoadTable()
    this.exchange.addPayloadProvider(this.loads)
    this.#loadAggregation = new LoadAggregation(this.loads, this.members, this.#rpcClient, {
      clock: this.clock,
      ...(options.ownLoad === undefined ? {} : { ownLoad: options.ownLoad }),
    })
    this.configuration = new ConfigurationComponents(
      this.store,
      this.members,
      this.#rpcClient,
      this.clock,
    )
    this.exchange.registerMethods(this.#server)
    this.configuration.registerMethods(this.#server)
    this.#loadAggregation.registerMethods(this.#server)
  }

  /** Registry of the methods that the daemon serves to peers; register them before the start. */
  get methods(): RpcMethodRegistry {
    return this.#server
  }

  /** RPC client for calls to peers. */
  get rpcClient(): RpcClient {
    return this.#rpcClient
  }

  /**
   * Starts the server for peers, then the daemon's server for callers, then joins the members and
   * fetches the configuration. Resolves even if neither the store nor peers can be reached.
   *
   * @param startCallerServer returns the `host:port` for callers, or an empty string if there is none
   */
  async start(startCallerServer: () => Promise<string>): Promise<void> {
    await this.#server.start()
    const internalAddress = `${this.settings.host}:${String(this.#server.port)}`
    const callerAddress = await startCallerServer()
    this.members.announceAddresses({ callerAddress, internalAddress }, this.clock())
    await this.exchange.start()
    this.#loadAggregation.start()
    await this.configuration.start()
    this.#logger.event('started', {
      memberId: this.settings.memberId,
      incarnation: this.members.self().incarnation,
      internalAddress,
      callerAddress,
      members: this.members.members().length,
      revision: this.configuration.view.current()?.revision ?? null,
    })
  }

  /**
   * Announces that the daemon is leaving, waits for `drain`, then stops the shared components.
   * Further calls return the promise of the first call.
   *
   * @param drain completes the daemon's own work in progress
   */
  stop(drain: () => Promise<void>): Promise<void> {
    this.#stopped ??= this.#stop(drain)
    return this.#stopped
  }

  async #stop(drain: () => Promise<void>): Promise<void> {
    await this.exchange.announceLeaving()
    await drain()
    await this.#loadAggregation.stop()
    await this.exchange.stop()
    await this.configuration.stop()
    await this.#server.stop(RPC_STOP_TIMEOUT_MS)
    this.#rpcClient.close()
    this.#logger.event('stopped', { memberId: this.settings.memberId })
    await this.metrics.close()
  }
}

function createOwnRecord(settings: DaemonSettings, role: MemberRole, nowMs: number): MemberRecord {
  return {
    memberId: settings.memberId,
    role,
    incarnation: randomBytes(8).toString('hex'),
    startedAtMs: nowMs,
    version: 0,
    state: MemberState.Live,
    region: settings.region,
    zone: settings.zone,
    site: settings.site,
    callerAddress: '',
    internalAddress: `${settings.host}:${String(settings.internalPort)}`,
  }
}
