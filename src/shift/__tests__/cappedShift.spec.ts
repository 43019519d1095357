import { expect } from 'chai'
import fastCheck from 'fast-check'
import { BlockTable } from '../../configuration/blockTable.js'
import { ShiftState } from '../../configuration/document.js'
import { BlockOrder } from '../blockOrder.js'
import type { ShiftIntent } from '../cappedShift.js'
import { CappedShift, ShiftErrorKind } from '../cappedShift.js'
import { LIMITER_WINDOW_MS, MovedShareLimiter } from '../movedShareLimiter.js'
import { ShiftPauseReason, shiftPauseReason } from '../shiftPause.js'
import type { ServiceLoad } from '../regionLoad.js'

const INTENT: ShiftIntent = {
  shiftId: 's1',
  service: 'reveals',
  from: 'east',
  to: 'west',
  capShare: 0.25,
  stepShare: 0.1,
  stepIntervalMs: 1000,
  plannedRate: 100,
}

const planned = (): CappedShift => CappedShift.plan(INTENT, 0).unwrap()

describe('CappedShift', () => {
  it('ends exactly at the cap if the cap is not a multiple of the step', () => {
    const steps = planned().remainingSteps(0)
    expect(steps.map(({ share }) => share)).to.deep.equal([0.1, 0.2, 0.25])
    expect(steps.map(({ earliestAtMs }) => earliestAtMs)).to.deep.equal([1000, 2000, 3000])
  })

  const invalid: readonly Partial<ShiftIntent>[] = [
    { to: 'east' },
    { capShare: 0 },
    { capShare: 1.1 },
    { stepShare: Number.NaN },
    { stepIntervalMs: 0 },
    { plannedRate: -1 },
  ]
  for (const change of invalid) {
    it(`rejects an intent with ${JSON.stringify(change)}`, () => {
      const shift = CappedShift.plan({ ...INTENT, ...change }, 0)
      expect(shift.err && shift.val.kind).to.equal(ShiftErrorKind.Invalid)
    })
  }

  type Transition = (shift: CappedShift, nowMs: number) => ReturnType<CappedShift['advance']>
  const transitions: Readonly<Record<string, Transition>> = {
    advance: (shift, nowMs) => shift.advance(nowMs),
    pause: (shift, nowMs) => shift.pause('test', nowMs),
    resume: (shift, nowMs) => shift.resume(nowMs),
    reverse: (shift, nowMs) => shift.reverse(nowMs),
  }
  const forbidden: readonly { state: ShiftState; share: number; names: readonly string[] }[] = [
    { state: ShiftState.Running, share: 0.1, names: ['resume'] },
    { state: ShiftState.Paused, share: 0.1, names: ['advance', 'pause'] },
    // Resuming a paused reversal would move its blocks again.
    { state: ShiftState.Reversing, share: 0.1, names: ['pause', 'resume', 'reverse'] },
    { state: ShiftState.Finished, share: 0.25, names: ['advance', 'pause', 'resume'] },
    { state: ShiftState.Finished, share: 0, names: ['advance', 'pause', 'resume', 'reverse'] },
  ]
  for (const { state, share, names } of forbidden) {
    it(`refuses only ${names.join(', ')} in state ${state} at share ${String(share)}`, () => {
      const shift = CappedShift.fromRecord({ ...planned().record, state, currentShare: share }, 0)
      const refused = Object.entries(transitions)
        .filter(([, transition]) => {
          const result = transition(shift, 5000)
          return result.err && result.val.kind === ShiftErrorKind.WrongState
        })
        .map(([name]) => name)
      expect(refused).to.have.members([...names])
    })
  }

  it('takes no step before the interval has passed, also in a process that took over', () => {
    const early = CappedShift.fromRecord(planned().record, 5000).advance(5999)
    expect(early.err && early.val.kind).to.equal(ShiftErrorKind.TooEarly)
    expect(CappedShift.fromRecord(planned().record, 5000).advance(6000).ok).to.equal(true)
  })

  it('stays within the cap, and moves back only after a reversal, for any command sequence', () => {
    const names = fastCheck.array(fastCheck.constantFrom(...Object.keys(transitions)), {
      maxLength: 30,
    })
    fastCheck.assert(
      fastCheck.property(names, (sequence) => {
        let shift = planned()
        let hasReversed = false
        for (const [index, name] of sequence.entries()) {
          const before = shift.record
          shift = transitions[name]?.(shift, (index + 1) * 1000).unwrapOr(shift) ?? shift
          hasReversed ||= shift.record.state === ShiftState.Reversing
          const change = shift.record.currentShare - before.currentShare
          expect(shift.record.currentShare).to.be.within(0, INTENT.capShare)
          expect(Math.abs(change)).to.be.at.most(INTENT.stepShare + 1e-9)
          if (hasReversed) expect(change).to.be.at.most(0)
          else expect(change).to.be.at.least(0)
          expect(shift.record.step - before.step).to.equal(change === 0 ? 0 : 1)
        }
      }),
      { seed: 23, numRuns: 300 },
    )
  })
})

