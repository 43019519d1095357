/**
 * One region with a lookup daemon and several gateways, each in its own
 * process. The stand-ins of the platform and the backend servers run in this
 * process. Used for histories with kills, pauses and restarts.
 */
import { randomUUID } from 'node:crypto'
import { MemberRole } from '../src/membership/memberRecord.js'
import { ConfigurationRepository } from '../src/configuration/configurationRepository.js'
import type { ConfigurationRecord } from '../src/configuration/document.js'
import { RecordKind } from '../src/configuration/document.js'
import { InstanceKind, InstanceState } from '../src/platform/instanceList.js'
import { HttpKeyValueStore } from '../src/platform/httpKeyValueStore.js'
import { sleep } from '../src/common/clock.js'
import { BackendServer } from './backendServer.js'
import { createService } from './gatewayCluster.js'
import { InstanceListServer } from './instanceListServer.js'
import { LocalDaemon } from './localDeployment.js'
import { findFreePorts } from './managedProcess.js'
import { StoreServer } from './storeServer.js'

/** Name of the region's only service. */
export const PROCESS_SERVICE = 'coin-wallet'
/** Time for which callers may cache a look-up answer. */
export const PROCESS_CACHE_MS = 300

const REGION = 'sicilia'
const ZONE = 'sicilia-a'
const SLOTS = 4
const DEFAULT_BACKEND_SERVER_COUNT = 4
const STOP_TIMEOUT_MS = 10_000
const READY_TIMEOUT_MS = 15_000

/** Options of {@link GatewayProcesses.start}. */
export interface GatewayProcessesOptions {
  readonly gatewayCount: number
  /** Seed of the backend servers' random faults. */
  readonly seed: number
  /** Longest caller timeout, in milliseconds; bounds the duration of a gateway's shutdown. */
  readonly maxTimeoutMs: number
  /** Number of backend servers; 4 by default. */
  readonly backendServerCount?: number
}

/** The region's running daemons and stand-ins. */
export class GatewayProcesses {
  readonly gateways: readonly LocalDaemon[]
  readonly lookup: LocalDaemon
  readonly backendServers: readonly BackendServer[]
  readonly #store: StoreServer
  readonly #instances: InstanceListServer

  private constructor(
    daemons: { readonly gateways: readonly LocalDaemon[]; readonly lookup: LocalDaemon },
    backendServers: readonly BackendServer[],
    store: StoreServer,
    instances: InstanceListServer,
  ) {
    this.gateways = daemons.gateways
    this.lookup = daemons.lookup
    this.backendServers = backendServers
    this.#store = store
    this.#instances = instances
  }

  /** Starts all stand-ins and daemons, and waits until look-ups return the gateways. */
  static async start(options: GatewayProcessesOptions): Promise<GatewayProcesses> {
    const backendServers = Array.from(
      { length: options.backendServerCount ?? DEFAULT_BACKEND_SERVER_COUNT },
      (_, index) =>
        new BackendServer({
          workerId: `w${String(index + 1)}`,
          slots: SLOTS,
          seed: options.seed + index,
        }),
    )
    const store = new StoreServer(0)
    const instances = new InstanceListServer(0)
    await Promise.all([
      store.start(),
      instances.start(),
      ...backendServers.map((server) => server.start()),
    ])
    await commitRecords(store.url, createRecords(backendServers))
    const daemons = await createDaemons(options, store.url, instances.url)
    const allDaemons = [daemons.lookup, ...daemons.gateways]
    for (const daemon of allDaemons) addToInstanceList(instances, daemon)
    for (const daemon of allDaemons) daemon.start()
    const processes = new GatewayProcesses(daemons, backendServers, store, instances)
    await Promise.all(allDaemons.map((daemon) => daemon.ready()))
    await processes.#waitForGatewayEntries(options.gatewayCount)
    return processes
  }

