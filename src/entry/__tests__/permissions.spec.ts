/**
 * Permissions that may have run out: slots of instances that were silent or paused, grants that
 * arrive late, and borrowed slots. Guards against slots that are filled twice, running work that
 * is given up, and requests that are sent on an old grant.
 */
import { expect } from 'chai'
import type { HeldSlotReport, PeerMessage, SlotRequestDetails } from '../peerMessages.js'
import { PeerMessageKind, SlotOutcome } from '../peerMessages.js'
import { InstanceTable, LinkState } from '../instanceTable.js'
import { PauseDetector } from '../pauseDetector.js'
import type { CoordinatedServer } from '../serverState.js'
import { ServiceCoordinator } from '../serviceCoordinator.js'
import type { LocalCoordinators, SlotGrant } from '../slotClient.js'
import { SlotClient } from '../slotClient.js'
import { LinkLoss } from '../unconfirmedSlots.js'
import { testInstance } from './testInstance.js'

const TARGET_MS = 1000
/** The coordinator expects this duration until it has observed one. */
const EXPECTED_MS = TARGET_MS * 0.4

function server(id: string, region = 'here'): CoordinatedServer {
  return {
    id,
    region,
    zone: 'zone',
    slots: 1,
    coldUntilMs: Number.NEGATIVE_INFINITY,
    coldRequestsPerSecond: 10,
    startedAtMs: 0,
  }
}

function details(askId: number): SlotRequestDetails {
  return {
    askId,
    service: 'service',
    route: 'route',
    object: '',
    priority: 1,
    targetInMs: TARGET_MS,
    deadlineInMs: 5000,
    isReturn: false,
    excludedServers: [],
    regions: [],
  }
}

/** A coordinator with one server of one slot. */
class SingleSlotService {
  readonly coordinator: ServiceCoordinator
  readonly granted: string[] = []

  constructor(servers = [server('only')]) {
    this.coordinator = new ServiceCoordinator('service', 'here', () => 0.5, 0)
    const local = servers.filter(({ region }) => region === 'here')
    this.coordinator.updateServers(local, (id) => servers.find((other) => other.id === id), 0)
    this.coordinator.setTargetLatency('route', TARGET_MS)
  }

  request(instance: string, askId: number, nowMs: number): void {
    const key = `${instance}/${askId}`
    this.coordinator.requestSlot(
      {
        key,
        request: details(askId),
        zone: 'zone',
        arrivedAtMs: nowMs,
        targetAtMs: nowMs + TARGET_MS,
        deadlineAtMs: nowMs + 5000,
        onGranted: () => {
          this.granted.push(key)
        },
        onRefused: () => undefined,
      },
      nowMs,
    )
  }
}

function held(askId: number, forMs: number): HeldSlotReport {
  return { askId, serverId: 'only', route: 'route', forMs }
}

