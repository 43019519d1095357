import { server as createHapiServer } from '@hapi/hapi'
import { expect } from 'chai'
import { InstanceListServer } from '../../../playground/instanceListServer.js'
import { BackendHealth } from '../backendStatus.js'
import { HttpBackendStatusSource } from '../httpBackendStatus.js'
import { HttpInstanceList } from '../httpInstanceList.js'
import type { ListedInstance } from '../instanceList.js'
import { InstanceKind, InstanceState, PlatformErrorKind } from '../instanceList.js'

const INSTANCE: ListedInstance = {
  instanceId: 'nyeri-a-1/gateway',
  kind: InstanceKind.Entry,
  state: InstanceState.Live,
  generation: 1,
  region: 'nyeri',
  zone: 'a',
  address: '127.0.0.1:1',
}

describe('HttpInstanceList', () => {
  let server: InstanceListServer
  let list: HttpInstanceList

  beforeEach(async () => {
    server = new InstanceListServer()
    await server.start()
    list = new HttpInstanceList(server.url)
  })

  afterEach(async () => {
    list.close()
    await server.stop()
  })

  it('reads the current list, and an outdated one while the platform lags', async () => {
    server.put(INSTANCE)
    expect((await list.read(1000)).unwrap()).to.deep.equal([INSTANCE])
    server.setFaults({ lagMs: 60_000 })
    expect((await list.read(1000)).unwrap()).to.deep.equal([])
    server.setFaults({ lagMs: 0 })
    server.remove(INSTANCE.instanceId)
    expect((await list.read(1000)).unwrap()).to.deep.equal([])
    expect(server.calls).to.equal(3)
  })

  it('reports an outage, a timeout and a refused connection as unavailable', async () => {
    const kindNow = async (): Promise<unknown> => {
      const read = await list.read(50)
      return read.err && read.val.kind
    }
    server.setFaults({ outage: true })
    expect(await kindNow()).to.equal(PlatformErrorKind.Unavailable)
    server.setFaults({ outage: false, slownessMs: 200 })
    expect(await kindNow()).to.equal(PlatformErrorKind.Unavailable)
    await server.stop()
    expect(await kindNow()).to.equal(PlatformErrorKind.Unavailable)
  })

  it('reports a list with an invalid entry as malformed', async () => {
    server.put({ ...INSTANCE, state: 'asleep' as never })
    const read = await list.read(1000)
    expect(read.err && read.val.kind).to.equal(PlatformErrorKind.Malformed)
  })
})

describe('HttpBackendStatusSource', () => {
  const source = new HttpBackendStatusSource()
  const backend = createHapiServer({ host: '127.0.0.1', port: 0 })
  let answer: unknown

  before(async () => {
    backend.route({ method: 'GET', path: '/status', handler: () => answer as object })
    await backend.start()
  })

  after(async () => {
    source.close()
    await backend.stop()
  })

  const read = (): ReturnType<HttpBackendStatusSource['read']> =>
    source.read(`127.0.0.1:${String(backend.info.port)}`, 1000)

  it('reads a status report', async () => {
    answer = { health: BackendHealth.Draining, busySlots: 2, measuredAtMs: 5 }
    expect((await read()).unwrap()).to.deep.equal(answer)
  })

  it('distinguishes a malformed report from an unreachable server', async () => {
    for (const wrong of [{ health: 'fine' }, 'text']) {
      answer = wrong
      const malformed = await read()
      expect(malformed.err && malformed.val.kind).to.equal(PlatformErrorKind.Malformed)
    }
    const absent = await source.read('127.0.0.1:1', 200)
    expect(absent.err && absent.val.kind).to.equal(PlatformErrorKind.Unavailable)
  })
})
