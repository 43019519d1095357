/**
 * A complete example deployment on this machine: the stand-ins of the platform
 * and of the backend servers run in this process, every daemon of every entry
 * instance in its own process. Used by the demo and by fault tests.
 */
import { MemberRole } from '../src/membership/memberRecord.js'
import { InstanceKind, InstanceState } from '../src/platform/instanceList.js'
import { BackendServer } from './backendServer.js'
import type { Deployment, EntryInstance } from './deployment.js'
import { assignLoopbackPorts, workersOf } from './deployment.js'
import { InstanceListServer } from './instanceListServer.js'
import type { ProcessExit } from './managedProcess.js'
import { ManagedProcess, findFreePorts, waitUntilServing } from './managedProcess.js'
import { StoreServer } from './storeServer.js'

const HOST = '127.0.0.1'
/** Authenticates calls between the daemons of a local deployment. */
export const PEER_TOKEN = 'peer-token-of-the-local-deployment'
const PREFIX_KEY = 'prefix-key-of-the-local-deployment'
/** Authenticates requests to the operators' port of a local deployment's control daemons. */
export const OPERATOR_TOKEN = 'operator-token-of-the-local-deployment'
const START_TIMEOUT_MS = 20_000
const STOP_TIMEOUT_MS = 10_000

const PROGRAMS: Readonly<Record<MemberRole, string>> = {
  [MemberRole.Lookup]: 'bin/tamarackdrift-lookup.js',
  [MemberRole.Gateway]: 'bin/tamarackdrift-gateway.js',
  [MemberRole.Control]: 'bin/tamarackdrift-control.js',
}

/** Options of a local deployment. */
export interface LocalDeploymentOptions {
  readonly deployment: Deployment
  /** Log areas of the daemons, in the syntax of `debug`. */
  readonly logs: string
  /** Environment variables that override the daemons' default settings. */
  readonly environment?: Readonly<Record<string, string>>
}

/** A daemon of the deployment, with its ports and its process. */
export class LocalDaemon {
  readonly memberId: string
  readonly role: MemberRole
  readonly instance: EntryInstance
  readonly internalPort: number
  /** Port for callers, or for operators on control daemons. */
  readonly servicePort: number
  readonly #environment: Readonly<Record<string, string>>
  #process: ManagedProcess | undefined

  constructor(
    instance: EntryInstance,
    role: MemberRole,
    ports: readonly [internalPort: number, servicePort: number],
    environment: Readonly<Record<string, string>>,
  ) {
    this.memberId = `${instance.instanceId}/${role}`
    this.role = role
    this.instance = instance
    this.internalPort = ports[0]
    this.servicePort = ports[1]
    this.#environment = environment
  }

  get serviceAddress(): string {
    return `${HOST}:${String(this.servicePort)}`
  }

  get internalAddress(): string {
    return `${HOST}:${String(this.internalPort)}`
  }

  /** The most recently started process. @throws Error before the first {@link start} */
  get process(): ManagedProcess {
    if (this.#process === undefined) throw new Error(`${this.memberId} was not started`)
    return this.#process
  }

  /** Starts the process; a later call starts a new incarnation at the same address. */
  start(): void {
    const { region, zone, site } = this.instance
    this.#process = ManagedProcess.start(this.memberId, PROGRAMS[this.role], [], {
      ...this.#environment,
      TAMARACKDRIFT_MEMBER_ID: this.memberId,
      TAMARACKDRIFT_REGION: region,
      TAMARACKDRIFT_ZONE: zone,
      TAMARACKDRIFT_SITE: site,
      TAMARACKDRIFT_INTERNAL_PORT: String(this.internalPort),
      TAMARACKDRIFT_CALLER_PORT: String(this.servicePort),
      TAMARACKDRIFT_OPERATOR_PORT: String(this.servicePort),
    })
  }

  /** Resolves once the service port answers. */
  async ready(): Promise<void> {
    const url = `http://${this.serviceAddress}/health`
    await waitUntilServing(url, this.process, START_TIMEOUT_MS)
  }
}

/** A running deployment: its stand-ins and daemon processes. */
export class LocalDeployment {
  readonly deployment: Deployment
  readonly store: StoreServer
  readonly instanceList: InstanceListServer
  readonly backendServers: readonly BackendServer[]
  readonly daemons: readonly LocalDaemon[]

  private constructor(
    deployment: Deployment,
    store: StoreServer,
    instanceList: InstanceListServer,
    backendServers: readonly BackendServer[],
    daemons: readonly LocalDaemon[],
  ) {
    this.deployment = deployment
    this.store = store
    this.instanceList = instanceList
    this.backendServers = backendServers
    this.daemons = daemons
  }

