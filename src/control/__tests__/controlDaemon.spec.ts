import 'reflect-metadata'
import { expect } from 'chai'
import { InstanceListServer } from '../../../playground/instanceListServer.js'
import { DeploymentName, loadDeployment } from '../../../playground/deployment.js'
import { StoreOutage, StoreServer } from '../../../playground/storeServer.js'
import { HttpRpcClient } from '../../common/rpcClient.js'
import { checkSettings } from '../../common/settings.js'
import { sleep } from '../../common/clock.js'
import type { ShiftRecord } from '../../configuration/document.js'
import { ShiftState } from '../../configuration/document.js'
import type { DaemonRuntime } from '../../daemon/daemonRuntime.js'
import { InstanceKind, InstanceState } from '../../platform/instanceList.js'
import type { ControlDaemon } from '../controlDaemon.js'
import { CONTROL_TOKENS, createControlDaemon, registerControlDaemon } from '../controlDaemon.js'
import type { ControlSettings } from '../controlSettings.js'
import { CONTROL_SETTINGS } from '../controlSettings.js'
import type { StatusReport } from '../operatorStatus.js'
import type { PlanDocument } from '../plan.js'

const OPERATOR_TOKEN = 'operator-token-of-this-test'
const MEASURE_INTERVAL_MS = 200
const REGIONS = ['nyeri', 'nakuru', 'nairobi']

/** Two control daemons on the store stand-in; the test supplies the measurements. */
class ControlCluster {
  readonly store = new StoreServer()
  readonly list = new InstanceListServer()
  readonly daemons: ControlDaemon[] = []
  readonly #runtimes: DaemonRuntime[] = []
  readonly #rpc = new HttpRpcClient(OPERATOR_TOKEN)
  #measurementTimer: NodeJS.Timeout | undefined

  async start(): Promise<void> {
    await Promise.all([this.store.start(), this.list.start()])
    for (const number of [1, 2]) {
      const settings = this.#settings(`nyeri-${String(number)}/control`)
      const container = registerControlDaemon(settings)
      const daemon = createControlDaemon(settings, container)
      await daemon.start()
      const runtime = container.resolve<DaemonRuntime>(CONTROL_TOKENS.runtime)
      this.daemons.push(daemon)
      this.#runtimes.push(runtime)
      this.list.put({
        instanceId: settings.memberId,
        kind: InstanceKind.Entry,
        state: InstanceState.Live,
        generation: 1,
        region: 'nyeri',
        zone: 'nyeri-a',
        address: runtime.members.self().internalAddress,
      })
    }
  }

  async stop(): Promise<void> {
    this.setMeasuring(false)
    await Promise.all(this.daemons.map((daemon) => daemon.stop()))
    await Promise.all([this.store.stop(), this.list.stop()])
    this.#rpc.close()
  }

  /** Starts or stops reporting measurements of all regions. */
  setMeasuring(isMeasured: boolean): void {
    clearInterval(this.#measurementTimer)
    if (isMeasured)
      this.#measurementTimer = setInterval(() => {
        this.#report()
      }, MEASURE_INTERVAL_MS)
  }

  async call(method: string, params: unknown, daemon = 0): Promise<unknown> {
    const address = this.daemons[daemon]?.operatorAddress ?? ''
    const answer = await this.#rpc.call(address, method, params, { timeoutMs: 10_000 })
    return answer.unwrap()
  }

  async planAndConfirm(intent: object): Promise<string> {
    const plan = (await this.call('intent.plan', { intent })) as PlanDocument
    const { planId, digest } = plan
    expect(plan.refusals).to.deep.equal([])
    await this.call('plan.confirm', { planId, digest, operator: 'wanjiru' })
    return planId
  }

  async shift(shiftId: string): Promise<ShiftRecord | undefined> {
    const status = (await this.call('status', { askMembers: false }, 1)) as StatusReport
    return status.shifts.find((shift) => shift.shiftId === shiftId)
  }

  /** Polls until the shift fulfils the condition; throws after 150 attempts. */
  async waitForShift(
    shiftId: string,
    condition: (shift: ShiftRecord) => boolean,
  ): Promise<ShiftRecord> {
    for (let attempt = 0; attempt < 150; attempt++) {
      const shift = await this.shift(shiftId)
      if (shift !== undefined && condition(shift)) return shift
      await sleep(100)
    }
    throw new Error(
      `the shift did not reach the expected state: ${JSON.stringify(await this.shift(shiftId))}`,
    )
  }

  #report(): void {
    const nowMs = Date.now()
    const summaries = REGIONS.map((region) => ({
      region,
      measuredAtMs: nowMs,
      services: [
        {
          service: 'shelf-stock',
          requestsPerSecond: 100,
          homeRates: { [region]: 100 },
          inFlight: 4,
          slots: 20,
          meanServiceMs: 40,
        },
      ],
    }))
    for (const runtime of this.#runtimes) runtime.loads.mergeSummaries(summaries, nowMs)
  }

  #settings(memberId: string): ControlSettings {
    return checkSettings<ControlSettings>(CONTROL_SETTINGS, {
      memberId,
      region: 'nyeri',
      zone: 'nyeri-a',
      site: 'nyeri-a',
      internalPort: '0',
      operatorPort: '0',
      storeUrl: this.store.url,
      instanceListUrl: this.list.url,
      peerToken: 'peer-token-of-this-test',
      operatorToken: OPERATOR_TOKEN,
      storeTimeoutMs: '300',
      dutyIntervalMs: '100',
      dutyLeaseMs: '1500',
    }).unwrap()
  }
}

