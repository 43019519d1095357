import { expect } from 'chai'
import { sleep, systemClock } from '../../src/common/clock.js'
import { HttpExchangeClient } from '../../src/common/httpExchange.js'
import { HttpRpcClient } from '../../src/common/rpcClient.js'
import { Outcome } from '../../src/common/headers.js'
import { MemberRole } from '../../src/membership/memberRecord.js'
import { InstanceKind, InstanceState } from '../../src/platform/instanceList.js'
import type { PlanOutput } from '../demoOperator.js'
import { DemoOperator } from '../demoOperator.js'
import type { DemoCall } from '../demoTraffic.js'
import { DemoTraffic } from '../demoTraffic.js'
import { DeploymentName, loadDeployment, workersOf } from '../deployment.js'
import type { LocalDaemon } from '../localDeployment.js'
import { LocalDeployment, PEER_TOKEN } from '../localDeployment.js'
import { StoreOutage } from '../storeServer.js'

/** Design limit: time after which a leaving backend server gets no new work. */
const NEW_WORK_LIMIT_MS = 3000
/** Design limit: time until an accepted change is in force on every daemon. */
const IN_FORCE_LIMIT_MS = 4000
const OBSERVATION_MS = 1500
const REGION_LOSS_OBSERVATION_MS = 9000
/** Time for failure detection, expiry of the callers' cached look-ups and one retry. */
const LAST_REQUEST_LIMIT_MS = 7500

/** Keeps one entry instance per region, which limits the deployment to 9 processes. */
function loadSmallDeployment(): LocalDeployment['deployment'] {
  const deployment = loadDeployment(DeploymentName.Kirinyaga).unwrap()
  const entryInstances = deployment.entryInstances.filter((instance) =>
    instance.instanceId.endsWith('-1'),
  )
  return { ...deployment, entryInstances }
}

/** Describes the attempts of calls for the message of a failed assertion. */
function describeCalls(calls: readonly DemoCall[], sinceMs: number): string {
  const lines = calls.map(({ call, report }) => {
    const attempts = report.attempts.map(
      ({ address, outcome, status, reason, startMs, endMs }) =>
        `${address} ${outcome} ${status === undefined ? reason : String(status)} ${String(startMs - sinceMs)}-${String(endMs - sinceMs)} ms`,
    )
    const lastAnswer = report.answer?.body.toString('utf8') ?? 'no answer'
    return `${call.method} ${call.service}: ${attempts.join('; ')}: ${lastAnswer}`
  })
  return [`${String(calls.length)} calls without a known outcome`, ...lines].join('\n')
}

