import { expect } from 'chai'
import { simulateLoad } from '../../../testing/loadSimulation.js'
import { MANY_OBJECTS } from './manyObjects.js'
import { DispatchOrder } from '../dispatchOrder.js'

const HIT = { isHit: true, durationMs: 200, targetInMs: 300 }
const LATE_MISS = { isHit: false, durationMs: 640, targetInMs: 300 }

describe('dispatch order', () => {
  // Guards against slots for long work that is late anyway, while short work becomes late.
  it('lets requests whose server has their object pass one that is late without it', () => {
    expect(new DispatchOrder().isDeferred(LATE_MISS)).to.equal(true)
    expect(new DispatchOrder().isDeferred(HIT)).to.equal(false)
  })

  // A request that can still meet its target would lose by waiting.
  it('keeps the place of a request that meets its target without the object', () => {
    expect(new DispatchOrder().isDeferred({ ...LATE_MISS, targetInMs: 700 })).to.equal(false)
  })

  // Objects that no server has would otherwise be cold for as long as the load lasts.
  it('gives one of eight grants to a request that let others pass', () => {
    const order = new DispatchOrder()
    let passed = 0
    while (order.isDeferred(LATE_MISS)) {
      order.recordGrant(true)
      passed += 1
    }
    expect(passed).to.equal(7)
    order.recordGrant(false)
    expect(order.isDeferred(LATE_MISS)).to.equal(true)
  })

  describe('load beyond the room of a service with many objects', () => {
    const load = { ...MANY_OBJECTS, rateAt: () => 140 }
    const STRAGGLER_FRACTION = 0.03
    /** Mean duration relative to the usual one, with stragglers that take seven times as long. */
    const MEAN_FACTOR = 1 - STRAGGLER_FRACTION + STRAGGLER_FRACTION * 7
    /** Part of the ideal that the issue requires of each replay. */
    const REQUIRED_FRACTION = 0.9

    // Guards against overload that keeps work cold.
    it('serves nine tenths in time of the ideal, which runs each object cold once', () => {
      const slotMs = load.servers * load.slots * load.seconds * 1000
      const coldMs = load.objects * load.uncachedMs * MEAN_FACTOR
      const idealRequests = (slotMs - coldMs) / (load.cachedMs * MEAN_FACTOR)
      const { inTime } = simulateLoad(load)
      expect(inTime).to.be.above(REQUIRED_FRACTION * (1 - STRAGGLER_FRACTION) * idealRequests)
    })
  })
})
