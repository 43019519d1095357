import { expect } from 'chai'
import { RequestFault } from '../../../playground/backendFaults.js'
import type { CallerLoadOptions } from '../../../playground/callerLoad.js'
import { runCallers } from '../../../playground/callerLoad.js'
import { GatewayProcesses, PROCESS_SERVICE } from '../../../playground/gatewayProcesses.js'
import type { LocalDaemon } from '../../../playground/localDeployment.js'
import { HttpLookupSource } from '../../client/lookupSource.js'
import { sleep, systemClock } from '../../common/clock.js'
import { Outcome } from '../../common/headers.js'
import { HttpExchangeClient } from '../../common/httpExchange.js'
import type { History, HistoryShutdown } from '../historyChecker.js'
import { checkHistory } from '../historyChecker.js'

const CALL_TIMEOUT_MS = 1500

describe('histories of gateway processes', function () {
  this.timeout(40_000)
  let processes: GatewayProcesses
  let shutdowns: HistoryShutdown[]

  before(async () => {
    const options = { gatewayCount: 3, seed: 61, maxTimeoutMs: 2000 }
    processes = await GatewayProcesses.start(options)
  })

  after(() => processes.stop())

  beforeEach(() => {
    shutdowns = []
  })

  /** Runs callers while `disturb` runs, then checks the history of their calls. */
  async function record(
    seed: number,
    load: Partial<CallerLoadOptions>,
    disturb: (gateways: readonly LocalDaemon[]) => Promise<void>,
  ): Promise<History> {
    const http = new HttpExchangeClient({
      maxConnections: 32,
      idleTimeoutMs: 2000,
      clock: systemClock,
    })
    const lookups = new HttpLookupSource(http, [processes.lookup.serviceAddress])
    const calling = runCallers(lookups, {
      service: PROCESS_SERVICE,
      callers: 16,
      calls: 40,
      nonIdempotentFraction: 0.7,
      maxServiceMs: 30,
      timeoutMs: CALL_TIMEOUT_MS,
      maxPauseMs: 60,
      seed,
      ...load,
    })
    const [calls] = await Promise.all([calling, disturb(processes.gateways)])
    http.close()
    const targets = new Set(calls.map((call) => call.target))
    const executions = processes.backendServers
      .flatMap((worker) => worker.records)
      .filter((run) => targets.has(run.target))
    const history = { calls, executions, shutdowns, drains: [], drainBoundMs: 3000 }
    expect(checkHistory(history), `seed ${String(seed)}`).to.deep.equal([])
    return history
  }

  const ranFraction = (history: History): number =>
    history.calls.filter((call) => call.outcome === Outcome.Ran).length / history.calls.length

  it('holds while a gateway is killed and restarted', async () => {
    const history = await record(71, { calls: 30 }, async ([gateway]) => {
      await sleep(500)
      gateway?.process.signal('SIGKILL')
      await gateway?.process.exited()
      await sleep(300)
      gateway?.start()
      await gateway?.ready()
    })
    expect(ranFraction(history)).to.be.above(0.8)
  })

  it('holds while a gateway is paused past the deadlines and resumed', async () => {
    const history = await record(72, { calls: 35 }, async ([, gateway]) => {
      await sleep(300)
      gateway?.process.signal('SIGSTOP')
      await sleep(CALL_TIMEOUT_MS + 500)
      gateway?.process.signal('SIGCONT')
      await sleep(500)
    })
    expect(ranFraction(history)).to.be.above(0.5)
  })

  it('holds while gateways shut down gracefully, with a second signal, and restart', async () => {
    const history = await record(73, { calls: 45 }, async (gateways) => {
      for (const gateway of gateways.slice(0, 2)) {
        await sleep(200)
        const startMs = Date.now()
        gateway.process.signal('SIGTERM')
        await sleep(50)
        gateway.process.signal('SIGTERM')
        const exit = await gateway.process.exited()
        expect(exit.code).to.equal(0)
        shutdowns.push({ address: gateway.serviceAddress, startMs, endMs: Date.now() })
        gateway.start()
        await gateway.ready()
      }
    })
    expect(history.shutdowns).to.have.length(2)
    expect(ranFraction(history)).to.equal(1)
  })

  it('holds while backend servers break answers and a gateway is killed', async () => {
    const random = {
      [RequestFault.ResetAfter]: 0.03,
      [RequestFault.Truncate]: 0.03,
      [RequestFault.Cross]: 0.03,
      [RequestFault.Shed]: 0.1,
    }
    for (const worker of processes.backendServers) worker.setFaults({ random })
    const history = await record(74, { calls: 25 }, async (gateways) => {
      await sleep(400)
      gateways[2]?.process.signal('SIGKILL')
      await gateways[2]?.process.exited()
      gateways[2]?.start()
      await gateways[2]?.ready()
    })
    for (const worker of processes.backendServers) worker.setFaults({ random: {} })
    expect(ranFraction(history)).to.be.above(0.6)
  })
})
