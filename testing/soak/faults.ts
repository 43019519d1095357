/** Faults of the soak test; each ends by itself after a random time. */
import { sleep } from '../../src/common/clock.js'
import { ServerFault } from '../../platform/standIn/serverStandIn.js'
import { StoreFault } from '../../platform/standIn/storeStandIn.js'
import type { Deployment, SoakServer } from './deployment.js'
import { GRACE_PERIOD_MS, ZONES } from './deployment.js'
import type { DisturbanceLog } from './disturbances.js'
import type { EntryProcess } from './entryProcess.js'
import { LinkFault } from './faultyProxy.js'
import type { InvariantChecker } from './invariantChecker.js'

/** Kinds of faults and of planned operations. */
export enum SoakFault {
  StopEntry = 'stopEntry',
  KillEntry = 'killEntry',
  KillMostEntries = 'killMostEntries',
  PauseEntry = 'pauseEntry',
  Reload = 'reload',
  StoreBusy = 'storeBusy',
  StoreSilent = 'storeSilent',
  StoreLosesAnswers = 'storeLosesAnswers',
  StoreForgets = 'storeForgets',
  StoreLeasesEnd = 'storeLeasesEnd',
  StoreCutForOne = 'storeCutForOne',
  StoreRestored = 'storeRestored',
  ServerLosesAnswers = 'serverLosesAnswers',
  ServerGarbles = 'serverGarbles',
  ServerAnswersTwice = 'serverAnswersTwice',
  ServerSlow = 'serverSlow',
  ServerLinkResets = 'serverLinkResets',
  ServerLinkSilent = 'serverLinkSilent',
  ServerLinkOneWay = 'serverLinkOneWay',
  ServerLinkDelayed = 'serverLinkDelayed',
  ServerCrashes = 'serverCrashes',
  ServerDrains = 'serverDrains',
  ServerStatesLeaving = 'serverStatesLeaving',
  ServerStatesLimit = 'serverStatesLimit',
  Configuration = 'configuration',
  ConfigurationStorm = 'configurationStorm',
  Evacuation = 'evacuation',
  ServerResetsUnframed = 'serverResetsUnframed',
  ServerEndsUnframed = 'serverEndsUnframed',
}

export interface FaultContext {
  readonly deployment: Deployment
  readonly disturbances: DisturbanceLog
  readonly checker: InvariantChecker
  /** Seeded random numbers, uniform in [0, 1). */
  readonly random: () => number
  readonly nowMs: () => number
}

type FaultHandler = (context: FaultContext) => Promise<void>

/** Delay before a process that ended is restarted. */
const RESTART_DELAY_MS = 300
/** Time between a server's drain and its end; the users' servers serve a little longer. */
const DRAIN_DURATION_MS = 4500
/**
 * Upper bound of the random part of a duration; with the fixed 200 ms, the longest fault exceeds
 * the duration of a lease and the stability period.
 */
const MAX_EXTRA_DURATION_MS = 5000
const SLOW_FACTOR = 8
/** Mean time of which a restored store has lost the writes. */
const MEAN_LOST_MS = 4000
/** Configurations that are lost with a restore. */
const LOST_VERSIONS = 30
/** Longest time for which the store is away before it comes back from a copy. */
const MAX_RESTORE_MS = 2500
/** Longest time after the return in which operators and backend servers write again. */
const MAX_REWRITE_MS = 1800
/** Time for which a server states a limit; several of the windows in which it must hold. */
const LIMIT_DURATION_MS = 12_000
/** Bounds of a stated limit, in requests per second; a server completes about a hundred. */
const MIN_LIMIT = 1
const MAX_LIMIT = 8

/** Injects a fault; resolves when it has ended. */
export function injectFault(fault: SoakFault, context: FaultContext): Promise<void> {
  return HANDLER_BY_FAULT[fault](context)
}

