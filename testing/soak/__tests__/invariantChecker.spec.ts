import { expect } from 'chai'
import type { SentRequest } from '../invariantChecker.js'
import { InvariantChecker, Invariant } from '../invariantChecker.js'

const LIMITS = {
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
const VIOLATION_BY_INVARIANT: Readonly<Record<Invariant, (checker: InvariantChecker) => void>> = {
  [Invariant.RunsAtMostOnce]: (checker) => {
    checker.requestSent(request())
    checker.requestRan(run(), true)
    checker.requestRan(run('r', 15), true)
  },
  [Invariant.RefusedDoesNotRun]: (checker) => {
    checker.requestSent(request())
    checker.requestAnswered(answer(503))
    checker.requestRan(run('r', 900), true)
  },
  [Invariant.OwnAnswer]: (checker) => {
    checker.requestSent(request())
    checker.requestRan(run(), true)
    checker.requestAnswered(answer(200, false))
  },
  [Invariant.NoRequestsAfterDrain]: (checker) => {
    checker.serverLeft('s', 0)
    checker.requestSent(request({ sentAtMs: 2600 }))
    checker.requestRan(run('r', 2601), true)
  },
  [Invariant.HomeRegion]: (checker) => {
    checker.requestSent(request({ homeRegions: ['there'] }))
    checker.requestRan(run(), true)
  },
  [Invariant.NoConfigurationRollback]: (checker) => {
    checker.versionProbed('front-1#1', 7, true, 0, 10, true)
    checker.versionProbed('front-1#1', 7, false, 300, 310, true)
  },
  [Invariant.ConfigurationInForce]: (checker) => {
    checker.versionAccepted(7, 0)
    checker.versionProbed('front-1#1', 7, false, 2600, 2610, true)
  },
  [Invariant.GracefulShutdown]: (checker) => {
    checker.requestSent(request())
    checker.requestRan(run(), true)
    checker.requestCut('r', true, 50)
  },
  [Invariant.RetryBudget]: (checker) => {
    checker.requestSent(request({ isIdempotent: true }))
    for (let index = 0; index < 4; index += 1) checker.requestRan(run('r', 10 + index), true)
    checker.finish(100_000)
  },
  [Invariant.StatedLimit]: (checker) => {
    checker.limitStated('s', 1, 0)
    checker.requestSent(request({ isIdempotent: true }))
    for (let index = 0; index < 13; index += 1) {
      const requestId = `r${index}`
      checker.requestSent(request({ requestId, isIdempotent: true }))
      checker.requestRan(run(requestId, index === 0 ? 10 : 4000 + index), true)
    }
  },
  [Invariant.Recovery]: (checker) => {
    for (let index = 0; index < 8; index += 1) {
      checker.requestSent(request({ requestId: `r${index}`, sentAtMs: 101 }))
    }
    checker.finish(100)
  },
}

describe('InvariantChecker', () => {
  for (const kind of Object.values(Invariant)) {
    it(`detects a violation of ${kind}`, () => {
      const checker = new InvariantChecker(LIMITS)
      VIOLATION_BY_INVARIANT[kind](checker)
      expect(checker.violations.map((violation) => violation.kind)).to.deep.equal([kind])
    })
  }

  it('detects a request to a server that told the instance that it leaves', () => {
    const checker = new InvariantChecker(LIMITS)
    checker.leavingStated('s', 0)
    for (const sentAtMs of [10, 2500, 2520]) {
      const requestId = `r${sentAtMs}`
      checker.requestSent(request({ requestId, sentAtMs }))
      checker.requestRan(run(requestId, sentAtMs), true)
    }
    expect(checker.violations.map(({ kind }) => kind)).to.deep.equal([
      Invariant.NoRequestsAfterDrain,
    ])
  })

  describe('accepts', () => {
    it('status 502 after a lost answer', () => {
      const checker = new InvariantChecker(LIMITS)
      checker.requestSent(request())
      checker.requestRan(run(), true)
      checker.requestAnswered(answer(502))
      expect(checker.violations).to.deep.equal([])
    })

    it('a connection cut by a kill, and late requests from a disturbed instance', () => {
      const checker = new InvariantChecker(LIMITS)
      checker.serverLeft('s', 0)
      checker.requestSent(request({ sentAtMs: 2600 }))
      checker.requestRan(run('r', 2601), false)
      checker.requestCut('r', false, 2700)
      expect(checker.violations).to.deep.equal([])
    })

    it('a restarted process with an older configuration than before', () => {
      const checker = new InvariantChecker(LIMITS)
      checker.versionProbed('front-1#1', 7, true, 0, 10, true)
      checker.versionProbed('front-1#2', 7, false, 300, 310, true)
      expect(checker.violations).to.deep.equal([])
    })
  })
})
