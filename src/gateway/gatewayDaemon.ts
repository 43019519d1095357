/** Assembles a gateway and shuts it down gracefully. */
import 'reflect-metadata'
import type { DependencyContainer } from 'tsyringe'
import { container as rootContainer, instanceCachingFactory } from 'tsyringe'
import type { Clock } from '../common/clock.js'
import { nonDecreasingClock, sleep } from '../common/clock.js'
import type { Logger } from '../common/logger.js'
import type { Metrics } from '../common/metrics.js'
import type { RpcClient, RpcMethodRegistry } from '../common/rpc.js'
import type { ConfigurationView } from '../configuration/view.js'
import type { MembershipView } from '../membership/memberRecord.js'
import { OperationLedger } from '../operations/operationLedger.js'
import { OperationPrefixCodec } from '../operations/operationPrefix.js'
import type { RegionLoadView } from '../shift/regionLoad.js'
import type { SlotSource } from '../slots/slotSource.js'
import type { ArrivalMeter } from './arrivalMeter.js'
import { HttpBackendClient } from './backendClient.js'
import type { GatewayAnswer } from './gatewayRequest.js'
import { registerGatewayMethods } from './gatewayMethods.js'
import { GatewayServer } from './gatewayServer.js'
import type { GatewaySettings } from './gatewaySettings.js'
import type { HedgeSource } from './hedgedAttempt.js'
import { LinkBudget } from './linkBudget.js'
import type { AnswerListener } from './localRunner.js'
import { LocalRunner } from './localRunner.js'
import { MovedTrafficBudget } from './movedTrafficBudget.js'
import { RequestForwarder } from './requestForwarder.js'
import { RegionRouting } from './regionRouting.js'
import { RequestExecutor } from './requestExecutor.js'
import { RetryBudget } from './retryBudget.js'

/** Dependencies of a gateway: components that all daemons share, and the slot dispatcher. */
export interface GatewayDependencies {
  readonly clock: Clock
  readonly configuration: ConfigurationView
  readonly membership: MembershipView
  readonly loads: RegionLoadView
  readonly rpc: RpcClient
  readonly methods: RpcMethodRegistry
  readonly slots: SlotSource
  readonly hedges?: HedgeSource
  readonly arrivals: ArrivalMeter
  readonly log: Logger
  readonly metrics: Metrics
  readonly onAnswer: AnswerListener
  /** Tells the other members that this one is leaving. */
  announceLeaving(): Promise<void>
  /**
   * Resolves once no slot of this gateway is lent, at the latest when the deadlines of the
   * loans have passed.
   */
  loansReturned(): Promise<void>
}

/** Dependency injection tokens of the gateway. */
export const gatewayTokens = {
  dependencies: Symbol('GatewayDependencies'),
  settings: Symbol('GatewaySettings'),
  codec: Symbol('OperationPrefixCodec'),
  backend: Symbol('HttpBackendClient'),
  retryBudget: Symbol('RetryBudget'),
  routing: Symbol('RegionRouting'),
  forwarder: Symbol('RequestForwarder'),
  localRunner: Symbol('LocalRunner'),
  executor: Symbol('RequestExecutor'),
  server: Symbol('GatewayServer'),
}

const IDLE_POLL_MS = 20
/**
 * Connections are closed only after this time without a new request. A caller may
 * send a request just before its cached look-up answer expires, and would see a
 * connection that closes while the request is in flight as a broken request.
 */
const MIN_IDLE_MS = 250
const REQUEST_ID_PREFIX_LENGTH = 8

/** A gateway, without the components that all daemons share. */
export class Gateway {
  readonly #dependencies: GatewayDependencies
  readonly #settings: GatewaySettings
  readonly #executor: RequestExecutor
  readonly #server: GatewayServer
  readonly #backend: HttpBackendClient
  #drained: Promise<void> | undefined

  constructor(container: DependencyContainer) {
    this.#dependencies = container.resolve(gatewayTokens.dependencies)
    this.#settings = container.resolve(gatewayTokens.settings)
    this.#executor = container.resolve(gatewayTokens.executor)
    this.#server = container.resolve(gatewayTokens.server)
    this.#backend = container.resolve(gatewayTokens.backend)
    registerGatewayMethods(
      this.#dependencies.methods,
      this.#executor,
      container.resolve(gatewayTokens.codec),
    )
  }

  /** Port for callers, after {@link start}. */
  get callerPort(): number {
    return this.#server.port
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.#executor.inFlight
  }

  async start(): Promise<void> {
    await this.#server.start()
  }

  /**
   * Shuts down gracefully: announces that this gateway is leaving, serves until the look-up
   * answers that name it have expired and all requests in flight have ended, then closes.
   * Later calls return the promise of the first one.
   */
  drain(): Promise<void> {
    this.#drained ??= this.#drain()
    return this.#drained
  }

  /** Stops immediately and drops requests in flight; simulates a crash in tests. */
  async kill(): Promise<void> {
    this.#backend.close()
    await this.#server.stop(0)
  }

