import { expect } from 'chai'
import { AdmissionKind, admit, retryAfterMs } from '../../scheduling/admission.js'
import { CallerTimeouts } from '../callerTimeouts.js'
import { Shutdown } from '../shutdown.js'
import { ObjectCacheEstimate } from '../objectCacheEstimate.js'
import { RemoteShare, usableSlots, targetRemoteShare } from '../remoteShare.js'
import { SharedRetryBudget } from '../sharedRetryBudget.js'
import { StoreContact } from '../storeContact.js'

const NEED = { serviceMs: 100, targetInMs: 300, deadlineInMs: 1200, isReturn: false }

describe('admission', () => {
  it('queues a request in time only if its target can be met', () => {
    const queue = { aheadInTime: 9, aheadLate: 0, completionsPerSecond: 100, arrivalsPerSecond: 90 }
    expect(admit(queue, NEED)).to.deep.equal({ kind: AdmissionKind.InTime, waitMs: 100 })
    expect(admit({ ...queue, aheadInTime: 30 }, NEED).kind).to.not.equal(AdmissionKind.InTime)
  })

  it('refuses requests that would be late while arrivals exceed completions', () => {
    const queue = {
      aheadInTime: 40,
      aheadLate: 0,
      completionsPerSecond: 100,
      arrivalsPerSecond: 150,
    }
    expect(admit(queue, NEED).kind).to.equal(AdmissionKind.Refused)
  })

  it('queues late requests only as far as spare capacity suffices', () => {
    const queue = {
      aheadInTime: 25,
      aheadLate: 0,
      completionsPerSecond: 100,
      arrivalsPerSecond: 80,
    }
    expect(admit(queue, { ...NEED, targetInMs: -50 }).kind).to.equal(AdmissionKind.Late)
    const crowded = { ...queue, aheadLate: 8 }
    expect(admit(crowded, { ...NEED, targetInMs: -50 }).kind).to.equal(AdmissionKind.Refused)
  })

  it('sets Retry-After so that the retry can still meet the deadline', () => {
    for (const random of [0, 0.5, 0.999]) {
      const afterMs = retryAfterMs(5000, NEED, random)
      expect(afterMs).to.be.at.most(NEED.deadlineInMs / 3)
      expect(afterMs + 2 * NEED.serviceMs).to.be.at.most(NEED.deadlineInMs)
    }
  })

  it('spreads the retries of callers that were refused together', () => {
    const times = new Set([0, 0.25, 0.5, 0.75].map((random) => retryAfterMs(200, NEED, random)))
    expect(times.size).to.equal(4)
  })
})

describe('caller timeouts', () => {
  // Time assumed as waited counts against the target, so first attempts would be refused as late.
  it('does not take first attempts with slightly shorter timeouts for retries', () => {
    const timeouts = new CallerTimeouts()
    timeouts.waitedMs('r', 1200)
    for (const stated of [1020, 1100, 1199]) expect(timeouts.waitedMs('r', stated)).to.equal(0)
  })

  it('estimates the time that a caller has waited before a retry', () => {
    const timeouts = new CallerTimeouts()
    timeouts.waitedMs('r', 1200)
    expect(timeouts.waitedMs('r', 700)).to.be.within(300, 500)
  })
})

describe('shutdown', () => {
  it('refuses requests that could outlive the process after half of the shutdown time', () => {
    const shutdown = new Shutdown(0, 5650)
    expect(shutdown.mayAccept(2000 + 3000, 2000)).to.equal(true)
    expect(shutdown.mayAccept(2500 + 8000, 2500)).to.equal(true)
    expect(shutdown.mayAccept(3500 + 3000, 3500)).to.equal(false)
    expect(shutdown.mayAccept(3500 + 1000, 3500)).to.equal(true)
  })
})

describe('ObjectCacheEstimate', () => {
  it('estimates the cache size of a server with forty objects, in spite of stragglers', () => {
    const estimate = new ObjectCacheEstimate()
    for (let round = 0; round < 3000; round += 1) {
      const reuseDistance = (round * 37) % 90
      const isStraggler = round % 20 === 0
      estimate.observe(reuseDistance, reuseDistance < 40 && !isStraggler)
    }
    expect(estimate.size).to.be.within(30, 48)
  })
})

describe('RemoteShare', () => {
  it('changes by less than the bound between windows of two seconds, whatever the target', () => {
    const share = new RemoteShare(0)
    const remoteByWindow = new Map<number, { remote: number; total: number }>()
    for (let nowMs = 0; nowMs < 20_000; nowMs += 5) {
      share.moveTowards(nowMs % 6000 < 3000 ? 0.6 : 0, nowMs, true)
      const isRemote =
        share.mustRunRemotely(nowMs) || (nowMs % 10 === 0 && share.mayRunRemotely(nowMs))
      share.recordRequest(isRemote, nowMs)
      const window = Math.floor(nowMs / 2000)
      const counts = remoteByWindow.get(window) ?? { remote: 0, total: 0 }
      counts.total += 1
      if (isRemote) counts.remote += 1
      remoteByWindow.set(window, counts)
    }
    const shares = [...remoteByWindow.values()].map(({ remote, total }) => remote / total)
    for (let index = 2; index < shares.length; index += 1) {
      expect(Math.abs((shares[index] ?? 0) - (shares[index - 1] ?? 0))).to.be.below(0.15)
    }
  })

  it('adopts the target at once at the start, before it has converged', () => {
    const share = new RemoteShare(0)
    share.recordRequest(false, 0)
    share.moveTowards(0.4, 500, true)
    expect(share.share).to.equal(0.4)
  })

  it('requests no slots of other regions that its remote share can not use yet', () => {
    expect(usableSlots(20, 10, 0)).to.be.below(11)
    expect(usableSlots(20, 10, 0.5)).to.be.closeTo(20, 0.6)
    expect(targetRemoteShare(8, 10, 4)).to.equal(0)
  })

  // A share of all requests would leave lent slots idle while requests are refused.
  it('is the share of what runs, so that an overloaded region uses all lent slots', () => {
    expect(targetRemoteShare(12, 10, 4)).to.be.closeTo(3.5 / 12, 1e-9)
    expect(targetRemoteShare(20, 10, 4)).to.be.closeTo(4 / 14, 1e-9)
    expect(targetRemoteShare(200, 10, 4)).to.be.closeTo(4 / 14, 1e-9)
  })
})

