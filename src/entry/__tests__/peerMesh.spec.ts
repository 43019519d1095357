import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { sleep, monotonicClock } from '../../common/clock.js'
import { noopLog } from '../entryLog.js'
import { InstanceTable } from '../instanceTable.js'
import { PeerMesh } from '../peerMesh.js'
import type { PeerMessage } from '../peerMessages.js'
import { PeerMessageKind } from '../peerMessages.js'
import { testInstance } from './testInstance.js'

async function freePort(): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return port
}

interface MeshNode {
  readonly mesh: PeerMesh
  readonly table: InstanceTable
  readonly received: PeerMessage['kind'][]
  readonly lost: string[]
  readonly address: string
}

async function startNode(name: string, storeAgeMs: () => number): Promise<MeshNode> {
  const port = await freePort()
  const address = `127.0.0.1:${port}`
  const table = new InstanceTable({
    name,
    incarnation: name,
    region: 'here',
    zone: 'here-a',
    callerAddress: address,
    peerAddress: address,
    capacity: 1,
  })
  const received: PeerMessage['kind'][] = []
  const lost: string[] = []
  const mesh = new PeerMesh({
    table,
    clock: monotonicClock,
    log: noopLog,
    revision: () => 1,
    latestChange: () => 1,
    storeAgeMs,
    isStoreReader: () => storeAgeMs() >= 0,
    listener: {
      helloReceived: () => undefined,
      messageReceived: (_peer, message) => {
        received.push(message.kind)
      },
      linkLost: (peer) => {
        lost.push(peer)
      },
    },
  })
  await mesh.start('127.0.0.1', port)
  return { mesh, table, received, lost, address }
}

describe('PeerMesh', function () {
  this.timeout(15_000)
  let nodes: MeshNode[] = []

  afterEach(() => {
    for (const { mesh } of nodes) mesh.stop()
    nodes = []
  })

  async function startPair(firstAgeMs: () => number): Promise<[MeshNode, MeshNode]> {
    const first = await startNode('first', firstAgeMs)
    const second = await startNode('second', () => -1)
    nodes = [first, second]
    second.mesh.connectToSeed(first.address)
    await sleep(400)
    return [first, second]
  }

  // Guards against heartbeats that use noticeable processor time: in a region of 20
  // instances each heartbeat is sent 19 times, and an instance may have a quarter of a core.
  it('sends few heartbeats on idle links', async () => {
    const [first, second] = await startPair(() => -1)
    await sleep(3500)
    first.received.length = 0
    await sleep(2700)
    expect(first.received.length).to.be.within(2, 4)
    expect(second.lost).to.deep.equal([])
  })

  it('sends heartbeats at the short interval from the store reader', async () => {
    const [, second] = await startPair(() => 10)
    second.received.length = 0
    await sleep(1500)
    expect(second.received.length).to.be.within(4, 6)
  })

  it('sends at most one heartbeat on a link that carries messages', async () => {
    const [first, second] = await startPair(() => -1)
    second.received.length = 0
    const demand = { service: 's', region: 'here', neededSlots: 1, slots: 1 }
    for (let count = 0; count < 20; count += 1) {
      first.mesh.send('second', { kind: PeerMessageKind.Demand, ...demand })
      await sleep(60)
    }
    const heartbeats = second.received.filter((kind) => kind === PeerMessageKind.Heartbeat)
    expect(heartbeats.length).to.be.at.most(1)
  })

  // Guards against directories that name instances which were removed long ago: a region that
  // starts again learns of its instances from the greetings of those that still remember them.
  it('does not name an instance that has left and is known from greetings alone', async () => {
    const first = await startNode('first', () => -1)
    const second = await startNode('second', () => -1)
    nodes = [first, second]
    const nowMs = monotonicClock()
    for (const name of ['removed', 'silent']) first.table.register(testInstance(name), nowMs)
    first.table.markExpired('removed', nowMs)
    second.mesh.connectToSeed(first.address)
    await sleep(400)
    expect(second.table.others().map(({ name }) => name)).to.include.members(['removed', 'silent'])
    for (const waitMs of [0, 1000, 1600]) {
      await sleep(waitMs)
      const live = second.table.liveInstances('here', monotonicClock())
      expect(live.map(({ name }) => name)).to.have.members(['first', 'second'])
    }
    first.mesh.stop()
    const third = await startNode('third', () => -1)
    nodes.push(third)
    third.mesh.connectToSeed(second.address)
    await sleep(400)
    expect(third.table.others().map(({ name }) => name)).to.have.members(['first', 'second'])
  })
})
