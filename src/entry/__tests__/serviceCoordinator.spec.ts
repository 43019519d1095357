import { expect } from 'chai'
import type { SlotAsk } from '../peerMessages.js'
import { SlotUse } from '../peerMessages.js'
import type { CoordinatedServer } from '../serverState.js'
import { ServiceCoordinator } from '../serviceCoordinator.js'
import type { Waiter } from '../waitingLine.js'
import type { ReplayOptions } from './loadReplay.js'
import { replay } from './loadReplay.js'

const WARM_MS = 60
const LOAD: ReplayOptions = {
  seed: 41,
  servers: 4,
  slots: 4,
  objects: 66,
  kept: 40,
  knownMs: WARM_MS,
  newMs: 200,
  targetMs: 300,
  deadlineMs: 1200,
  seconds: 30,
  rateAt: () => 150,
}
/** Mean duration on a server that has the object cached, including stragglers. */
const MEAN_WARM_MS = WARM_MS * (0.97 + 0.03 * 7)
/** Requests per second that all slots can serve if every object is cached on every server. */
const FULL_RATE = (LOAD.servers * LOAD.slots * 1000) / MEAN_WARM_MS
/** Fraction of the ideal throughput that issue 10 requires. */
const GOAL = 0.9

function server(id: string, changes: Partial<CoordinatedServer> = {}): CoordinatedServer {
  return {
    id,
    region: 'here',
    zone: 'zone',
    slots: 1,
    coldUntilMs: Number.NEGATIVE_INFINITY,
    coldRequestsPerSecond: 10,
    ...changes,
  }
}

interface Asked {
  granted: string | undefined
  refused: string | undefined
}

class Region {
  readonly coordinator = new ServiceCoordinator('service', 'here', () => 0.5, 0)
  #last = 0

  constructor(servers: readonly CoordinatedServer[]) {
    this.coordinator.assign(servers, (id) => servers.find((other) => other.id === id), 0)
    this.coordinator.setTarget('route', 300)
  }

