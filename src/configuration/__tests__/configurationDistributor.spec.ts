import { expect } from 'chai'
import type { PendingCall } from '../../../playground/inProcessStore.js'
import { CallOutcome, InProcessStore } from '../../../playground/inProcessStore.js'
import { StoreState } from '../../../playground/storeState.js'
import { DistributionMethod } from '../distributionMessages.js'
import { ConfigurationRepository } from '../configurationRepository.js'
import { RecordKind } from '../document.js'
import { isWatcher } from '../peerSelection.js'
import { REGIONS, blockChange, changeOf } from './sampleChanges.js'
import { TestCluster, eventually } from './testCluster.js'

const FAST_OPTIONS = { exchangeIntervalMs: 50, headReadIntervalMs: 200, staleAfterMs: 300 }

async function commitBlocks(
  repository: ConfigurationRepository,
  from: number,
  to: number,
): Promise<void> {
  if (from === 0) (await repository.commit(changeOf('regions', ...REGIONS), 0)).unwrap()
  for (let base = Math.max(1, from); base < to; base++) {
    ;(await repository.commit(blockChange(base), base)).unwrap()
  }
}

describe('ConfigurationDistributor', () => {
  let cluster: TestCluster
  let isStoreDown: boolean
  let state: StoreState

  beforeEach(() => {
    isStoreDown = false
    state = new StoreState()
    const chooseOutcome = (): CallOutcome =>
      isStoreDown ? CallOutcome.Refuse : CallOutcome.Execute
    cluster = new TestCluster(new InProcessStore(state, chooseOutcome))
  })

  afterEach(() => cluster.stop())

  const addNodes = async (region: string, count: number): Promise<void> => {
    for (let index = 0; index < count; index++) cluster.add(region, FAST_OPTIONS)
    await Promise.all(cluster.nodes.map((node) => node.distributor.start()))
  }

  const writer = (): ConfigurationRepository =>
    new ConfigurationRepository(new InProcessStore(state))

  const allAt = (revision: number): boolean =>
    cluster.nodes.every((node) => node.replica.revision === revision)

  describe('distribution', () => {
    it('brings each revision to all nodes of two regions', async () => {
      for (let index = 0; index < 12; index++)
        cluster.add(index % 2 === 0 ? 'nyeri' : 'nakuru', FAST_OPTIONS)
      await Promise.all(cluster.nodes.map((node) => node.distributor.start()))
      await commitBlocks(writer(), 0, 10)
      await eventually('all nodes at revision 10', () => allAt(10))
    })

    it('brings revisions by reading the head directly when watches fail', async () => {
      const chooseOutcome = ({ method }: PendingCall): CallOutcome =>
        method === 'watch' ? CallOutcome.Refuse : CallOutcome.Execute
      const unwatched = new TestCluster(new InProcessStore(state, chooseOutcome))
      for (let index = 0; index < 4; index++) unwatched.add('nakuru', FAST_OPTIONS)
      await Promise.all(unwatched.nodes.map((node) => node.distributor.start()))
      await commitBlocks(writer(), 0, 3)
      await eventually('nodes without a watch at revision 3', () =>
        unwatched.nodes.every((node) => node.replica.revision === 3),
      )
      await unwatched.stop()
    })

    // Reading every missed change from the store would load it after each network failure.
    it('fetches missed changes from a peer, not the store, after a node was cut off', async () => {
      await addNodes('nyeri', 5)
      const reads: PendingCall[] = []
      let isStoreCut = false
      const ownStore = new InProcessStore(state, (call) => {
        reads.push(call)
        return isStoreCut ? CallOutcome.Refuse : CallOutcome.Execute
      })
      const isolated = cluster.add('nyeri', FAST_OPTIONS, ownStore)
      await isolated.distributor.start()
      await commitBlocks(writer(), 0, 3)
      await eventually('all at revision 3', () => allAt(3))
      isStoreCut = true
      cluster.network.isolatedAddresses.add(isolated.record.internalAddress)
      await commitBlocks(writer(), 3, 9)
      await eventually('the other nodes at revision 9', () =>
        cluster.nodes.every((node) => node === isolated || node.replica.revision === 9),
      )
      expect(isolated.replica.revision).to.equal(3)
      reads.length = 0
      cluster.network.isolatedAddresses.clear()
      await eventually('revision 9 after the cut', () => isolated.replica.revision === 9)
      expect(reads.filter(({ key }) => key.includes('/changes/'))).to.deep.equal([])
    })

    it('brings revisions to the remaining nodes when both watchers of their region are cut off', async () => {
      await addNodes('nyeri', 6)
      const watchers = cluster.nodes.filter((node) => isWatcher(cluster.viewOf(node.record)))
      expect(watchers.length).to.equal(2)
      for (const { record } of watchers)
        cluster.network.isolatedAddresses.add(record.internalAddress)
      cluster.notifyMembership()
      await commitBlocks(writer(), 0, 4)
      await eventually('the remaining nodes at revision 4', () =>
        cluster.nodes.every((node) => watchers.includes(node) || node.replica.revision === 4),
      )
    })

    it('keeps its revision when the store returns with an older state', async () => {
      await commitBlocks(writer(), 0, 5)
      await addNodes('nyeri', 3)
      expect(allAt(5)).to.equal(true)
      const old = new StoreState()
      const oldWriter = new ConfigurationRepository(new InProcessStore(old))
      await commitBlocks(oldWriter, 0, 2)
      const late = cluster.add('nyeri', FAST_OPTIONS, new InProcessStore(old))
      await late.distributor.start()
      expect(late.replica.revision).to.equal(5)
      await new Promise((resolve) => setTimeout(resolve, 300))
      expect(allAt(5)).to.equal(true)
    })

    // Announcements that carry the records would send them over the same link several times.
    it('announces a large change without its records and lets peers fetch it', async () => {
      await addNodes('nyeri', 5)
      await commitBlocks(writer(), 0, 1)
      await eventually('all at revision 1', () => allAt(1))
      const longest: Record<string, number> = {}
      cluster.network.onCall = (method, params, answer) => {
        const bytes = JSON.stringify([params, answer]).length
        longest[method] = Math.max(longest[method] ?? 0, bytes)
      }
      const blocks = Array.from({ length: 2000 }, (_, index) => {
        return {
          cidr: `10.1.${String(index >> 3)}.${String((index & 7) * 32)}/27`,
          site: 'nyeri-1',
          weight: 1,
        }
      })
      const long = changeOf('long', { kind: RecordKind.PutBlocks, blocks })
      ;(await writer().commit(long, 1)).unwrap()
      await eventually('all at revision 2', () => allAt(2))
      // Exchanges may bring the change to all nodes before the first announcement goes out.
      await eventually('an announcement', () => longest[DistributionMethod.Announce] !== undefined)
      expect(longest[DistributionMethod.Announce]).to.be.lessThan(1000)
    })

    it('limits the rate of head reads during a store outage', async () => {
      await commitBlocks(writer(), 0, 1)
      await addNodes('nyeri', 4)
      isStoreDown = true
      await new Promise((resolve) => setTimeout(resolve, 300 + FAST_OPTIONS.staleAfterMs))
      const before = cluster.store.callsByMethod.get('get') ?? 0
      await new Promise((resolve) => setTimeout(resolve, 1000))
      const reads = (cluster.store.callsByMethod.get('get') ?? 0) - before
      expect(reads).to.be.greaterThan(0)
      // 4 nodes read at most once per 200 ms each, and once more at the edges of the interval.
      expect(reads).to.be.at.most(4 * 6)
    })
  })

  describe('start', () => {
    it('loads the highest revision of its peers when the store is down', async () => {
      await addNodes('nyeri', 3)
      const [first] = cluster.nodes
      if (first === undefined) throw new Error('the cluster has no nodes')
      await commitBlocks(first.repository, 0, 5)
      await eventually('all at revision 5', () => allAt(5))
      isStoreDown = true
      const late = cluster.add('nyeri', FAST_OPTIONS)
      await late.distributor.start()
      expect(late.replica.revision).to.equal(5)
      expect(late.replica.current()?.blocks.size).to.equal(4)
    })

    it('has no configuration without store and peers, and loads it once the store is back', async () => {
      await commitBlocks(writer(), 0, 2)
      isStoreDown = true
      const node = cluster.add('nyeri', FAST_OPTIONS)
      await node.distributor.start()
      expect(node.replica.current()).to.equal(undefined)
      isStoreDown = false
      await eventually('revision 2 after the outage', () => node.replica.revision === 2)
    })

    it('starts at revision 0 with an empty store', async () => {
      const node = cluster.add('nyeri', FAST_OPTIONS)
      await node.distributor.start()
      expect(node.replica.revision).to.equal(0)
    })

    it('loads a snapshot and the changes after it from the store', async () => {
      const repository = writer()
      await commitBlocks(repository, 0, 6)
      const source = cluster.add('nakuru', FAST_OPTIONS)
      await source.distributor.start()
      const held = source.replica.current()
      if (held === undefined) throw new Error('the node has no configuration')
      expect((await repository.writeSnapshot(held)).unwrap()).to.equal(true)
      await commitBlocks(repository, 6, 8)
      await source.distributor.stop()
      cluster.network.isolatedAddresses.add(source.record.internalAddress)
      const node = cluster.add('nyeri', FAST_OPTIONS)
      await node.distributor.start()
      expect(node.replica.revision).to.equal(8)
      expect(node.replica.current()?.blocks.size).to.equal(7)
      expect(node.replica.changesSince(5)).to.equal(undefined)
    })

    it('fetches the snapshot from another peer when the first one becomes unreachable during the fetch', async () => {
      await commitBlocks(writer(), 0, 4)
      await addNodes('nyeri', 3)
      isStoreDown = true
      let unreachableAddress: string | undefined
      cluster.network.onCall = (method, _params, _answer, address) => {
        if (
          method !== DistributionMethod.SnapshotManifest.valueOf() ||
          unreachableAddress !== undefined
        )
          return
        unreachableAddress = address
        cluster.network.isolatedAddresses.add(address)
      }
      const late = cluster.add('nyeri', FAST_OPTIONS)
      await late.distributor.start()
      await eventually('revision 4 from another peer', () => late.replica.revision === 4)
      expect(unreachableAddress).not.to.equal(undefined)
    })
  })

  describe('methods', () => {
    it('returns the revision of a member with its incarnation', async () => {
      await addNodes('nyeri', 1)
      const rpcClient = cluster.network.rpcClient('control:1')
      const method = DistributionMethod.AcknowledgedRevision
      const answer = await rpcClient.call('nyeri-0:1', method, {}, { timeoutMs: 100 })
      expect(answer.unwrap()).to.deep.equal({
        memberId: 'nyeri-0',
        incarnation: '0000000000000001',
        revision: 0,
      })
    })
  })

  describe('isWatcher', () => {
    // Each watcher keeps a waiting call open at the store.
    it('chooses exactly two members per region', () => {
      for (let index = 0; index < 40; index++) cluster.add(index % 2 === 0 ? 'nyeri' : 'nakuru')
      const watchers = cluster.nodes.filter((node) => isWatcher(cluster.viewOf(node.record)))
      const regions = watchers.map(({ record }) => record.region).sort()
      expect(regions).to.deep.equal(['nakuru', 'nakuru', 'nyeri', 'nyeri'])
    })
  })
})
