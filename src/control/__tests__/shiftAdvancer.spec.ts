import { expect } from 'chai'
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { ShiftRecord } from '../../configuration/document.js'
import { RecordKind, ShiftState } from '../../configuration/document.js'
import { CommitErrorKind } from '../changeLog.js'
import { OPERATOR_PAUSE_REASON } from '../shiftStates.js'
import { AdvancerFixture, FreezableView, SHIFT_ID, TICK_MS, gateway } from './advancerFixture.js'
import { changeOf } from './fakes.js'

/** Fails if a step is repeated or skipped, or if the cap or the step size is exceeded (P1). */
function expectValidSteps(states: readonly ShiftRecord[]): void {
  for (const [index, state] of states.entries()) {
    expect(state.currentShare).to.be.within(0, state.capShare)
    const before = states[index - 1]
    if (before === undefined) continue
    expect(state.step - before.step).to.be.within(0, 1)
    const moved = Math.abs(state.currentShare - before.currentShare)
    expect(moved).to.be.at.most(state.step === before.step ? 0 : state.stepShare + 1e-9)
  }
}

describe('shift advancer', () => {
  it('takes one step per interval up to the cap', async () => {
    const fixture = new AdvancerFixture()
    const advancer = fixture.createAdvancer('c1')
    await fixture.runFor(900, advancer)
    expect(fixture.shift.step).to.equal(0)
    await fixture.runFor(1600, advancer)
    expect(fixture.shift).to.include({ step: 2, currentShare: 0.2 })
    await fixture.runFor(1500, advancer)
    expect(fixture.shift).to.include({ step: 3, currentShare: 0.25, state: ShiftState.Finished })
    expectValidSteps(fixture.shiftStates)
  })

  it('moves callers back in steps when a shift is reversed', async () => {
    const fixture = new AdvancerFixture({
      state: ShiftState.Reversing,
      currentShare: 0.25,
      step: 3,
    })
    await fixture.runFor(5000, fixture.createAdvancer('c1'))
    expect(fixture.shift).to.include({ currentShare: 0, state: ShiftState.Finished })
    expectValidSteps(fixture.shiftStates)
  })

  interface Obstacle {
    readonly name: string
    readonly begin: (fixture: AdvancerFixture) => void
    readonly end: (fixture: AdvancerFixture) => void
    readonly reason: string
    /** Time after the obstacle has ended in which the shift must not take a step. */
    readonly blockedMs: number
  }
  const OBSTACLES: readonly Obstacle[] = [
    {
      name: 'measurements stop',
      begin: (fixture) => (fixture.hasMeasurements = false),
      end: (fixture) => (fixture.hasMeasurements = true),
      reason: 'older than 3 s',
      blockedMs: 2000,
    },
    {
      name: 'the target has less than 20% headroom',
      begin: (fixture) => {
        fixture.setTargetRate(81)
      },
      end: (fixture) => {
        fixture.setTargetRate(30)
      },
      reason: 'headroom',
      blockedMs: 2000,
    },
    {
      name: 'the next step would leave less than 20% headroom',
      begin: (fixture) => {
        fixture.setTargetRate(78)
      },
      end: (fixture) => {
        fixture.setTargetRate(30)
      },
      reason: 'headroom',
      blockedMs: 2000,
    },
    {
      name: 'the target loses a gateway',
      begin: (fixture) => (fixture.members.list = [gateway('g1')]),
      end: () => undefined,
      reason: 'lost',
      blockedMs: 22_000,
    },
    {
      name: 'a gateway of the target restarts',
      begin: (fixture) =>
        (fixture.members.list = [gateway('g1'), gateway('g2', { incarnation: '2' })]),
      end: () => undefined,
      reason: 'lost',
      blockedMs: 22_000,
    },
    {
      name: 'the target loses slots',
      begin: (fixture) => {
        const load = fixture.loads.load('nakuru', 'shelf-stock')
        if (load !== undefined) fixture.loads.put({ ...load, slots: 9 })
      },
      end: () => undefined,
      reason: 'lost',
      blockedMs: 22_000,
    },
  ]
  for (const { name, begin, end, reason, blockedMs } of OBSTACLES) {
    it(`pauses when ${name}, and resumes only after two intervals without the obstacle`, async () => {
      const fixture = new AdvancerFixture({ stepShare: 0.05 })
      const advancer = fixture.createAdvancer('c1')
      await fixture.runFor(1000 + TICK_MS, advancer)
      const { step } = fixture.shift
      expect(step).to.equal(1)
      begin(fixture)
      await fixture.runFor(8000, advancer)
      expect(fixture.shift.state).to.equal(ShiftState.Paused)
      expect(fixture.shift.pauseReason).to.include(reason)
      const paused = fixture.shift.step
      end(fixture)
      await fixture.runFor(blockedMs, advancer)
      expect(fixture.shift.step).to.equal(paused)
      await fixture.runFor(6000, advancer)
      expect(fixture.shift.step).to.be.greaterThan(paused)
      expectValidSteps(fixture.shiftStates)
    })
  }

  it('never ends a pause by an operator', async () => {
    const fixture = new AdvancerFixture({
      state: ShiftState.Paused,
      pauseReason: OPERATOR_PAUSE_REASON,
    })
    await fixture.runFor(10_000, fixture.createAdvancer('c1'))
    expect(fixture.shift.state).to.equal(ShiftState.Paused)
    expect(fixture.shiftStates).to.have.length(1)
  })

  it('takes no step while the store is unavailable, and for two intervals after', async () => {
    const fixture = new AdvancerFixture()
    const advancer = fixture.createAdvancer('c1')
    fixture.changeLog.commitFaults = [CommitErrorKind.Unavailable]
    await fixture.runFor(1500, advancer)
    advancer.recordStoreAvailability(false, fixture.nowMs)
    await fixture.runFor(5000, advancer)
    expect(fixture.shift.step).to.equal(0)
    advancer.recordStoreAvailability(true, fixture.nowMs)
    await fixture.runFor(1750, advancer)
    expect(fixture.shift.step).to.equal(0)
    await fixture.runFor(500, advancer)
    expect(fixture.shift.step).to.equal(1)
  })

  // Guards against a repeated step when the store committed a step but its answer was lost.
  it('continues from the committed step when an answer was lost', async () => {
    const fixture = new AdvancerFixture()
    const advancer = fixture.createAdvancer('c1')
    fixture.changeLog.commitFaults = [CommitErrorKind.Unknown]
    fixture.changeLog.beforeCommit = () => {
      const shift = { ...fixture.shift, step: 1, currentShare: 0.1 }
      fixture.changeLog.append(changeOf('late', [{ kind: RecordKind.PutShift, shift }]))
    }
    await fixture.runFor(1500, advancer)
    advancer.recordStoreAvailability(true, fixture.nowMs)
    await fixture.runFor(9000, advancer)
    expect(fixture.shift).to.include({ state: ShiftState.Finished, step: 3 })
    expectValidSteps(fixture.shiftStates)
  })

  // Guards against a daemon that was paused until its lease expired and then acts on an old
  // revision.
  it('lets a daemon that was paused past its lease commit nothing on its old revision', async () => {
    const fixture = new AdvancerFixture()
    const view = new FreezableView(fixture.changeLog)
    const paused = fixture.createAdvancer('paused', view)
    await fixture.runFor(500, paused)
    view.isFrozen = true
    await fixture.runFor(2000, fixture.createAdvancer('other'))
    const { step } = fixture.shift
    expect(step).to.be.greaterThan(0)
    paused.observe(fixture.nowMs)
    expect(await paused.advance(fixture.nowMs)).to.equal(1)
    expect(fixture.shift.step).to.equal(step)
    view.isFrozen = false
    await fixture.runFor(5000, paused)
    expect(fixture.shift.state).to.equal(ShiftState.Finished)
    expectValidSteps(fixture.shiftStates)
  })

  // Guards against a step 673 ms after the previous one at an interval of 1000 ms, which happened
  // when the replica received the previous step between the observation and the decision.
  it('restarts the interval when the replica advances between observation and decision', async () => {
    const fixture = new AdvancerFixture()
    const view = new FreezableView(fixture.changeLog)
    const advancer = fixture.createAdvancer('c1', view)
    await fixture.runFor(1000 + TICK_MS, advancer)
    expect(fixture.shift.step).to.equal(1)
    await fixture.runFor(750, advancer)
    view.isFrozen = true
    const shift = { ...fixture.shift, step: 2, currentShare: 0.2 }
    fixture.changeLog.append(changeOf('other', [{ kind: RecordKind.PutShift, shift }]))
    fixture.nowMs += 2 * TICK_MS
    advancer.observe(fixture.nowMs)
    view.isFrozen = false
    expect(await advancer.advance(fixture.nowMs)).to.equal(0)
    expect(fixture.shift.step).to.equal(2)
  })

  // Guards against two shifts that together exceed the target's headroom although each alone does
  // not (P2).
  it('counts steps of other shifts that measurements do not show yet', async () => {
    const fixture = new AdvancerFixture({ capShare: 0.2, stepShare: 0.2, plannedRate: 30 })
    const other = { ...fixture.shift, shiftId: 'shift-2', from: 'nairobi' }
    fixture.changeLog.append(changeOf('second', [{ kind: RecordKind.PutShift, shift: other }]))
    fixture.setTargetRate(72)
    await fixture.runFor(2500, fixture.createAdvancer('c1'))
    const moved = [...(fixture.changeLog.current()?.document.shifts.values() ?? [])].filter(
      ({ currentShare }) => currentShare > 0,
    )
    expect(moved).to.have.length(1)
  })

  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    it(`takes valid steps with two daemons and random pauses and faults (seed ${String(seed)})`, async () => {
      const random = xorshift128plus(seed)
      const chance = (percent: number): boolean => uniformInt(random, 1, 100) <= percent
      const fixture = new AdvancerFixture({ stepShare: 0.02, stepIntervalMs: 500 })
      const daemons = ['a', 'b'].map((memberId) => {
        const view = new FreezableView(fixture.changeLog)
        return { view, advancer: fixture.createAdvancer(memberId, view) }
      })
      for (let round = 0; round < 400; round++) {
        fixture.tick()
        if (chance(3)) fixture.setTargetRate(uniformInt(random, 30, 90))
        for (const { view, advancer } of daemons) {
          if (chance(20)) view.isFrozen = !view.isFrozen
          if (chance(5)) fixture.changeLog.commitFaults = [CommitErrorKind.Unknown]
          if (chance(30)) continue
          advancer.recordStoreAvailability(!chance(1), fixture.nowMs)
          advancer.observe(fixture.nowMs)
          if (chance(20)) view.isFrozen = !view.isFrozen
          await advancer.advance(fixture.nowMs)
        }
      }
      for (const [index, atMs] of fixture.stepTimesMs.slice(1).entries()) {
        expect(atMs - (fixture.stepTimesMs[index] ?? 0)).to.be.at.least(500)
      }
      expect(fixture.changeLog.current()?.document.shifts.get(SHIFT_ID)?.step).to.be.greaterThan(0)
      expectValidSteps(fixture.shiftStates)
    })
  }
})
