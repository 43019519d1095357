import { expect } from 'chai'
import fc from 'fast-check'
import type { KindLoadOptions, SimulatedKind } from '../../../testing/kindSimulation.js'
import { simulateKinds } from '../../../testing/kindSimulation.js'
import { SHARE_FLOOR, SHARE_TOLERANCE } from '../classLoads.js'
import { CostAwarePolicy } from '../costAwarePolicy.js'
import { DurationSpread } from '../durationSpread.js'
import { ReturnLedger, SPAN_MS } from '../returnLedger.js'
import { WorkEnd } from '../schedulingPolicy.js'
import type { Waiter } from '../waiter.js'

const SERVICE_MS = 200
const SLOTS = 10

interface WaiterFields {
  readonly priority?: number
  readonly isReturn?: boolean
  readonly arrivedAtMs?: number
  readonly targetInMs?: number
  readonly deadlineInMs?: number
  readonly callerLeftMs?: number
}

let lastAskId = 0

function waiterOf(fields: WaiterFields = {}): Waiter {
  const {
    priority = 1,
    isReturn = false,
    arrivedAtMs = 0,
    targetInMs = 600,
    deadlineInMs = 2000,
    callerLeftMs = 8000,
  } = fields
  lastAskId += 1
  return {
    key: `instance/${lastAskId}`,
    request: {
      askId: lastAskId,
      service: 'service',
      route: 'route',
      object: '',
      priority,
      targetInMs,
      deadlineInMs,
      isReturn,
      excludedServers: [],
      regions: [],
      callerLeftMs,
      isRepeatable: true,
    },
    zone: 'zone',
    arrivedAtMs,
    targetAtMs: arrivedAtMs + targetInMs,
    deadlineAtMs: arrivedAtMs + deadlineInMs,
    onGranted: () => undefined,
    onRefused: () => undefined,
  }
}

function policyOf(): CostAwarePolicy {
  return new CostAwarePolicy({
    serviceMsOf: () => SERVICE_MS,
    loadAt: () => ({ completionsPerSecond: 50, arrivalsPerSecond: 50, usableSlots: SLOTS }),
    random: () => 0.5,
  })
}

/** Records arrivals and offers them; returns those that are queued. */
function offerAll(policy: CostAwarePolicy, waiters: readonly Waiter[], nowMs: number): Waiter[] {
  return waiters.filter((waiter) => {
    policy.recordArrival(waiter, nowMs)
    return policy.offer(waiter, nowMs) === undefined
  })
}

/** Runs that take as long as expected, so that the spread of durations is known. */
function observeRuns(policy: CostAwarePolicy, count: number, nowMs: number): void {
  for (let run = 0; run < count; run += 1) {
    const waiter = waiterOf({ arrivedAtMs: nowMs - SERVICE_MS })
    policy.recordStart(waiter, SERVICE_MS, nowMs - SERVICE_MS)
    policy.recordEnd(waiter.key, WorkEnd.Completed, SERVICE_MS, nowMs)
  }
}

/** Cost at a server with a free slot. */
function costAt(policy: CostAwarePolicy, waiter: Waiter, pace: number, nowMs: number): number {
  const option = {
    isCached: false,
    usualMs: SERVICE_MS,
    slowdown: pace,
    pace,
    idleMs: 0,
    waitMs: 0,
    load: 0,
    preference: 0,
    isInOtherZone: false,
    slotTimeWeight: 1,
  }
  return policy.costMs(waiter, option, nowMs)
}

