import { expect } from 'chai'
import { Outcome } from '../../common/headers.js'
import type { History, HistoryCall, HistoryExecution, HistoryAttempt } from '../historyChecker.js'
import { checkHistory, Guarantee } from '../historyChecker.js'

const ATTEMPT: HistoryAttempt = {
  address: 'g1',
  identifier: 'p.1',
  outcome: Outcome.Ran,
  sent: true,
  status: 200,
  reason: '',
  startMs: 100,
  endMs: 200,
}
const CALL: HistoryCall = {
  target: '/spend?n=1',
  bodySha256: 'aa',
  repeatable: false,
  outcome: Outcome.Ran,
  attempts: [ATTEMPT],
  answer: { request: 'r.1', target: '/spend?n=1', bodySha256: 'aa' },
}
const EXECUTION: HistoryExecution = {
  workerId: 'w1',
  operation: 'p.1',
  request: 'r.1',
  target: '/spend?n=1',
  startMs: 120,
}

function history(overrides: Partial<History>): History {
  const base = {
    calls: [CALL],
    executions: [EXECUTION],
    shutdowns: [],
    drains: [],
    drainBoundMs: 1000,
  }
  return { ...base, ...overrides }
}

function violatedGuarantees(overrides: Partial<History>): Guarantee[] {
  return checkHistory(history(overrides)).map((violation) => violation.guarantee)
}

describe('checkHistory', () => {
  it('accepts a correct history', () => {
    const unknown: HistoryCall = {
      ...CALL,
      target: '/spend?n=2',
      outcome: Outcome.Unknown,
      attempts: [{ ...ATTEMPT, identifier: 'p.2', outcome: Outcome.Unknown, status: 502 }],
      answer: undefined,
    }
    const read: HistoryCall = {
      ...CALL,
      target: '/list',
      repeatable: true,
      outcome: Outcome.NotRun,
    }
    const runs = [
      EXECUTION,
      { ...EXECUTION, request: 'r.2', operation: 'p.2', target: '/spend?n=2' },
    ]
    expect(violatedGuarantees({ calls: [CALL, unknown, read], executions: runs })).to.deep.equal([])
  })

  describe('reports a violation of P3 for', () => {
    it('an answer to another request', () => {
      const answer = { request: 'r.1', target: '/spend?n=9', bodySha256: 'aa' }
      expect(violatedGuarantees({ calls: [{ ...CALL, answer }] })).to.deep.equal([
        Guarantee.OwnAnswer,
      ])
    })

    it('an answer to a request with the same target and another body', () => {
      const answer = { request: 'r.1', target: CALL.target, bodySha256: 'bb' }
      expect(violatedGuarantees({ calls: [{ ...CALL, answer }] })).to.deep.equal([
        Guarantee.OwnAnswer,
      ])
    })

    it('an incomplete answer', () => {
      const calls = [{ ...CALL, answer: undefined }]
      expect(violatedGuarantees({ calls })).to.deep.equal([Guarantee.OwnAnswer])
    })

    it('an answer without an execution', () => {
      expect(violatedGuarantees({ executions: [] })).to.deep.equal([Guarantee.OwnAnswer])
    })
  })

  it('reports a violation of P4 for a refused operation that ran, even long after its refusal', () => {
    const refused = { ...ATTEMPT, outcome: Outcome.NotRun, status: 503 }
    const refusedCalls = [
      { ...CALL, outcome: Outcome.NotRun, attempts: [refused], answer: undefined },
    ]
    const executions = [{ ...EXECUTION, startMs: 90_000 }]
    expect(violatedGuarantees({ calls: refusedCalls, executions })).to.deep.equal([
      Guarantee.NotRunIsFinal,
    ])
  })

  it('accepts an attempt without a connection whose operation ran at another gateway', () => {
    const attempts = [
      { ...ATTEMPT, outcome: Outcome.NotRun, sent: false, status: undefined },
      ATTEMPT,
    ]
    expect(violatedGuarantees({ calls: [{ ...CALL, attempts }] })).to.deep.equal([])
  })

  it('reports a violation of P5 for a second run, also under another identifier', () => {
    const executions = [
      EXECUTION,
      { ...EXECUTION, request: 'r.2', operation: 'q.1', workerId: 'w2' },
    ]
    expect(violatedGuarantees({ executions })).to.deep.equal([Guarantee.AtMostOnce])
    const calls = [{ ...CALL, repeatable: true }]
    expect(violatedGuarantees({ calls, executions })).to.deep.equal([])
  })

  it('reports a violation of P6 for work that starts later than the bound after a drain', () => {
    const drains = [{ workerId: 'w1', atMs: 100 }]
    expect(violatedGuarantees({ drains, drainBoundMs: 19 })).to.deep.equal([
      Guarantee.LeavingGetsNoWork,
    ])
    expect(violatedGuarantees({ drains, drainBoundMs: 20 })).to.deep.equal([])
  })

  describe('for P7', () => {
    const shutdown = { address: 'g1', startMs: 150, endMs: 300 }
    const broken = { ...ATTEMPT, outcome: Outcome.Unknown, status: undefined, reason: 'reset' }
    const brokenCalls = [
      { ...CALL, outcome: Outcome.Unknown, attempts: [broken], answer: undefined },
    ]

    it('reports a connection that broke during a shutdown', () => {
      expect(violatedGuarantees({ calls: brokenCalls, shutdowns: [shutdown] })).to.deep.equal([
        Guarantee.ShutdownCutsNothing,
      ])
    })

    it('accepts connections broken at other instances, at other times or by the caller', () => {
      const otherShutdowns = [
        { ...shutdown, address: 'g2' },
        { ...shutdown, startMs: 201 },
        { ...shutdown, startMs: 0, endMs: 99 },
      ]
      for (const other of otherShutdowns) {
        expect(violatedGuarantees({ calls: brokenCalls, shutdowns: [other] })).to.deep.equal([])
      }
      const timedOutCalls = [
        { ...CALL, outcome: Outcome.Unknown, attempts: [{ ...broken, reason: 'timedOut' }] },
      ]
      expect(violatedGuarantees({ calls: timedOutCalls, shutdowns: [shutdown] })).to.deep.equal([])
    })
  })
})
