import { expect } from 'chai'
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { ShiftRecord } from '../../configuration/document.js'
import { RecordKind, ShiftState } from '../../configuration/document.js'
import { CommitErrorKind } from '../changeLog.js'
import { OPERATOR_PAUSE_REASON } from '../shiftStates.js'
import { AdvancerBench, LaggingView, SHIFT_ID, TICK_MS, gateway } from './advancerBench.js'
import { changeOf } from './fakes.js'

/** Fails if a step is repeated or skipped, or if the cap or the step size is exceeded (P1). */
function expectOrderlySteps(states: readonly ShiftRecord[]): void {
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
    const bench = new AdvancerBench()
    const advancer = bench.advancer('c1')
    await bench.pass(900, advancer)
    expect(bench.shift.step).to.equal(0)
    await bench.pass(1600, advancer)
    expect(bench.shift).to.include({ step: 2, currentShare: 0.2 })
    await bench.pass(1500, advancer)
    expect(bench.shift).to.include({ step: 3, currentShare: 0.25, state: ShiftState.Finished })
    expectOrderlySteps(bench.states)
  })

  it('moves callers back in steps when a shift is reversed', async () => {
    const bench = new AdvancerBench({
      state: ShiftState.Reversing,
      currentShare: 0.25,
      step: 3,
    })
    await bench.pass(5000, bench.advancer('c1'))
    expect(bench.shift).to.include({ currentShare: 0, state: ShiftState.Finished })
    expectOrderlySteps(bench.states)
  })

  interface Obstacle {
    readonly name: string
    readonly begin: (bench: AdvancerBench) => void
    readonly end: (bench: AdvancerBench) => void
    readonly reason: string
    /** Time after the obstacle has ended in which the shift must not take a step. */
    readonly stillMs: number
  }
  const OBSTACLES: readonly Obstacle[] = [
    {
      name: 'measurements stop',
      begin: (bench) => (bench.isMeasured = false),
      end: (bench) => (bench.isMeasured = true),
      reason: 'older than 3 s',
      stillMs: 2000,
    },
    {
      name: 'the target has less than 20% headroom',
      begin: (bench) => {
        bench.setTargetRate(81)
      },
      end: (bench) => {
        bench.setTargetRate(30)
      },
      reason: 'headroom',
      stillMs: 2000,
    },
    {
      name: 'the next step would leave less than 20% headroom',
      begin: (bench) => {
        bench.setTargetRate(78)
      },
      end: (bench) => {
        bench.setTargetRate(30)
      },
      reason: 'headroom',
      stillMs: 2000,
    },
    {
      name: 'the target loses a gateway',
      begin: (bench) => (bench.members.list = [gateway('g1')]),
      end: () => undefined,
      reason: 'lost',
      stillMs: 22_000,
    },
    {
      name: 'a gateway of the target restarts',
      begin: (bench) => (bench.members.list = [gateway('g1'), gateway('g2', { incarnation: '2' })]),
      end: () => undefined,
      reason: 'lost',
      stillMs: 22_000,
    },
    {
      name: 'the target loses slots',
      begin: (bench) => {
        const load = bench.loads.load('nakuru', 'shelf-stock')
        if (load !== undefined) bench.loads.put({ ...load, slots: 9 })
      },
      end: () => undefined,
      reason: 'lost',
      stillMs: 22_000,
    },
  ]
  for (const { name, begin, end, reason, stillMs } of OBSTACLES) {
    it(`pauses when ${name}, and resumes only after two intervals without the obstacle`, async () => {
      const bench = new AdvancerBench({ stepShare: 0.05 })
      const advancer = bench.advancer('c1')
      await bench.pass(1000 + TICK_MS, advancer)
      const { step } = bench.shift
      expect(step).to.equal(1)
      begin(bench)
      await bench.pass(8000, advancer)
      expect(bench.shift.state).to.equal(ShiftState.Paused)
      expect(bench.shift.pauseReason).to.include(reason)
      const paused = bench.shift.step
      end(bench)
      await bench.pass(stillMs, advancer)
      expect(bench.shift.step).to.equal(paused)
      await bench.pass(6000, advancer)
      expect(bench.shift.step).to.be.greaterThan(paused)
      expectOrderlySteps(bench.states)
    })
  }

  it('never ends a pause by an operator', async () => {
    const bench = new AdvancerBench({
      state: ShiftState.Paused,
      pauseReason: OPERATOR_PAUSE_REASON,
    })
    await bench.pass(10_000, bench.advancer('c1'))
    expect(bench.shift.state).to.equal(ShiftState.Paused)
    expect(bench.states).to.have.length(1)
  })

  it('takes no step while the store is unavailable, and for two intervals after', async () => {
    const bench = new AdvancerBench()
    const advancer = bench.advancer('c1')
    bench.changeLog.commitFaults = [CommitErrorKind.Unavailable]
    await bench.pass(1500, advancer)
    advancer.noteStore(false, bench.nowMs)
    await bench.pass(5000, advancer)
    expect(bench.shift.step).to.equal(0)
    advancer.noteStore(true, bench.nowMs)
    await bench.pass(1750, advancer)
    expect(bench.shift.step).to.equal(0)
    await bench.pass(500, advancer)
    expect(bench.shift.step).to.equal(1)
  })

  // Guards against a repeated step when the store committed a step but its answer was lost.
  it('continues from the committed step when an answer was lost', async () => {
    const bench = new AdvancerBench()
    const advancer = bench.advancer('c1')
    bench.changeLog.commitFaults = [CommitErrorKind.Unknown]
    bench.changeLog.beforeCommit = () => {
      const shift = { ...bench.shift, step: 1, currentShare: 0.1 }
      bench.changeLog.append(changeOf('late', [{ kind: RecordKind.PutShift, shift }]))
    }
    await bench.pass(1500, advancer)
    advancer.noteStore(true, bench.nowMs)
    await bench.pass(9000, advancer)
    expect(bench.shift).to.include({ state: ShiftState.Finished, step: 3 })
    expectOrderlySteps(bench.states)
  })

  // Guards against a daemon that was paused until its lease expired and then acts on an old
  // revision.
  it('lets a daemon that was paused past its lease commit nothing on its old revision', async () => {
    const bench = new AdvancerBench()
    const view = new LaggingView(bench.changeLog)
    const paused = bench.advancer('paused', view)
    await bench.pass(500, paused)
    view.isFrozen = true
    await bench.pass(2000, bench.advancer('other'))
    const { step } = bench.shift
    expect(step).to.be.greaterThan(0)
    paused.observe(bench.nowMs)
    expect(await paused.advance(bench.nowMs)).to.equal(1)
    expect(bench.shift.step).to.equal(step)
    view.isFrozen = false
    await bench.pass(5000, paused)
    expect(bench.shift.state).to.equal(ShiftState.Finished)
    expectOrderlySteps(bench.states)
  })

  // Guards against a step 673 ms after the previous one at an interval of 1000 ms, which happened
  // when the replica received the previous step between the observation and the decision.
  it('restarts the interval when the replica advances between observation and decision', async () => {
    const bench = new AdvancerBench()
    const view = new LaggingView(bench.changeLog)
    const advancer = bench.advancer('c1', view)
    await bench.pass(1000 + TICK_MS, advancer)
    expect(bench.shift.step).to.equal(1)
    await bench.pass(750, advancer)
    view.isFrozen = true
    const shift = { ...bench.shift, step: 2, currentShare: 0.2 }
    bench.changeLog.append(changeOf('other', [{ kind: RecordKind.PutShift, shift }]))
    bench.nowMs += 2 * TICK_MS
    advancer.observe(bench.nowMs)
    view.isFrozen = false
    expect(await advancer.advance(bench.nowMs)).to.equal(0)
    expect(bench.shift.step).to.equal(2)
  })

  // Guards against two shifts that together exceed the target's headroom although each alone does
  // not (P2).
  it('counts steps of other shifts that measurements do not show yet', async () => {
    const bench = new AdvancerBench({ capShare: 0.2, stepShare: 0.2, plannedRate: 30 })
    const other = { ...bench.shift, shiftId: 'shift-2', from: 'nairobi' }
    bench.changeLog.append(changeOf('second', [{ kind: RecordKind.PutShift, shift: other }]))
    bench.setTargetRate(72)
    await bench.pass(2500, bench.advancer('c1'))
    const moved = [...(bench.changeLog.current()?.document.shifts.values() ?? [])].filter(
      ({ currentShare }) => currentShare > 0,
    )
    expect(moved).to.have.length(1)
  })

  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    it(`takes valid steps with two daemons and random pauses and faults (seed ${String(seed)})`, async () => {
      const random = xorshift128plus(seed)
      const chance = (percent: number): boolean => uniformInt(random, 1, 100) <= percent
      const bench = new AdvancerBench({ stepShare: 0.02, stepIntervalMs: 500 })
      const daemons = ['a', 'b'].map((memberId) => {
        const view = new LaggingView(bench.changeLog)
        return { view, advancer: bench.advancer(memberId, view) }
      })
      for (let round = 0; round < 400; round++) {
        bench.tick()
        if (chance(3)) bench.setTargetRate(uniformInt(random, 30, 90))
        for (const { view, advancer } of daemons) {
          if (chance(20)) view.isFrozen = !view.isFrozen
          if (chance(5)) bench.changeLog.commitFaults = [CommitErrorKind.Unknown]
          if (chance(30)) continue
          advancer.noteStore(!chance(1), bench.nowMs)
          advancer.observe(bench.nowMs)
          if (chance(20)) view.isFrozen = !view.isFrozen
          await advancer.advance(bench.nowMs)
        }
      }
      for (const [index, atMs] of bench.stepTimes.slice(1).entries()) {
        expect(atMs - (bench.stepTimes[index] ?? 0)).to.be.at.least(500)
      }
      expect(bench.changeLog.current()?.document.shifts.get(SHIFT_ID)?.step).to.be.greaterThan(0)
      expectOrderlySteps(bench.states)
    })
  }
})
