import { expect } from 'chai'
import { Outcome } from '../../common/headers.js'
import type { LedgerAnswer, LedgerRequest } from '../operationLedger.js'
import { contentFingerprint, LedgerDecisionKind, OperationLedger } from '../operationLedger.js'

const RETENTION_MS = 1000

function createLedger(limits: { maxEntries?: number; maxBytes?: number } = {}) {
  return new OperationLedger<LedgerAnswer>({
    maxEntries: 100,
    maxBytes: 1_000_000,
    retentionMs: RETENTION_MS,
    ...limits,
  })
}

function request(identifier: string, overrides: Partial<LedgerRequest> = {}): LedgerRequest {
  const fingerprint = contentFingerprint('POST', '/spend', Buffer.from('1'))
  const defaults = { acceptUntilMs: 5000, fingerprint, expectedBytes: 0, repeatable: false }
  return { identifier, ...defaults, ...overrides }
}

function answer(outcome: Outcome, size = 10): LedgerAnswer {
  return { outcome, body: Buffer.alloc(size) }
}

describe('OperationLedger', () => {
  it('begins an operation once, joins requests in flight and stores the answer', async () => {
    const ledger = createLedger()
    expect(ledger.begin(request('a.1'), 0).kind).to.equal(LedgerDecisionKind.Begin)
    const joined = ledger.begin(request('a.1'), 1)
    const ran = answer(Outcome.Ran)
    ledger.finish('a.1', ran, 2)
    expect(joined.kind === LedgerDecisionKind.Join && (await joined.answer)).to.equal(ran)
    expect(ledger.begin(request('a.1'), 3)).to.deep.equal({
      kind: LedgerDecisionKind.Stored,
      answer: ran,
    })
  })

  for (const outcome of [Outcome.NotRun, Outcome.Unknown]) {
    it(`does not run an operation again after the outcome "${outcome}"`, () => {
      const ledger = createLedger()
      ledger.begin(request('a.1'), 0)
      ledger.finish('a.1', answer(outcome), 1)
      expect(ledger.begin(request('a.1'), 2).kind).to.equal(LedgerDecisionKind.Stored)
    })
  }

  it('refuses an identifier that is used again with different content', () => {
    const ledger = createLedger()
    ledger.begin(request('a.1'), 0)
    const other = request('a.1', {
      fingerprint: contentFingerprint('POST', '/spend', Buffer.from('2')),
    })
    expect(ledger.begin(other, 1).kind).to.equal(LedgerDecisionKind.ContentDiffers)
  })

  it('distinguishes an operation that never ran from one whose outcome has expired', () => {
    const ledger = createLedger()
    expect(ledger.begin(request('a.1'), 5001).kind).to.equal(LedgerDecisionKind.AcceptanceEnded)
    expect(ledger.begin(request('a.1'), 5000 + RETENTION_MS + 1).kind).to.equal(
      LedgerDecisionKind.Expired,
    )
  })

  it('stores an entry until its retention ends, and removes it afterwards', () => {
    const ledger = createLedger()
    ledger.begin(request('a.1'), 0)
    ledger.finish('a.1', answer(Outcome.Ran), 1)
    expect(ledger.begin(request('a.1'), 5000 + RETENTION_MS).kind).to.equal(
      LedgerDecisionKind.Stored,
    )
    ledger.begin(request('a.2', { acceptUntilMs: 20_000 }), 5000 + RETENTION_MS + 2000)
    expect(ledger.size).to.equal(1)
    expect(ledger.begin(request('a.1'), 5000 + RETENTION_MS + 2000).kind).to.equal(
      LedgerDecisionKind.Expired,
    )
  })

  it('keeps an operation in flight after its retention has ended, so that it cannot run twice', () => {
    const ledger = createLedger()
    ledger.begin(request('a.1'), 0)
    expect(ledger.begin(request('a.1'), 20_000).kind).to.equal(LedgerDecisionKind.Join)
  })

  it('refuses new operations while it is full, and keeps refusing their identifiers', () => {
    const ledger = createLedger({ maxEntries: 1 })
    ledger.begin(request('a.1', { repeatable: true }), 0)
    expect(ledger.begin(request('a.2'), 1).kind).to.equal(LedgerDecisionKind.Full)
    ledger.finish('a.1', answer(Outcome.Ran), 2)
    expect(ledger.size).to.equal(0)
    expect(ledger.begin(request('a.2'), 3).kind).to.equal(LedgerDecisionKind.Full)
    expect(ledger.begin(request('a.3'), 3).kind).to.equal(LedgerDecisionKind.Begin)
  })

  it('stays within its byte limit and does not store an answer that exceeds it', () => {
    const ledger = createLedger({ maxBytes: 2000 })
    ledger.begin(request('a.1', { expectedBytes: 100 }), 0)
    ledger.finish('a.1', answer(Outcome.Ran, 5000), 1)
    expect(ledger.bytes).to.be.at.most(2000)
    expect(ledger.begin(request('a.1'), 2).kind).to.equal(LedgerDecisionKind.AnswerNotKept)
  })

  it('stores only refusals of repeatable operations', () => {
    const ledger = createLedger()
    ledger.begin(request('a.1', { repeatable: true }), 0)
    ledger.finish('a.1', answer(Outcome.Ran), 1)
    expect(ledger.begin(request('a.1', { repeatable: true }), 2).kind).to.equal(
      LedgerDecisionKind.Begin,
    )
    ledger.finish('a.1', answer(Outcome.NotRun), 3)
    expect(ledger.begin(request('a.1', { repeatable: true }), 4).kind).to.equal(
      LedgerDecisionKind.Stored,
    )
  })
})