describe('SharedRetryBudget', () => {
  it('keeps the sum of all instances within the bounds of any window', () => {
    const instances = 8
    const budgets = Array.from(
      { length: instances },
      () => new SharedRetryBudget({ ratio: 0.2, slack: 56 }),
    )
    let taken = 0
    const requests = 4000
    for (let index = 0; index < requests; index += 1) {
      const budget = budgets[index % instances]
      budget?.recordRequest('s', instances, index)
      if (budget?.take('s', instances, index) === true) taken += 1
      if (budget?.take('s', instances, index) === true) taken += 1
    }
    expect(taken).to.be.at.most(0.2 * requests + 56)
    expect(taken).to.be.above(0.1 * requests)
  })
})

describe('StoreContact', () => {
  it('lets another instance read when the first reader of the region loses the store', () => {
    const contact = new StoreContact(2000, 0)
    contact.recordPeerContact(0, 1000)
    expect(contact.shouldRead(1, 1900)).to.equal(false)
    expect(contact.shouldRead(1, 2200)).to.equal(true)
    contact.recordOwnContact(2200)
    contact.recordPeerContact(100, 3000)
    expect(contact.shouldRead(1, 3000)).to.equal(false)
  })

  // Guards against calls by all instances during an outage: when all of them tried, sixty instances
  // made 3000 calls in the outages of one day.
  it('lets only some instances of a large region try a store that is unreachable for all', () => {
    const contacts = Array.from({ length: 20 }, () => new StoreContact(4000, 0))
    const readersAt = (nowMs: number): number =>
      contacts.filter((contact, place) => contact.shouldRead(place, nowMs)).length
    expect(readersAt(2400)).to.be.within(2, 5)
    expect(readersAt(6000)).to.be.at.most(11)
  })

  it('lets an instance read in time when the store refuses those before it', () => {
    const applyMs = 3000
    const contact = new StoreContact(applyMs, 0)
    expect(contact.shouldRead(4, applyMs * 0.7)).to.equal(true)
  })

  // Guards against new work for servers that left during an outage: the time in which their entries
  // may be written again was counted from when the instance had noticed the end of the outage.
  describe('after an outage', () => {
    it('tells the first answer of the store, though its changes are read later', () => {
      const contact = new StoreContact(2000, 0)
      contact.recordOwnContact(1000)
      expect(contact.returnedAtMs(9000)).to.equal(9000)
      contact.recordAnswer(9100)
      contact.recordOwnContact(9700)
      expect(contact.returnedAtMs(10_000)).to.equal(9100)
    })

    it('does not count an answer before a call that failed', () => {
      const contact = new StoreContact(2000, 0)
      contact.recordOwnContact(1000)
      contact.recordAnswer(9100)
      contact.recordFailure()
      expect(contact.returnedAtMs(9500)).to.equal(9500)
      contact.recordOwnContact(9800)
      expect(contact.returnedAtMs(10_000)).to.equal(9800)
    })

    it('counts the contact of a peer, and each outage anew', () => {
      const contact = new StoreContact(2000, 0)
      contact.recordOwnContact(1000)
      contact.recordPeerContact(8000, 9000)
      expect(contact.returnedAtMs(9000)).to.equal(9000)
      contact.recordPeerContact(100, 9300)
      expect(contact.returnedAtMs(9400)).to.equal(9200)
      expect(contact.returnedAtMs(20_000)).to.equal(20_000)
    })
  })

  // Guards against two readers of a region, each of which calls the store and writes a roster.
  it('stops reading beside a reader whose watches end together with its own', () => {
    const contact = new StoreContact(2000, 0)
    const watchEndsMs = Array.from({ length: 20 }, (_, index) => (index + 1) * contact.watchMs)
    contact.shouldRead(0, 0)
    const isReading = watchEndsMs.map((nowMs) => {
      contact.recordOwnContact(nowMs)
      contact.recordPeerContact(contact.watchMs - 100, nowMs - 100)
      return contact.shouldRead(1, nowMs)
    })
    expect(isReading.at(-1)).to.equal(false)
  })

  it('ignores the outdated store contact of a reader that is cut off', () => {
    const contact = new StoreContact(2000, 0)
    contact.recordPeerContact(0, 1000)
    contact.recordPeerContact(2500, 3500)
    expect(contact.shouldRead(1, 3500)).to.equal(true)
    expect(contact.isStoreUnreachable(3500)).to.equal(true)
  })
})
