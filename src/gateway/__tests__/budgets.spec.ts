import { expect } from 'chai'
import type { ConfigurationDocument, ShiftRecord } from '../../configuration/document.js'
import { ShiftState } from '../../configuration/document.js'
import { createService } from '../../../playground/gatewayCluster.js'
import { createDeadline, maySend, parseTimeout } from '../deadline.js'
import type { LinkUse } from '../linkBudget.js'
import { LinkBudget } from '../linkBudget.js'
import { MovedTrafficBudget } from '../movedTrafficBudget.js'
import { RetryBudget } from '../retryBudget.js'

describe('RetryBudget', () => {
  it('limits retries to a tenth of requests after the initial burst', () => {
    const budget = new RetryBudget()
    let retries = 0
    for (let request = 0; request < 1000; request++) {
      budget.recordRequest('reveals')
      if (budget.takeRetry('reveals')) retries += 1
    }
    expect(retries).to.be.within(100, 110)
    expect(budget.takeRetry('coin-wallet')).to.equal(true)
  })
})

describe('MovedTrafficBudget', () => {
  const shift: ShiftRecord = {
    shiftId: 's1',
    service: 'reveals',
    from: 'north',
    to: 'south',
    capShare: 0.2,
    currentShare: 0.1,
    stepShare: 0.1,
    stepIntervalMs: 1000,
    state: ShiftState.Running,
    step: 1,
    plannedRate: 100,
  }

  it('keeps the sum over all gateways at the cap when callers send more', () => {
    const gateways = Array.from({ length: 4 }, () => new MovedTrafficBudget())
    let served = 0
    for (let nowMs = 0; nowMs < 10_000; nowMs += 5) {
      for (const gateway of gateways) if (gateway.take(shift, 100, 4, nowMs)) served += 1
    }
    expect(served).to.be.within(190, 200)
  })

  it('accumulates a whole token at a rate far below one request per second', () => {
    const budget = new MovedTrafficBudget()
    budget.take(shift, 1, 10, 0)
    expect(budget.take(shift, 1, 10, 60_000)).to.equal(true)
    expect(budget.take(shift, 1, 10, 60_001)).to.equal(false)
  })
})

describe('LinkBudget', () => {
  const services = new Map(
    [
      { name: 'reveals', linkWeight: 3 },
      { name: 'themed-lists', linkWeight: 1 },
    ].map((given) => [given.name, createService(given.name, given)]),
  )
  const link = (from: string, to: string) =>
    [`${from}>${to}`, { from, to, bitsPerSecond: 8_000_000 }] as const
  const document = {
    services,
    links: new Map([link('north', 'south'), link('south', 'north')]),
  } as unknown as ConfigurationDocument

  function use(service: string): LinkUse {
    const sizes = { requestBytes: 100, expectedAnswerBytes: 1000 }
    return { from: 'north', to: 'south', service, ...sizes }
  }

  function admitted(wanted: readonly string[], gatewayCount: number): Record<string, number> {
    const budget = new LinkBudget()
    const counts: Record<string, number> = {}
    for (let nowMs = 0; nowMs < 10_000; nowMs++) {
      for (const service of wanted) {
        if (budget.take(document, use(service), gatewayCount, nowMs)) {
          counts[service] = (counts[service] ?? 0) + 1
        }
      }
    }
    return counts
  }

  it('uses 0.8 of the link, divided by its two sides and the number of gateways', () => {
    const { reveals = 0 } = admitted(['reveals'], 2)
    const bitsPerSecond = (reveals * 1000 * 8) / 10
    expect(bitsPerSecond).to.be.within(0.9 * 1_600_000, 1.05 * 1_600_000)
  })

  it('divides a saturated link among services by weight', () => {
    const counts = admitted(['reveals', 'themed-lists'], 1)
    const ratio = (counts.reveals ?? 0) / (counts['themed-lists'] ?? 1)
    expect(ratio).to.be.within(2.5, 3.5)
  })

  it('rejects requests over a link that is not configured', () => {
    const budget = new LinkBudget()
    const unconfiguredUse = { ...use('reveals'), to: 'west' }
    expect(budget.take(document, unconfiguredUse, 1, 0)).to.equal(false)
  })

  it('rejects requests until the debt of an answer larger than expected is paid', () => {
    const budget = new LinkBudget()
    expect(budget.take(document, use('reveals'), 1, 0)).to.equal(true)
    budget.correctReservation(use('reveals'), 4_000_000)
    expect(budget.take(document, use('reveals'), 1, 1000)).to.equal(false)
  })
})

describe('Deadline', () => {
  it('subtracts the clock margin from the time for sending, at most a quarter of the timeout', () => {
    const long = createDeadline(1000, 10_000, 250)
    expect([maySend(long, 10_750), maySend(long, 10_751)]).to.deep.equal([true, false])
    const short = createDeadline(1000, 100, 250)
    expect([maySend(short, 1075), maySend(short, 1076)]).to.deep.equal([true, false])
  })

  it('limits timeouts to the maximum and rejects malformed ones', () => {
    expect(parseTimeout(undefined, 500, 1000)).to.equal(500)
    expect(parseTimeout('5000', 500, 1000)).to.equal(1000)
    for (const text of ['0', '-1', '1.5', 'soon', '', '1e3']) {
      expect(parseTimeout(text, 500, 1000), text).to.equal(undefined)
    }
  })
})
