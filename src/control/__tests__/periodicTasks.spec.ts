import { expect } from 'chai'
import { Err, Ok } from '../../common/results.js'
import type { Result } from '../../common/results.js'
import type { ConfigurationRecord } from '../../configuration/document.js'
import { RecordKind, ShiftState } from '../../configuration/document.js'
import type { ListedInstance } from '../../platform/instanceList.js'
import { InstanceKind, InstanceState } from '../../platform/instanceList.js'
import { CommitError, CommitErrorKind } from '../changeLog.js'
import { LeaderLease, LeaderLeaseState } from '../leaderLease.js'
import { DrainCleanup } from '../drainCleanup.js'
import {
  ShiftAction,
  ShiftCommandErrorKind,
  ShiftCommands,
  createCommandId,
} from '../shiftCommands.js'
import { OPERATOR_PAUSE_REASON } from '../shiftStates.js'
import { REVISIONS_PER_SNAPSHOT, SnapshotScheduler } from '../snapshotScheduler.js'
import { AdvancerFixture, SHIFT_ID, SILENT_LOGGER } from './advancerFixture.js'
import {
  CallFault,
  FakeChangeLog,
  FakeStore,
  changeOf,
  serviceOf,
  smallDeployment,
} from './fakes.js'

const LEASE_MS = 3000

describe('leader lease', () => {
  const leaseOf = (store: FakeStore, ownerId: string): LeaderLease =>
    new LeaderLease(store, { key: 'control/duty', ownerId, timeToLiveMs: LEASE_MS, timeoutMs: 100 })

  it('is held by one process, and acquired by another after it expired', async () => {
    const store = new FakeStore()
    const [first, second] = [leaseOf(store, 'first'), leaseOf(store, 'second')]
    expect(await first.acquireOrRenew(0)).to.equal(LeaderLeaseState.Held)
    expect(await second.acquireOrRenew(0)).to.equal(LeaderLeaseState.HeldByOther)
    store.expireLeases()
    expect(await second.acquireOrRenew(LEASE_MS)).to.equal(LeaderLeaseState.Held)
    expect(await first.acquireOrRenew(LEASE_MS)).to.equal(LeaderLeaseState.HeldByOther)
  })

  it('makes no store call before a third of its time to live has passed', async () => {
    const store = new FakeStore()
    const lease = leaseOf(store, 'first')
    await lease.acquireOrRenew(0)
    const calls = store.calls.length
    await lease.acquireOrRenew(LEASE_MS / 3 - 1)
    expect(store.calls).to.have.length(calls)
  })

  for (const call of [0, 1, 2]) {
    for (const fault of [CallFault.Fail, CallFault.LoseAnswer, CallFault.LoseRequest]) {
      // Guards against two holders, and against a lease that nobody can acquire, after a store call
      // failed.
      it(`has at most one holder, and one again after the time to live, with ${fault} of call ${String(call)}`, async () => {
        const store = new FakeStore()
        const [first, second] = [leaseOf(store, 'first'), leaseOf(store, 'second')]
        store.faults = [...Array<CallFault>(call).fill(CallFault.None), fault]
        let states = [await first.acquireOrRenew(0), await second.acquireOrRenew(0)]
        expect(states.filter((state) => state === LeaderLeaseState.Held).length).to.be.at.most(1)
        states = [await first.acquireOrRenew(LEASE_MS), await second.acquireOrRenew(LEASE_MS)]
        expect(states.filter((state) => state === LeaderLeaseState.Held)).to.have.length(1)
      })
    }
  }

  it('distinguishes an unavailable store from another holder', async () => {
    const store = new FakeStore()
    const lease = leaseOf(store, 'first')
    store.defaultFault = CallFault.Fail
    expect(await lease.acquireOrRenew(0)).to.equal(LeaderLeaseState.StoreUnavailable)
  })
})

describe('shift commands', () => {
  const command = (action: ShiftAction, changeId = createCommandId(1_000_000, 'abcdef')) => ({
    action,
    shiftId: SHIFT_ID,
    operator: 'wanjiru',
    changeId,
  })

  it('turns an automatic pause into one that only an operator can end', async () => {
    const fixture = new AdvancerFixture({ state: ShiftState.Paused, pauseReason: 'something else' })
    const commands = new ShiftCommands(fixture.changeLog, fixture.changeLog)
    ;(await commands.run(command(ShiftAction.Pause), 0)).unwrap()
    expect(fixture.shift.pauseReason).to.equal(OPERATOR_PAUSE_REASON)
  })

  it('takes effect although a step is committed at the same time', async () => {
    const fixture = new AdvancerFixture()
    fixture.changeLog.beforeCommit = () => {
      const shift = { ...fixture.shift, step: 1, currentShare: 0.1 }
      fixture.changeLog.append(changeOf('step', [{ kind: RecordKind.PutShift, shift }]))
    }
    const commands = new ShiftCommands(fixture.changeLog, fixture.changeLog)
    ;(await commands.run(command(ShiftAction.Pause), 0)).unwrap()
    expect(fixture.shift).to.include({ state: ShiftState.Paused, step: 1, currentShare: 0.1 })
  })

  // Guards against a command that takes effect twice when it is repeated after a lost answer.
  it('is carried out once under one change id', async () => {
    const fixture = new AdvancerFixture({ state: ShiftState.Paused, pauseReason: 'x' })
    const commands = new ShiftCommands(fixture.changeLog, fixture.changeLog)
    const first = await commands.run(command(ShiftAction.Resume), 0)
    const again = await commands.run(command(ShiftAction.Resume), 5)
    expect(again.unwrap().revision).to.equal(first.unwrap().revision)
    expect(fixture.shiftStates).to.have.length(2)
  })

  it('reports the kind of each failure', async () => {
    const kindOf = async (arrange: (fixture: AdvancerFixture) => void): Promise<string> => {
      const fixture = new AdvancerFixture()
      arrange(fixture)
      const commands = new ShiftCommands(fixture.changeLog, fixture.changeLog)
      const result = await commands.run(command(ShiftAction.Resume), 0)
      return result.ok ? 'ok' : result.val.kind
    }
    const kinds = ShiftCommandErrorKind
    expect(await kindOf(() => undefined)).to.equal(kinds.NotPossible)
    expect(await kindOf((fixture) => (fixture.changeLog.isUnavailable = true))).to.equal(
      kinds.StoreUnavailable,
    )
    const pauseAnd = (fault: CommitErrorKind) => (fixture: AdvancerFixture) => {
      const shift = { ...fixture.shift, state: ShiftState.Paused }
      fixture.changeLog.append(changeOf('pause', [{ kind: RecordKind.PutShift, shift }]))
      fixture.changeLog.commitFaults = Array<CommitErrorKind>(5).fill(fault)
    }
    expect(await kindOf(pauseAnd(CommitErrorKind.Unknown))).to.equal(kinds.OutcomeUnknown)
    expect(await kindOf(pauseAnd(CommitErrorKind.Conflict))).to.equal(kinds.Conflict)
  })
})

