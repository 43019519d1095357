import { expect } from 'chai'
import type { ConfigurationRecord } from '../../configuration/document.js'
import { RecordKind } from '../../configuration/document.js'
import { CommitErrorKind } from '../changeLog.js'
import { parseIntent } from '../intent.js'
import type { Plan } from '../plan.js'
import { ConfirmErrorKind } from '../confirmErrors.js'
import { PlanConfirmation } from '../planConfirmation.js'
import { DEFAULT_PLAN_LIMITS } from '../planContext.js'
import { PlanStore, PlanStoreErrorKind } from '../planStore.js'
import { planIntent } from '../planner.js'
import {
  CallFault,
  FakeChangeLog,
  FakeStore,
  changeOf,
  uniformLoads,
  serviceOf,
  smallDeployment,
} from './fakes.js'

const NOW_MS = 1_000_000
const LIFETIME_MS = 10_000
const DRAIN = { kind: 'drainBackendServer', workerId: 'shelf-stock-nyeri-1' }

/** Plan store and plan confirmation on a fake store and change log. */
class ConfirmationFixture {
  nowMs = NOW_MS
  readonly store = new FakeStore()
  readonly changeLog = new FakeChangeLog()
  readonly loads = uniformLoads(10, NOW_MS)
  readonly plans = new PlanStore(this.store, { maxPlans: 3, retentionMs: 5000 }, 100)
  readonly confirmation = new PlanConfirmation(
    {
      plans: this.plans,
      changeLog: this.changeLog,
      configuration: this.changeLog,
      loads: this.loads,
      limits: DEFAULT_PLAN_LIMITS,
    },
    () => this.nowMs,
  )

  constructor() {
    this.changeLog.append(changeOf('first', smallDeployment()))
  }

  async plan(planId: string, intent: object = DRAIN): Promise<Plan> {
    const configuration = this.changeLog.current()
    if (configuration === undefined) throw new Error('no configuration')
    const plan = planIntent(
      parseIntent(intent).unwrap(),
      {
        planId,
        configuration,
        loads: this.loads,
        limits: DEFAULT_PLAN_LIMITS,
        lifetimeMs: LIFETIME_MS,
      },
      this.nowMs,
    )
    ;(await this.plans.add(plan, this.nowMs)).unwrap()
    return plan
  }

  /** Confirms the plan. @returns the committed revision, or the kind of the error */
  async confirm(plan: Plan, digest = plan.digest): Promise<number | ConfirmErrorKind> {
    const result = await this.confirmation.confirm({
      planId: plan.planId,
      digest,
      operator: 'wanjiru',
    })
    return result.ok ? result.val.revision : result.val.kind
  }

  commits(plan: Plan): number {
    return this.changeLog.committed.filter(({ change }) => change.changeId === plan.planId).length
  }
}

const markLeaving = (workerId: string): ConfigurationRecord => ({
  kind: RecordKind.MarkLeaving,
  leaving: { workerId, generation: 1 },
})