  /** Marks a backend server as leaving in the instance list; its own answers don't announce it. */
  listAsLeaving(worker: BackendServer): void {
    this.#instances.put({
      instanceId: worker.workerId,
      kind: InstanceKind.Backend,
      state: InstanceState.Leaving,
      generation: 1,
      region: REGION,
      zone: ZONE,
      address: worker.address,
    })
  }

  /** Commits an operator's change that marks a backend server as leaving. */
  async commitLeaving(worker: BackendServer): Promise<void> {
    const leaving = { workerId: worker.workerId, generation: 1 }
    await commitRecords(this.#store.url, [{ kind: RecordKind.MarkLeaving, leaving }])
  }

  /** Stops all daemons and stand-ins. */
  async stop(): Promise<void> {
    const allDaemons = [this.lookup, ...this.gateways]
    await Promise.all(allDaemons.map((daemon) => daemon.process.stop(STOP_TIMEOUT_MS)))
    await Promise.all(this.backendServers.map((server) => server.stop()))
    await Promise.all([this.#store.stop(), this.#instances.stop()])
  }

  /** Waits until a look-up returns `count` gateways, or three if there are more. */
  async #waitForGatewayEntries(count: number): Promise<void> {
    const url = `http://${this.lookup.serviceAddress}/lookup?service=${PROCESS_SERVICE}&client=10.0.0.1`
    const deadlineMs = Date.now() + READY_TIMEOUT_MS
    while (Date.now() < deadlineMs) {
      const answer = await fetch(url)
      const content = (await answer.json()) as { readonly entries?: readonly unknown[] }
      if ((content.entries ?? []).length >= Math.min(3, count)) return
      await sleep(50)
    }
    throw new Error(`The lookup daemon does not return ${String(count)} gateways`)
  }
}

function createRecords(backendServers: readonly BackendServer[]): ConfigurationRecord[] {
  const workerRecords = backendServers.map((server) => ({
    workerId: server.workerId,
    generation: 1,
    address: server.address,
    region: REGION,
    zone: ZONE,
    slots: SLOTS,
  }))
  return [
    { kind: RecordKind.PutRegion, region: { name: REGION, zones: [ZONE] } },
    { kind: RecordKind.PutSite, site: { name: ZONE, region: REGION, zone: ZONE } },
    { kind: RecordKind.PutBlocks, blocks: [{ cidr: '10.0.0.0/16', site: ZONE, weight: 1 }] },
    {
      kind: RecordKind.PutService,
      service: createService(PROCESS_SERVICE, { workers: workerRecords }),
    },
  ]
}

async function commitRecords(
  storeUrl: string,
  records: readonly ConfigurationRecord[],
): Promise<void> {
  const repository = new ConfigurationRepository(new HttpKeyValueStore(storeUrl))
  const head = await repository.readHead()
  const change = {
    changeId: randomUUID(),
    operator: 'test',
    createdAtMs: Date.now(),
    summary: 'change of a test',
    records,
  }
  const committed = await repository.commit(change, head.unwrap().revision)
  committed.unwrap()
}

async function createDaemons(
  options: GatewayProcessesOptions,
  storeUrl: string,
  instanceListUrl: string,
): Promise<{ gateways: LocalDaemon[]; lookup: LocalDaemon }> {
  const ports = await findFreePorts(2 * (options.gatewayCount + 1))
  const environment = {
    TAMARACKDRIFT_STORE_URL: storeUrl,
    TAMARACKDRIFT_INSTANCE_LIST_URL: instanceListUrl,
    TAMARACKDRIFT_PEER_TOKEN: 'peer-token-of-the-processes',
    TAMARACKDRIFT_ANSWER_CACHE_MS: String(PROCESS_CACHE_MS),
    TAMARACKDRIFT_MAX_TIMEOUT_MS: String(options.maxTimeoutMs),
    TAMARACKDRIFT_LOGS: 'tamarackdrift:daemon',
  }
  const create = (instanceId: string, role: MemberRole): LocalDaemon => {
    const instance = { instanceId, region: REGION, zone: ZONE, site: ZONE }
    const daemonPorts = [ports.shift() ?? 0, ports.shift() ?? 0] as const
    return new LocalDaemon(instance, role, daemonPorts, environment)
  }
  const gateways = Array.from({ length: options.gatewayCount }, (_, index) =>
    create(`entry-${String(index + 1)}`, MemberRole.Gateway),
  )
  return { gateways, lookup: create('entry-1', MemberRole.Lookup) }
}

function addToInstanceList(instances: InstanceListServer, daemon: LocalDaemon): void {
  instances.put({
    instanceId: daemon.memberId,
    kind: InstanceKind.Entry,
    state: InstanceState.Live,
    generation: 1,
    region: REGION,
    zone: ZONE,
    address: daemon.internalAddress,
  })
}
