/** The control daemon: wiring, start and graceful stop. */
import { randomBytes } from 'node:crypto'
import type { DependencyContainer } from 'tsyringe'
import { container as rootContainer, instanceCachingFactory } from 'tsyringe'
import { createLogger } from '../common/logger.js'
import type { HttpRpcServer } from '../common/rpcServer.js'
import { ConfigurationRepository } from '../configuration/configurationRepository.js'
import { DistributionMethod } from '../configuration/distributionMessages.js'
import { emptyConfiguration } from '../configuration/documentBuilder.js'
import type { Daemon } from '../daemon/daemonProgram.js'
import { runDaemonProgram } from '../daemon/daemonProgram.js'
import { DaemonRuntime } from '../daemon/daemonRuntime.js'
import { MemberRole } from '../membership/memberRecord.js'
import { PeriodicTasks } from './periodicTasks.js'
import { ControlMethods } from './controlMethods.js'
import { createControlServer } from './controlServer.js'
import type { ControlSettings } from './controlSettings.js'
import { CONTROL_SETTINGS } from './controlSettings.js'
import { LeaderLease } from './leaderLease.js'
import { DrainCleanup } from './drainCleanup.js'
import { OperatorStatus } from './operatorStatus.js'
import { PlanConfirmation } from './planConfirmation.js'
import { DEFAULT_PLAN_LIMITS } from './planContext.js'
import { PlanStore } from './planStore.js'
import { RepositoryChangeLog } from './repositoryChangeLog.js'
import { ShiftAdvancer } from './shiftAdvancer.js'
import { ShiftCommands } from './shiftCommands.js'
import { SnapshotScheduler } from './snapshotScheduler.js'

/** Dependency injection tokens of the control daemon. */
export const CONTROL_TOKENS = {
  runtime: Symbol('runtime'),
  repository: Symbol('repository'),
  changeLog: Symbol('changeLog'),
  plans: Symbol('plans'),
  methods: Symbol('methods'),
  status: Symbol('status'),
  server: Symbol('server'),
  periodicTasks: Symbol('periodicTasks'),
} as const

/** Time that operators' calls in progress get to complete when the daemon stops. */
const SERVER_STOP_TIMEOUT_MS = 10_000
const PLAN_ID_BYTES = 6
/** Store key of the lease for the periodic work. */
const LEADER_LEASE_KEY = 'control/duty'

/** Registers the components of the control daemon; each is created on first use. */
export function registerControlDaemon(settings: ControlSettings): DependencyContainer {
  const container = rootContainer.createChildContainer()
  const registerSingleton = (
    token: symbol,
    create: (components: ControlComponents) => object,
  ): void => {
    const factory = (): object => create(new ControlComponents(container, settings))
    container.register(token, { useFactory: instanceCachingFactory(factory) })
  }
  registerSingleton(
    CONTROL_TOKENS.runtime,
    () => new DaemonRuntime({ role: MemberRole.Control, settings }),
  )
  registerSingleton(CONTROL_TOKENS.repository, createRepository)
  registerSingleton(
    CONTROL_TOKENS.changeLog,
    (components) =>
      new RepositoryChangeLog(components.repository, components.runtime.configuration.view),
  )
  registerSingleton(CONTROL_TOKENS.plans, createPlanStore)
  registerSingleton(CONTROL_TOKENS.methods, createMethods)
  registerSingleton(CONTROL_TOKENS.status, createStatus)
  registerSingleton(CONTROL_TOKENS.server, (components) =>
    createControlServer(components.methods, components.status, {
      host: settings.host,
      port: settings.operatorPort,
      operatorToken: settings.operatorToken,
    }),
  )
  registerSingleton(CONTROL_TOKENS.periodicTasks, createPeriodicTasks)
  return container
}

export interface ControlDaemon extends Daemon {
  /** `host:port` of the operators' server; valid once the daemon has started. */
  readonly operatorAddress: string
}

/** Creates a control daemon from the components in `container`. */
export function createControlDaemon(
  settings: ControlSettings,
  container = registerControlDaemon(settings),
): ControlDaemon {
  const components = new ControlComponents(container, settings)
  const { runtime, server, periodicTasks } = components
  const operatorAddress = (): string => `${settings.host}:${String(server.port)}`
  return {
    get operatorAddress() {
      return operatorAddress()
    },
    start: async () => {
      await runtime.start(async () => {
        await server.start()
        createLogger('control').event('listening', { operatorAddress: operatorAddress() })
        // A control daemon serves no callers, so it announces no caller address.
        return ''
      })
      periodicTasks.start()
    },
    stop: () =>
      runtime.stop(async () => {
        await Promise.all([periodicTasks.stop(), server.stop(SERVER_STOP_TIMEOUT_MS)])
      }),
  }
}

