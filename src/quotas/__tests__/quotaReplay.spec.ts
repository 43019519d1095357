/**
 * Replays of loads at 70 instances in three regions, with a simulated network and simulated time.
 * `TAMARACKDRIFT_QUOTA_FIGURES=1` prints the figures.
 */
import { expect } from 'chai'
import type { TenantQuota } from '../../tenants/tenant.js'
import { QuotaMessageKind } from '../quotaMessages.js'
import type { TenantOutcome } from './quotaNetwork.js'
import { QuotaNetwork } from './quotaNetwork.js'

const SIZES = { a: 24, b: 23, c: 23 }
const LARGE: TenantQuota = { requestsPerSecond: 540, burst: 540 }
const SMALL: TenantQuota = { requestsPerSecond: 5, burst: 5 }
/** Time before the traffic, as the instances start earlier, in milliseconds. */
const WARM_UP_MS = 5000

function createNetwork(quotas: ReadonlyMap<string, TenantQuota>, seed = 1): QuotaNetwork {
  const network = new QuotaNetwork({ sizes: SIZES, quotas, seed, tickMs: 100, regionDelayMs: 55 })
  network.runFor(WARM_UP_MS)
  return network
}

function countIn(timesMs: readonly number[], fromMs: number, toMs: number): number {
  return timesMs.filter((atMs) => atMs >= fromMs && atMs < toMs).length
}

function print(name: string, figures: Readonly<Record<string, number>>): void {
  if (process.env.TAMARACKDRIFT_QUOTA_FIGURES === undefined) return
  const texts = Object.entries(figures).map(([key, value]) => `${key} ${value.toFixed(3)}`)
  console.log(`      ${name}: ${texts.join(', ')}`)
}

function pickFrom(network: QuotaNetwork, names: readonly string[]): string {
  return names[Math.floor(network.random() * names.length)] ?? ''
}

function printMessages(name: string, network: QuotaNetwork, seconds: number): void {
  for (const [kind, { bytes, messages }] of network.sent) {
    print(`${name}, '${kind}'`, {
      bytesPerSecond: bytes / seconds,
      messagesPerSecond: messages / seconds,
    })
  }
}

/** Share of the quota that runs, here and with the two baselines. */
function useOfQuota(
  outcome: TenantOutcome,
  { requestsPerSecond }: TenantQuota,
  fromMs: number,
  toMs: number,
): Record<'used' | 'byOwner' | 'byEvenParts' | 'undecided', number> {
  const owed = (requestsPerSecond * (toMs - fromMs)) / 1000
  return {
    used: countIn(outcome.allowed, fromMs, toMs) / owed,
    byOwner: countIn(outcome.byOwner, fromMs, toMs) / owed,
    byEvenParts: countIn(outcome.byEvenParts, fromMs, toMs) / owed,
    undecided: countIn(outcome.undecided, fromMs, toMs) / outcome.asked.length,
  }
}

/** Fractions of requests refused that one owner with full knowledge allows, and by even parts. */
function refusedOf(
  outcomes: Iterable<TenantOutcome>,
): Record<'refused' | 'byOwner' | 'byEvenParts', number> {
  const sum = { asked: 0, allowed: 0, byOwner: 0, byEvenParts: 0 }
  for (const { asked, allowed, byOwner, byEvenParts } of outcomes) {
    sum.asked += asked.length
    sum.allowed += allowed.length
    sum.byOwner += byOwner.length
    sum.byEvenParts += byEvenParts.length
  }
  return {
    refused: 1 - sum.allowed / sum.asked,
    byOwner: 1 - sum.byOwner / sum.asked,
    byEvenParts: 1 - sum.byEvenParts / sum.asked,
  }
}

/** Checks that no tenant ran more than its limit in any window. */
function checkBound(network: QuotaNetwork): number {
  const peaks = [...network.quotas].map(([tenant, quota]) => network.peakUse(tenant, () => quota))
  const peak = Math.max(...peaks)
  expect(peak).to.be.at.most(1)
  return peak
}

