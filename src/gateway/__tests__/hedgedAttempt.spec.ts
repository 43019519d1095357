import { expect } from 'chai'
import { sleep, systemClock } from '../../common/clock.js'
import type { ExchangeResult } from '../../common/exchange.js'
import { ExchangeFailureReason, ExchangeKind } from '../../common/exchange.js'
import type { SlotGrant, SlotRequest } from '../../slots/slotSource.js'
import type { HedgeSource } from '../hedgedAttempt.js'
import { runHedged } from '../hedgedAttempt.js'

interface Script {
  readonly afterMs: number
  readonly fails?: boolean
}

function grantOf(workerId: string): SlotGrant {
  return { workerId, address: '127.0.0.1:1', reason: 'test', release: () => undefined }
}

function answerOf(workerId: string): ExchangeResult {
  return { kind: ExchangeKind.Answered, status: 200, headers: [], body: Buffer.from(workerId) }
}

/**
 * Runs a request with scripted attempts; returns the worker that answered and the workers whose
 * attempts were started and cancelled.
 */
async function runScripted(
  scripts: Readonly<Record<string, Script>>,
  hedgeAfterMs: number | undefined,
): Promise<{ answeredBy: string; cancelled: string[]; started: string[] }> {
  const cancelled: string[] = []
  const started: string[] = []
  const request: SlotRequest = {
    requestId: 'r',
    service: 's',
    requestClass: 's GET /',
    deadlineMs: Number.MAX_SAFE_INTEGER,
    excludedWorkers: new Set(),
    signal: new AbortController().signal,
  }
  const hedges: HedgeSource = {
    watchForHedge: (_request, _running, _nowMs, onGrant) => {
      if (hedgeAfterMs === undefined) return () => undefined
      const timer = setTimeout(() => {
        onGrant(grantOf('second'))
      }, hedgeAfterMs)
      return () => {
        clearTimeout(timer)
      }
    },
    hedgeLimitMs: () => 200,
  }
  const attempt = async (grant: SlotGrant, signal: AbortSignal): Promise<ExchangeResult> => {
    started.push(grant.workerId)
    const script = scripts[grant.workerId] ?? { afterMs: 0 }
    await sleep(script.afterMs, signal)
    if (signal.aborted) cancelled.push(grant.workerId)
    const isBroken = signal.aborted || script.fails === true
    const reason = signal.aborted ? ExchangeFailureReason.Cancelled : ExchangeFailureReason.TimedOut
    return isBroken ? { kind: ExchangeKind.Broken, reason } : answerOf(grant.workerId)
  }
  const grant = grantOf('first')
  const result = await runHedged({ hedges, clock: systemClock, request, grant, attempt })
  await sleep(10)
  const answeredBy = result.kind === ExchangeKind.Answered ? result.body.toString() : result.kind
  return { answeredBy, cancelled, started }
}

describe('runHedged', () => {
  it('makes no second attempt when none is granted', async () => {
    const played = await runScripted({ first: { afterMs: 5 } }, undefined)
    expect(played).to.deep.equal({ answeredBy: 'first', cancelled: [], started: ['first'] })
  })

  // Without the cancellation, the first attempt would hold its slot until it ends by itself.
  it('returns the second answer and cancels the first attempt', async () => {
    const played = await runScripted({ first: { afterMs: 5000 }, second: { afterMs: 5 } }, 10)
    expect(played.answeredBy).to.equal('second')
    expect(played.cancelled).to.deep.equal(['first'])
  })

  it('cancels the second attempt when the first one answers', async () => {
    const played = await runScripted({ first: { afterMs: 40 }, second: { afterMs: 5000 } }, 10)
    expect(played.answeredBy).to.equal('first')
    expect(played.cancelled).to.deep.equal(['second'])
  })

  it('waits for the second attempt when the first one fails', async () => {
    const scripts = { first: { afterMs: 30, fails: true }, second: { afterMs: 60 } }
    expect((await runScripted(scripts, 10)).answeredBy).to.equal('second')
  })

  it('reports the failure of the first attempt when both fail', async () => {
    const scripts = { first: { afterMs: 30, fails: true }, second: { afterMs: 10, fails: true } }
    expect((await runScripted(scripts, 5)).answeredBy).to.equal(ExchangeKind.Broken)
  })

  // A second attempt that takes as long as the first one shows that the request itself is slow.
  it('cancels a second attempt at its time limit', async () => {
    const played = await runScripted({ first: { afterMs: 400 }, second: { afterMs: 5000 } }, 10)
    expect(played.answeredBy).to.equal('first')
    expect(played.cancelled).to.deep.equal(['second'])
  })
})