describe('plan confirmation', () => {
  it('commits exactly the records of the plan', async () => {
    const fixture = new ConfirmationFixture()
    const plan = await fixture.plan('plan-1')
    expect(await fixture.confirm(plan)).to.equal(2)
    const change = fixture.changeLog.committed[1]?.change
    expect(change?.records).to.deep.equal(plan.content.changes)
    expect(change?.operator).to.equal('wanjiru')
  })

  interface Failure {
    readonly name: string
    readonly arrange: (fixture: ConfirmationFixture) => void
    readonly digest?: string
    readonly expected: ConfirmErrorKind
  }
  const FAILURES: readonly Failure[] = [
    {
      name: 'an expired plan',
      arrange: (fixture) => (fixture.nowMs += LIFETIME_MS),
      expected: ConfirmErrorKind.PlanExpired,
    },
    {
      name: 'a plan that expires between the check and the commit',
      arrange: (fixture) => {
        const current = fixture.changeLog.current.bind(fixture.changeLog)
        fixture.changeLog.current = () => {
          fixture.nowMs = NOW_MS + LIFETIME_MS
          return current()
        }
      },
      expected: ConfirmErrorKind.PlanExpired,
    },
    {
      name: 'a digest of another plan',
      arrange: () => undefined,
      digest: 'deadbeef',
      expected: ConfirmErrorKind.PlanDigestMismatch,
    },
    {
      name: 'a later change of the same backend server',
      arrange: (fixture) =>
        fixture.changeLog.append(changeOf('other', [markLeaving('shelf-stock-nyeri-1')])),
      expected: ConfirmErrorKind.PlanStale,
    },
    {
      name: 'a later change that leaves too few slots for the plan',
      arrange: (fixture) =>
        fixture.changeLog.append(changeOf('other', [markLeaving('shelf-stock-nyeri-2')])),
      expected: ConfirmErrorKind.PlanStale,
    },
    {
      name: 'a load that grew after the plan was made',
      arrange: (fixture) => {
        for (const load of fixture.loads.all())
          fixture.loads.put({ ...load, requestsPerSecond: 90 })
      },
      expected: ConfirmErrorKind.PlanStale,
    },
    {
      name: 'a plan more than 64 revisions behind the head',
      arrange: (fixture) => {
        for (let index = 0; index < 65; index++) {
          fixture.changeLog.append(changeOf(`other-${String(index)}`, []))
        }
      },
      expected: ConfirmErrorKind.PlanStale,
    },
    {
      name: 'a head that cannot be read',
      arrange: (fixture) => (fixture.changeLog.isUnavailable = true),
      expected: ConfirmErrorKind.StoreUnavailable,
    },
    {
      name: 'a plan that cannot be read',
      arrange: (fixture) => (fixture.store.defaultFault = CallFault.Fail),
      expected: ConfirmErrorKind.StoreUnavailable,
    },
    {
      name: 'a store that rejects the commit',
      arrange: (fixture) => (fixture.changeLog.commitFaults = [CommitErrorKind.Unavailable]),
      expected: ConfirmErrorKind.StoreUnavailable,
    },
    {
      name: 'a lost answer with an undetermined outcome',
      arrange: (fixture) => (fixture.changeLog.commitFaults = [CommitErrorKind.Unknown]),
      expected: ConfirmErrorKind.OutcomeUnknown,
    },
  ]
  for (const { name, arrange, digest, expected } of FAILURES) {
    it(`reports ${expected} for ${name} and commits nothing`, async () => {
      const fixture = new ConfirmationFixture()
      const plan = await fixture.plan('plan-1')
      arrange(fixture)
      expect(await fixture.confirm(plan, digest)).to.equal(expected)
      expect(fixture.commits(plan)).to.equal(0)
    })
  }

  // Guards against a plan that takes effect twice because it is confirmed twice.
  it('commits once when confirmed twice, and names the revision', async () => {
    const fixture = new ConfirmationFixture()
    const plan = await fixture.plan('plan-1')
    await fixture.confirm(plan)
    const again = await fixture.confirmation.confirm({
      planId: plan.planId,
      digest: plan.digest,
      operator: 'njoroge',
    })
    if (again.ok) expect.fail('the plan was confirmed twice')
    expect(again.val.kind).to.equal(ConfirmErrorKind.PlanAlreadyConfirmed)
    expect(again.val.details).to.deep.include({ revision: 2 })
    expect(fixture.commits(plan)).to.equal(1)
  })

  // Guards against a second commit when an operator confirms again after an unknown outcome.
  it('finds an earlier commit by its change id, also after the plan has expired', async () => {
    const fixture = new ConfirmationFixture()
    const plan = await fixture.plan('plan-1')
    fixture.changeLog.commitFaults = [CommitErrorKind.Unknown]
    fixture.changeLog.beforeCommit = () => {
      fixture.changeLog.append(changeOf(plan.planId, plan.content.changes))
    }
    expect(await fixture.confirm(plan)).to.equal(ConfirmErrorKind.OutcomeUnknown)
    fixture.nowMs += LIFETIME_MS
    expect(await fixture.confirm(plan)).to.equal(ConfirmErrorKind.PlanAlreadyConfirmed)
    expect(fixture.commits(plan)).to.equal(1)
  })

  // Guards against lost updates when two plans are based on the same revision.
  it('accepts one of two concurrent plans and reports the conflicting change to the other operator', async () => {
    const fixture = new ConfirmationFixture()
    const service = serviceOf('shelf-stock')
    const intent = (maxQueued: number): object => ({
      kind: 'putService',
      service: { ...service, maxQueued },
    })
    const first = await fixture.plan('plan-1', intent(20))
    const second = await fixture.plan('plan-2', intent(30))
    fixture.changeLog.beforeCommit = () => {
      fixture.changeLog.append(changeOf(first.planId, first.content.changes))
    }
    const result = await fixture.confirmation.confirm({
      planId: second.planId,
      digest: second.digest,
      operator: 'wanjiru',
    })
    if (result.ok) expect.fail('the second operator overwrote the first')
    expect(result.val.kind).to.equal(ConfirmErrorKind.PlanStale)
    expect(result.val.message).to.include('revision 2 by agata changed service shelf-stock')
    expect(fixture.commits(second)).to.equal(0)
  })

  it('accepts one of two concurrent shifts of the same callers', async () => {
    const fixture = new ConfirmationFixture()
    const shift = { kind: 'shiftService', service: 'shelf-stock', from: 'nyeri', capShare: 0.2 }
    const first = await fixture.plan('plan-1', { ...shift, to: 'nakuru' })
    const second = await fixture.plan('plan-2', { ...shift, to: 'nairobi' })
    const results = await Promise.all([fixture.confirm(first), fixture.confirm(second)])
    expect(results).to.have.members([2, ConfirmErrorKind.PlanStale])
    expect(fixture.changeLog.current()?.document.shifts.size).to.equal(1)
  })

  // Guards against plans that can't be confirmed while a running shift keeps committing steps.
  it('commits on a later revision when the changes in between concern something else', async () => {
    const fixture = new ConfirmationFixture()
    const plan = await fixture.plan('plan-1')
    fixture.changeLog.append(changeOf('other', [markLeaving('shelf-stock-nakuru-1')]))
    fixture.changeLog.beforeCommit = () => {
      fixture.changeLog.append(changeOf('another', [markLeaving('shelf-stock-nairobi-1')]))
    }
    expect(await fixture.confirm(plan)).to.equal(4)
  })
})

