import { expect } from 'chai'
import fc from 'fast-check'
import { ByteBudget } from '../byteBudget.js'
import { GrowableBuffer } from '../growableBuffer.js'

const SEED = 20261205

describe('GrowableBuffer', () => {
  it('holds all pieces in order, in at most twice their bytes', () => {
    const pieces = fc.array(fc.uint8Array({ maxLength: 700 }), { maxLength: 40 })
    fc.assert(
      fc.property(pieces, (parts) => {
        const budget = new ByteBudget(1024 * 1024)
        const buffer = new GrowableBuffer(budget.open())
        for (const part of parts) {
          const source = Buffer.concat([Buffer.from('..'), part, Buffer.from('.')])
          expect(buffer.append(source, 2, part.length)).to.equal(true)
        }
        const whole = Buffer.concat(parts)
        expect(buffer.view().equals(whole)).to.equal(true)
        expect(budget.usedBytes).to.be.at.most(Math.max(512, 2 * whole.length))
      }),
      { seed: SEED },
    )
  })

  it('takes no more than the expected size', () => {
    const budget = new ByteBudget(10_000)
    const buffer = new GrowableBuffer(budget.open())
    for (let count = 0; count < 3; count += 1) buffer.append(Buffer.alloc(1000), 0, 1000, 3000)
    expect(budget.usedBytes).to.equal(3000)
  })

  it('appends nothing that the budget does not hold', () => {
    const buffer = new GrowableBuffer(new ByteBudget(3000).open())
    expect(buffer.append(Buffer.alloc(1500), 0, 1500)).to.equal(true)
    // Both blocks exist while the bytes are copied.
    expect(buffer.append(Buffer.alloc(100), 0, 100)).to.equal(false)
    expect(buffer.size).to.equal(1500)
  })

  it('returns its memory when it is cleared', () => {
    const budget = new ByteBudget(3000)
    const buffer = new GrowableBuffer(budget.open())
    buffer.append(Buffer.alloc(1000), 0, 1000)
    buffer.clear()
    expect([budget.usedBytes, buffer.size]).to.deep.equal([0, 0])
  })
})