describe('slots of an instance that can not be reached', () => {
  let service: SingleSlotService

  beforeEach(() => {
    service = new SingleSlotService()
    service.request('silent', 1, 0)
    expect(service.granted).to.deep.equal(['silent/1'])
  })

  describe('while it is silent', () => {
    it('are not granted again before its request has usually ended', () => {
      service.coordinator.suspectInstance('silent', LinkLoss.Silent, 100)
      service.request('other', 1, 110)
      service.coordinator.tick(EXPECTED_MS * 1.9)
      expect(service.granted).to.deep.equal(['silent/1'])
      service.coordinator.tick(EXPECTED_MS * 2.1)
      expect(service.granted).to.deep.equal(['silent/1', 'other/1'])
    })

    it('are granted again within a second if its connection was closed', () => {
      const longRunning = new SingleSlotService()
      longRunning.coordinator.setTargetLatency('route', TARGET_MS * 10)
      longRunning.request('closed', 1, 0)
      longRunning.coordinator.setTargetLatency('route', TARGET_MS)
      longRunning.coordinator.suspectInstance('closed', LinkLoss.Closed, 100)
      longRunning.request('other', 1, 110)
      longRunning.coordinator.tick(1000)
      expect(longRunning.granted).to.deep.equal(['closed/1'])
      longRunning.coordinator.tick(1200)
      expect(longRunning.granted).to.deep.equal(['closed/1', 'other/1'])
    })

    it('drops its queued requests, which it sends to another coordinator', () => {
      service.request('silent', 2, 10)
      service.coordinator.suspectInstance('silent', LinkLoss.Silent, 100)
      expect(service.coordinator.stats(100).waiting).to.equal(0)
    })
  })

  describe('once it is back', () => {
    beforeEach(() => {
      service.coordinator.suspectInstance('silent', LinkLoss.Silent, 100)
      service.request('other', 1, 110)
    })

    it('stay in use until it releases them, if it still holds them', () => {
      service.coordinator.confirmInstance('silent', [held(1, 150)], 150)
      service.coordinator.tick(EXPECTED_MS * 3)
      expect(service.granted).to.deep.equal(['silent/1'])
      service.coordinator.releaseSlot('silent/1', SlotOutcome.Completed, 1500, null, 1500)
      expect(service.granted).to.deep.equal(['silent/1', 'other/1'])
    })

    it('are free at once if it released them meanwhile', () => {
      service.coordinator.confirmInstance('silent', [], 150)
      expect(service.granted).to.deep.equal(['silent/1', 'other/1'])
    })

    it('are free at once if it is another process', () => {
      service.coordinator.removeInstance('silent', 150)
      expect(service.granted).to.deep.equal(['silent/1', 'other/1'])
    })

    // A request that was sent to another coordinator meanwhile keeps its number.
    it('move with the request if another coordinator granted it a slot of another server', () => {
      const two = new SingleSlotService([server('first'), server('second')])
      two.request('silent', 1, 0)
      two.request('busy', 1, 0)
      two.coordinator.releaseSlot('busy/1', SlotOutcome.Completed, 10, null, 10)
      two.coordinator.suspectInstance('silent', LinkLoss.Silent, 100)
      for (const serverId of ['first', 'second']) {
        const report = { askId: 1, serverId, route: 'route', forMs: 50 }
        two.coordinator.confirmInstance('silent', [report], 150)
        expect(two.coordinator.stats(150).running).to.equal(1)
      }
      two.coordinator.releaseSlot('silent/1', SlotOutcome.Completed, 100, null, 200)
      expect(two.coordinator.stats(200).running).to.equal(0)
    })

    it('count once if they are reported twice', () => {
      service.coordinator.confirmInstance('silent', [held(1, 150)], 150)
      service.coordinator.adopt('silent', [held(1, 160)], 160)
      expect(service.coordinator.stats(160).running).to.equal(1)
    })
  })

  describe('with a release that was lost', () => {
    it('are free some time after the longest usual duration', () => {
      const empty = new SingleSlotService()
      empty.coordinator.adopt('other', [held(7, 0)], 0)
      empty.request('waiting', 1, 0)
      empty.coordinator.tick(EXPECTED_MS * 9)
      expect(empty.granted).to.deep.equal([])
      empty.request('later', 1, EXPECTED_MS * 11)
      empty.coordinator.tick(EXPECTED_MS * 11)
      expect(empty.granted).to.deep.equal(['later/1'])
    })
  })
})

describe('borrowed slots', () => {
  let service: SingleSlotService

  beforeEach(() => {
    service = new SingleSlotService([server('remote', 'there')])
    service.coordinator.prepare(1, 1)
    service.coordinator.borrow('there', [{ serverId: 'remote', slots: 1 }], 0)
    service.coordinator.tick(0)
    service.request('instance', 1, 10)
    service.coordinator.releaseSlot('instance/1', SlotOutcome.Completed, 100, null, 110)
    expect(service.granted).to.deep.equal(['instance/1'])
  })

  it('are not used after they expired, also if no timer fired meanwhile', () => {
    service.request('instance', 2, 2001)
    expect(service.granted).to.deep.equal(['instance/1'])
  })

  it('are not used for a queued request after they expired', () => {
    service.request('instance', 2, 120)
    service.request('instance', 3, 130)
    service.coordinator.releaseSlot('instance/2', SlotOutcome.Completed, 2000, null, 2120)
    expect(service.granted).to.deep.equal(['instance/1', 'instance/2'])
  })

  it('are given up after a pause of unknown length', () => {
    service.coordinator.giveUpBorrowedSlots(120)
    service.request('instance', 2, 130)
    expect(service.granted).to.deep.equal(['instance/1'])
  })
})

class FakePeers {
  readonly sent: { readonly peer: string; readonly message: PeerMessage }[] = []
  readonly up = new Set(['a', 'b'])

  isUp(peer: string): boolean {
    return this.up.has(peer)
  }

  send(peer: string, message: PeerMessage): boolean {
    this.sent.push({ peer, message })
    return this.up.has(peer)
  }

  ofKind<Kind extends PeerMessageKind>(
    kind: Kind,
  ): { readonly peer: string; readonly message: Extract<PeerMessage, { kind: Kind }> }[] {
    return this.sent.flatMap(({ peer, message }) =>
      message.kind === kind
        ? [{ peer, message: message as Extract<PeerMessage, { kind: Kind }> }]
        : [],
    )
  }
}

const NO_LOCAL: LocalCoordinators = {
  requestSlot: () => undefined,
  cancel: () => undefined,
  releaseSlot: () => undefined,
  adopt: () => undefined,
}