/** Entry point of `bin/tamarackdrift-control.js`. */
export function main(argv: readonly string[]): Promise<void> {
  return runDaemonProgram('tamarackdrift-control', CONTROL_SETTINGS, argv, createControlDaemon)
}

/** Typed access to the components in the container. */
class ControlComponents {
  readonly settings: ControlSettings
  readonly #container: DependencyContainer

  constructor(container: DependencyContainer, settings: ControlSettings) {
    this.#container = container
    this.settings = settings
  }

  get runtime(): DaemonRuntime {
    return this.#container.resolve(CONTROL_TOKENS.runtime)
  }

  get repository(): ConfigurationRepository {
    return this.#container.resolve(CONTROL_TOKENS.repository)
  }

  get changeLog(): RepositoryChangeLog {
    return this.#container.resolve(CONTROL_TOKENS.changeLog)
  }

  get plans(): PlanStore {
    return this.#container.resolve(CONTROL_TOKENS.plans)
  }

  get methods(): ControlMethods {
    return this.#container.resolve(CONTROL_TOKENS.methods)
  }

  get status(): OperatorStatus {
    return this.#container.resolve(CONTROL_TOKENS.status)
  }

  get periodicTasks(): PeriodicTasks {
    return this.#container.resolve(CONTROL_TOKENS.periodicTasks)
  }

  get server(): HttpRpcServer {
    return this.#container.resolve(CONTROL_TOKENS.server)
  }
}

/** Separate from the runtime's repository, so that operators' calls have their own timeout. */
function createRepository({ runtime, settings }: ControlComponents): ConfigurationRepository {
  return new ConfigurationRepository(runtime.store, {
    callTimeoutMs: settings.storeTimeoutMs,
    view: runtime.configuration.view,
    clock: runtime.clock,
  })
}

function createPlanStore({ runtime, settings }: ControlComponents): PlanStore {
  const limits = { maxPlans: settings.maxPlans, retentionMs: settings.planRetentionMs }
  return new PlanStore(runtime.store, limits, settings.storeTimeoutMs)
}

function createMethods({ runtime, changeLog, plans, settings }: ControlComponents): ControlMethods {
  const { clock, loads } = runtime
  const configuration = runtime.configuration.view
  const limits = DEFAULT_PLAN_LIMITS
  return new ControlMethods({
    changeLog,
    configuration,
    emptyConfiguration: emptyConfiguration(),
    loads,
    limits,
    plans,
    confirmation: new PlanConfirmation({ plans, changeLog, configuration, loads, limits }, clock),
    shiftCommands: new ShiftCommands(changeLog, configuration),
    logger: createLogger('control'),
    planLifetimeMs: settings.planLifetimeMs,
    createPlanId: () => `plan-${randomBytes(PLAN_ID_BYTES).toString('hex')}`,
    clock,
  })
}

function createStatus({ runtime, changeLog, settings }: ControlComponents): OperatorStatus {
  return new OperatorStatus({
    changeLog,
    configuration: runtime.configuration.view,
    members: runtime.members,
    loads: runtime.loads,
    rpc: runtime.rpcClient,
    revisionMethod: DistributionMethod.AcknowledgedRevision,
    timeoutMs: settings.statusTimeoutMs,
    clock: runtime.clock,
  })
}

function createPeriodicTasks(components: ControlComponents): PeriodicTasks {
  const { runtime, changeLog, plans, repository, settings } = components
  const { store, members, loads, clock, instanceList } = runtime
  const { memberId, incarnation } = members.self()
  const configuration = runtime.configuration.view
  const logger = createLogger('control')
  const shared = { changeLog, configuration, logger, memberId, incarnation }
  return new PeriodicTasks({
    lease: new LeaderLease(store, {
      key: LEADER_LEASE_KEY,
      ownerId: `${memberId} ${incarnation}`,
      timeToLiveMs: settings.dutyLeaseMs,
      timeoutMs: settings.storeTimeoutMs,
    }),
    advancer: new ShiftAdvancer({ ...shared, loads, members }),
    drainCleanup: new DrainCleanup({
      ...shared,
      instanceList,
      listTimeoutMs: settings.storeTimeoutMs,
    }),
    snapshotScheduler: new SnapshotScheduler({
      ...shared,
      write: (current) => repository.writeSnapshot(current),
    }),
    plans,
    members,
    logger,
    intervalMs: settings.dutyIntervalMs,
    clock,
  })
}
