/** Messages by which the store reader of a region passes changes on to all other instances. */
import { expect } from 'chai'
import { InstanceTable, LinkState, storeReaderOrder } from '../instanceTable.js'
import type { StoreUpdateItem, StoreUpdateMessage } from '../peerMessages.js'
import { PeerMessageKind } from '../peerMessages.js'
import { StoreMirror } from '../storeMirror.js'
import { StoreUpdateBatch } from '../storeUpdateBatch.js'
import { packStoreUpdate, unpackItems } from '../storeUpdatePacking.js'
import { testInstance } from './testInstance.js'

const SERVERS = 505
const PEERS = 64

function serverItem(index: number): StoreUpdateItem {
  const value = {
    address: `10.7.64.${index}:8225`,
    info: { service: `service-${index % 4}`, version: 'v1', zone: 'sic-a', slots: 6 },
    status: { state: 'ready', sequence: index, cold: '0ms' },
    born: 1_768_339_000_000 + index * 37,
  }
  const text = Buffer.from(JSON.stringify(value)).toString('base64')
  return { key: `servers/i-${(index * 2654435761).toString(16)}`, revision: index, value: text }
}

function update(items: readonly StoreUpdateItem[], since: number): StoreUpdateMessage {
  const revision = items.at(-1)?.revision ?? since
  return { kind: PeerMessageKind.StoreUpdate, items, revision, since, isComplete: false }
}

describe('storeReaderOrder', () => {
  // A reader with a small link is silent for its peers while it sends all changes to all of them.
  it('begins with the instances with the most capacity, the same on all instances', () => {
    const records = ['a', 'b', 'c', 'd', 'e', 'f'].map((name, index) =>
      testInstance(name, { capacity: index % 3 === 0 ? 1.35 : 0.2 }),
    )
    const order = storeReaderOrder(records).map(({ name }) => name)
    expect(order.slice(0, 2)).to.have.members(['a', 'd'])
    expect(storeReaderOrder([...records].reverse()).map(({ name }) => name)).to.deep.equal(order)
  })
})

describe('StoreUpdateBatch', () => {
  it('has a single change due at once, and those that follow it together after the interval', () => {
    const batch = new StoreUpdateBatch()
    batch.add(update([serverItem(1)], 0))
    expect(batch.dueInMs(1000)).to.equal(0)
    expect(batch.take(1000)).to.have.length(1)
    batch.add(update([serverItem(2)], 1))
    batch.add(update([serverItem(3)], 2))
    expect(batch.dueInMs(1010)).to.equal(90)
    const [joined] = batch.take(1100)
    expect(joined?.items.map(({ revision }) => revision)).to.deep.equal([2, 3])
    expect([joined?.since, joined?.revision]).to.deep.equal([1, 3])
    expect(batch.dueInMs(1100)).to.equal(undefined)
  })

  it('keeps the latest change of an item', () => {
    const batch = new StoreUpdateBatch()
    batch.add(update([{ key: 'one', revision: 4, value: 'YQ==' }], 3))
    batch.add(update([{ key: 'one', revision: 5, value: null }], 4))
    expect(batch.take(0)[0]?.items).to.deep.equal([{ key: 'one', revision: 5, value: null }])
  })

  it('leaves a mirror in the same state as the single updates', () => {
    const single = new StoreMirror(() => undefined)
    const joined = new StoreMirror(() => undefined)
    const batch = new StoreUpdateBatch()
    for (let index = 1; index <= 50; index += 1) {
      const { items, revision, since } = update([serverItem(index)], index - 1)
      single.applyChanges(items, revision, 0, since)
      batch.add({ items, revision, isComplete: false, ...(since === undefined ? {} : { since }) })
    }
    for (const { items, revision, since } of batch.take(0)) {
      joined.applyChanges(items, revision, 0, since)
    }
    expect(joined.revision).to.equal(single.revision)
    expect(joined.items()).to.deep.equal(single.items())
  })

  // Guards against a write after a restore that peers take for a part of the copy, and so hold back.
  it('keeps changes apart from the complete listing that they follow', () => {
    const batch = new StoreUpdateBatch()
    const listing = { items: [serverItem(1), serverItem(2)], revision: 2, isComplete: true }
    batch.add(listing)
    batch.add({ items: [serverItem(3)], revision: 3, since: 2, isComplete: false })
    batch.add({ items: [serverItem(4)], revision: 4, since: 3, isComplete: false })
    const [first, second, ...others] = batch.take(0)
    expect(first).to.deep.equal(listing)
    expect(second?.isComplete).to.equal(false)
    expect([second?.since, second?.revision]).to.deep.equal([2, 4])
    expect(others).to.deep.equal([])
  })
})

