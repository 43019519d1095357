import { expect } from 'chai'
import fc from 'fast-check'
import { ReuseLimits } from '../reuseLimits.js'

/** Limits before the stated timeout had an effect on non-idempotent requests. */
const EARLIER_MS = { idempotentFraction: 0.7, nonIdempotentMs: 2500, afterBreakMs: 150 }

describe('ReuseLimits', () => {
  const statedMs = fc.integer({ min: 1, max: 3600 }).map((seconds) => seconds * 1000)
  const signs = fc.array(
    fc.record({
      kind: fc.constantFrom('break', 'lateBreak', 'unreachable'),
      afterMs: fc.integer({ min: 0, max: 40_000 }),
    }),
    { maxLength: 6 },
  )
  const recorders: Readonly<Record<string, (limits: ReuseLimits, nowMs: number) => void>> = {
    break: (limits, nowMs) => {
      limits.recordBrokenReuse(400, 2, nowMs)
    },
    lateBreak: (limits, nowMs) => {
      limits.recordBrokenReuse(400, 900, nowMs)
    },
    unreachable: (limits, nowMs) => {
      limits.recordUnreachable(nowMs)
    },
  }

  // Guards against a request that crosses the close of a server that keeps to its statement.
  it('stays below the stated timeout by a margin, and lower for what may run once', () => {
    fc.assert(
      fc.property(statedMs, signs, (timeoutMs, events) => {
        const limits = new ReuseLimits()
        let nowMs = 0
        for (const { kind, afterMs } of events) {
          nowMs += afterMs
          recorders[kind]?.(limits, nowMs)
          const { idempotentMs, nonIdempotentMs } = limits.limits(timeoutMs, nowMs)
          expect(idempotentMs).to.be.at.most(timeoutMs - Math.min(1000, timeoutMs * 0.3))
          expect(nonIdempotentMs).to.be.at.most(idempotentMs)
        }
      }),
    )
  })

  // Guards against more lost requests than before on links and servers that lose connections.
  it('is as careful as before while connections get lost', () => {
    fc.assert(
      fc.property(statedMs, fc.integer({ min: 0, max: 14_999 }), (timeoutMs, laterMs) => {
        const broken = new ReuseLimits()
        broken.recordBrokenReuse(400, 500, 0)
        broken.recordUnreachable(0)
        const silent = new ReuseLimits()
        silent.recordUnreachable(0)
        expect(broken.limits(timeoutMs, laterMs).nonIdempotentMs).to.equal(EARLIER_MS.afterBreakMs)
        const limitMs = silent.limits(timeoutMs, laterMs).nonIdempotentMs
        expect(limitMs).to.be.at.most(EARLIER_MS.nonIdempotentMs)
        expect(silent.limits(timeoutMs, 15_000)).to.deep.equal(
          new ReuseLimits().limits(timeoutMs, 0),
        )
      }),
    )
  })

  // Guards against instances that all open new connections because one server ended.
  it('warns other instances only of a reset that shows a dropped connection', () => {
    const isClear = (idleMs: number, afterMs: number) =>
      new ReuseLimits().recordBrokenReuse(idleMs, afterMs, 0)
    expect([isClear(400, 120), isClear(400, 500), isClear(100, 2)]).to.deep.equal([
      true,
      false,
      false,
    ])
    expect(new ReuseLimits().limits(10_000, 0, true).nonIdempotentMs).to.equal(150)
  })

  // Guards against new connections where earlier releases reused one.
  it('reuses connections for at least as long as before without signs of loss', () => {
    const now = (timeoutMs: number | undefined) => new ReuseLimits().limits(timeoutMs, 0)
    expect(now(undefined)).to.deep.equal({ idempotentMs: 2800, nonIdempotentMs: 2500 })
    expect(now(10_000)).to.deep.equal({ idempotentMs: 9000, nonIdempotentMs: 8000 })
    fc.assert(
      fc.property(statedMs, (timeoutMs) => {
        const earlierMs = timeoutMs * EARLIER_MS.idempotentFraction
        const { idempotentMs, nonIdempotentMs } = now(timeoutMs)
        expect(idempotentMs).to.be.at.least(earlierMs - 1e-6)
        expect(nonIdempotentMs + 1e-6).to.be.at.least(
          Math.min(earlierMs, EARLIER_MS.nonIdempotentMs),
        )
      }),
    )
  })
})
