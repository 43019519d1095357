/** Faults of the soak test; each ends by itself after a random time. */
import { sleep } from '../../src/common/clock.js'
import { ServerFault } from '../../platform/standIn/serverStandIn.js'
import { StoreFault } from '../../platform/standIn/storeStandIn.js'
import type { Deployment, SoakServer } from './deployment.js'
import { GRACE_MS, ZONES } from './deployment.js'
import type { DisturbanceLog } from './disturbances.js'
import type { EntryProcess } from './entryProcess.js'
import { LinkFault } from './faultyProxy.js'
import type { PromiseChecker } from './promiseChecker.js'

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
  Configuration = 'configuration',
  ConfigurationStorm = 'configurationStorm',
  Evacuation = 'evacuation',
}

export interface FaultParts {
  readonly deployment: Deployment
  readonly disturbances: DisturbanceLog
  readonly checker: PromiseChecker
  /** Seeded random numbers, uniform in [0, 1). */
  readonly random: () => number
  readonly nowMs: () => number
}

type FaultHandler = (context: FaultParts) => Promise<void>

/** Delay before a process that ended is restarted. */
const RESTART_MS = 300
/** Time between a server's drain and its end; the users' servers serve a little longer. */
const LEAVE_MS = 4500
/** Longest fault; longer than a lease and the stability time. */
const LONGEST_MS = 5000
const SLOW_FACTOR = 8

/** Injects a fault; resolves when it has ended. */
export function runFault(fault: SoakFault, context: FaultParts): Promise<void> {
  return HANDLERS[fault](context)
}

const HANDLERS: Readonly<Record<SoakFault, FaultHandler>> = {
  [SoakFault.StopEntry]: async (context) => {
    const entry = pickEntry(context)
    if (entry === undefined) return
    const end = context.disturbances.begin([entry.name], context.nowMs(), true)
    entry.signal('SIGTERM')
    const killAtMs = context.nowMs() + GRACE_MS
    while (entry.isRunning && context.nowMs() < killAtMs) await sleep(50)
    entry.signal('SIGKILL')
    await restart(entry)
    end(context.nowMs())
  },
  [SoakFault.KillEntry]: async (context) => {
    const entry = pickEntry(context)
    if (entry !== undefined) await kill(context, [entry])
  },
  [SoakFault.KillMostEntries]: (context) => kill(context, context.deployment.entries.slice(1)),
  [SoakFault.PauseEntry]: async (context) => {
    const entry = pickEntry(context)
    if (entry === undefined) return
    await during(context, [entry.name], async () => {
      entry.signal('SIGSTOP')
      await sleep(someTime(context))
      entry.signal('SIGCONT')
    })
  },
  [SoakFault.Reload]: (context) => {
    for (const entry of context.deployment.entries) {
      if (entry.isRunning && !entry.isPaused) entry.signal('SIGHUP')
    }
    return Promise.resolve()
  },
  [SoakFault.StoreBusy]: (context) => store(context, StoreFault.Busy),
  [SoakFault.StoreSilent]: (context) => store(context, StoreFault.Silent),
  [SoakFault.StoreLosesAnswers]: (context) => store(context, StoreFault.LosesAnswers),
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
    const way = entry && context.deployment.storeWays.get(entry.name)
    if (entry === undefined || way === undefined) return
    await during(context, [entry.name], async () => {
      way.setFault(LinkFault.Silent)
      await sleep(someTime(context))
      way.setFault(LinkFault.None)
    })
  },
  [SoakFault.ServerLosesAnswers]: (context) => failServer(context, ServerFault.LosesAnswer),
  [SoakFault.ServerGarbles]: (context) => failServer(context, ServerFault.Garbles),
  [SoakFault.ServerAnswersTwice]: (context) => failServer(context, ServerFault.AnswersTwice),
  [SoakFault.ServerSlow]: async (context) => {
    const { standIn } = pickServer(context)
    const usualMs = standIn.workMs
    standIn.workMs = usualMs * SLOW_FACTOR
    await sleep(someTime(context))
    standIn.workMs = usualMs
  },
  [SoakFault.ServerLinkResets]: (context) => linkOfServer(context, LinkFault.Resets),
  [SoakFault.ServerLinkSilent]: (context) => linkOfServer(context, LinkFault.Silent),
  [SoakFault.ServerLinkOneWay]: (context) => linkOfServer(context, LinkFault.AnswersLost),
  [SoakFault.ServerLinkDelayed]: (context) => linkOfServer(context, LinkFault.Delayed),
  [SoakFault.ServerCrashes]: async (context) => {
    const server = pickServer(context)
    if (server.isLeaving) return
    const { deployment } = context
    deployment.removeServer(server)
    context.checker.serverLeft(server.id, context.nowMs())
    await sleep(someTime(context))
    await deployment.addServer(server.service, server.zone)
  },
  [SoakFault.ServerDrains]: async (context) => {
    const server = pickServer(context)
    if (server.isLeaving) return
    const { deployment, checker, nowMs } = context
    deployment.drain(server)
    checker.serverLeft(server.id, nowMs())
    await deployment.addServer(server.service, server.zone)
    await sleep(LEAVE_MS)
    deployment.removeServer(server)
  },
  [SoakFault.Configuration]: (context) => {
    accept(context)
    return Promise.resolve()
  },
  [SoakFault.ConfigurationStorm]: async (context) => {
    for (let count = 0; count < 8; count += 1) {
      accept(context)
      await sleep(100 + 300 * context.random())
    }
  },
  [SoakFault.Evacuation]: async (context) => {
    const { deployment, random } = context
    const zone = ZONES[Math.floor(random() * ZONES.length)] ?? ''
    deployment.evacuate(zone)
    await sleep(someTime(context))
    deployment.takeBack(zone)
  },
}