  ask(nowMs: number, changes: Partial<SlotAsk> = {}, instance = 'instance'): Asked {
    this.#last += 1
    const asked: Asked = { granted: undefined, refused: undefined }
    const ask = slotAsk(this.#last, changes)
    this.coordinator.ask(
      {
        key: `${instance}/${this.#last}`,
        ask,
        zone: 'zone',
        arrivedAtMs: nowMs,
        targetAtMs: nowMs + ask.targetInMs,
        deadlineAtMs: nowMs + ask.deadlineInMs,
        granted: (id) => {
          asked.granted = id
        },
        refused: (reason) => {
          asked.refused = reason
        },
      },
      nowMs,
    )
    return asked
  }

  done(number: number, nowMs: number, use = SlotUse.Completed, durationMs = 100): void {
    this.coordinator.done(`instance/${number}`, use, durationMs, null, nowMs)
  }
}

function slotAsk(askId: number, changes: Partial<SlotAsk> = {}): SlotAsk {
  return {
    askId,
    service: 'service',
    route: 'route',
    object: '',
    priority: 1,
    targetInMs: 300,
    deadlineInMs: 1200,
    isReturn: false,
    excludedServers: [],
    regions: [],
    ...changes,
  }
}

function waiter(key: string, nowMs: number): Waiter {
  return {
    key,
    ask: slotAsk(1),
    zone: 'zone',
    arrivedAtMs: nowMs,
    targetAtMs: nowMs + 300,
    deadlineAtMs: nowMs + 1200,
    granted: () => undefined,
    refused: () => undefined,
  }
}

describe('ServiceCoordinator', () => {
  describe('slots', () => {
    it('never exceeds the slots of a server and grants a released slot to a queued request', () => {
      const region = new Region([server('s', { slots: 2 })])
      const asked = [region.ask(0), region.ask(0), region.ask(0)]
      expect(asked.map(({ granted }) => granted)).to.deep.equal(['s', 's', undefined])
      region.done(1, 100)
      expect(asked[2]?.granted).to.equal('s')
    })

    it('releases the slots of a failed instance', () => {
      const region = new Region([server('s')])
      region.ask(0, {}, 'lost')
      const waiting = region.ask(0)
      region.coordinator.forgetInstance('lost', 50)
      expect(waiting.granted).to.equal('s')
    })

    it('counts slots in use that another coordinator granted', () => {
      const region = new Region([server('s')])
      const uses = [{ askId: 900, serverId: 's', route: 'route', forMs: 20 }]
      region.coordinator.adopt('other', uses, 0)
      expect(region.ask(0).granted).to.equal(undefined)
    })

    it('refuses a request that may not run in this region', () => {
      const region = new Region([server('s')])
      expect(region.ask(0, { regions: ['there'] }).refused).to.equal('no backend server')
    })

    it('does not send a retry to the server of the first attempt', () => {
      const region = new Region([server('s'), server('t')])
      expect(region.ask(0, { excludedServers: ['s'] }).granted).to.equal('t')
    })
  })

  describe('cold servers', () => {
    it('get no more requests per second than their configured rate', () => {
      const region = new Region([server('s', { slots: 50, coldUntilMs: 10_000 })])
      const asked: Asked[] = []
      for (let nowMs = 0; nowMs < 1000; nowMs += 5) {
        asked.push(region.ask(nowMs))
        region.coordinator.tick(nowMs)
      }
      const granted = asked.filter(({ granted: id }) => id !== undefined).length
      expect(granted).to.be.within(5, 13)
    })

    it('are not lent to other regions', () => {
      const region = new Region([server('s', { coldUntilMs: 10_000 }), server('t')])
      const lent = region.coordinator.lend(new Map([['there', 2]]), 0).get('there')
      expect(lent).to.deep.equal([{ serverId: 't', slots: 1 }])
    })
  })

  describe('objects', () => {
    it('queues a request for a full server that has the object cached', () => {
      const region = new Region([server('s', { slots: 4 }), server('t', { slots: 4 })])
      const first = region.ask(0, { object: 'o' })
      for (let number = 2; number <= 40; number += 1) region.ask(0, { object: `p${number}` })
      const again = region.ask(10, { object: 'o' })
      const isElsewhere = again.granted !== undefined && again.granted !== first.granted
      expect(isElsewhere).to.equal(false)
    })

    it('sends requests for one object to the server that has it cached', () => {
      const region = new Region([server('s', { slots: 4 }), server('t', { slots: 4 })])
      const first = region.ask(0, { object: 'o' })
      region.done(1, 100)
      for (let round = 2; round < 10; round += 1) {
        expect(region.ask(round * 200, { object: 'o' }).granted).to.equal(first.granted)
        region.done(round, round * 200 + 50)
      }
    })
  })

  describe('servers that fail', () => {
    it('get fewer requests after several failures, while other servers have free slots', () => {
      const region = new Region([server('s', { slots: 9 }), server('t', { slots: 9 })])
      const counts = { s: 0, t: 0 }
      for (let number = 1; number <= 60; number += 1) {
        const granted = region.ask(number * 100).granted as 's' | 't'
        counts[granted] += 1
        const use = granted === 's' ? SlotUse.Broken : SlotUse.Completed
        region.done(number, number * 100 + 50, use)
      }
      expect(counts.s).to.be.below(15)
    })
  })

  describe('traffic that starts at full rate with unevenly distributed backend servers', () => {
    const there = Array.from({ length: 6 }, (_, index) =>
      server(`there-${index}`, { region: 'there', slots: 4 }),
    )
    const lent = there.slice(0, 2).map(({ id, slots }) => ({ serverId: id, slots }))

    function poorRegion(): ServiceCoordinator {
      const here = [server('here-0', { slots: 4 })]
      const coordinator = new ServiceCoordinator('service', 'here', () => 0.5, 0)
      coordinator.assign(here, (id) => [...here, ...there].find((each) => each.id === id), 0)
      coordinator.prepare(4 + 24, 2)
      return coordinator
    }

    it('requests slots of other regions before the first request', () => {
      const { neededSlots, slots } = poorRegion().lendableDemand(0)
      expect(neededSlots).to.be.above(slots * 2)
    })

    it('has its remote share from the first request on, and keeps it stable', () => {
      const coordinator = poorRegion()
      coordinator.borrow('there', lent, 0)
      coordinator.tick(100)
      const before = coordinator.figures(100).remoteShare
      expect(before).to.be.above(0.4)
      coordinator.ask(waiter('r1', 200), 200)
      coordinator.borrow('there', lent, 300)
      coordinator.tick(400)
      expect(coordinator.figures(400).remoteShare).to.be.closeTo(before, 0.03)
    })

    it('continues with the remote share of the previous coordinator', () => {
      const coordinator = poorRegion()
      coordinator.inherit(0.3, 9, 50)
      coordinator.borrow('there', lent, 100)
      coordinator.tick(150)
      coordinator.ask(waiter('r1', 200), 200)
      coordinator.tick(400)
      expect(coordinator.figures(400).remoteShare).to.be.closeTo(0.3, 0.03)
      expect(coordinator.demand(250).neededSlots).to.be.closeTo(9, 0.5)
    })

    it('keeps its own remote share once its requests have determined it', () => {
      const coordinator = poorRegion()
      coordinator.borrow('there', lent, 0)
      coordinator.tick(100)
      coordinator.ask(waiter('r1', 200), 200)
      const before = coordinator.figures(200).remoteShare
      coordinator.inherit(0.1, 2, 5000)
      expect(coordinator.figures(5000).remoteShare).to.equal(before)
    })

    it('starts with the even demand if there was no handover', () => {
      const here = [server('here-0', { slots: 4 })]
      const coordinator = new ServiceCoordinator('service', 'here', () => 0.5, 0)
      coordinator.assign(here, (id) => [...here, ...there].find((each) => each.id === id), 0)
      coordinator.startCold(28, 2)
      coordinator.ask(waiter('r1', 0), 0)
      coordinator.borrow('there', lent, 300)
      coordinator.tick(310)
      expect(coordinator.figures(310).remoteShare).to.be.above(0.4)
    })

    it('has no remote share if every region has enough slots for the even demand', () => {
      const here = [server('here-0', { slots: 4 })]
      const coordinator = new ServiceCoordinator('service', 'here', () => 0.5, 0)
      coordinator.assign(here, () => undefined, 0)
      coordinator.prepare(8, 2)
      coordinator.tick(100)
      expect(coordinator.figures(100).remoteShare).to.equal(0)
    })
  })

  describe('replayed load', () => {
    it('serves nine tenths of the requests in time below the capacity', () => {
      const result = replay(LOAD)
      expect(result.inTime / result.asked).to.be.above(GOAL * 0.97)
      expect(result.mostRunning).to.be.at.most(LOAD.slots)
    })

    it('serves nine tenths of the ideal in time under an overload of one third', () => {
      const rate = FULL_RATE * 1.33
      const result = replay({ ...LOAD, rateAt: () => rate })
      expect(result.inTime).to.be.above(GOAL * FULL_RATE * 0.97 * LOAD.seconds)
      expect(result.mostRunning).to.be.at.most(LOAD.slots)
    })

    it('refuses early what it can not serve during a burst', () => {
      const rateAt = (second: number): number => (second > 10 && second < 15 ? 500 : 120)
      const result = replay({ ...LOAD, rateAt })
      expect(result.refused).to.be.above(0)
      expect(result.longestVainWaitMs).to.be.below(LOAD.deadlineMs * 0.75)
    })
  })
})
