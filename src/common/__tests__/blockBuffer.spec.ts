import { expect } from 'chai'
import fc from 'fast-check'
import { BlockBuffer } from '../blockBuffer.js'
import { ByteBudget } from '../byteBudget.js'

const SEED = 20261208

describe('BlockBuffer', () => {
  // Guards against bodies whose bytes are lost, doubled or mixed at the ends of blocks.
  it('returns the pieces in one block, and all memory when it is given up', () => {
    const sizes = fc.array(fc.oneof(fc.nat(40), fc.nat(200_000)), { maxLength: 12 })
    const property = fc.property(sizes, (pieces) => {
      const budget = new ByteBudget(Number.MAX_SAFE_INTEGER)
      const reservation = budget.open()
      const buffer = new BlockBuffer(reservation)
      const sent = pieces.map((size, index) => Buffer.alloc(size, index + 1))
      for (const piece of sent) expect(buffer.append(piece)).to.equal(true)
      const whole = Buffer.concat(sent)
      expect(buffer.size).to.equal(whole.length)
      expect(budget.usedBytes).to.be.at.least(whole.length)
      expect(buffer.take().equals(whole)).to.equal(true)
      expect(budget.usedBytes).to.be.at.least(whole.length)
      reservation.release()
      expect(budget.usedBytes).to.equal(0)
    })
    fc.assert(property, { seed: SEED, numRuns: 300 })
  })

  // Guards against memory beyond the budget, and against a body that needs more than its size.
  it('appends nothing that the budget does not hold, and all that it does', () => {
    const budget = new ByteBudget(200_000)
    const buffer = new BlockBuffer(budget.open())
    expect(buffer.append(Buffer.alloc(150_000))).to.equal(true)
    expect(buffer.append(Buffer.alloc(80_000))).to.equal(false)
    expect(buffer.take()).to.have.length(150_000)
    expect(budget.usedBytes).to.equal(150_000)
    buffer.clear()
    expect(budget.usedBytes).to.equal(0)
  })
})