describe('SlotClient', () => {
  let peers: FakePeers
  let table: InstanceTable
  let client: SlotClient
  let grants: SlotGrant[]
  let nowMs: number

  beforeEach(() => {
    peers = new FakePeers()
    nowMs = 0
    grants = []
    // The capacities make `a` the coordinator, then `b`.
    table = new InstanceTable(testInstance('self', { capacity: 1e-9 }))
    table.register(testInstance('a', { capacity: 1e9 }), 0)
    table.register(testInstance('b', { capacity: 1 }), 0)
    for (const name of ['a', 'b']) table.setLinkState(name, LinkState.Up, 0)
    client = new SlotClient(table, peers, NO_LOCAL, () => nowMs)
  })

  function acquire(): void {
    const { service, route, object, priority, isReturn, excludedServers, regions } = details(0)
    client.acquire(
      {
        service,
        route,
        object,
        priority,
        isReturn,
        excludedServers,
        regions,
        targetAtMs: 1000,
        deadlineAtMs: 5000,
      },
      {
        onGranted: (grant) => {
          grants.push(grant)
        },
        onRefused: () => undefined,
      },
    )
  }

  function grant(peer: string, askId: number): void {
    client.handleGrant(peer, { kind: PeerMessageKind.Grant, askId, serverId: 'only' })
  }

  describe('with a coordinator that was silent and is back', () => {
    it('reports to it the slots that it granted before', () => {
      acquire()
      grant('a', 1)
      peers.up.delete('a')
      table.setLinkState('a', LinkState.Down, 0)
      client.handlePeerLoss('a')
      nowMs = 1000
      acquire()
      expect(peers.ofKind(PeerMessageKind.HeldSlots).map(({ peer }) => peer)).to.deep.equal(['b'])
      peers.up.add('a')
      table.setLinkState('a', LinkState.Up, 1000)
      acquire()
      const reports = peers.ofKind(PeerMessageKind.HeldSlots).filter(({ peer }) => peer === 'a')
      expect(reports.flatMap(({ message }) => message.uses.map(({ askId }) => askId))).to.include(1)
    })

    it('reports its slots as soon as the link is up again, although no other took over', () => {
      acquire()
      grant('a', 1)
      client.handlePeerUp('a')
      const [report] = peers.ofKind(PeerMessageKind.HeldSlots)
      expect(report?.peer).to.equal('a')
      expect(report?.message.isComplete).to.equal(true)
      expect(report?.message.uses.map(({ askId }) => askId)).to.deep.equal([1])
    })

    it('reports that it holds none, so that its former slots become free', () => {
      acquire()
      grant('a', 1)
      peers.up.delete('a')
      grants[0]?.release(SlotOutcome.Completed, 10, null)
      peers.up.add('a')
      client.handlePeerUp('a')
      expect(peers.ofKind(PeerMessageKind.HeldSlots)[0]?.message.uses).to.deep.equal([])
    })
  })

  describe('after a pause', () => {
    it('uses no grant that was on its way, and asks again', () => {
      acquire()
      client.renewPending()
      grant('a', 1)
      expect(grants).to.deep.equal([])
      const [cancelled] = peers.ofKind(PeerMessageKind.CancelSlotRequest)
      expect(cancelled?.message.askId).to.equal(1)
      grant('a', 2)
      expect(grants).to.have.length(1)
    })

    it('withdraws a renewed request by the function that acquire returned', () => {
      const { service, route, object, priority, isReturn, excludedServers, regions } = details(0)
      const request = { service, route, object, priority, isReturn, excludedServers, regions }
      const withdraw = client.acquire(
        { ...request, targetAtMs: 1000, deadlineAtMs: 5000 },
        {
          onGranted: (granted) => {
            grants.push(granted)
          },
          onRefused: () => undefined,
        },
      )
      client.renewPending()
      withdraw()
      grant('a', 2)
      expect(grants).to.deep.equal([])
      const cancelled = peers.ofKind(PeerMessageKind.CancelSlotRequest)
      expect(cancelled.map(({ message }) => message.askId)).to.deep.equal([1, 2])
    })
  })
})

describe('PauseDetector', () => {
  it('reports no pause while it is observed regularly, also if the wall clock goes back', () => {
    const detector = new PauseDetector(0, 1_000_000)
    expect(detector.observe(200, 1_000_200)).to.equal(0)
    expect(detector.observe(500, 995_000)).to.equal(0)
  })

  it('reports a gap between observations', () => {
    const detector = new PauseDetector(0, 1_000_000)
    expect(detector.observe(3000, 1_003_000)).to.equal(3000)
    expect(detector.observe(3200, 1_003_200)).to.equal(0)
  })

  it('reports a suspension that the monotonic clock did not count', () => {
    const detector = new PauseDetector(0, 1_000_000)
    expect(detector.observe(100, 1_004_000)).to.equal(4000)
  })
})