describe('replays of quotas', function () {
  this.timeout(60_000)

  describe('a hot tenant at one instance', () => {
    /** Share of the quota that is left by what happens: that of the instances in touch. */
    const shares = {
      untouched: 1,
      'keeper killed': 1,
      'other regions cut': 24 / 70,
      'zone cut': 12 / 70,
    }
    for (const [scenario, share] of Object.entries(shares)) {
      it(`guards against parts that stay where nobody asks: ${scenario}`, () => {
        const network = createNetwork(new Map([['hot', LARGE]]))
        const startMs = network.nowMs
        const endMs = startMs + 20_000
        const hotAt = 'a-5'
        network.load(
          'hot',
          () => 9 * LARGE.requestsPerSecond,
          () => hotAt,
          endMs,
        )
        network.runFor(6000)
        const zone = Array.from({ length: 12 }, (_, index) => `a-${index}`)
        if (scenario === 'keeper killed') network.kill(network.keeperName('a'))
        if (scenario === 'zone cut') network.cut(zone, 1)
        if (scenario === 'other regions cut') {
          network.cut(
            [...network.instances.keys()].filter((name) => name.startsWith('a')),
            1,
          )
        }
        network.runFor(endMs - network.nowMs)
        const outcome = network.outcomeOf('hot')
        const before = useOfQuota(outcome, LARGE, startMs + 2000, startMs + 6000)
        const after = useOfQuota(outcome, LARGE, startMs + 8000, endMs)
        const first = useOfQuota(outcome, LARGE, startMs, startMs + 2000)
        const around = useOfQuota(outcome, LARGE, startMs + 6000, startMs + 8000)
        print(`hot, first 2 s, ${scenario}`, first)
        print(`hot, before, ${scenario}`, before)
        print(`hot, 2 s from the fault on, ${scenario}`, around)
        print(`hot, after, ${scenario}`, after)
        print(`hot, peak, ${scenario}`, {
          peak: checkBound(network),
          retryAfterMs: outcome.longestRetryAfterMs,
        })
        expect(before.used).to.be.at.least(0.95)
        expect(after.used).to.be.at.least(0.95 * share)
      })
    }
  })

  describe('a limit that is cut to a tenth', () => {
    it('guards against tokens of the higher limit that are spent later', () => {
      const network = createNetwork(new Map([['hot', LARGE]]))
      const names = [...network.instances.keys()]
      const endMs = network.nowMs + 20_000
      network.load(
        'hot',
        () => 9 * LARGE.requestsPerSecond,
        () => pickFrom(network, names),
        endMs,
      )
      network.runFor(5000)
      const lowered: TenantQuota = { requestsPerSecond: 54, burst: 54 }
      network.quotas.set('hot', lowered)
      network.runFor(500)
      const outcome = network.outcomeOf('hot')
      outcome.allowed.length = 0
      const fromMs = network.nowMs
      network.runFor(endMs - network.nowMs)
      const use = useOfQuota(outcome, lowered, fromMs + 2000, endMs)
      print('lowered limit', { ...use, peak: checkBound(network) })
      expect(use.used).to.be.at.least(0.95)
    })
  })

  describe('77 tenants, the largest hot, with waves of 36 s in opposite phase by region', () => {
    it('guards against refusals below the limit, and against tokens in the wrong region', () => {
      const quotas = new Map<string, TenantQuota>()
      for (let rank = 1; rank <= 77; rank += 1) {
        const requestsPerSecond = Math.max(5, 540 / rank ** 1.2)
        quotas.set(`t${rank}`, { requestsPerSecond, burst: requestsPerSecond })
      }
      const network = createNetwork(quotas)
      const startMs = network.nowMs
      const endMs = startMs + 45_000
      for (const [tenant, { requestsPerSecond }] of quotas) {
        for (const [index, region] of Object.keys(SIZES).entries()) {
          const names = [...network.instances.keys()].filter((name) => name.startsWith(region))
          const wave = (second: number): number =>
            1 + 0.8 * Math.sin((2 * Math.PI * second) / 36 + (2 * Math.PI * index) / 3)
          const factor = tenant === 't1' ? 9 : 0.7
          network.load(
            tenant,
            (second) => (factor * requestsPerSecond * wave(second)) / 3,
            () => pickFrom(network, names),
            endMs,
          )
        }
      }
      network.sent.clear()
      network.runFor(endMs - startMs)
      const [hot, ...others] = [...quotas.keys()].map((tenant) => network.outcomeOf(tenant))
      const use = useOfQuota(hot ?? network.outcomeOf('t1'), LARGE, startMs + 2000, endMs)
      const refused = refusedOf(others)
      print('77 tenants, hot', use)
      print('77 tenants, below the limit', refused)
      print('77 tenants, worst', {
        refused: Math.max(...others.map((other) => refusedOf([other]).refused)),
      })
      printMessages('77 tenants', network, 45)
      print('77 tenants, peak', { peak: checkBound(network) })
      expect(use.used).to.be.at.least(0.95)
      expect(refused.refused).to.be.at.most(0.01)
    })
  })

  describe('tenants below their limits while a keeper fails', () => {
    for (const fault of ['kill', 'pause', 'restart'] as const) {
      it(`guards against long gaps until its successor grants: ${fault}`, () => {
        const quotas = new Map<string, TenantQuota>()
        const countByRate = { 5: 30, 20: 10, 100: 2, 540: 1 }
        for (const [rate, count] of Object.entries(countByRate)) {
          const quota = { requestsPerSecond: Number(rate), burst: Number(rate) }
          for (let copy = 0; copy < count; copy += 1) quotas.set(`t${rate}-${copy}`, quota)
        }
        const network = createNetwork(quotas)
        const endMs = network.nowMs + 20_000
        const keeper = network.keeperName('a')
        const names = [...network.instances.keys()].filter((name) => name !== keeper)
        for (const [tenant, { requestsPerSecond }] of quotas) {
          network.load(
            tenant,
            () => 0.7 * requestsPerSecond,
            () => pickFrom(network, names),
            endMs,
          )
        }
        network.runFor(6000)
        const faultMs = network.nowMs
        network[fault](keeper)
        if (fault === 'pause') {
          network.runFor(5000)
          network.resume(keeper)
        }
        network.runFor(endMs - network.nowMs)
        for (const rate of Object.keys(countByRate)) {
          const outcomes = [...quotas.keys()]
            .filter((tenant) => tenant.startsWith(`t${rate}-`))
            .map((tenant) => network.outcomeOf(tenant))
          const refusedIn = (fromMs: number, toMs: number): number => {
            const refused = outcomes.flatMap(({ overLimit, undecided }) => [
              ...overLimit,
              ...undecided,
            ])
            const asked = outcomes.flatMap((outcome) => outcome.asked)
            return countIn(refused, fromMs, toMs) / countIn(asked, fromMs, toMs)
          }
          const figures = {
            before: refusedIn(faultMs - 5000, faultMs),
            twoSeconds: refusedIn(faultMs, faultMs + 2000),
            after: refusedIn(faultMs + 2000, endMs),
          }
          print(`${fault}, ${rate} a second`, figures)
          expect(figures.twoSeconds).to.be.at.most(0.06)
        }
        print(`${fault}, peak`, { peak: checkBound(network) })
      })
    }
  })

  describe('small tenants at all instances', () => {
    it('guards against fractions of tokens that nobody can use', () => {
      const tenants = Array.from({ length: 20 }, (_, index) => `s${index}`)
      const network = createNetwork(new Map(tenants.map((tenant) => [tenant, SMALL])))
      const names = [...network.instances.keys()]
      const startMs = network.nowMs
      const endMs = startMs + 30_000
      for (const [index, tenant] of tenants.entries()) {
        const factor = index < 10 ? 0.8 : 9
        network.load(
          tenant,
          () => factor * 5,
          () => pickFrom(network, names),
          endMs,
        )
      }
      network.runFor(endMs - startMs)
      const outcomes = tenants.map((tenant) => network.outcomeOf(tenant))
      const below = refusedOf(outcomes.slice(0, 10))
      const uses = outcomes
        .slice(10)
        .map((outcome) => useOfQuota(outcome, SMALL, startMs + 2000, endMs))
      print('small tenants, 0.8 of the limit', below)
      print('small tenants, 9 times the limit', uses[0] ?? {})
      print('small tenants, peak', { peak: checkBound(network) })
      expect(below.refused).to.be.at.most(below.byOwner)
      for (const { used } of uses) expect(used).to.be.at.least(0.95)
    })
  })

  describe('messages with 2000 active tenants', () => {
    for (const [scenario, factor] of [
      ['below their limits', 0.7],
      ['above their limits', 3],
    ] as const) {
      it(`guards against messages that grow faster than tenants and instances: ${scenario}`, () => {
        const tenants = Array.from({ length: 2000 }, (_, index) => `s${index}`)
        const network = createNetwork(new Map(tenants.map((tenant) => [tenant, SMALL])))
        const names = [...network.instances.keys()]
        const seconds = 6
        const endMs = network.nowMs + seconds * 1000
        for (const tenant of tenants) {
          network.load(
            tenant,
            () => factor * 5,
            () => pickFrom(network, names),
            endMs,
          )
        }
        network.sent.clear()
        network.runFor(seconds * 1000)
        printMessages(`2000 tenants ${scenario}`, network, seconds)
        const asked = network.sent.get(QuotaMessageKind.Ask)?.messages ?? 0
        const demand = network.sent.get(QuotaMessageKind.Demand)?.bytes ?? 0
        expect(asked / seconds).to.be.at.most(factor * 5 * tenants.length * 1.1)
        // Each of three keepers names a tenant to two others five times a second, in some 20 bytes.
        expect(demand / seconds).to.be.at.most(3 * 2 * 5 * 20 * tenants.length)
      })
    }
  })
})