const HANDLER_BY_FAULT: Readonly<Record<SoakFault, FaultHandler>> = {
  [SoakFault.StopEntry]: async (context) => {
    const entry = pickEntry(context)
    if (entry === undefined) return
    const endDisturbance = context.disturbances.begin([entry.name], context.nowMs(), true)
    entry.signal('SIGTERM')
    const killAtMs = context.nowMs() + GRACE_PERIOD_MS
    while (entry.isRunning && context.nowMs() < killAtMs) await sleep(50)
    entry.signal('SIGKILL')
    await restartEntry(entry)
    endDisturbance(context.nowMs())
  },
  [SoakFault.KillEntry]: async (context) => {
    const entry = pickEntry(context)
    if (entry !== undefined) await killEntries(context, [entry])
  },
  [SoakFault.KillMostEntries]: (context) =>
    killEntries(context, context.deployment.entries.slice(1)),
  [SoakFault.PauseEntry]: async (context) => {
    const entry = pickEntry(context)
    if (entry === undefined) return
    await withDisturbance(context, [entry.name], async () => {
      entry.signal('SIGSTOP')
      await sleep(randomDurationMs(context))
      entry.signal('SIGCONT')
    })
  },
  [SoakFault.Reload]: (context) => {
    for (const entry of context.deployment.entries) {
      if (entry.isRunning && !entry.isPaused) entry.signal('SIGHUP')
    }
    return Promise.resolve()
  },
  [SoakFault.StoreBusy]: (context) => injectStoreFault(context, StoreFault.Busy),
  [SoakFault.StoreSilent]: (context) => injectStoreFault(context, StoreFault.Unresponsive),
  [SoakFault.StoreLosesAnswers]: (context) => injectStoreFault(context, StoreFault.LosesAnswers),
  [SoakFault.StoreForgets]: ({ deployment }) => {
    deployment.store.forgetHistory()
    return Promise.resolve()
  },
  [SoakFault.StoreLeasesEnd]: ({ deployment }) => {
    deployment.store.endLeases()
    return Promise.resolve()
  },
  [SoakFault.StoreCutForOne]: async (context) => {
    const entry = pickEntry(context)
    const storeProxy = entry && context.deployment.storeProxies.get(entry.name)
    if (entry === undefined || storeProxy === undefined) return
    await withDisturbance(context, [entry.name], async () => {
      storeProxy.setFault(LinkFault.Unresponsive)
      await sleep(randomDurationMs(context))
      storeProxy.setFault(LinkFault.None)
    })
  },
  [SoakFault.StoreRestored]: async (context) => {
    const { deployment, random } = context
    const { store } = deployment
    const copy = store.takeCopy()
    // Many lost changes, so that the store's counter stays below the old one for long.
    for (let count = 0; count < LOST_VERSIONS; count += 1) {
      publishConfiguration(context)
      await sleep((2 * MEAN_LOST_MS * random()) / LOST_VERSIONS)
    }
    const names = deployment.entries.map(({ name }) => name)
    await withDisturbance(context, names, async () => {
      store.fault = StoreFault.Busy
      await sleep(MAX_RESTORE_MS * random())
      store.restore(copy)
      store.fault = StoreFault.None
      await sleep(MAX_REWRITE_MS * random())
      deployment.rewriteStore()
    })
    publishConfiguration(context)
  },
  [SoakFault.ServerLosesAnswers]: (context) => injectServerFault(context, ServerFault.LosesAnswer),
  [SoakFault.ServerGarbles]: (context) => injectServerFault(context, ServerFault.SendsGarbage),
  [SoakFault.ServerAnswersTwice]: (context) => injectServerFault(context, ServerFault.AnswersTwice),
  [SoakFault.ServerSlow]: async (context) => {
    const { standIn } = pickServer(context)
    const normalDurationMs = standIn.workDurationMs
    standIn.workDurationMs = normalDurationMs * SLOW_FACTOR
    await sleep(randomDurationMs(context))
    standIn.workDurationMs = normalDurationMs
  },
  [SoakFault.ServerLinkResets]: (context) => injectServerLinkFault(context, LinkFault.Resets),
  [SoakFault.ServerLinkSilent]: (context) => injectServerLinkFault(context, LinkFault.Unresponsive),
  [SoakFault.ServerLinkOneWay]: (context) => injectServerLinkFault(context, LinkFault.AnswersLost),
  [SoakFault.ServerLinkDelayed]: (context) => injectServerLinkFault(context, LinkFault.Delayed),
  [SoakFault.ServerCrashes]: async (context) => {
    const server = pickServer(context)
    if (server.isDraining) return
    const { deployment } = context
    deployment.removeServer(server)
    context.checker.serverLeft(server.id, context.nowMs())
    await sleep(randomDurationMs(context))
    await deployment.addServer(server.service, server.zone)
  },
  [SoakFault.ServerDrains]: async (context) => {
    const server = pickServer(context)
    if (server.isDraining) return
    const { deployment, checker, nowMs } = context
    deployment.drain(server)
    checker.serverLeft(server.id, nowMs())
    await deployment.addServer(server.service, server.zone)
    await sleep(DRAIN_DURATION_MS)
    deployment.removeServer(server)
  },
  [SoakFault.ServerStatesLeaving]: async (context) => {
    const server = pickServer(context)
    if (server.isDraining) return
    const { deployment, checker, nowMs } = context
    server.isDraining = true
    server.standIn.isLeaving = true
    checker.leavingStated(server.id, nowMs())
    await deployment.addServer(server.service, server.zone)
    await sleep(DRAIN_DURATION_MS)
    deployment.removeServer(server)
    checker.serverLeft(server.id, nowMs())
  },
  [SoakFault.ServerStatesLimit]: async (context) => {
    const { id, standIn } = pickServer(context)
    if (standIn.statedLimitPerSecond !== undefined) return
    const limitPerSecond = MIN_LIMIT + (MAX_LIMIT - MIN_LIMIT) * context.random()
    standIn.statedLimitPerSecond = Math.round(limitPerSecond * 10) / 10
    context.checker.limitStated(id, standIn.statedLimitPerSecond, context.nowMs())
    await sleep(LIMIT_DURATION_MS)
    standIn.statedLimitPerSecond = undefined
    context.checker.limitStated(id, undefined, context.nowMs())
  },
  [SoakFault.Configuration]: (context) => {
    publishConfiguration(context)
    return Promise.resolve()
  },
  [SoakFault.ConfigurationStorm]: async (context) => {
    for (let count = 0; count < 8; count += 1) {
      publishConfiguration(context)
      await sleep(100 + 300 * context.random())
    }
  },
  [SoakFault.Evacuation]: async (context) => {
    const { deployment, random } = context
    const zone = ZONES[Math.floor(random() * ZONES.length)] ?? ''
    deployment.evacuate(zone)
    await sleep(randomDurationMs(context))
    deployment.endEvacuation(zone)
  },
  [SoakFault.ServerResetsUnframed]: (context) =>
    injectServerFault(context, ServerFault.ResetsUnframed),
  [SoakFault.ServerEndsUnframed]: (context) => injectServerFault(context, ServerFault.EndsUnframed),
}

