import { expect } from 'chai'
import { BackendServerRegistry } from '../backendServerRegistry.js'
import { Coordination } from '../coordination.js'
import { InstanceTable, LinkState } from '../instanceTable.js'
import type { PeerMessage } from '../peerMessages.js'
import { PeerMessageKind } from '../peerMessages.js'
import { testInstance } from './testInstance.js'

const TARGET_MS = 400

/** The coordination of an instance that is linked with another one of its region. */
class LinkedCoordination {
  readonly coordination: Coordination
  readonly sent: PeerMessage[] = []
  #lastId = 0

  constructor() {
    const table = new InstanceTable(testInstance('self'))
    table.register(testInstance('other'), 0)
    table.setLinkState('other', LinkState.Up, 0)
    const registry = new BackendServerRegistry()
    const server = {
      id: 'server',
      service: 'service',
      address: '127.0.0.1:1',
      zone: 'zone',
      slots: 40,
      isDraining: false,
      startedAtMs: 0,
      coldForMs: 0,
    }
    registry.apply({ id: 'server', revision: 1, server }, 0)
    this.coordination = new Coordination({
      table,
      registry,
      peers: {
        isUp: () => true,
        send: (_peer, message) => {
          this.sent.push(message)
          return true
        },
      },
      random: () => 0.5,
      regionOfZone: () => 'here',
      serviceSettings: () => undefined,
      serviceNames: () => [],
      targetLatencyMs: () => TARGET_MS,
    })
  }

  /** Requests a slot every 50 ms and ticks, up to the time. */
  runUntil(startMs: number, endMs: number): void {
    for (let nowMs = startMs; nowMs < endMs; nowMs += 50) {
      this.#lastId += 1
      this.coordination.requestSlot(
        {
          key: `self/${this.#lastId}`,
          request: {
            askId: this.#lastId,
            service: 'service',
            route: 'route',
            object: '',
            priority: 1,
            targetInMs: TARGET_MS,
            deadlineInMs: 2000,
            isReturn: false,
            excludedServers: [],
            regions: [],
          },
          zone: 'zone',
          arrivedAtMs: nowMs,
          targetAtMs: nowMs + TARGET_MS,
          deadlineAtMs: nowMs + 2000,
          onGranted: () => undefined,
          onRefused: () => undefined,
        },
        nowMs,
      )
      this.coordination.tick(nowMs)
    }
  }

  get handovers(): number {
    return this.sent.filter(({ kind }) => kind === PeerMessageKind.RemoteShare).length
  }
}

describe('Coordination', () => {
  describe('handing over the remote share', () => {
    // Incident a81e: the successor accepted a share of 0, and grew it by 0.05/s for 14 s.
    it('waits until the share has followed the demand after a cold start', () => {
      const linked = new LinkedCoordination()
      linked.runUntil(0, 2000)
      linked.coordination.handOver(2000)
      expect(linked.handovers).to.equal(0)
    })

    it('repeats it at each exchange from then on', () => {
      const linked = new LinkedCoordination()
      linked.runUntil(0, 4000)
      expect(linked.handovers).to.be.above(1)
    })
  })
})