/** Runs real daemon processes with faults of the platform, of processes and of operators. */
describe('local deployment under faults', function () {
  this.timeout(60_000)
  let local: LocalDeployment
  let operator: DemoOperator
  let traffic: DemoTraffic
  const http = new HttpExchangeClient({
    maxConnections: 128,
    idleTimeoutMs: 4000,
    clock: systemClock,
  })
  const peers = new HttpRpcClient(PEER_TOKEN)

  const revisionOf = async (daemon: LocalDaemon): Promise<number> => {
    const answer = await peers.call(
      daemon.internalAddress,
      'configuration.acknowledgedRevision',
      {},
      { timeoutMs: 1000 },
    )
    return answer.ok ? (answer.val as { revision: number }).revision : -1
  }
  /** Waits until every daemon holds at least `revision`; returns the elapsed milliseconds. */
  const waitForRevision = async (revision: number, limitMs: number): Promise<number> => {
    const startMs = Date.now()
    for (;;) {
      const revisions = await Promise.all(local.daemons.map(revisionOf))
      const tookMs = Date.now() - startMs
      if (revisions.every((held) => held >= revision) || tookMs > limitMs) return tookMs
      await sleep(50)
    }
  }
  const acceptedRevision = async (): Promise<number> =>
    (await operator.run<{ acceptedRevision: number }>('status')).acceptedRevision
  /** Returns the start of a worker's last execution, in milliseconds after `sinceMs`. */
  const lastNewWorkMs = (workerId: string, sinceMs: number): number => {
    const server = local.backendServers.find((candidate) => candidate.workerId === workerId)
    const starts = (server?.records ?? []).map((record) => record.startMs - sinceMs)
    return Math.max(0, ...starts)
  }
  const setListedState = (workerId: string, state: InstanceState): void => {
    const worker = workersOf(local.deployment).find((candidate) => candidate.workerId === workerId)
    if (worker === undefined) throw new Error(`There is no worker ${workerId}`)
    const { region, zone, address, generation } = worker
    local.instanceList.put({
      instanceId: workerId,
      kind: InstanceKind.Backend,
      state,
      generation,
      region,
      zone,
      address,
    })
  }

  before(async () => {
    local = await LocalDeployment.start({ deployment: loadSmallDeployment(), logs: '' })
    operator = new DemoOperator(local)
    await operator.bootstrap(local)
    await waitForRevision(1, IN_FORCE_LIMIT_MS)
    const services = [...new Set(workersOf(local.deployment).map((worker) => worker.service))]
    traffic = new DemoTraffic(local, http, { callersPerBlock: 1, pauseMs: 500, services })
    traffic.start()
    await sleep(OBSERVATION_MS)
  })

  after(async () => {
    await traffic.stop()
    http.close()
    peers.close()
    await local.stop()
  })

  describe('a leaving backend server gets no new work after 3 s, on one signal alone', () => {
    const signals: Readonly<Record<string, (workerId: string) => Promise<void>>> = {
      "the platform's list": (workerId) => {
        setListedState(workerId, InstanceState.Leaving)
        return Promise.resolve()
      },
      'its own answer': (workerId) => {
        local.backendServers.find((server) => server.workerId === workerId)?.drain()
        return Promise.resolve()
      },
      "an operator's intent": async (workerId) => {
        await operator.planAndConfirm('drain', workerId)
      },
    }
    // Each one serves another region and service, so that the plan leaves enough slots to both.
    const workerIndexes = [0, 28, 44]
    Object.entries(signals).forEach(([name, leave], index) => {
      it(`${name}, while the others contradict it`, async () => {
        const workerId = workersOf(local.deployment)[workerIndexes[index] ?? 0]?.workerId ?? ''
        const before = lastNewWorkMs(workerId, 0)
        expect(before, 'the worker executed requests before').to.be.greaterThan(0)
        await leave(workerId)
        const sinceMs = Date.now()
        const callsBefore = traffic.calls.length
        await sleep(NEW_WORK_LIMIT_MS + OBSERVATION_MS)
        expect(traffic.calls.length, 'callers kept sending requests').to.be.greaterThan(callsBefore)
        expect(lastNewWorkMs(workerId, sinceMs)).to.be.at.most(NEW_WORK_LIMIT_MS)
      })
    })

    it('stays leaving when an outdated list entry says "live"', async () => {
      const workerId = workersOf(local.deployment)[0]?.workerId ?? ''
      setListedState(workerId, InstanceState.Live)
      const sinceMs = Date.now()
      await sleep(NEW_WORK_LIMIT_MS)
      expect(lastNewWorkMs(workerId, sinceMs)).to.equal(0)
    })
  })

  describe('configuration', () => {
    const planDrain = (index: number): Promise<PlanOutput> => {
      const worker = workersOf(local.deployment)[index]
      return operator.run<PlanOutput>('plan', 'drain', worker?.workerId ?? '')
    }

    it('a change is in force on every daemon within 4 s while the store is slow', async () => {
      const plan = await planDrain(12)
      local.store.setFaults({ slownessMs: 300 })
      await operator.run('confirm', plan.planId, '--digest', plan.digest)
      const tookMs = await waitForRevision(await acceptedRevision(), IN_FORCE_LIMIT_MS)
      local.store.setFaults({ slownessMs: 0 })
      expect(tookMs).to.be.at.most(IN_FORCE_LIMIT_MS)
    })

    it('a change whose store answer is lost is committed once and reported as committed', async () => {
      const before = await acceptedRevision()
      const plan = await planDrain(16)
      local.store.setFaults({ dropNextAnswers: 2 })
      const result = await operator.tryRun('confirm', plan.planId, '--digest', plan.digest)
      local.store.setFaults({ dropNextAnswers: 0 })
      expect(result.exitCode, result.output).to.equal(0)
      expect(await acceptedRevision()).to.equal(before + 1)
    })

    it('of two operators who confirm the same change at once, one succeeds and the other gets a conflict', async () => {
      const before = await acceptedRevision()
      const plans = await Promise.all([planDrain(24), planDrain(24)])
      const results = await Promise.all(
        plans.map((plan) => operator.tryRun('confirm', plan.planId, '--digest', plan.digest)),
      )
      const codes = results.map((result) => result.exitCode).sort()
      expect(codes, results.map((result) => result.output).join('\n')).to.deep.equal([0, 4])
      expect(await acceptedRevision()).to.equal(before + 1)
    })

    it('the second confirmation of a plan is refused', async () => {
      const plan = await planDrain(32)
      await operator.run('confirm', plan.planId, '--digest', plan.digest)
      const secondResult = await operator.tryRun('confirm', plan.planId, '--digest', plan.digest)
      expect(secondResult.exitCode).to.equal(4)
      expect(secondResult.output).to.contain('planAlreadyConfirmed')
    })

    describe('while the store is unavailable', () => {
      before(() => {
        local.store.setFaults({ outage: StoreOutage.HangUp })
      })
      after(() => {
        local.store.setFaults({ outage: StoreOutage.None })
      })

      it('requests are served, and operator commands report the unavailable store', async () => {
        const callsBefore = traffic.calls.length
        const planned = await operator.tryRun(
          'plan',
          'drain',
          workersOf(local.deployment)[36]?.workerId ?? '',
        )
        expect(planned.exitCode, planned.output).to.equal(5)
        await sleep(500)
        expect(traffic.calls.length).to.be.greaterThan(callsBefore)
      })

      it('restarted daemons of a whole region load the revision of their peers, never an older one', async () => {
        const accepted = Math.max(...(await Promise.all(local.daemons.map(revisionOf))))
        const region = local.deployment.entryInstances[2]?.region ?? ''
        const restarted = local.daemons.filter((daemon) => daemon.instance.region === region)
        for (const daemon of restarted) daemon.process.signal('SIGKILL')
        await Promise.all(restarted.map((daemon) => daemon.process.exited()))
        for (const daemon of restarted) daemon.start()
        await Promise.all(restarted.map((daemon) => daemon.ready()))
        await waitForRevision(accepted, IN_FORCE_LIMIT_MS)
        expect(await Promise.all(restarted.map(revisionOf))).to.deep.equal(
          restarted.map(() => accepted),
        )
      })
    })

    it('a daemon that was paused during a change holds it within 4 s after it continues', async () => {
      const pausedDaemon = local.daemonsOf(MemberRole.Lookup)[1]
      if (pausedDaemon === undefined) throw new Error('There is no second lookup daemon')
      pausedDaemon.process.signal('SIGSTOP')
      const plan = await planDrain(40)
      await operator.run('confirm', plan.planId, '--digest', plan.digest)
      const accepted = await acceptedRevision()
      await sleep(1000)
      pausedDaemon.process.signal('SIGCONT')
      expect(await waitForRevision(accepted, IN_FORCE_LIMIT_MS)).to.be.at.most(IN_FORCE_LIMIT_MS)
    })
  })

  describe('loss of a whole region', () => {
    it('its callers are served by other regions or refused as not run, and no call stays open', async () => {
      const region = local.deployment.entryInstances[1]?.region ?? ''
      const lost = local.daemons.filter((daemon) => daemon.instance.region === region)
      const lostAddresses = new Set(lost.map((daemon) => daemon.serviceAddress))
      const killedMs = Date.now()
      for (const daemon of lost) daemon.process.signal('SIGKILL')
      await sleep(REGION_LOSS_OBSERVATION_MS)
      const homeCalls = traffic.calls.filter(
        (call) => call.homeRegion === region && call.startMs > killedMs,
      )
      const undecidedCalls = homeCalls.filter((call) => call.report.outcome === Outcome.Unknown)
      expect(homeCalls.length, 'callers of the region kept sending requests').to.be.greaterThan(0)
      expect(
        1 - undecidedCalls.length / homeCalls.length,
        describeCalls(undecidedCalls, killedMs),
      ).to.be.greaterThan(0.95)
      const lateAttempts = homeCalls
        .flatMap((call) => call.report.attempts)
        .filter((attempt) => lostAddresses.has(attempt.address))
        .map((attempt) => attempt.startMs - killedMs)
      expect(Math.max(0, ...lateAttempts)).to.be.at.most(LAST_REQUEST_LIMIT_MS)
      for (const daemon of lost) daemon.start()
      await Promise.all(lost.map((daemon) => daemon.ready()))
    })
  })

  describe('graceful shutdown', () => {
    for (const role of Object.values(MemberRole)) {
      it(`of a ${role} daemon cuts no request, even on a second signal`, async () => {
        const daemon = local.daemonsOf(role)[0]
        if (daemon === undefined) throw new Error(`There is no ${role} daemon`)
        const startMs = Date.now()
        const exited = daemon.process.stop(20_000)
        await sleep(200)
        daemon.process.signal('SIGTERM')
        const exit = await exited
        const endMs = Date.now()
        const cutAttempts = traffic.calls
          .flatMap((call) => call.report.attempts)
          .filter((attempt) => attempt.address === daemon.serviceAddress && attempt.sent)
          .filter((attempt) => attempt.startMs <= endMs && attempt.endMs >= startMs)
          .filter((attempt) => attempt.status === undefined)
        expect(cutAttempts).to.deep.equal([])
        expect(exit).to.deep.equal({ code: 0, signal: null })
      })
    }
  })

  // Mocha runs the tests of a block before its nested blocks, so this has to be the last block.
  describe('the whole run', () => {
    it('more than 90% of the requests ran, and no operation ran twice', async () => {
      await traffic.stop()
      const operations = new Set(
        traffic.calls.filter((call) => !call.call.idempotent).map((call) => call.call.target),
      )
      const runs = new Map<string, number>()
      for (const record of local.backendServers.flatMap((server) => [...server.records])) {
        if (operations.has(record.target))
          runs.set(record.target, (runs.get(record.target) ?? 0) + 1)
      }
      expect([...runs.values()].filter((count) => count > 1)).to.deep.equal([])
      const ran = traffic.calls.filter((call) => call.report.outcome === Outcome.Ran)
      expect(ran.length / traffic.calls.length).to.be.greaterThan(0.9)
    })
  })
})
