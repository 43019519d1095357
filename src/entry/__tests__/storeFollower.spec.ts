import { expect } from 'chai'
import { sleep } from '../../common/clock.js'
import type { Result } from '../../common/results.js'
import { Err, Ok } from '../../common/results.js'
import { StoreError, StoreErrorKind } from '../../platform/keyValueStore.js'
import { noopLog } from '../entryLog.js'
import type { MetadataStore, StoreChanges, StoreLease, StoreListing } from '../metadataStore.js'
import { HISTORY_COMPACTED } from '../metadataStore.js'
import type { StoreUpdateMessage } from '../peerMessages.js'
import { StoreContact } from '../storeContact.js'
import { StoreFollower } from '../storeFollower.js'
import { StoreMirror } from '../storeMirror.js'

/** Store with one item and without the history up to `compactedRevision`. */
class FakeStore implements MetadataStore {
  revision = 7
  compactedRevision = 5
  value = 'new'
  isUnreachable = false
  listCalls = 0
  watchCalls = 0

  list(): Promise<Result<StoreListing, StoreError>> {
    this.listCalls += 1
    if (this.isUnreachable) return Promise.resolve(Err(unreachableError()))
    const items = [{ key: 'items/one', value: Buffer.from(this.value), revision: this.revision }]
    return Promise.resolve(Ok({ items, revision: this.revision }))
  }

  async watch(
    _prefix: string,
    revision: number,
  ): Promise<Result<StoreChanges | typeof HISTORY_COMPACTED, StoreError>> {
    this.watchCalls += 1
    if (this.isUnreachable) return Err(unreachableError())
    if (revision < this.compactedRevision) return Ok(HISTORY_COMPACTED)
    await sleep(20)
    return Ok({ events: [], revision: this.revision })
  }

  grantLease(): Promise<Result<StoreLease, StoreError>> {
    return Promise.resolve(Ok({ id: 1, era: 0 }))
  }

  renewLease(): Promise<Result<boolean, StoreError>> {
    return Promise.resolve(Ok(true))
  }

  put(): Promise<Result<boolean, StoreError>> {
    return Promise.resolve(Ok(true))
  }

  endLease(): Promise<Result<void, StoreError>> {
    return Promise.resolve(Ok(undefined))
  }
}

function unreachableError(): StoreError {
  return new StoreError(StoreErrorKind.Failed, 'the store is unreachable', 'retry later')
}

function follow(store: FakeStore, initialRevision: number, hasSeeds = false) {
  const seen: string[] = []
  const published: StoreUpdateMessage[] = []
  const mirror = new StoreMirror((_key, value) => {
    seen.push(Buffer.from(value ?? '', 'base64').toString())
  })
  if (initialRevision > 0) mirror.applyChanges([], initialRevision, 0)
  const follower = new StoreFollower({
    store,
    prefixes: ['items/'],
    mirror,
    contact: new StoreContact(2000, performance.now()),
    clock: () => performance.now(),
    log: noopLog,
    readerPosition: () => 0,
    hasSeeds,
    publish: (update) => {
      published.push(update)
    },
  })
  return { follower, mirror, seen, published }
}

describe('StoreFollower', () => {
  it('lists the store once when the needed history is gone, then continues to watch', async () => {
    const store = new FakeStore()
    const { follower, seen, published } = follow(store, 3)
    const running = follower.run()
    await sleep(100)
    follower.stop()
    await running
    expect(seen).to.deep.equal(['new'])
    expect(published).to.have.length(1)
    expect(store.listCalls).to.equal(1)
    expect(store.watchCalls).to.be.below(12)
  })

  // Guards against removed items that stay in use at peers: an instance that starts beside them
  // lists the store before it has their copies, and does not know what was removed.
  it('publishes a first listing as complete, and a later one as changes', async () => {
    const published: StoreUpdateMessage[] = []
    for (const initialRevision of [0, 3]) {
      const store = new FakeStore()
      const followed = follow(store, initialRevision)
      if (initialRevision > 0) {
        followed.mirror.applyChanges([{ key: 'items/old', revision: 2, value: 'b2xk' }], 3, 0)
      }
      const running = followed.follower.run()
      await sleep(60)
      followed.follower.stop()
      await running
      published.push(...followed.published)
    }
    expect(published.map(({ isComplete }) => isComplete)).to.deep.equal([true, false])
    expect(published[1]?.items.map(({ key, value }) => [key, value])).to.deep.include([
      'items/old',
      null,
    ])
  })

  it('calls an unreachable store rarely and keeps the mirrored items', async () => {
    const store = new FakeStore()
    store.isUnreachable = true
    const { follower, mirror } = follow(store, 6)
    const running = follower.run()
    await sleep(150)
    follower.stop()
    await running
    expect(store.watchCalls + store.listCalls).to.be.below(3)
    expect(mirror.revision).to.equal(6)
  })

  it('does not list the store after its start while it waits for a seed', async () => {
    const store = new FakeStore()
    const { follower } = follow(store, 0, true)
    const running = follower.run()
    await sleep(200)
    expect(store.listCalls).to.equal(0)
    await sleep(400)
    follower.stop()
    await running
    expect(store.listCalls).to.equal(1)
  })
})
