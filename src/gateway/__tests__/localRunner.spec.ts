import { expect } from 'chai'
import type { ExchangeResult, HeaderPair } from '../../common/exchange.js'
import { ExchangeFailureReason, ExchangeKind } from '../../common/exchange.js'
import { NOT_STARTED_HEADER, Outcome } from '../../common/headers.js'
import { noMetrics } from '../../common/metrics.js'
import { Ok } from '../../common/results.js'
import { createService } from '../../../playground/gatewayCluster.js'
import type { SlotRequest } from '../../slots/slotSource.js'
import { SlotUse } from '../../slots/slotSource.js'
import { createDeadline } from '../deadline.js'
import type { GatewayRequest } from '../gatewayRequest.js'
import { LocalRunner } from '../localRunner.js'
import { RefusalKind } from '../refusals.js'
import { RetryBudget } from '../retryBudget.js'

const BROKEN_CONNECTION: ExchangeResult = {
  kind: ExchangeKind.Broken,
  reason: ExchangeFailureReason.Reset,
}
const REFUSED_CONNECTION: ExchangeResult = {
  kind: ExchangeKind.NotConnected,
  reason: ExchangeFailureReason.Refused,
}

function answered(status: number, headers: readonly HeaderPair[] = []): ExchangeResult {
  return { kind: ExchangeKind.Answered, status, headers, body: Buffer.from('') }
}

/**
 * A {@link LocalRunner} with scripted attempts, slots that are granted at once, and a clock set
 * by the test.
 */
class Harness {
  nowMs = 1000
  /** Called while the request waits for its slot. */
  whileWaiting: () => void = () => undefined
  readonly uses: SlotUse[] = []
  readonly excluded: string[][] = []
  readonly abort = new AbortController()
  attempts = 0

  async run(method: string, results: readonly ExchangeResult[]) {
    const runner = new LocalRunner({
      clock: () => this.nowMs,
      slots: { acquire: (request) => this.#acquire(request) },
      backend: {
        attempt: () => {
          this.attempts += 1
          return Promise.resolve(results[this.attempts - 1] ?? BROKEN_CONNECTION)
        },
      },
      retryBudget: new RetryBudget(),
      log: { decision: () => undefined, event: () => undefined },
      metrics: noMetrics,
      onAnswer: () => undefined,
    })
    const service = createService('reveals', {})
    const { signal } = this.abort
    return runner.run({ request: this.#request(method), service, revision: 1, signal })
  }

  #acquire(request: SlotRequest) {
    this.excluded.push([...request.excludedWorkers])
    this.whileWaiting()
    const workerId = `w${String(this.excluded.length)}`
    const release = (use: SlotUse): void => {
      this.uses.push(use)
    }
    return Promise.resolve(Ok({ workerId, address: 'a:1', reason: 'test', release }))
  }

  #request(method: string): GatewayRequest {
    return {
      requestId: 'r',
      service: 'reveals',
      method,
      target: '/letters/1',
      headers: [],
      body: Buffer.alloc(0),
      operation: undefined,
      deadline: createDeadline(this.nowMs, 1000, 100),
      signal: this.abort.signal,
    }
  }
}

describe('LocalRunner', () => {
  let harness: Harness

  beforeEach(() => {
    harness = new Harness()
  })

  // A process that was paused during the wait may resume after the deadline, with a slot granted.
  it('sends nothing when the time for sending passed while the request waited for a slot', async () => {
    harness.whileWaiting = () => {
      harness.nowMs = 1901
    }
    const answer = await harness.run('POST', [answered(200)])
    expect([answer.outcome, answer.reason]).to.deep.equal([
      Outcome.NotRun,
      RefusalKind.DeadlineUnreachable,
    ])
    expect(harness.attempts).to.equal(0)
    expect(harness.uses).to.deep.equal([SlotUse.Unused])
  })

  it('releases the slot unused when the caller disconnected during the wait', async () => {
    harness.whileWaiting = () => {
      harness.abort.abort()
    }
    const answer = await harness.run('POST', [answered(200)])
    expect(answer.reason).to.equal(RefusalKind.Cancelled)
    expect(harness.attempts).to.equal(0)
    expect(harness.uses).to.deep.equal([SlotUse.Unused])
  })

  const shed = answered(503, [[NOT_STARTED_HEADER, 'true']])
  const cases: readonly (readonly [
    title: string,
    method: string,
    results: readonly ExchangeResult[],
    outcome: Outcome,
    attempts: number,
  ])[] = [
    ['a complete answer', 'POST', [answered(200)], Outcome.Ran, 1],
    ["the service's own error", 'POST', [answered(500)], Outcome.Ran, 1],
    ['a 503 without the contract header', 'POST', [answered(503)], Outcome.Ran, 1],
    ['shed, then an answer', 'POST', [shed, answered(200)], Outcome.Ran, 2],
    ['refused, then an answer', 'POST', [REFUSED_CONNECTION, answered(200)], Outcome.Ran, 2],
    [
      'refused everywhere',
      'POST',
      [REFUSED_CONNECTION, REFUSED_CONNECTION, REFUSED_CONNECTION, REFUSED_CONNECTION],
      Outcome.NotRun,
      4,
    ],
    ['a broken connection', 'POST', [BROKEN_CONNECTION, answered(200)], Outcome.Unknown, 1],
    [
      'shed, then a broken connection',
      'POST',
      [shed, BROKEN_CONNECTION, answered(200)],
      Outcome.Unknown,
      2,
    ],
    ['a read broke, then an answer', 'GET', [BROKEN_CONNECTION, answered(200)], Outcome.Ran, 2],
    [
      'a read broke, then only refusals',
      'GET',
      [BROKEN_CONNECTION, shed, REFUSED_CONNECTION, shed],
      Outcome.Unknown,
      4,
    ],
  ]
  for (const [title, method, results, outcome, attempts] of cases) {
    it(`reports "${outcome}" after ${title}`, async () => {
      const answer = await harness.run(method, results)
      expect([answer.outcome, harness.attempts]).to.deep.equal([outcome, attempts])
      expect(harness.uses).to.have.length(attempts)
    })
  }

  it('excludes the workers of failed attempts from later ones', async () => {
    await harness.run('POST', [shed, shed, answered(200)])
    expect(harness.excluded).to.deep.equal([[], ['w1'], ['w1', 'w2']])
  })

  it('does not retry once the time for sending has passed', async () => {
    harness.whileWaiting = () => {
      harness.nowMs += 500
    }
    const answer = await harness.run('GET', [BROKEN_CONNECTION, answered(200)])
    expect([answer.outcome, harness.attempts]).to.deep.equal([Outcome.Unknown, 1])
  })
})