  async #drain(): Promise<void> {
    const { clock, log, metrics } = this.#dependencies
    const startedAtMs = clock()
    log.event('drainStarted', { inFlight: this.#executor.inFlight })
    this.#server.startLeaving()
    await this.#dependencies.announceLeaving()
    await sleep(this.#settings.answerCacheMs)
    this.#executor.refuseNewRuns()
    await this.#waitUntilIdle(clock() + this.#settings.maxTimeoutMs)
    await this.#dependencies.loansReturned()
    await this.#server.stop(this.#settings.maxTimeoutMs)
    this.#backend.close()
    const durationMs = clock() - startedAtMs
    metrics.timing('gateway.drain', durationMs, {})
    log.event('drainEnded', { durationMs, inFlight: this.#executor.inFlight })
  }

  /** Waits until no request is in flight; bounded, since every request ends by its deadline. */
  async #waitUntilIdle(latestMs: number): Promise<void> {
    const { clock } = this.#dependencies
    const startedAtMs = clock()
    const isIdle = (): boolean => {
      const sinceMs = Math.max(startedAtMs, this.#executor.lastArrivalMs)
      return this.#executor.inFlight === 0 && clock() - sinceMs >= MIN_IDLE_MS
    }
    while (!isIdle() && clock() < latestMs) await sleep(IDLE_POLL_MS)
  }
}

/** Creates a gateway and its dependency container. */
export function createGateway(
  dependencies: GatewayDependencies,
  settings: GatewaySettings,
): Gateway {
  const container = rootContainer.createChildContainer()
  container.register(gatewayTokens.dependencies, { useValue: dependencies })
  container.register(gatewayTokens.settings, { useValue: settings })
  registerBudgets(container, dependencies, settings)
  registerRequestPath(container, dependencies, settings)
  return new Gateway(container)
}

function registerOnce(
  container: DependencyContainer,
  token: symbol,
  create: (container: DependencyContainer) => object,
): void {
  container.register(token, { useFactory: instanceCachingFactory(create) })
}

function registerBudgets(
  container: DependencyContainer,
  dependencies: GatewayDependencies,
  settings: GatewaySettings,
): void {
  registerOnce(container, gatewayTokens.codec, () => new OperationPrefixCodec(settings.peerToken))
  registerOnce(container, gatewayTokens.retryBudget, () => new RetryBudget())
  registerOnce(
    container,
    gatewayTokens.backend,
    () =>
      new HttpBackendClient({
        maxConnectionsPerWorker: settings.maxConnectionsPerWorker,
        idleMs: settings.backendIdleMs,
        clock: dependencies.clock,
      }),
  )
  registerOnce(
    container,
    gatewayTokens.routing,
    () =>
      new RegionRouting({
        membership: dependencies.membership,
        loads: dependencies.loads,
        movedTraffic: new MovedTrafficBudget(),
      }),
  )
}

function registerRequestPath(
  container: DependencyContainer,
  dependencies: GatewayDependencies,
  settings: GatewaySettings,
): void {
  registerOnce(
    container,
    gatewayTokens.forwarder,
    (scope) =>
      new RequestForwarder({
        ...dependencies,
        routing: scope.resolve<RegionRouting>(gatewayTokens.routing),
        linkBudget: new LinkBudget(),
        retryBudget: scope.resolve<RetryBudget>(gatewayTokens.retryBudget),
      }),
  )
  registerOnce(
    container,
    gatewayTokens.localRunner,
    (scope) =>
      new LocalRunner({
        ...dependencies,
        backend: scope.resolve<HttpBackendClient>(gatewayTokens.backend),
        retryBudget: scope.resolve<RetryBudget>(gatewayTokens.retryBudget),
      }),
  )
  registerOnce(container, gatewayTokens.executor, (scope) =>
    createExecutor(scope, dependencies, settings),
  )
  registerOnce(
    container,
    gatewayTokens.server,
    (scope) =>
      new GatewayServer(
        {
          ...settings,
          port: settings.callerPort,
          requestIdPrefix: dependencies.membership
            .self()
            .incarnation.slice(0, REQUEST_ID_PREFIX_LENGTH),
        },
        {
          clock: dependencies.clock,
          configuration: dependencies.configuration,
          executor: scope.resolve<RequestExecutor>(gatewayTokens.executor),
          codec: scope.resolve<OperationPrefixCodec>(gatewayTokens.codec),
        },
      ),
  )
}

function createExecutor(
  container: DependencyContainer,
  dependencies: GatewayDependencies,
  settings: GatewaySettings,
): RequestExecutor {
  return new RequestExecutor({
    ...dependencies,
    ledgerClock: nonDecreasingClock(dependencies.clock),
    ledger: new OperationLedger<GatewayAnswer>({
      maxEntries: settings.ledgerEntries,
      maxBytes: settings.ledgerBytes,
      retentionMs: settings.outcomeRetentionMs,
    }),
    routing: container.resolve<RegionRouting>(gatewayTokens.routing),
    forwarder: container.resolve<RequestForwarder>(gatewayTokens.forwarder),
    localRunner: container.resolve<LocalRunner>(gatewayTokens.localRunner),
    maxInFlight: settings.maxInFlight,
  })
}
