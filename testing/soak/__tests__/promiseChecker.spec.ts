import { expect } from 'chai'
import type { SentRequest } from '../promiseChecker.js'
import { PromiseChecker, PromiseKind } from '../promiseChecker.js'

const BOUNDS = {
  drainMs: 2500,
  applyMs: 2500,
  rollbackMs: 250,
  retryRatio: 0.2,
  retrySlack: 2,
  budgetWindowMs: 10_000,
}

function request(changes: Partial<SentRequest> = {}): SentRequest {
  return {
    requestId: 'r',
    service: 'wallet',
    isIdempotent: false,
    homeRegions: [],
    instance: 'front-1',
    sentAtMs: 0,
    ...changes,
  }
}

function run(requestId = 'r', atMs = 10) {
  return { requestId, serverId: 's', region: 'here', atMs }
}

function answer(status: number, isOwn = true) {
  return { requestId: 'r', status, isOwn, atMs: 20 }
}

/** Observations with exactly one violation each. */
const PLANTED: Readonly<Record<PromiseKind, (checker: PromiseChecker) => void>> = {
  [PromiseKind.RunsOnce]: (checker) => {
    checker.sent(request())
    checker.ran(run(), true)
    checker.ran(run('r', 15), true)
  },
  [PromiseKind.TrueRefusal]: (checker) => {
    checker.sent(request())
    checker.answered(answer(503))
    checker.ran(run('r', 900), true)
  },
  [PromiseKind.OwnAnswer]: (checker) => {
    checker.sent(request())
    checker.ran(run(), true)
    checker.answered(answer(200, false))
  },
  [PromiseKind.Leaving]: (checker) => {
    checker.serverLeft('s', 0)
    checker.sent(request({ sentAtMs: 2600 }))
    checker.ran(run('r', 2601), true)
  },
  [PromiseKind.Home]: (checker) => {
    checker.sent(request({ homeRegions: ['there'] }))
    checker.ran(run(), true)
  },
  [PromiseKind.NoRegression]: (checker) => {
    checker.probed('front-1#1', 7, true, 0, 10, true)
    checker.probed('front-1#1', 7, false, 300, 310, true)
  },
  [PromiseKind.InForce]: (checker) => {
    checker.acknowledged(7, 0)
    checker.probed('front-1#1', 7, false, 2600, 2610, true)
  },
  [PromiseKind.GracefulEnd]: (checker) => {
    checker.sent(request())
    checker.ran(run(), true)
    checker.cut('r', true, 50)
  },
  [PromiseKind.RetryBudget]: (checker) => {
    checker.sent(request({ isIdempotent: true }))
    for (let index = 0; index < 4; index += 1) checker.ran(run('r', 10 + index), true)
    checker.finish(100_000)
  },
  [PromiseKind.Recovery]: (checker) => {
    for (let index = 0; index < 8; index += 1) {
      checker.sent(request({ requestId: `r${index}`, sentAtMs: 101 }))
    }
    checker.finish(100)
  },
}

describe('PromiseChecker', () => {
  for (const kind of Object.values(PromiseKind)) {
    it(`detects a violation of ${kind}`, () => {
      const checker = new PromiseChecker(BOUNDS)
      PLANTED[kind](checker)
      expect(checker.violations.map((violation) => violation.kind)).to.deep.equal([kind])
    })
  }

  describe('accepts', () => {
    it('status 502 after a lost answer', () => {
      const checker = new PromiseChecker(BOUNDS)
      checker.sent(request())
      checker.ran(run(), true)
      checker.answered(answer(502))
      expect(checker.violations).to.deep.equal([])
    })

    it('a connection cut by a kill, and late requests from a disturbed instance', () => {
      const checker = new PromiseChecker(BOUNDS)
      checker.serverLeft('s', 0)
      checker.sent(request({ sentAtMs: 2600 }))
      checker.ran(run('r', 2601), false)
      checker.cut('r', false, 2700)
      expect(checker.violations).to.deep.equal([])
    })

    it('a restarted process with an older configuration than before', () => {
      const checker = new PromiseChecker(BOUNDS)
      checker.probed('front-1#1', 7, true, 0, 10, true)
      checker.probed('front-1#2', 7, false, 300, 310, true)
      expect(checker.violations).to.deep.equal([])
    })
  })
})