describe('removal of completed drains', () => {
  const WORKER = 'shelf-stock-nyeri-1'
  const mark: ConfigurationRecord = {
    kind: RecordKind.MarkLeaving,
    leaving: { workerId: WORKER, generation: 1 },
  }
  const listed = (instanceId: string, generation = 1): ListedInstance => ({
    instanceId,
    kind: InstanceKind.Backend,
    state: InstanceState.Live,
    generation,
    region: 'nyeri',
    zone: 'nyeri-a',
    address: '',
  })

  /** Reads the list every 10 s. @returns the change log after `seconds` */
  async function cleanUpFor(
    seconds: number,
    list: () => readonly ListedInstance[],
    records: readonly ConfigurationRecord[] = [mark],
  ): Promise<FakeChangeLog> {
    const changeLog = new FakeChangeLog()
    changeLog.append(changeOf('first', [...smallDeployment(), ...records]))
    const drainCleanup = new DrainCleanup({
      changeLog,
      configuration: changeLog,
      instanceList: { read: () => Promise.resolve(Ok(list())) },
      logger: SILENT_LOGGER,
      memberId: 'c1',
      incarnation: '1',
      listTimeoutMs: 100,
    })
    for (let nowMs = 0; nowMs <= seconds * 1000; nowMs += 10_000)
      await drainCleanup.removeCompleted(nowMs)
    return changeLog
  }

  it('removes a backend server that is absent for 30 s plus its longest request', async () => {
    expect((await cleanUpFor(30, () => [listed('other')])).committed).to.have.length(1)
    const changeLog = await cleanUpFor(40, () => [listed('other')])
    const document = changeLog.current()?.document
    expect(document?.leaving.size).to.equal(0)
    const workers = document?.services.get('shelf-stock')?.workers ?? []
    expect(workers.map(({ workerId }) => workerId)).to.not.include(WORKER)
    expect(workers).to.have.length(5)
  })

  const KEPT_MARKS: readonly [string, () => readonly ListedInstance[]][] = [
    ['is still listed', () => [listed(WORKER)]],
    ['is missing from an empty list', () => []],
  ]
  for (const [name, list] of KEPT_MARKS) {
    it(`keeps a mark whose backend server ${name}`, async () => {
      expect((await cleanUpFor(100, list)).committed).to.have.length(1)
    })
  }

  it('clears the mark of a generation that was replaced', async () => {
    const service = serviceOf('shelf-stock')
    const workers = service.workers.map((worker) =>
      worker.workerId === WORKER ? { ...worker, generation: 2 } : worker,
    )
    const replaced: ConfigurationRecord = {
      kind: RecordKind.PutService,
      service: { ...service, workers },
    }
    const changeLog = await cleanUpFor(0, () => [listed(WORKER, 2)], [mark, replaced])
    expect(changeLog.committed[1]?.change.records).to.deep.equal([
      { kind: RecordKind.ClearLeaving, workerId: WORKER },
    ])
  })
})

describe('snapshot scheduler', () => {
  // Guards against more than 128 revisions without a snapshot, also when writing one fails.
  it('writes a snapshot at least every 128 revisions, also after failed attempts', async () => {
    const changeLog = new FakeChangeLog()
    const written: number[] = []
    let failures = 3
    const scheduler = new SnapshotScheduler({
      changeLog,
      configuration: changeLog,
      logger: SILENT_LOGGER,
      write: (configuration): Promise<Result<boolean, CommitError>> => {
        if (failures-- > 0) {
          return Promise.resolve(
            Err(
              new CommitError(CommitErrorKind.Unavailable, 'the store is unavailable', 'try again'),
            ),
          )
        }
        written.push(configuration.revision)
        return Promise.resolve(Ok(true))
      },
    })
    for (let revision = 1; revision <= 400; revision++) {
      changeLog.append(changeOf(String(revision), []))
      await scheduler.writeIfDue()
    }
    expect(written[0]).to.be.within(REVISIONS_PER_SNAPSHOT, 128)
    for (const [index, revision] of written.slice(1).entries()) {
      expect(revision - (written[index] ?? 0)).to.be.at.most(128)
    }
  })
})