  /** Starts the stand-ins and all daemons, with an empty configuration. */
  static async start(options: LocalDeploymentOptions): Promise<LocalDeployment> {
    const workerCount = workersOf(options.deployment).length
    const daemonCount = options.deployment.entryInstances.length * 3
    const ports = await findFreePorts(workerCount + 2 * daemonCount + 2)
    const [storePort = 0, listPort = 0, ...otherPorts] = ports
    const deployment = assignLoopbackPorts(options.deployment, otherPorts[0] ?? 0)
    const store = new StoreServer(storePort)
    const instanceList = new InstanceListServer(listPort)
    await Promise.all([store.start(), instanceList.start()])
    const backendServers = await startBackendServers(deployment)
    const daemons = createDaemons(deployment, otherPorts.slice(workerCount), {
      TAMARACKDRIFT_STORE_URL: store.url,
      TAMARACKDRIFT_INSTANCE_LIST_URL: instanceList.url,
      TAMARACKDRIFT_PEER_TOKEN: PEER_TOKEN,
      TAMARACKDRIFT_PREFIX_KEY: PREFIX_KEY,
      TAMARACKDRIFT_OPERATOR_TOKEN: OPERATOR_TOKEN,
      TAMARACKDRIFT_LOGS: options.logs,
      ...options.environment,
    })
    const local = new LocalDeployment(deployment, store, instanceList, backendServers, daemons)
    local.#listInstances()
    await local.#startDaemons()
    return local
  }

  /** Returns the daemons of a role, optionally of one region. */
  daemonsOf(role: MemberRole, region?: string): readonly LocalDaemon[] {
    return this.daemons.filter(
      (daemon) =>
        daemon.role === role && (region === undefined || daemon.instance.region === region),
    )
  }

  /** Returns a daemon by member identifier, for example `nyeri-1/gateway`. */
  daemon(memberId: string): LocalDaemon {
    const found = this.daemons.find((daemon) => daemon.memberId === memberId)
    if (found === undefined)
      throw new Error(`There is no daemon with the member identifier ${memberId}`)
    return found
  }

  /** Stops all daemons and stand-ins. @returns how each daemon that still ran has ended */
  async stop(): Promise<readonly ProcessExit[]> {
    const running = this.daemons.filter((daemon) => daemon.process.isRunning)
    const exits = await Promise.all(running.map((daemon) => daemon.process.stop(STOP_TIMEOUT_MS)))
    await Promise.all(this.backendServers.map((server) => server.stop()))
    await Promise.all([this.store.stop(), this.instanceList.stop()])
    return exits
  }

  async #startDaemons(): Promise<void> {
    for (const daemon of this.daemons) daemon.start()
    try {
      await Promise.all(this.daemons.map((daemon) => daemon.ready()))
    } catch (error) {
      await this.stop()
      throw error
    }
  }

  #listInstances(): void {
    for (const daemon of this.daemons) {
      this.instanceList.put({
        instanceId: daemon.memberId,
        kind: InstanceKind.Entry,
        state: InstanceState.Live,
        generation: 1,
        region: daemon.instance.region,
        zone: daemon.instance.zone,
        address: daemon.internalAddress,
      })
    }
    for (const worker of workersOf(this.deployment)) {
      this.instanceList.put({
        instanceId: worker.workerId,
        kind: InstanceKind.Backend,
        state: InstanceState.Live,
        generation: worker.generation,
        region: worker.region,
        zone: worker.zone,
        address: worker.address,
      })
    }
  }
}

async function startBackendServers(deployment: Deployment): Promise<BackendServer[]> {
  const servers = workersOf(deployment).map(
    (worker) =>
      new BackendServer({
        port: Number(worker.address.split(':')[1]),
        workerId: worker.workerId,
        slots: worker.slots,
      }),
  )
  await Promise.all(servers.map((server) => server.start()))
  return servers
}

function createDaemons(
  deployment: Deployment,
  ports: readonly number[],
  environment: Readonly<Record<string, string>>,
): LocalDaemon[] {
  const instanceRoles = deployment.entryInstances.flatMap((instance) =>
    Object.values(MemberRole).map((role) => ({ instance, role })),
  )
  return instanceRoles.map(({ instance, role }, index) => {
    const daemonPorts = [ports[2 * index] ?? 0, ports[2 * index + 1] ?? 0] as const
    return new LocalDaemon(instance, role, daemonPorts, environment)
  })
}
