import { expect } from 'chai'
import type { InstanceList } from '../../platform/instanceList.js'
import type { MemberRecord } from '../memberRecord.js'
import { MemberHealth, MemberState } from '../memberRecord.js'
import { MemberTable } from '../memberTable.js'
import { MembershipExchange } from '../membershipExchange.js'
import { FakeNetwork, instanceListOf, recordOf } from './memberFixtures.js'

/** Simulated milliseconds per real millisecond. */
const TIME_SCALE = 40
const STARTED_AT_MS = Date.now()
/** Design limit: time until an accepted change is in force on every daemon. */
const RESTART_KNOWN_LIMIT_MS = 4000
const clock = (): number => STARTED_AT_MS + (Date.now() - STARTED_AT_MS) * TIME_SCALE

interface Process {
  readonly table: MemberTable
  readonly exchange: MembershipExchange
}

async function startProcess(
  network: FakeNetwork,
  record: MemberRecord,
  list: InstanceList,
  random: () => number,
): Promise<Process> {
  const table = new MemberTable(record)
  const exchange = new MembershipExchange(table, network.client(record.internalAddress), list, {
    clock,
    random,
    intervalMs: 1000 / TIME_SCALE,
  })
  exchange.registerMethods(network.registry(record.internalAddress))
  await exchange.start()
  return { table, exchange }
}

/** Waits until the condition holds, for at most `limitMs` simulated milliseconds. */
async function until(condition: () => boolean, limitMs: number): Promise<number> {
  const startMs = clock()
  while (!condition()) {
    if (clock() - startMs > limitMs) expect.fail(`no convergence within ${String(limitMs)} ms`)
    await new Promise((resolve) => setTimeout(resolve, 2))
  }
  return clock() - startMs
}

describe('MembershipExchange', () => {
  const records = ['a', 'b', 'c', 'd', 'e', 'f'].map((name, index) =>
    recordOf(name, { region: index < 4 ? 'r1' : 'r2' }),
  )
  let network: FakeNetwork
  let processes: Map<string, Process>
  let lowestDraw: number

  const random = (): number => lowestDraw + (1 - lowestDraw) * Math.random()
  const start = async (record: MemberRecord, list = instanceListOf(records)): Promise<Process> => {
    const process = await startProcess(network, record, list, random)
    processes.set(record.memberId, process)
    return process
  }
  const others = (name: string): Process[] =>
    [...processes].filter(([id]) => id !== name).map(([, process]) => process)
  const allSee = (name: string, health: MemberHealth): boolean =>
    others(name).every(({ table }) => table.find(name)?.health === health)

  beforeEach(async () => {
    network = new FakeNetwork(TIME_SCALE)
    processes = new Map()
    lowestDraw = 0
    for (const record of records) await start(record)
    await until(
      () => [...processes.values()].every(({ table }) => table.members().length === 6),
      60_000,
    )
  })

  afterEach(async () => {
    await Promise.all([...processes.values()].map(({ exchange }) => exchange.stop()))
  })

  it('shows a killed member as failed to all others, and as alive after its restart', async () => {
    const killed = processes.get('b')
    processes.delete('b')
    network.remove('b')
    await until(() => allSee('b', MemberHealth.Failed), 60_000)
    await killed?.exchange.stop()
    await start(recordOf('b', { incarnation: '00000000000000bb', startedAtMs: 2000 }))
    await until(() => allSee('b', MemberHealth.Alive), 60_000)
  })

  // Guards against look-ups in another region that give out prefixes of processes that have ended.
  it('shows the processes of a region that starts again to the other regions within 4 s', async () => {
    // From this draw on, no periodic exchange goes to another region.
    lowestDraw = 0.2
    for (const round of [1, 2, 3]) {
      const incarnation = `000000000000000${String(round)}`
      const restarted = ['a', 'b', 'c', 'd']
      for (const name of restarted) {
        const killed = processes.get(name)
        processes.delete(name)
        network.remove(name)
        await killed?.exchange.stop()
      }
      for (const name of restarted) {
        await start(recordOf(name, { incarnation, startedAtMs: 1000 + round }))
      }
      const isKnown = (from: string, name: string): boolean =>
        processes.get(from)?.table.find(name)?.incarnation === incarnation
      await until(
        () => ['e', 'f'].every((from) => restarted.every((name) => isKnown(from, name))),
        RESTART_KNOWN_LIMIT_MS,
      )
      await until(
        () => restarted.every((name) => processes.get(name)?.table.members().length === 6),
        RESTART_KNOWN_LIMIT_MS,
      )
    }
  })

  it('shows a paused member as alive again after it refuted the suspicion', async () => {
    network.paused.add('c')
    await until(() => allSee('c', MemberHealth.Failed), 60_000)
    network.paused.delete('c')
    await until(() => allSee('c', MemberHealth.Alive), 120_000)
    expect(processes.get('c')?.table.self().version).to.be.greaterThan(1)
  })

  it('does not fail a member that only one process cannot reach', async () => {
    network.cuts.add('a>b')
    const startMs = clock()
    while (clock() - startMs < 20_000) {
      await new Promise((resolve) => setTimeout(resolve, 5))
      const views = others('b').map(({ table }) => table.find('b')?.health)
      expect(views).to.not.include(MemberHealth.Failed)
    }
  })

  it('reconnects both sides after a partition between regions', async () => {
    const cut = (change: (key: string) => void): void => {
      for (const from of ['a', 'b', 'c', 'd']) for (const to of ['e', 'f']) change(`${from}>${to}`)
    }
    cut((key) => network.cuts.add(key))
    const sees = (from: string, name: string, health: MemberHealth): boolean =>
      processes.get(from)?.table.find(name)?.health === health
    await until(
      () => sees('a', 'e', MemberHealth.Failed) && sees('e', 'a', MemberHealth.Failed),
      200_000,
    )
    cut((key) => network.cuts.delete(key))
    await until(
      () => records.every(({ memberId }) => allSee(memberId, MemberHealth.Alive)),
      200_000,
    )
  })

  it('shows a leaving member at once, even if the instance list says that it is live', async () => {
    await processes.get('d')?.exchange.announceLeaving()
    const states = ['a', 'b', 'c'].map((name) => processes.get(name)?.table.find('d')?.state)
    expect(states).to.deep.equal([MemberState.Leaving, MemberState.Leaving, MemberState.Leaving])
    await until(
      () => others('d').every(({ table }) => table.find('d')?.state === MemberState.Leaving),
      20_000,
    )
    await start(recordOf('g'), instanceListOf(records))
    await until(() => processes.get('g')?.table.members().length === 7, 60_000)
    expect(processes.get('g')?.table.find('d')?.state).to.equal(MemberState.Leaving)
  })

  it('exchanges payloads in both directions and tolerates a provider that throws', async () => {
    const seen = new Set<unknown>()
    for (const [name, { exchange }] of processes) {
      exchange.addPayloadProvider({
        name: 'load',
        collect: () => name,
        merge: (payload) => {
          seen.add(payload)
          throw new Error('refused')
        },
      })
    }
    await until(() => seen.size === 6, 60_000)
    expect(processes.get('a')?.table.members()).to.have.length(6)
  })
})