function accept({ deployment, checker, nowMs }: FaultParts): void {
  checker.acknowledged(deployment.nextVersion(), nowMs())
}

async function kill(context: FaultParts, entries: readonly EntryProcess[]): Promise<void> {
  const names = entries.map(({ name }) => name)
  await during(context, names, async () => {
    for (const entry of entries) entry.signal('SIGKILL')
    await Promise.all(entries.map((entry) => restart(entry)))
  })
}

async function restart(entry: EntryProcess): Promise<void> {
  while (entry.isRunning) await sleep(10)
  await sleep(RESTART_MS)
  entry.run()
}

async function store(context: FaultParts, fault: StoreFault): Promise<void> {
  const { deployment } = context
  const names = deployment.entries.map(({ name }) => name)
  await during(context, names, async () => {
    deployment.store.fault = fault
    await sleep(someTime(context))
    deployment.store.fault = StoreFault.None
  })
}

async function failServer(context: FaultParts, fault: ServerFault): Promise<void> {
  const { standIn } = pickServer(context)
  standIn.fault = fault
  await sleep(someTime(context))
  standIn.fault = ServerFault.None
}

async function linkOfServer(context: FaultParts, fault: LinkFault): Promise<void> {
  const { proxy } = pickServer(context)
  const names = context.deployment.entries.map(({ name }) => name)
  await during(context, names, async () => {
    proxy.setFault(fault)
    await sleep(someTime(context))
    proxy.setFault(LinkFault.None)
  })
}

async function during(
  { disturbances, nowMs }: FaultParts,
  names: readonly string[],
  run: () => Promise<void>,
): Promise<void> {
  const end = disturbances.begin(names, nowMs())
  await run()
  end(nowMs())
}

function pickEntry({ deployment, random }: FaultParts): EntryProcess | undefined {
  const usable = deployment.entries.filter((entry) => entry.isRunning && !entry.isPaused)
  return usable[Math.floor(random() * usable.length)]
}

function pickServer({ deployment, random }: FaultParts): SoakServer {
  const server = deployment.servers[Math.floor(random() * deployment.servers.length)]
  if (server === undefined) throw new Error('deployment has no backend server')
  return server
}

function someTime({ random }: FaultParts): number {
  return 200 + random() * LONGEST_MS
}