function publishConfiguration({ deployment, checker, nowMs }: FaultContext): void {
  checker.versionAccepted(deployment.publishNextVersion(), nowMs())
}

async function killEntries(context: FaultContext, entries: readonly EntryProcess[]): Promise<void> {
  const names = entries.map(({ name }) => name)
  await withDisturbance(context, names, async () => {
    for (const entry of entries) entry.signal('SIGKILL')
    await Promise.all(entries.map((entry) => restartEntry(entry)))
  })
}

async function restartEntry(entry: EntryProcess): Promise<void> {
  while (entry.isRunning) await sleep(10)
  await sleep(RESTART_DELAY_MS)
  entry.start()
}

async function injectStoreFault(context: FaultContext, fault: StoreFault): Promise<void> {
  const { deployment } = context
  const names = deployment.entries.map(({ name }) => name)
  await withDisturbance(context, names, async () => {
    deployment.store.fault = fault
    await sleep(randomDurationMs(context))
    deployment.store.fault = StoreFault.None
  })
}

async function injectServerFault(context: FaultContext, fault: ServerFault): Promise<void> {
  const { standIn } = pickServer(context)
  standIn.fault = fault
  await sleep(randomDurationMs(context))
  standIn.fault = ServerFault.None
}

async function injectServerLinkFault(context: FaultContext, fault: LinkFault): Promise<void> {
  const { proxy } = pickServer(context)
  const names = context.deployment.entries.map(({ name }) => name)
  await withDisturbance(context, names, async () => {
    proxy.setFault(fault)
    await sleep(randomDurationMs(context))
    proxy.setFault(LinkFault.None)
  })
}

async function withDisturbance(
  { disturbances, nowMs }: FaultContext,
  names: readonly string[],
  run: () => Promise<void>,
): Promise<void> {
  const endDisturbance = disturbances.begin(names, nowMs())
  await run()
  endDisturbance(nowMs())
}

function pickEntry({ deployment, random }: FaultContext): EntryProcess | undefined {
  const usable = deployment.entries.filter((entry) => entry.isRunning && !entry.isPaused)
  return usable[Math.floor(random() * usable.length)]
}

function pickServer({ deployment, random }: FaultContext): SoakServer {
  const server = deployment.servers[Math.floor(random() * deployment.servers.length)]
  if (server === undefined) throw new Error('deployment has no backend server')
  return server
}

function randomDurationMs({ random }: FaultContext): number {
  return 200 + random() * MAX_EXTRA_DURATION_MS
}
