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

type FaultHandler = (parts: FaultParts) => Promise<void>

/** Delay before a process that ended is restarted. */
const RESTART_MS = 300
/** Time between a server's drain and its end; the users' servers serve a little longer. */
const LEAVE_MS = 4500
/** Longest fault; longer than a lease and the stability time. */
const LONGEST_MS = 5000
const SLOW_FACTOR = 8

/** Injects a fault; resolves when it has ended. */
export function runFault(fault: SoakFault, parts: FaultParts): Promise<void> {
  return HANDLERS[fault](parts)
}

const HANDLERS: Readonly<Record<SoakFault, FaultHandler>> = {
  [SoakFault.StopEntry]: async (parts) => {
    const entry = pickEntry(parts)
    if (entry === undefined) return
    const end = parts.disturbances.begin([entry.name], parts.nowMs(), true)
    entry.signal('SIGTERM')
    const killAtMs = parts.nowMs() + GRACE_MS
    while (entry.isRunning && parts.nowMs() < killAtMs) await sleep(50)
    entry.signal('SIGKILL')
    await restart(entry)
    end(parts.nowMs())
  },
  [SoakFault.KillEntry]: async (parts) => {
    const entry = pickEntry(parts)
    if (entry !== undefined) await kill(parts, [entry])
  },
  [SoakFault.KillMostEntries]: (parts) => kill(parts, parts.deployment.entries.slice(1)),
  [SoakFault.PauseEntry]: async (parts) => {
    const entry = pickEntry(parts)
    if (entry === undefined) return
    await during(parts, [entry.name], async () => {
      entry.signal('SIGSTOP')
      await sleep(someTime(parts))
      entry.signal('SIGCONT')
    })
  },
  [SoakFault.Reload]: (parts) => {
    for (const entry of parts.deployment.entries) {
      if (entry.isRunning && !entry.isPaused) entry.signal('SIGHUP')
    }
    return Promise.resolve()
  },
  [SoakFault.StoreBusy]: (parts) => store(parts, StoreFault.Busy),
  [SoakFault.StoreSilent]: (parts) => store(parts, StoreFault.Silent),
  [SoakFault.StoreLosesAnswers]: (parts) => store(parts, StoreFault.LosesAnswers),
  [SoakFault.StoreForgets]: ({ deployment }) => {
    deployment.store.forgetHistory()
    return Promise.resolve()
  },
  [SoakFault.StoreLeasesEnd]: ({ deployment }) => {
    deployment.store.endLeases()
    return Promise.resolve()
  },
  [SoakFault.StoreCutForOne]: async (parts) => {
    const entry = pickEntry(parts)
    const way = entry && parts.deployment.storeWays.get(entry.name)
    if (entry === undefined || way === undefined) return
    await during(parts, [entry.name], async () => {
      way.setFault(LinkFault.Silent)
      await sleep(someTime(parts))
      way.setFault(LinkFault.None)
    })
  },
  [SoakFault.ServerLosesAnswers]: (parts) => failServer(parts, ServerFault.LosesAnswer),
  [SoakFault.ServerGarbles]: (parts) => failServer(parts, ServerFault.Garbles),
  [SoakFault.ServerAnswersTwice]: (parts) => failServer(parts, ServerFault.AnswersTwice),
  [SoakFault.ServerSlow]: async (parts) => {
    const { standIn } = pickServer(parts)
    const usualMs = standIn.workMs
    standIn.workMs = usualMs * SLOW_FACTOR
    await sleep(someTime(parts))
    standIn.workMs = usualMs
  },
  [SoakFault.ServerLinkResets]: (parts) => linkOfServer(parts, LinkFault.Resets),
  [SoakFault.ServerLinkSilent]: (parts) => linkOfServer(parts, LinkFault.Silent),
  [SoakFault.ServerLinkOneWay]: (parts) => linkOfServer(parts, LinkFault.AnswersLost),
  [SoakFault.ServerLinkDelayed]: (parts) => linkOfServer(parts, LinkFault.Delayed),
  [SoakFault.ServerCrashes]: async (parts) => {
    const server = pickServer(parts)
    if (server.isLeaving) return
    const { deployment } = parts
    deployment.removeServer(server)
    parts.checker.serverLeft(server.id, parts.nowMs())
    await sleep(someTime(parts))
    await deployment.addServer(server.service, server.zone)
  },
  [SoakFault.ServerDrains]: async (parts) => {
    const server = pickServer(parts)
    if (server.isLeaving) return
    const { deployment, checker, nowMs } = parts
    deployment.drain(server)
    checker.serverLeft(server.id, nowMs())
    await deployment.addServer(server.service, server.zone)
    await sleep(LEAVE_MS)
    deployment.removeServer(server)
  },
  [SoakFault.Configuration]: (parts) => {
    accept(parts)
    return Promise.resolve()
  },
  [SoakFault.ConfigurationStorm]: async (parts) => {
    for (let count = 0; count < 8; count += 1) {
      accept(parts)
      await sleep(100 + 300 * parts.random())
    }
  },
  [SoakFault.Evacuation]: async (parts) => {
    const { deployment, random } = parts
    const zone = ZONES[Math.floor(random() * ZONES.length)] ?? ''
    deployment.evacuate(zone)
    await sleep(someTime(parts))
    deployment.takeBack(zone)
  },
}

function accept({ deployment, checker, nowMs }: FaultParts): void {
  checker.acknowledged(deployment.nextVersion(), nowMs())
}

async function kill(parts: FaultParts, entries: readonly EntryProcess[]): Promise<void> {
  const names = entries.map(({ name }) => name)
  await during(parts, names, async () => {
    for (const entry of entries) entry.signal('SIGKILL')
    await Promise.all(entries.map((entry) => restart(entry)))
  })
}

async function restart(entry: EntryProcess): Promise<void> {
  while (entry.isRunning) await sleep(10)
  await sleep(RESTART_MS)
  entry.run()
}

async function store(parts: FaultParts, fault: StoreFault): Promise<void> {
  const { deployment } = parts
  const names = deployment.entries.map(({ name }) => name)
  await during(parts, names, async () => {
    deployment.store.fault = fault
    await sleep(someTime(parts))
    deployment.store.fault = StoreFault.None
  })
}

async function failServer(parts: FaultParts, fault: ServerFault): Promise<void> {
  const { standIn } = pickServer(parts)
  standIn.fault = fault
  await sleep(someTime(parts))
  standIn.fault = ServerFault.None
}

async function linkOfServer(parts: FaultParts, fault: LinkFault): Promise<void> {
  const { proxy } = pickServer(parts)
  const names = parts.deployment.entries.map(({ name }) => name)
  await during(parts, names, async () => {
    proxy.setFault(fault)
    await sleep(someTime(parts))
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