describe('BlockOrder', () => {
  it('moves blocks of at most the given share of traffic; a larger share only adds blocks', () => {
    const blocks = Array.from({ length: 500 }, (_, index) => ({
      cidr: `10.${String(index >> 8)}.${String(index & 255)}.0/24`,
      site: index % 5 === 0 ? 'other' : 'own',
      weight: 1 + (index % 7) ** 2,
    }))
    const table = BlockTable.empty().withChanges(blocks, []).unwrap()
    const order = BlockOrder.ofRegion(table, (site) => site === 'own', 42)
    const own = Array.from({ length: table.size }, (_, index) => index).filter(
      (index) => table.siteAt(index) === 'own',
    )
    const weightOf = (indexes: readonly number[]): number =>
      indexes.reduce((sum, index) => sum + table.weightAt(index), 0)
    let before: readonly number[] = []
    for (const share of [0, 0.01, 0.1, 0.3, 0.7, 1]) {
      const moved = own.filter((index) => order.positionOf(table.hashAt(index)) <= share)
      expect(before.every((index) => moved.includes(index))).to.equal(true)
      expect(weightOf(moved)).to.be.within(
        weightOf(own) * (share - 0.02),
        weightOf(own) * share + 1e-6,
      )
      before = moved
    }
  })
})

describe('MovedShareLimiter', () => {
  it('keeps the total of all processes within the share if one block exceeds its weight', () => {
    // Processes at different configuration revisions apply different shares at the same time.
    const answers = fastCheck.array(
      fastCheck.record({
        process: fastCheck.nat(3),
        block: fastCheck.oneof(fastCheck.constant(5), fastCheck.nat(99)),
        raised: fastCheck.boolean(),
      }),
      { minLength: 200, maxLength: 800 },
    )
    fastCheck.assert(
      fastCheck.property(answers, (sequence) => {
        const limiters = [0, 1, 2, 3].map(() => new MovedShareLimiter())
        let moved = 0
        for (const [index, { process, block, raised }] of sequence.entries()) {
          const share = raised ? 0.2 : 0.1
          const position = (block + 1) / 100
          if (limiters[process]?.allows(block, position, share, index * 50) === true) moved++
          expect(moved).to.be.at.most(0.2 * (index + 1))
        }
      }),
      { seed: 31, numRuns: 60 },
    )
  })

  it('denies a block for the rest of the window, so that it does not alternate', () => {
    const limiter = new MovedShareLimiter()
    const decisions: boolean[] = []
    for (let index = 0; index < 400; index++) {
      const isHeavy = index % 2 === 0
      const isMoved = limiter.allows(isHeavy ? 1 : 2, isHeavy ? 0.01 : 0.9, 0.1, index * 10)
      if (isHeavy) decisions.push(isMoved)
    }
    const changes = decisions.filter((isMoved, index) => isMoved !== decisions[index - 1]).length
    expect(400 * 10).to.be.below(LIMITER_WINDOW_MS)
    expect(changes).to.be.at.most(2)
  })
})

describe('shiftPauseReason', () => {
  const NOW_MS = 100_000
  const loadOf = (region: string, changes: Partial<ServiceLoad>): ServiceLoad => ({
    region,
    service: INTENT.service,
    requestsPerSecond: 50,
    homeRequestsPerSecond: 50,
    inFlight: 5,
    slots: 10,
    meanServiceMs: 100,
    measuredAtMs: NOW_MS - 1000,
    ...changes,
  })
  const cases: readonly {
    reason: ShiftPauseReason | undefined
    target?: Partial<ServiceLoad>
    source?: Partial<ServiceLoad>
    isStoreAvailable?: boolean
    targetLostAtMs?: number
  }[] = [
    { reason: undefined },
    { reason: undefined, target: { requestsPerSecond: 80 }, targetLostAtMs: NOW_MS - 30_000 },
    { reason: ShiftPauseReason.HeadroomLow, target: { requestsPerSecond: 81 } },
    { reason: ShiftPauseReason.HeadroomLow, target: { slots: 0 } },
    { reason: ShiftPauseReason.LoadUnknown, target: { measuredAtMs: NOW_MS - 3001 } },
    { reason: ShiftPauseReason.LoadUnknown, source: { measuredAtMs: NOW_MS - 3001 } },
    { reason: ShiftPauseReason.StoreUnavailable, isStoreAvailable: false },
    { reason: ShiftPauseReason.TargetLost, targetLostAtMs: NOW_MS - 29_999 },
  ]
  for (const { reason, target, source, isStoreAvailable, targetLostAtMs } of cases) {
    const given = JSON.stringify({ target, source, isStoreAvailable, targetLostAtMs })
    it(`${reason ?? 'does not pause'}: ${given}`, () => {
      const loads = [loadOf('east', source ?? {}), loadOf('west', target ?? {})]
      const view = {
        load: (region: string) => loads.find((load) => load.region === region),
        all: () => loads,
      }
      const conditions = { isStoreAvailable: isStoreAvailable ?? true, targetLostAtMs }
      expect(shiftPauseReason(INTENT, view, conditions, NOW_MS)).to.equal(reason)
    })
  }
})