describe('CostAwarePolicy', () => {
  describe('shares of kinds under any overload', () => {
    const kindFields = fc.record({
      usualMs: fc.integer({ min: 60, max: 900 }),
      targetFactor: fc.double({ min: 1.2, max: 4, noNaN: true }),
      timeoutFactor: fc.double({ min: 2, max: 6, noNaN: true }),
      load: fc.double({ min: 0.2, max: 0.9, noNaN: true }),
      isRepeatable: fc.boolean(),
    })
    const loads = fc.record({
      seed: fc.integer({ min: 1, max: 1e6 }),
      kinds: fc.array(kindFields, { minLength: 2, maxLength: 3 }),
    })

    function simulate({ seed, kinds }: typeof loads extends fc.Arbitrary<infer T> ? T : never) {
      const slots = 24
      const simulated = kinds.map((fields, priority): SimulatedKind => {
        const timeoutMs = fields.usualMs * Math.max(fields.timeoutFactor, fields.targetFactor)
        return {
          route: `kind-${priority}`,
          priority,
          work: { cachedMs: fields.usualMs, uncachedMs: fields.usualMs },
          objects: 0,
          targetMs: fields.usualMs * fields.targetFactor,
          timeoutMs,
          deadlineMs: 3 * timeoutMs,
          isRepeatable: fields.isRepeatable,
          rateAt: () => (fields.load * slots * 1000) / fields.usualMs,
        }
      })
      const options: KindLoadOptions = {
        seed,
        servers: 4,
        slots: slots / 4,
        cacheSize: 8,
        seconds: 15,
        stragglerFraction: 0,
        kinds: simulated,
        prepare: (coordinator) => {
          coordinator.setPolicy((context) => new CostAwarePolicy(context))
        },
      }
      return [...simulateKinds(options).kinds.values()].map((kind) => ({
        share: (kind.inTime + kind.late) / kind.requests,
        requests: kind.requests,
      }))
    }

    // Guards against work of less urgent kinds in slots that more urgent requests wait for.
    it('serves a more urgent kind at least as often as a less urgent one', () => {
      fc.assert(
        fc.property(loads, (load) => {
          const shares = simulate(load)
          for (const [index, { share }] of shares.entries()) {
            const urgent = Math.min(1, ...shares.slice(0, index).map((each) => each.share))
            // The simulated time holds two windows of the measured shares.
            expect(share).to.be.at.most(urgent + SHARE_TOLERANCE + 0.02)
          }
        }),
        { seed: 38, numRuns: 25, endOnFailure: true },
      )
    })

    // Guards against a kind that gets nothing while more urgent ones fill all slots.
    it('serves every kind a stated fraction as often as all requests', () => {
      fc.assert(
        fc.property(loads, (load) => {
          const shares = simulate(load)
          const requests = shares.reduce((sum, each) => sum + each.requests, 0)
          const served = shares.reduce((sum, each) => sum + each.requests * each.share, 0)
          for (const { share } of shares)
            expect(share).to.be.at.least((SHARE_FLOOR * served) / requests)
        }),
        { seed: 39, numRuns: 25, endOnFailure: true },
      )
    })
  })

  describe('feasibility', () => {
    // Guards against slots for work that is cut, and against refusals of work that would end.
    it('starts what most likely ends in the time left, and nothing else', () => {
      fc.assert(
        fc.property(
          fc.integer({ min: 20, max: 2000 }),
          fc.double({ min: 0.5, max: 6, noNaN: true }),
          (deadlineInMs, pace) => {
            const policy = policyOf()
            observeRuns(policy, 300, 1000)
            const waiter = waiterOf({ arrivedAtMs: 1000, deadlineInMs })
            const isStarted = Number.isFinite(costAt(policy, waiter, pace, 1000))
            const neededMs = SERVICE_MS * pace
            if (deadlineInMs > 1.3 * neededMs) expect(isStarted).to.equal(true)
            if (deadlineInMs < 0.8 * neededMs) expect(isStarted).to.equal(false)
          },
        ),
        { seed: 40, numRuns: 300 },
      )
    })

    // Guards against callers that wait for a refusal that is certain from the start.
    it('tells at once that a request can not end in time', () => {
      const policy = policyOf()
      observeRuns(policy, 300, 1000)
      const waiter = waiterOf({ arrivedAtMs: 1000, deadlineInMs: SERVICE_MS / 2 })
      expect(policy.offer(waiter, 1000)?.reason).to.contain('in time')
    })

    // Guards against a service that refuses everything after its servers were slow for a time.
    it('tries again when no run has shown the durations for some time', () => {
      const policy = policyOf()
      observeRuns(policy, 300, 1000)
      const late = waiterOf({ arrivedAtMs: 5000, deadlineInMs: SERVICE_MS })
      expect(costAt(policy, late, 4, 5000)).to.be.below(Number.POSITIVE_INFINITY)
    })

    // Guards against work that is cut and can not be sent again.
    it('prefers a fast server for work that may run once only, even if it waits for it', () => {
      const policy = policyOf()
      observeRuns(policy, 100, 1000)
      for (let run = 0; run < 10; run += 1) {
        const cut = waiterOf({ arrivedAtMs: 0, deadlineInMs: 1000 })
        policy.recordStart(cut, SERVICE_MS, 1000 - 2 * SERVICE_MS)
        expect(policy.recordEnd(cut.key, WorkEnd.Failed, 2 * SERVICE_MS, 1000)).to.equal(true)
      }
      const repeatable = waiterOf({ arrivedAtMs: 1000, deadlineInMs: 440 })
      const single = { ...repeatable, request: { ...repeatable.request, isRepeatable: false } }
      const extra = (waiter: Waiter): number =>
        costAt(policy, waiter, 1.9, 1000) - costAt(policy, waiter, 1, 1000)
      expect(extra(single)).to.be.above(extra(repeatable))
    })
  })

  describe('displacement', () => {
    // Guards against callers that learn at their deadline that they were overtaken long before.
    it('lets go what more urgent arrivals have overtaken, long before it is overdue', () => {
      const policy = policyOf()
      const [overtaken] = offerAll(policy, [waiterOf({ priority: 2 })], 0)
      offerAll(
        policy,
        Array.from({ length: 400 }, () =>
          waiterOf({ priority: 0, deadlineInMs: 20_000, targetInMs: 9000 }),
        ),
        10,
      )
      const displaced = policy.takeDisplaced(60)
      expect(displaced.map(({ waiter }) => waiter.key)).to.deep.equal([overtaken?.key])
      expect(policy.has(overtaken?.key ?? '')).to.equal(false)
    })

    // Guards against requests that are let go while there is room for them.
    it('keeps what can still be served', () => {
      const policy = policyOf()
      const queued = offerAll(
        policy,
        Array.from({ length: 8 }, () => waiterOf()),
        0,
      )
      expect(queued).to.have.length(8)
      expect(policy.takeDisplaced(60)).to.deep.equal([])
    })
  })

  describe('returns', () => {
    /** Refusals of a burst, with the callers that were told when to return. */
    function refuseBurst(policy: CostAwarePolicy, count: number, nowMs: number) {
      return Array.from({ length: count }, () => waiterOf({ arrivedAtMs: nowMs })).flatMap(
        (waiter) => {
          policy.recordArrival(waiter, nowMs)
          const refusal = policy.offer(waiter, nowMs)
          return refusal === undefined ? [] : [{ waiter, retryAfterMs: refusal.retryAfterMs }]
        },
      )
    }

    // Guards against callers that are refused again although they came as told.
    it('queues a return that comes as it was told, whatever has arrived meanwhile', () => {
      const policy = policyOf()
      const told = refuseBurst(policy, 300, 0).filter(({ retryAfterMs }) => retryAfterMs > 0)
      expect(told.length).to.be.above(3)
      for (const { retryAfterMs } of told) {
        const callerLeftMs = 8000 - retryAfterMs
        const back = waiterOf({
          arrivedAtMs: retryAfterMs,
          isReturn: true,
          targetInMs: -1,
          callerLeftMs,
        })
        policy.recordArrival(back, retryAfterMs)
        expect(policy.offer(back, retryAfterMs)).to.equal(undefined)
      }
    })

    // Guards against times to return that callers ignore.
    it('tells callers to return within a third of the time that they have left', () => {
      for (const { retryAfterMs } of refuseBurst(policyOf(), 2000, 0))
        expect(retryAfterMs).to.be.at.most(8000 / 3)
    })

    // Guards against callers that are told to come back together and are refused again.
    it('promises no more work for a span than there is room', () => {
      const bookings = fc.array(
        fc.record({
          workMs: fc.integer({ min: 1, max: 400 }),
          fromMs: fc.integer({ min: 0, max: 3000 }),
          lengthMs: fc.integer({ min: 0, max: 3000 }),
        }),
        { maxLength: 200 },
      )
      fc.assert(
        fc.property(
          bookings,
          fc.array(fc.integer({ min: 1, max: 1500 }), { minLength: 60 }),
          (each, rooms) => {
            const ledger = new ReturnLedger()
            const roomOf = (atMs: number): number => rooms[Math.floor(atMs / SPAN_MS)] ?? 1
            const promised = new Map<number, number>()
            for (const [index, { workMs, fromMs, lengthMs }] of each.entries()) {
              const caller = { requestClass: 'c', patienceEndsAtMs: index * 1000 }
              const range = { fromMs, untilMs: fromMs + lengthMs }
              const atMs = ledger.book(caller, workMs, range, roomOf)
              if (atMs === undefined) continue
              expect(atMs).to.be.within(fromMs, fromMs + lengthMs)
              const span = Math.floor(atMs / SPAN_MS)
              promised.set(span, (promised.get(span) ?? 0) + workMs)
              expect(promised.get(span)).to.be.at.most(roomOf(span * SPAN_MS))
            }
            for (const [span, workMs] of promised) {
              expect(ledger.bookedMs(span * SPAN_MS, span * SPAN_MS)).to.equal(workMs)
            }
          },
        ),
        { seed: 42, numRuns: 100 },
      )
    })

    // Guards against promises that other callers use up.
    it('recognizes a caller once, and no other caller', () => {
      const ledger = new ReturnLedger()
      const caller = { requestClass: 'c', patienceEndsAtMs: 9000 }
      const atMs = ledger.book(caller, 50, { fromMs: 100, untilMs: 1000 }, () => 500) ?? 0
      expect(ledger.take({ ...caller, patienceEndsAtMs: 9500 }, atMs)).to.equal(false)
      expect(ledger.take({ ...caller, patienceEndsAtMs: 9010 }, atMs + 40)).to.equal(true)
      expect(ledger.take(caller, atMs)).to.equal(false)
    })
  })
})

