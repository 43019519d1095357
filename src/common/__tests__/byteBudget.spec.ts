import { expect } from 'chai'
import { ByteBudget } from '../byteBudget.js'

describe('ByteBudget', () => {
  // Guards against many small answers that fail because a few large ones hold all the memory.
  it('takes back the largest reservation for a smaller one', () => {
    const budget = new ByteBudget(100)
    const revoked: string[] = []
    const open = (name: string) => {
      const reservation = budget.open(() => {
        revoked.push(name)
        reservation.release()
      })
      return reservation
    }
    expect(open('small').grow(20)).to.equal(true)
    expect(open('large').grow(50)).to.equal(true)
    expect(open('medium').grow(30)).to.equal(true)
    expect(open('next').grow(40)).to.equal(true)
    expect([revoked, budget.usedBytes]).to.deep.equal([['large'], 90])
  })

  it('refuses a reservation that would be the largest', () => {
    const budget = new ByteBudget(100)
    const held = budget.open(() => {
      held.release()
    })
    held.grow(60)
    expect(budget.open().grow(60)).to.equal(false)
    expect(budget.usedBytes).to.equal(60)
  })

  it('takes nothing back that can not be taken back', () => {
    const budget = new ByteBudget(100)
    budget.open().grow(80)
    expect(budget.open().grow(30)).to.equal(false)
  })

  it('returns what is shrunk or released, once', () => {
    const budget = new ByteBudget(100)
    const reservation = budget.open()
    reservation.grow(50)
    reservation.shrink(20)
    expect(budget.usedBytes).to.equal(30)
    reservation.release()
    reservation.release()
    reservation.shrink(10)
    expect(budget.usedBytes).to.equal(0)
    expect(reservation.grow(1)).to.equal(false)
  })
})
