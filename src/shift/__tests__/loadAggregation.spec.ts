import { expect } from 'chai'
import { sleep } from '../../common/clock.js'
import { FakeNetwork, recordOf } from '../../membership/__tests__/memberFixtures.js'
import type { MemberRecord } from '../../membership/memberRecord.js'
import { MemberRole, MemberState } from '../../membership/memberRecord.js'
import { MemberTable } from '../../membership/memberTable.js'
import { LoadAggregation } from '../loadAggregation.js'
import { LOAD_MAX_AGE_MS } from '../regionLoad.js'
import { RegionLoadTable } from '../regionLoadTable.js'

/** Speed of the simulated clock relative to real time. */
const TIME_SCALE = 20
const STARTED_AT_MS = Date.now()
const clock = (): number => STARTED_AT_MS + (Date.now() - STARTED_AT_MS) * TIME_SCALE

interface Process {
  readonly record: MemberRecord
  readonly table: MemberTable
  readonly loads: RegionLoadTable
  readonly aggregation: LoadAggregation
}

/** Two regions with two zones each; a zone has three gateways and one lookup daemon. */
const RECORDS = ['r1', 'r2'].flatMap((region) =>
  ['z1', 'z2'].flatMap((zone) =>
    ['g1', 'g2', 'g3', 'lookup'].map((name) =>
      recordOf(`${region}-${zone}-${name}`, {
        region,
        zone: `${region}-${zone}`,
        role: name === 'lookup' ? MemberRole.Lookup : MemberRole.Gateway,
      }),
    ),
  ),
)

function startProcess(network: FakeNetwork, record: MemberRecord): Process {
  const table = new MemberTable(record)
  table.merge(RECORDS, clock())
  const loads = new RegionLoadTable()
  const ownLoad = (): ReturnType<NonNullable<ConstructorOptions['ownLoad']>> => [
    {
      service: 'reveals',
      requestsPerSecond: 10,
      homeRates: { [record.region]: 8, r1: record.region === 'r1' ? 8 : 2 },
      inFlight: 1,
      slots: 4,
      meanServiceMs: 50,
    },
  ]
  const aggregation = new LoadAggregation(loads, table, network.client(record.memberId), {
    clock,
    intervalMs: 1000 / TIME_SCALE,
    ...(record.role === MemberRole.Gateway ? { ownLoad } : {}),
  })
  aggregation.registerMethods(network.registry(record.memberId))
  aggregation.start()
  return { record, table, loads, aggregation }
}

type ConstructorOptions = NonNullable<ConstructorParameters<typeof LoadAggregation>[3]>

describe('LoadAggregation', () => {
  let network: FakeNetwork
  let processes: Process[]

  beforeEach(() => {
    network = new FakeNetwork(TIME_SCALE)
    processes = RECORDS.map((record) => startProcess(network, record))
  })

  afterEach(() => Promise.all(processes.map(({ aggregation }) => aggregation.stop())))

  const until = async (condition: () => boolean): Promise<void> => {
    const endMs = Date.now() + 5000
    while (!condition()) {
      if (Date.now() > endMs) expect.fail('condition not met within 100 s of simulated time')
      await sleep(5)
    }
  }
  const isRecent = ({ loads }: Process, region: string): boolean =>
    clock() - (loads.load(region, 'reveals')?.measuredAtMs ?? 0) <= LOAD_MAX_AGE_MS

  it('distributes the sums of all regions to every process, recent enough for decisions', async () => {
    await until(() =>
      processes.every((process) => isRecent(process, 'r1') && isRecent(process, 'r2')),
    )
    for (const { loads } of processes) {
      expect(loads.load('r1', 'reveals')).to.include({
        requestsPerSecond: 60,
        slots: 24,
        meanServiceMs: 50,
        // 48 from the gateways of r1, and 12 from those of r2.
        homeRequestsPerSecond: 60,
      })
    }
  })

  it('reports no partial sum while a gateway is unresponsive, and resumes once it left', async () => {
    // Guards against headroom that seems larger because a gateway is missing from the sum.
    await until(() => processes.every((process) => isRecent(process, 'r1')))
    network.paused.add('r1-z1-g2')
    const others = processes.filter(({ record }) => record.memberId !== 'r1-z1-g2')
    await until(() => others.every((process) => !isRecent(process, 'r1')))
    const rates = others.map(({ loads }) => loads.load('r1', 'reveals')?.requestsPerSecond)
    expect(new Set(rates)).to.deep.equal(new Set([60]))
    for (const { table } of others) {
      const version = 2
      const left = recordOf('r1-z1-g2', { ...RECORDS[1], version, state: MemberState.Left })
      table.merge([left], clock())
    }
    await until(() => others.every((process) => isRecent(process, 'r1')))
    expect(others[0]?.loads.load('r1', 'reveals')?.requestsPerSecond).to.equal(50)
  })
})
