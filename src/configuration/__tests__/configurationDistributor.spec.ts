import { expect } from 'chai'
import { CallFate, InProcessStore } from '../../../playground/inProcessStore.js'
import { StoreState } from '../../../playground/storeState.js'
import { DistributionMethod } from '../distributionMessages.js'
import type { ConfigurationRepository } from '../configurationRepository.js'
import { isWatcher } from '../peerSelection.js'
import { REGIONS, blockChange, changeOf } from './sampleChanges.js'
import { TestCluster, eventually } from './testCluster.js'

const FAST = { exchangeIntervalMs: 50, headReadIntervalMs: 200, staleAfterMs: 300 }

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
    const decide = (): CallFate => (isStoreDown ? CallFate.Refuse : CallFate.Execute)
    cluster = new TestCluster(new InProcessStore(state, decide))
  })

  afterEach(() => cluster.stop())

  const addNodes = async (region: string, count: number): Promise<void> => {
    for (let index = 0; index < count; index++) cluster.add(region, FAST)
    await Promise.all(cluster.nodes.map((node) => node.distributor.start()))
  }

  const allAt = (revision: number): boolean =>
    cluster.nodes.every((node) => node.replica.revision === revision)

  describe('spreading', () => {
    it('brings each revision to all nodes of two regions while only two a region watch', async () => {
      for (let index = 0; index < 12; index++)
        cluster.add(index % 2 === 0 ? 'nyeri' : 'nakuru', FAST)
      await Promise.all(cluster.nodes.map((node) => node.distributor.start()))
      const writer = new InProcessStore(state)
      const repository = cluster.add('nyeri', FAST, writer).repository
      await cluster.nodes.at(-1)?.distributor.start()
      await commitBlocks(repository, 0, 10)
      await eventually('all nodes at revision 10', () => allAt(10))
    })

    it('goes on without watchers: peers and own reads of the head bring revisions', async () => {
      await addNodes('nyeri', 4)
      const views = cluster.nodes.map((node) => node.record.memberId)
      expect(views.length).to.equal(4)
      // Watches fail, other reads work: the state of a store whose watches are overloaded.
      const decide = ({ method }: { method: string }): CallFate =>
        method === 'watch' ? CallFate.Refuse : CallFate.Execute
      const other = new TestCluster(new InProcessStore(state, decide))
      for (let index = 0; index < 4; index++) other.add('nakuru', FAST)
      await Promise.all(other.nodes.map((node) => node.distributor.start()))
      await commitBlocks(new TestCluster(new InProcessStore(state)).add('x').repository, 0, 3)
      await eventually('nodes without a watch at revision 3', () =>
        other.nodes.every((node) => node.replica.revision === 3),
      )
      await other.stop()
    })

    it('fills a gap of a node that was cut off, by changes and not by the store', async () => {
      await addNodes('nyeri', 6)
      const [first, last] = [cluster.nodes[0], cluster.nodes[5]]
      if (first === undefined || last === undefined) throw new Error('nodes are missing')
      await commitBlocks(first.repository, 0, 3)
      await eventually('all at revision 3', () => allAt(3))
      await last.distributor.stop()
      await commitBlocks(first.repository, 3, 9)
      await eventually('the others at revision 9', () =>
        cluster.nodes.slice(0, 5).every((node) => node.replica.revision === 9),
      )
      isStoreDown = true
      const late = cluster.add('nyeri', FAST)
      await late.distributor.start()
      expect(late.replica.revision).to.equal(9)
    })
  })

  describe('start', () => {
    it('takes the highest revision of the peers when the store is down', async () => {
      await addNodes('nyeri', 3)
      const [first] = cluster.nodes
      if (first === undefined) throw new Error('nodes are missing')
      await commitBlocks(first.repository, 0, 5)
      await eventually('all at revision 5', () => allAt(5))
      isStoreDown = true
      const late = cluster.add('nyeri', FAST)
      await late.distributor.start()
      expect(late.replica.revision).to.equal(5)
      expect(late.replica.current()?.blocks.size).to.equal(4)
    })

    it('holds no revision without store and peers, and gets one once the store is back', async () => {
      await commitBlocks(new TestCluster(new InProcessStore(state)).add('x').repository, 0, 2)
      isStoreDown = true
      const alone = cluster.add('nyeri', FAST)
      await alone.distributor.start()
      expect(alone.replica.current()).to.equal(undefined)
      isStoreDown = false
      await eventually('revision 2 after the outage', () => alone.replica.revision === 2)
    })

    it('begins at revision 0 with a store that holds no configuration yet', async () => {
      const alone = cluster.add('nyeri', FAST)
      await alone.distributor.start()
      expect(alone.replica.revision).to.equal(0)
    })

    it('reads a snapshot and the changes after it from the store', async () => {
      const writer = new TestCluster(new InProcessStore(state)).add('x')
      await commitBlocks(writer.repository, 0, 6)
      const history = (await writer.repository.readSince(-1)).unwrap()
      writer.replica.offerChanges(history.changes, 'store')
      await commitBlocks(writer.repository, 6, 8)
      const alone = cluster.add('nyeri', FAST)
      await alone.distributor.start()
      expect(alone.replica.revision).to.equal(8)
      expect(alone.replica.current()?.blocks.size).to.equal(7)
    })
  })

  describe('methods', () => {
    it('tells which revision a member holds, with its incarnation', async () => {
      await addNodes('nyeri', 1)
      const caller = cluster.network.caller('control:1')
      const method = DistributionMethod.AcknowledgedRevision
      const answer = await caller.call('nyeri-0:1', method, {}, { timeoutMs: 100 })
      expect(answer.unwrap()).to.deep.equal({
        memberId: 'nyeri-0',
        incarnation: '0000000000000001',
        revision: 0,
      })
    })
  })

  describe('isWatcher', () => {
    it('chooses exactly two members per region, so that the store sees few waiting calls', async () => {
      await addNodes('nyeri', 20)
      await eventually('two waiting watches', () => cluster.store.calls > 0)
      const record = cluster.nodes[0]?.record
      if (record === undefined) throw new Error('nodes are missing')
      const members = cluster.nodes.map((node) => ({ ...node.record, health: 'alive' as never }))
      const watchers = members.filter((self) =>
        isWatcher({
          self: () => self,
          members: () => members,
          find: () => undefined,
          largestGatewayCount: () => 1,
          subscribe: () => () => undefined,
        }),
      )
      expect(watchers.length).to.equal(2)
    })
  })
})
