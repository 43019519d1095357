import { expect } from 'chai'
import { EventLoopActivity, readEventLoopCounters } from '../eventLoopActivity.js'

describe('EventLoopActivity', () => {
  it('measures turns, their length and accepted connections since the last call', () => {
    const activity = new EventLoopActivity({ turns: 100, activeMs: 50 }, 1000)
    expect(activity.measure({ turns: 120, activeMs: 450 }, 18, 1500)).to.deep.equal({
      turns: 20,
      turnMs: 20,
      utilization: 0.8,
      accepted: 18,
    })
    expect(activity.measure({ turns: 120, activeMs: 450 }, 18, 2000)).to.deep.equal({
      turns: 0,
      turnMs: 0,
      utilization: 0,
      accepted: 0,
    })
  })

  it('reads counters of the process that grow with its turns', async () => {
    const before = readEventLoopCounters()
    await new Promise((resolve) => setTimeout(resolve, 5))
    expect(readEventLoopCounters().turns).to.be.greaterThan(before.turns)
  })
})