describe('packStoreUpdate', () => {
  it('keeps all items, also removals and values that are not text', () => {
    const items = [
      ...Array.from({ length: 40 }, (_, index) => serverItem(index)),
      { key: 'removed', revision: 41, value: null },
      { key: 'bytes', revision: 42, value: Buffer.from([0, 255, 10, 128]).toString('base64') },
    ]
    const packed = packStoreUpdate(update(items, 0))
    expect(packed.packed).to.be.a('string')
    expect(packed.items).to.deep.equal([])
    expect(unpackItems(packed).unwrap()).to.deep.equal(items)
  })

  it('leaves a small update as it is', () => {
    const small = update([serverItem(1)], 0)
    expect(packStoreUpdate(small)).to.equal(small)
    expect(unpackItems(small).unwrap()).to.deep.equal(small.items)
  })

  it('reports bytes that can not be unpacked', () => {
    const broken = { ...update([], 0), packed: 'no deflated text' }
    expect(unpackItems(broken).err).to.equal(true)
  })

  // Sent one by one to each peer, the registrations of all servers filled the link for seconds.
  it('keeps the registrations of 505 servers within a link of 14 Mbit/s', () => {
    const batch = new StoreUpdateBatch()
    let sentBytes = 0
    const send = (nowMs: number): void => {
      for (const each of batch.take(nowMs)) {
        const message = packStoreUpdate({ kind: PeerMessageKind.StoreUpdate, ...each })
        sentBytes += PEERS * JSON.stringify(message).length
      }
    }
    for (let index = 1; index <= SERVERS; index += 1) {
      const nowMs = index * 6
      batch.add({
        items: [serverItem(index)],
        revision: index,
        since: index - 1,
        isComplete: false,
      })
      if (batch.dueInMs(nowMs) === 0) send(nowMs)
    }
    send(Number.MAX_SAFE_INTEGER)
    const bytesPerSecond = (14 * 1_000_000) / 8
    const seconds = (SERVERS * 6) / 1000
    expect(sentBytes / seconds).to.be.below(bytesPerSecond)
  })
})

describe('InstanceTable.rosterInstances', () => {
  // Rosters that list and omit an instance in turn went to all instances of all regions.
  it('keeps an instance whose link breaks for a moment, and omits one that stays away', () => {
    const table = new InstanceTable(testInstance('self'))
    table.register(testInstance('other'), 0)
    table.setLinkState('other', LinkState.Up, 100)
    table.setLinkState('other', LinkState.Down, 1000)
    expect(table.rosterInstances(2000).map(({ name }) => name)).to.deep.equal(['self', 'other'])
    expect(table.rosterInstances(2600).map(({ name }) => name)).to.deep.equal(['self'])
  })

  it('omits a leaving instance at once', () => {
    const table = new InstanceTable(testInstance('self'))
    table.register(testInstance('other'), 0)
    table.setLinkState('other', LinkState.Up, 100)
    table.markLeaving('other', 'other-1')
    expect(table.rosterInstances(200).map(({ name }) => name)).to.deep.equal(['self'])
  })
})
