import { expect } from 'chai'
import { StoreOutage, StoreServer } from '../../../playground/storeServer.js'
import { HttpKeyValueStore } from '../httpKeyValueStore.js'
import { StoreErrorKind } from '../keyValueStore.js'

const CALL_OPTIONS = { timeoutMs: 1000 }

describe('HttpKeyValueStore', () => {
  let server: StoreServer
  let store: HttpKeyValueStore

  beforeEach(async () => {
    server = new StoreServer()
    await server.start()
    store = new HttpKeyValueStore(server.url)
  })

  afterEach(async () => {
    store.close()
    await server.stop()
  })

  const kindOf = (result: { err: boolean; val: unknown }): StoreErrorKind | undefined =>
    result.err ? (result.val as { kind: StoreErrorKind }).kind : undefined

  describe('calls without faults', () => {
    // Otherwise two concurrent writers could both succeed.
    it('writes only at the expected version', async () => {
      const first = (await store.compareAndSwap('k', 'one', 0, CALL_OPTIONS)).unwrap()
      expect(kindOf(await store.compareAndSwap('k', 'two', 0, CALL_OPTIONS))).to.equal(
        StoreErrorKind.Conflict,
      )
      const second = (await store.compareAndSwap('k', 'two', first, CALL_OPTIONS)).unwrap()
      expect(second).to.be.greaterThan(first)
      expect((await store.get('k', CALL_OPTIONS)).unwrap()).to.deep.equal({
        key: 'k',
        value: 'two',
        version: second,
      })
    })

    it('lists by prefix and deletes by version', async () => {
      const version = (await store.compareAndSwap('a/2', 'x', 0, CALL_OPTIONS)).unwrap()
      await store.compareAndSwap('a/1', 'y', 0, CALL_OPTIONS)
      await store.compareAndSwap('b', 'z', 0, CALL_OPTIONS)
      const keys = (await store.list('a/', CALL_OPTIONS)).unwrap().map(({ key }) => key)
      expect(keys).to.deep.equal(['a/1', 'a/2'])
      expect(kindOf(await store.compareAndDelete('a/2', version + 9, CALL_OPTIONS))).to.equal(
        StoreErrorKind.Conflict,
      )
      expect((await store.compareAndDelete('a/2', version, CALL_OPTIONS)).ok).to.equal(true)
      expect((await store.get('a/2', CALL_OPTIONS)).unwrap()).to.equal(undefined)
    })

    it('reports a write of more than 1 MiB as failed, and so without effect', async () => {
      const result = await store.compareAndSwap('k', 'x'.repeat(1024 * 1024 + 1), 0, CALL_OPTIONS)
      expect(kindOf(result)).to.equal(StoreErrorKind.Failed)
    })

    it('ends a watch on a write, or without a value after its timeout', async () => {
      const version = (await store.compareAndSwap('k', 'one', 0, CALL_OPTIONS)).unwrap()
      const watch = store.watch('k', version, { timeoutMs: 5000 })
      await store.compareAndSwap('k', 'two', version, CALL_OPTIONS)
      expect((await watch).unwrap()?.value).to.equal('two')
      const idle = await store.watch('k', version + 1, { timeoutMs: 20 })
      expect(idle.unwrap()).to.equal(undefined)
      expect(server.counts().byMethod.watch).to.equal(2)
    })

    it('deletes the keys of an expired lease and does not renew it', async () => {
      const lease = (await store.grantLease(60_000, CALL_OPTIONS)).unwrap()
      const options = { ...CALL_OPTIONS, leaseId: lease.leaseId }
      await store.compareAndSwap('owner', 'me', 0, options)
      expect((await store.renewLease(lease.leaseId, CALL_OPTIONS)).ok).to.equal(true)
      server.state.expireLeases()
      expect((await store.get('owner', CALL_OPTIONS)).unwrap()).to.equal(undefined)
      expect(kindOf(await store.renewLease(lease.leaseId, CALL_OPTIONS))).to.equal(
        StoreErrorKind.Failed,
      )
    })
  })

  describe('calls with faults', () => {
    it('reports a refused connection as failed, since the store has not received the call', async () => {
      await server.stop()
      const result = await store.compareAndSwap('k', 'v', 0, CALL_OPTIONS)
      expect(kindOf(result)).to.equal(StoreErrorKind.Failed)
    })

    it('reports a lost answer of a write as unknown, although the write took effect', async () => {
      server.setFaults({ dropNextAnswers: 1 })
      const result = await store.compareAndSwap('k', 'v', 0, CALL_OPTIONS)
      expect(kindOf(result)).to.equal(StoreErrorKind.Unknown)
      expect((await store.get('k', CALL_OPTIONS)).unwrap()?.value).to.equal('v')
    })

    it('reports a write that times out as unknown, and a read as failed', async () => {
      server.setFaults({ slownessMs: 300 })
      const shortTimeout = { timeoutMs: 50 }
      expect(kindOf(await store.compareAndSwap('k', 'v', 0, shortTimeout))).to.equal(
        StoreErrorKind.Unknown,
      )
      expect(kindOf(await store.get('k', shortTimeout))).to.equal(StoreErrorKind.Failed)
    })

    const outcomes: readonly [StoreOutage, StoreErrorKind][] = [
      [StoreOutage.Refuse, StoreErrorKind.Failed],
      [StoreOutage.HangUp, StoreErrorKind.Unknown],
      [StoreOutage.Silent, StoreErrorKind.Unknown],
    ]
    for (const [outage, kind] of outcomes) {
      it(`reports a write during an outage of kind ${outage} as ${kind}`, async () => {
        server.setFaults({ outage })
        const result = await store.compareAndSwap('k', 'v', 0, { timeoutMs: 100 })
        expect(kindOf(result)).to.equal(kind)
        server.setFaults({ outage: StoreOutage.None })
        expect((await store.get('k', CALL_OPTIONS)).unwrap()).to.equal(undefined)
      })
    }

    it('ends a waiting watch as failed when an outage begins', async () => {
      const watch = store.watch('k', 0, { timeoutMs: 5000 })
      while (server.counts().waitingWatches === 0) await store.get('other', CALL_OPTIONS)
      server.setFaults({ outage: StoreOutage.Refuse })
      expect(kindOf(await watch)).to.equal(StoreErrorKind.Failed)
    })

    it('ends a call when its signal aborts', async () => {
      const abort = new AbortController()
      const watch = store.watch('k', 0, { timeoutMs: 60_000, signal: abort.signal })
      setTimeout(() => {
        abort.abort()
      }, 20)
      expect(kindOf(await watch)).to.equal(StoreErrorKind.Failed)
    })
  })

  describe('admin route', () => {
    // Stand-ins that run as programs can only be controlled over HTTP.
    it('sets faults and counts calls over HTTP', async () => {
      const post = (path: string, body: object): Promise<Response> =>
        fetch(`${server.url}/admin/${path}`, {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(body),
        })
      await post('faults', { outage: StoreOutage.Refuse })
      expect(kindOf(await store.get('k', CALL_OPTIONS))).to.equal(StoreErrorKind.Failed)
      expect((await post('faults', { outage: 'nonsense' })).status).to.equal(400)
      const calls = (await (await fetch(`${server.url}/admin/calls`)).json()) as { total: number }
      expect(calls.total).to.equal(1)
    })
  })
})
