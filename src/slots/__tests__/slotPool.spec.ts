import { expect } from 'chai'
import { SLOW_START_MS, SlotPool } from '../slotPool.js'
import { workers } from './gatewayNetwork.js'

const [worker] = workers(1, 4)
if (worker === undefined) throw new Error('no worker')
const owned = [0, 1, 2, 3].map((index) => ({ worker, index }))
const hold = (holdId: string) => ({ holdId, requestClass: 'c', sinceMs: 0, deadlineMs: 100 })

describe('SlotPool', () => {
  it('keeps the hold on a slot that moves away and back, so that it is not granted twice', () => {
    const pool = new SlotPool()
    pool.assign(owned, [worker], 0)
    const slotId = pool.free(0)[0]?.slotId ?? ''
    expect(pool.placeHold(slotId, hold('a'))).to.equal(true)
    expect(pool.placeHold(slotId, hold('b'))).to.equal(false)
    pool.assign([], [worker], 0)
    pool.assign(owned, [worker], 0)
    expect(pool.free(0)).to.have.length(3)
    expect(pool.endHold('a')?.slotId).to.equal(slotId)
    expect(pool.endHold('a')).to.equal(undefined)
    expect(pool.free(0)).to.have.length(4)
  })

  it('enables the slots of a worker that joins later one by one', () => {
    const pool = new SlotPool()
    pool.assign([], [], 0)
    pool.assign(owned, [worker], 1000)
    expect(pool.free(1000)).to.have.length(1)
    expect(pool.free(1000 + SLOW_START_MS / 2)).to.have.length(2)
    expect(pool.free(1000 + SLOW_START_MS)).to.have.length(4)
  })
})