describe('plan store', () => {
  for (const callIndex of [0, 1, 2, 3]) {
    for (const fault of [CallFault.Fail, CallFault.LoseAnswer, CallFault.LoseRequest]) {
      // Guards against a plan that is shown but was never stored, and against a stored plan that is
      // missing from the index and so is never removed.
      it(`keeps the index consistent with the plans when call ${String(callIndex)} gets the fault ${fault}`, async () => {
        const fixture = new ConfirmationFixture()
        fixture.store.faults = [...Array<CallFault>(callIndex).fill(CallFault.None), fault]
        const added = await fixture.plan('plan-1').then(
          () => true,
          () => false,
        )
        const index = fixture.store.values.get('plans/index')?.value ?? '[]'
        const isStored = fixture.store.values.has('plans/plan-1')
        if (added) expect(isStored).to.equal(true)
        if (isStored) expect(index).to.include('plan-1')
      })
    }
  }

  it('refuses more plans than the limit, and accepts new ones after old ones are removed', async () => {
    const fixture = new ConfirmationFixture()
    for (const planId of ['plan-1', 'plan-2', 'plan-3']) await fixture.plan(planId)
    const refused = await fixture.plan('plan-4').catch((error: unknown) => String(error))
    expect(refused).to.include('3 plans are stored')
    fixture.nowMs += LIFETIME_MS + 5000
    await fixture.plan('plan-5')
    expect([...fixture.store.values.keys()]).to.have.members(['plans/index', 'plans/plan-5'])
  })

  it('rejects a stored plan that does not match its digest', async () => {
    const fixture = new ConfirmationFixture()
    await fixture.plan('plan-1')
    const stored = fixture.store.values.get('plans/plan-1')
    if (stored === undefined) throw new Error('plan-1 is not stored')
    fixture.store.values.set('plans/plan-1', {
      ...stored,
      value: stored.value.replace('nyeri-1', 'nyeri-2'),
    })
    const found = await fixture.plans.find('plan-1')
    if (found.ok) expect.fail('a changed plan was returned')
    expect(found.val.kind).to.equal(PlanStoreErrorKind.PlanDamaged)
  })
})