describe('DurationSpread', () => {
  // Guards against a tail that looks short because the longest runs are cut.
  it('learns the tail from runs that were cut', () => {
    const spread = new DurationSpread()
    for (let run = 0; run < 3000; run += 1) {
      if (run % 10 === 0) spread.recordCut(2)
      else spread.recordCompleted(0.9 + (run % 5) * 0.05)
    }
    expect(spread.chanceWithin(1.8)).to.be.closeTo(0.9, 0.03)
    expect(spread.quantile(0.5)).to.be.within(0.8, 1.1)
  })

  // Guards against work that is started because it has less time.
  it('never gives a shorter time a higher chance', () => {
    const ratios = fc.array(fc.double({ min: 0.01, max: 40, noNaN: true }), { maxLength: 300 })
    fc.assert(
      fc.property(ratios, ratios, (completed, cut) => {
        const spread = new DurationSpread()
        for (const ratio of completed) spread.recordCompleted(ratio)
        for (const ratio of cut) spread.recordCut(ratio)
        let before = 0
        for (let ratio = 0.05; ratio < 40; ratio *= 1.07) {
          const chance = spread.chanceWithin(ratio)
          expect(chance).to.be.within(before - 1e-9, 1 + 1e-9)
          before = chance
        }
      }),
      { seed: 43, numRuns: 60 },
    )
  })
})
