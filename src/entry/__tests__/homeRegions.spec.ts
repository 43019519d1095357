import { expect } from 'chai'
import { InstanceTable, LinkState } from '../instanceTable.js'
import type { HeldSlotsMessage, PeerMessage } from '../peerMessages.js'
import { PeerMessageKind, SlotOutcome } from '../peerMessages.js'
import type { SlotGrant } from '../slotClient.js'
import { SlotClient } from '../slotClient.js'
import { testInstance } from './testInstance.js'

/** An instance in `north` whose tenant may only be served in `south`. */
class HomeFixture {
  nowMs = 0
  isLinked = true
  readonly sent: { readonly peer: string; readonly message: PeerMessage }[] = []
  readonly table = new InstanceTable(testInstance('self', { region: 'north', zone: 'north-a' }))
  readonly slots: SlotClient
  granted: SlotGrant | undefined
  refused: string | undefined

  constructor() {
    for (const region of ['north', 'south']) {
      const record = testInstance(`peer-${region}`, { region, zone: `${region}-a`, capacity: 1e9 })
      this.table.register(record, 0)
      this.table.setLinkState(record.name, LinkState.Up, 0)
    }
    const peers = {
      isUp: () => this.isLinked,
      send: (peer: string, message: PeerMessage) => {
        if (this.isLinked) this.sent.push({ peer, message })
        return this.isLinked
      },
    }
    const local = {
      requestSlot: () => undefined,
      cancel: () => undefined,
      releaseSlot: () => undefined,
      adopt: () => undefined,
    }
    this.slots = new SlotClient(this.table, peers, local, () => this.nowMs)
  }

  request(regions: readonly string[]): void {
    const times = { targetAtMs: this.nowMs + 500, deadlineAtMs: this.nowMs + 3000 }
    this.slots.acquire(
      {
        service: 'service',
        route: 'route',
        object: '',
        priority: 1,
        isReturn: false,
        excludedServers: [],
        regions,
        ...times,
      },
      {
        onGranted: (grant) => {
          this.granted = grant
        },
        onRefused: (reason) => {
          this.refused = reason
        },
      },
    )
  }

  sentTo(peer: string): PeerMessageKind[] {
    return this.sent
      .filter((each) => each.peer === peer)
      .map(({ message }) => message.kind) as never
  }
}

describe('slot requests of a tenant with homes elsewhere', () => {
  // Without it, such a tenant's callers were served only while their region borrowed slots anyway.
  it('go to the coordinator of a home region, and so does the release', () => {
    const fixture = new HomeFixture()
    fixture.request(['south'])
    expect(fixture.sentTo('peer-south')).to.deep.equal([PeerMessageKind.SlotRequest])
    const grant = { kind: PeerMessageKind.Grant, askId: 1, serverId: 'server' } as const
    fixture.slots.handleGrant('peer-south', grant)
    fixture.granted?.release(SlotOutcome.Completed, 10, null)
    expect(fixture.sentTo('peer-south')).to.include(PeerMessageKind.ReleaseSlot)
    expect(fixture.sentTo('peer-north')).to.deep.equal([])
  })

  // Guards against two round trips between regions for what the own region may serve.
  it('stay with the coordinator of the region if that is a home', () => {
    const fixture = new HomeFixture()
    fixture.request(['south', 'north'])
    expect(fixture.sentTo('peer-north')).to.deep.equal([PeerMessageKind.SlotRequest])
  })

  // Slots of one region must not be reported as held to the coordinator of another one.
  it('are reported to the coordinators of their own region only', () => {
    const fixture = new HomeFixture()
    fixture.request(['south'])
    const grant = { kind: PeerMessageKind.Grant, askId: 1, serverId: 'server' } as const
    fixture.slots.handleGrant('peer-south', grant)
    fixture.request([])
    fixture.slots.handlePeerUp('peer-north')
    fixture.slots.handlePeerUp('peer-south')
    const held = fixture.sent
      .filter((each): each is { peer: string; message: HeldSlotsMessage } => 'uses' in each.message)
      .map(({ peer, message }) => ({ peer, count: message.uses.length }))
    expect(held).to.deep.equal([
      { peer: 'peer-north', count: 0 },
      { peer: 'peer-south', count: 1 },
    ])
  })

  describe('without a link to the home region', () => {
    // Guards against the first requests to a region that are lost because no link is open yet.
    it('are sent once the link opens', () => {
      const fixture = new HomeFixture()
      fixture.isLinked = false
      fixture.request(['south'])
      expect(fixture.sent).to.have.length(0)
      fixture.isLinked = true
      fixture.slots.handlePeerUp('peer-south')
      expect(fixture.sentTo('peer-south')).to.include(PeerMessageKind.SlotRequest)
    })

    // Guards against callers that wait in vain for a region that is cut off.
    it('are refused after some round trips rather than at their deadline', () => {
      const fixture = new HomeFixture()
      fixture.isLinked = false
      fixture.request(['south'])
      fixture.slots.refuseUnsent(300)
      expect(fixture.refused).to.equal(undefined)
      fixture.slots.refuseUnsent(700)
      expect(fixture.refused).to.equal('no link to a home region')
    })
  })
})