const SHIFT = {
  kind: 'shiftService',
  service: 'shelf-stock',
  from: 'nyeri',
  to: 'nakuru',
  capShare: 0.2,
  stepShare: 0.05,
  stepIntervalMs: 500,
}

describe('control daemons', () => {
  let cluster: ControlCluster

  beforeEach(async () => {
    cluster = new ControlCluster()
    await cluster.start()
    const { records } = loadDeployment(DeploymentName.Kirinyaga).unwrap()
    await cluster.planAndConfirm({ kind: 'applyRecords', records })
    cluster.setMeasuring(true)
    await sleep(2 * MEASURE_INTERVAL_MS)
  })

  afterEach(async () => {
    await cluster.stop()
  })

  it('advance a confirmed shift to its cap, and back to 0 after it is reversed', async () => {
    const planId = await cluster.planAndConfirm(SHIFT)
    const shiftId = `shift-${planId}`
    const finished = await cluster.waitForShift(
      shiftId,
      ({ state }) => state === ShiftState.Finished,
    )
    expect(finished).to.include({ currentShare: 0.2, step: 4 })
    const changeId = 'reverse-of-this-test'
    await cluster.call('shift.reverse', { shiftId, operator: 'wanjiru', changeId })
    const back = await cluster.waitForShift(shiftId, ({ currentShare }) => currentShare === 0)
    expect(back).to.include({ state: ShiftState.Finished, step: 8 })
  })

  // Guards against a shift that stops advancing when the daemon that holds the lease stops.
  it('continue a shift after the daemon that advanced it has stopped', async () => {
    const shiftId = `shift-${await cluster.planAndConfirm(SHIFT)}`
    await cluster.waitForShift(shiftId, ({ step }) => step >= 1)
    await cluster.daemons[0]?.stop()
    const finished = await cluster.waitForShift(
      shiftId,
      ({ state }) => state === ShiftState.Finished,
    )
    expect(finished).to.include({ currentShare: 0.2, step: 4 })
  })

  // Guards against steps without measurements, and against a pause that outlasts its reason.
  it('pause a shift while measurements are missing', async () => {
    const shiftId = `shift-${await cluster.planAndConfirm({ ...SHIFT, stepShare: 0.02 })}`
    await cluster.waitForShift(shiftId, ({ step }) => step >= 1)
    cluster.setMeasuring(false)
    const paused = await cluster.waitForShift(shiftId, ({ state }) => state === ShiftState.Paused)
    expect(paused.pauseReason).to.include('measurements')
    cluster.setMeasuring(true)
    await cluster.waitForShift(shiftId, ({ state }) => state === ShiftState.Finished)
  })

  // Guards against steps that are repeated, skipped or lost when the store fails and then loses
  // answers.
  it('take no step while the store is unavailable and continue afterwards', async () => {
    const shiftId = `shift-${await cluster.planAndConfirm(SHIFT)}`
    await cluster.waitForShift(shiftId, ({ step }) => step >= 1)
    cluster.store.setFaults({ outage: StoreOutage.HangUp })
    await sleep(300)
    const before = await cluster.shift(shiftId)
    await sleep(1500)
    expect(await cluster.shift(shiftId)).to.deep.equal(before)
    cluster.store.setFaults({ outage: StoreOutage.None, dropNextAnswers: 3 })
    const finished = await cluster.waitForShift(
      shiftId,
      ({ state }) => state === ShiftState.Finished,
    )
    expect(finished).to.include({ currentShare: 0.2, step: 4 })
  })
})
