/** Assembles the lookup daemon, starts it and stops it gracefully. */
import type { DependencyContainer } from 'tsyringe'
import { container as rootContainer, instanceCachingFactory } from 'tsyringe'
import { sleep } from '../common/clock.js'
import { createLogger } from '../common/logger.js'
import type { Daemon } from '../daemon/daemonProgram.js'
import { runDaemonProgram } from '../daemon/daemonProgram.js'
import { DaemonRuntime } from '../daemon/daemonRuntime.js'
import { MemberRole } from '../membership/memberRecord.js'
import { OperationPrefixCodec } from '../operations/operationPrefix.js'
import { SpillOver } from '../shift/spillOver.js'
import { GatewayDirectory } from './gatewayDirectory.js'
import { LookupServer } from './lookupServer.js'
import type { LookupSettings } from './lookupSettings.js'
import { LOOKUP_SETTINGS } from './lookupSettings.js'
import { Placer } from './placement.js'

/** Dependency injection tokens of the lookup daemon. */
export const LOOKUP_TOKENS = {
  settings: Symbol('settings'),
  runtime: Symbol('runtime'),
  directory: Symbol('directory'),
  spillOver: Symbol('spillOver'),
  placer: Symbol('placer'),
  server: Symbol('server'),
} as const

/** Time that look-ups in flight get to finish when the daemon stops. */
const SERVER_STOP_TIMEOUT_MS = 10_000

/** Registers the components of the lookup daemon; each is created on first use. */
export function registerLookupDaemon(settings: LookupSettings): DependencyContainer {
  const container = rootContainer.createChildContainer()
  const registerSingleton = (token: symbol, create: () => object): void => {
    container.register(token, { useFactory: instanceCachingFactory(create) })
  }
  container.register(LOOKUP_TOKENS.settings, { useValue: settings })
  registerSingleton(LOOKUP_TOKENS.runtime, () => createRuntime(container, settings))
  registerSingleton(
    LOOKUP_TOKENS.directory,
    () => new GatewayDirectory(resolveRuntime(container).members),
  )
  registerSingleton(LOOKUP_TOKENS.spillOver, () => createSpillOver(container))
  registerSingleton(LOOKUP_TOKENS.placer, () => createPlacer(container))
  registerSingleton(LOOKUP_TOKENS.server, () => createServer(container, settings))
  return container
}

/** Creates the daemon from the components of its container. */
export function createLookupDaemon(settings: LookupSettings): Daemon {
  const container = registerLookupDaemon(settings)
  const runtime = resolveRuntime(container)
  const server = container.resolve<LookupServer>(LOOKUP_TOKENS.server)
  const drain = async (): Promise<void> => {
    server.announceLeaving()
    await sleep(settings.leaveDelayMs)
    await server.stop(SERVER_STOP_TIMEOUT_MS)
  }
  return {
    start: () =>
      runtime.start(async () => {
        await server.start()
        return `${settings.host}:${String(server.port)}`
      }),
    stop: () => runtime.stop(drain),
  }
}

/** Entry point of `bin/tamarackdrift-lookup.js`. */
export function main(argv: readonly string[]): Promise<void> {
  return runDaemonProgram('tamarackdrift-lookup', LOOKUP_SETTINGS, argv, createLookupDaemon)
}

function resolveRuntime(container: DependencyContainer): DaemonRuntime {
  return container.resolve<DaemonRuntime>(LOOKUP_TOKENS.runtime)
}

function createRuntime(container: DependencyContainer, settings: LookupSettings): DaemonRuntime {
  return new DaemonRuntime({
    role: MemberRole.Lookup,
    settings,
    watchedMembers: () =>
      container
        .resolve<GatewayDirectory>(LOOKUP_TOKENS.directory)
        .watchedIds(settings.region, resolveRuntime(container).clock()),
  })
}

function createSpillOver(container: DependencyContainer): SpillOver {
  const { configuration, loads, members, clock } = resolveRuntime(container)
  const directory = container.resolve<GatewayDirectory>(LOOKUP_TOKENS.directory)
  const spillOver = new SpillOver(configuration.view, loads, (region) =>
    directory.hasGateway(region),
  )
  members.subscribe(() => {
    spillOver.refresh(clock())
  })
  return spillOver
}

function createPlacer(container: DependencyContainer): Placer {
  const runtime = resolveRuntime(container)
  return new Placer(
    runtime.configuration.view,
    runtime.members,
    container.resolve<GatewayDirectory>(LOOKUP_TOKENS.directory),
    container.resolve<SpillOver>(LOOKUP_TOKENS.spillOver),
  )
}

function createServer(container: DependencyContainer, settings: LookupSettings): LookupServer {
  const runtime = resolveRuntime(container)
  return new LookupServer(
    {
      placer: container.resolve<Placer>(LOOKUP_TOKENS.placer),
      directory: container.resolve<GatewayDirectory>(LOOKUP_TOKENS.directory),
      configuration: runtime.configuration.view,
      codec: new OperationPrefixCodec(settings.peerToken),
      clock: runtime.clock,
      logger: createLogger('lookup'),
      metrics: runtime.metrics,
    },
    {
      host: settings.host,
      port: settings.callerPort,
      answerCacheMs: settings.answerCacheMs,
      retryAfterMs: settings.retryAfterMs,
    },
  )
}
