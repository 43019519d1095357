import { expect } from 'chai'
import { simulateRegions } from '../../../testing/regionSimulation.js'
import { peakInWindow } from '../../../testing/slidingWindow.js'
import { LimitSource, ServerLimit, ServerLimits } from '../serverLimits.js'

const SLOTS = 4
const CACHED_MS = 144
/** Mean duration on a server that has the object cached, including stragglers. */
const MEAN_CACHED_MS = CACHED_MS * (0.97 + 0.03 * 7)
const SERVER_PER_SECOND = (SLOTS * 1000) / MEAN_CACHED_MS
const SERVERS_BY_REGION: Readonly<Record<string, number>> = { few: 2, some: 4, many: 6 }
const SERVER_COUNT = 12
const SECONDS = 30
/** Seconds between which servers state a limit. */
const LIMITED_FROM = 6
const LIMITED_UNTIL = 24
/** Time from the first statement after which a limit must hold, and length of its windows. */
const SETTLE_MS = 4000
const WINDOW_MS = 4000
const BOUND_FROM_MS = LIMITED_FROM * 1000 + SETTLE_MS

interface LimitedLoad {
  readonly seed: number
  /** Fraction of the servers that state a limit. */
  readonly share: number
  /** Limit as a fraction of what a server completes without. */
  readonly fraction: number
  /** Load as a fraction of what all servers complete without limits. */
  readonly load: number
}

/** Times at which requests arrived at each server with a limit while it had to hold. */
function simulate({ seed, share, fraction, load }: LimitedLoad) {
  const rate = (SERVER_COUNT * SERVER_PER_SECOND * load) / Object.keys(SERVERS_BY_REGION).length
  const isLimited = (serverId: string): boolean => {
    const [region = '', index = '0'] = serverId.split('-')
    return Number(index) < Math.round((SERVERS_BY_REGION[region] ?? 0) * share)
  }
  const { arrivals } = simulateRegions({
    seed,
    regions: Object.entries(SERVERS_BY_REGION).map(([name, servers]) => ({
      name,
      servers,
      rateAt: () => rate,
    })),
    model: { cacheSize: 35, cachedMs: CACHED_MS, uncachedMs: 480 },
    slots: SLOTS,
    objects: 48,
    latencyMs: 55,
    targetMs: 400,
    deadlineMs: 2500,
    seconds: SECONDS,
    limitAt: (serverId, second) =>
      second >= LIMITED_FROM && second < LIMITED_UNTIL && isLimited(serverId)
        ? SERVER_PER_SECOND * fraction
        : undefined,
  })
  return [...arrivals]
    .filter(([serverId]) => isLimited(serverId))
    .map(([, times]) =>
      times.filter((atMs) => atMs >= BOUND_FROM_MS && atMs < LIMITED_UNTIL * 1000),
    )
}

/** Largest use of a limit in a window, as a fraction of what operators accept. */
function largestUse(arrivals: readonly (readonly number[])[], limit: number): number {
  const allowed = 1.5 * limit * (WINDOW_MS / 1000) + 5
  return Math.max(0, ...arrivals.map((times) => peakInWindow(times, WINDOW_MS))) / allowed
}

describe('limits of backend servers', () => {
  describe('a limit', () => {
    it('allows requests at its rate, and one at once', () => {
      const limit = new ServerLimit(4, 0)
      expect(limit.availableRequests(0)).to.equal(0)
      expect(limit.waitMs(1, 0)).to.equal(250)
      expect(limit.availableRequests(250)).to.equal(1)
      limit.recordRequest()
      expect(limit.availableRequests(250)).to.equal(0)
      expect(limit.availableRequests(10_000)).to.equal(2)
    })

    // Guards against a server that is never asked again whether it still states a limit.
    it('of 0 allows a request every two seconds', () => {
      const limit = new ServerLimit(0, 0)
      expect([limit.availableRequests(1900), limit.availableRequests(2000)]).to.deep.equal([0, 1])
    })
  })

  describe('statements', () => {
    const statement = (limitPerSecond: number | null, statedAtMs: number) => ({
      serverId: 's',
      limitPerSecond,
      statedAtMs,
    })

    // Guards against a limit that an older statement of another coordinator brings back.
    it('are replaced by later ones only, whichever way they come', () => {
      const limits = new ServerLimits()
      expect(limits.record(statement(5, 100), LimitSource.Coordinator, 100)).to.equal(true)
      expect(limits.record(statement(9, 50), LimitSource.Answer, 120)).to.equal(false)
      expect(limits.find('s')?.requestsPerSecond).to.equal(5)
      expect(limits.record(statement(3, 130), LimitSource.Answer, 130)).to.equal(true)
      expect(limits.find('s')?.requestsPerSecond).to.equal(3)
      expect(limits.answersSince(130)).to.have.length(1)
    })

    it('end with the answer to a later request that states none, or after half a minute', () => {
      const limits = new ServerLimits()
      limits.record(statement(5, 100), LimitSource.Answer, 100)
      expect(limits.recordAbsence('s', 90, 110)).to.equal(false)
      expect(limits.recordAbsence('s', 101, 120)).to.equal(true)
      expect(limits.find('s')).to.equal(undefined)
      // An older statement that another coordinator sends does not bring it back.
      expect(limits.record(statement(5, 110), LimitSource.Coordinator, 130)).to.equal(false)
      limits.record(statement(5, 140), LimitSource.Answer, 140)
      expect(limits.expire(30_000)).to.equal(false)
      expect(limits.expire(30_140)).to.equal(true)
      expect(limits.find('s')).to.equal(undefined)
    })
  })

  describe('in regions with uneven numbers of servers', () => {
    const CASES = [0.3, 0.7, 1].flatMap((share) =>
      [1 / 2, 1 / 3, 1 / 10].map((fraction) => ({ share, fraction })),
    )
    for (const { share, fraction } of CASES) {
      // Guards against limits that each coordinator keeps alone, but not all of them together.
      it(`hold if ${share} of the servers state ${fraction.toFixed(2)} of their rate`, () => {
        for (const seed of [1, 2, 3]) {
          const limit = SERVER_PER_SECOND * fraction
          const arrivals = simulate({ seed, share, fraction, load: 0.9 })
          expect(largestUse(arrivals, limit)).to.be.at.most(1)
          const allowed = (limit * (LIMITED_UNTIL * 1000 - BOUND_FROM_MS)) / 1000
          const used = arrivals.reduce((sum, times) => sum + times.length, 0)
          // Demand exceeds what the limits leave, so they are used.
          expect(used / (allowed * arrivals.length)).to.be.at.least(0.9)
        }
      })
    }
  })
})
