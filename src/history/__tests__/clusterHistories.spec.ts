import { expect } from 'chai'
import type { BackendFaults } from '../../../playground/backendFaults.js'
import { RequestFault, SeededRandom } from '../../../playground/backendFaults.js'
import { BackendServer } from '../../../playground/backendServer.js'
import type { CallerLoadOptions } from '../../../playground/callerLoad.js'
import { runCallers } from '../../../playground/callerLoad.js'
import type { ClusterGateway } from '../../../playground/gatewayCluster.js'
import { createService, GatewayCluster } from '../../../playground/gatewayCluster.js'
import { sleep } from '../../common/clock.js'
import { Outcome } from '../../common/headers.js'
import type { History, HistoryCall, HistoryDrain, HistoryShutdown } from '../historyChecker.js'
import { checkHistory } from '../historyChecker.js'

const SERVICE = 'coin-wallet'
const REGION = 'north'
const CACHE_MS = 200
const SLOTS = 4

/** Three gateways and four backend servers in one region; records shutdowns and drains. */
class Scenario {
  readonly cluster = new GatewayCluster()
  readonly workers: BackendServer[]
  readonly shutdowns: HistoryShutdown[] = []
  readonly drains: HistoryDrain[] = []
  readonly #numbers: SeededRandom
  readonly #seed: number

  constructor(seed: number) {
    this.#seed = seed
    this.#numbers = new SeededRandom(seed)
    this.workers = ['w1', 'w2', 'w3', 'w4'].map(
      (workerId, index) => new BackendServer({ workerId, slots: SLOTS, seed: seed + index }),
    )
  }

  async start(): Promise<void> {
    await Promise.all(this.workers.map((worker) => worker.start()))
    const workers = this.workers.map((worker) => ({
      workerId: worker.workerId,
      generation: 1,
      address: worker.address,
      region: REGION,
      zone: 'north-a',
      slots: SLOTS,
    }))
    const service = createService(SERVICE, { workers })
    this.cluster.configuration.set({ services: new Map([[SERVICE, service]]) })
    for (const memberId of ['g1', 'g2', 'g3']) await this.startGateway(memberId)
  }

  startGateway(memberId: string): Promise<ClusterGateway> {
    const settings = { answerCacheMs: String(CACHE_MS), maxTimeoutMs: '3000' }
    return this.cluster.startGateway({ memberId, region: REGION, settings })
  }

  setFaults(faults: Partial<BackendFaults>): void {
    for (const worker of this.workers) worker.setFaults(faults)
  }

  pick<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.#numbers.next() * items.length)]
    if (item === undefined) throw new Error('pick() needs at least one item')
    return item
  }

  async shutDown(gateway: ClusterGateway): Promise<void> {
    const startMs = Date.now()
    await gateway.daemon.drain()
    const endMs = Date.now()
    await gateway.kill()
    this.shutdowns.push({ address: gateway.callerAddress, startMs, endMs })
  }

  /** Runs callers while `disturb` runs; returns the recorded history. */
  async run(
    load: Partial<CallerLoadOptions>,
    disturb: (scenario: Scenario) => Promise<void>,
  ): Promise<History> {
    const calling = runCallers(this.cluster.createLookupSource(REGION, CACHE_MS), {
      service: SERVICE,
      callers: 24,
      calls: 30,
      nonIdempotentFraction: 0.6,
      maxServiceMs: 20,
      timeoutMs: 1500,
      maxPauseMs: 10,
      seed: this.#seed,
      ...load,
    })
    const [calls] = await Promise.all([calling, disturb(this)])
    const executions = this.workers.flatMap((worker) => worker.records)
    const { shutdowns, drains } = this
    return { calls, executions, shutdowns, drains, drainBoundMs: 1000 }
  }

  async stop(): Promise<void> {
    await this.cluster.stop()
    await Promise.all(this.workers.map((worker) => worker.stop()))
  }
}

function fractionOf(history: History, outcome: Outcome): number {
  const matching = history.calls.filter((call) => call.outcome === outcome)
  return matching.length / history.calls.length
}

/** What a failed assertion shows of the calls that did not run. */
function incompleteCalls(history: History): Pick<HistoryCall, 'outcome' | 'attempts' | 'answer'>[] {
  return history.calls
    .filter((call) => call.outcome !== Outcome.Ran)
    .map(({ outcome, attempts, answer }) => ({ outcome, attempts, answer }))
}

describe('histories of gateways in one process', () => {
  let scenario: Scenario

  async function record(
    seed: number,
    load: Partial<CallerLoadOptions>,
    disturb: (scenario: Scenario) => Promise<void>,
  ): Promise<History> {
    scenario = new Scenario(seed)
    await scenario.start()
    const history = await scenario.run(load, disturb)
    expect(checkHistory(history), `seed ${String(seed)}`).to.deep.equal([])
    return history
  }

  afterEach(() => scenario.stop())

  it('holds without faults, where every call runs', async () => {
    const history = await record(1, {}, () => Promise.resolve())
    expect(fractionOf(history, Outcome.Ran)).to.equal(1)
  })

  for (const seed of [11, 12, 13]) {
    it(`holds while backend servers break answers, seed ${String(seed)}`, async () => {
      const history = await record(seed, {}, (running) => {
        running.setFaults({
          random: {
            [RequestFault.ResetBefore]: 0.02,
            [RequestFault.ResetAfter]: 0.02,
            [RequestFault.Truncate]: 0.02,
            [RequestFault.Cross]: 0.02,
            [RequestFault.Garbage]: 0.02,
            [RequestFault.Shed]: 0.1,
          },
        })
        return Promise.resolve()
      })
      expect(fractionOf(history, Outcome.Ran)).to.be.above(0.8)
      expect(fractionOf(history, Outcome.Unknown)).to.be.above(0)
    })
  }

  for (const seed of [21, 22]) {
    it(`holds while gateways are killed and restarted, seed ${String(seed)}`, async () => {
      await record(seed, { calls: 60 }, async (running) => {
        for (let round = 0; round < 4; round++) {
          await sleep(200)
          const killed = running.pick(running.cluster.gateways)
          await killed.kill()
          await sleep(100)
          await running.startGateway(killed.memberId)
        }
      })
    })
  }

  for (const seed of [31, 32]) {
    it(`holds while gateways leave one after another, seed ${String(seed)}`, async () => {
      const history = await record(seed, { calls: 80 }, async (running) => {
        for (const memberId of ['g1', 'g2']) {
          await sleep(100)
          const gateway = running.cluster.gateways.find((one) => one.memberId === memberId)
          if (gateway !== undefined) await running.shutDown(gateway)
          await running.startGateway(memberId)
        }
      })
      expect(history.shutdowns).to.have.length(2)
      expect(incompleteCalls(history)).to.deep.equal([])
    })
  }

  it('holds while a backend server leaves and another is slow', async () => {
    const history = await record(41, { calls: 60 }, async (running) => {
      const [leaving, slow] = running.workers
      slow?.setFaults({ slowFactor: 8, slowUntilMs: Date.now() + 400 })
      await sleep(150)
      leaving?.drain()
      running.drains.push({ workerId: leaving?.workerId ?? '', atMs: Date.now() })
    })
    expect(incompleteCalls(history)).to.deep.equal([])
  })

  it('holds under overload, where some calls are refused', async () => {
    const load = { callers: 100, calls: 6, maxServiceMs: 150, timeoutMs: 300, maxPauseMs: 1 }
    const history = await record(51, load, () => Promise.resolve())
    expect(fractionOf(history, Outcome.NotRun)).to.be.above(0)
  })
})
