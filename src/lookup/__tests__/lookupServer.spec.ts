import { expect } from 'chai'
import wreck from '@hapi/wreck'
import type { LogFields } from '../../common/logger.js'
import { noMetrics } from '../../common/metrics.js'
import { OperationPrefixCodec } from '../../operations/operationPrefix.js'
import { GatewayDirectory } from '../gatewayDirectory.js'
import type { LookupAnswer } from '../lookupServer.js'
import { LookupServer } from '../lookupServer.js'
import { Placer } from '../placement.js'
import { FakeConfigurationView, configurationOf, memberTable, shiftOf } from './lookupFixtures.js'

const KEY = 'key-for-the-tests-only'
const NOW_MS = 1_000_000

describe('LookupServer', () => {
  let view: FakeConfigurationView
  let server: LookupServer
  let lines: LogFields[]

  beforeEach(async () => {
    view = new FakeConfigurationView()
    lines = []
    const members = memberTable()
    const directory = new GatewayDirectory(members)
    const placer = new Placer(view, members, directory, {
      regionFor: (service, homeRegion) => (service === 'none' ? undefined : homeRegion),
    })
    const dependencies = {
      placer,
      directory,
      configuration: view,
      codec: new OperationPrefixCodec(KEY),
      clock: () => NOW_MS,
      logger: { decision: (_: string, fields: LogFields) => lines.push(fields), event: () => 0 },
      metrics: noMetrics,
    }
    const options = { host: '127.0.0.1', port: 0, answerCacheMs: 2000, retryAfterMs: 1500 }
    server = new LookupServer(dependencies, options)
    await server.start()
  })

  afterEach(() => server.stop(100))

  const get = async (
    path: string,
  ): Promise<{
    status: number
    headers: Record<string, unknown>
    body: Record<string, unknown>
  }> => {
    const response = await wreck.request('GET', `http://127.0.0.1:${String(server.port)}${path}`)
    const text = (await wreck.read(response)).toString('utf8')
    return {
      status: response.statusCode ?? 0,
      headers: response.headers,
      body: JSON.parse(text) as Record<string, unknown>,
    }
  }

  it('issues operation prefixes with the gateway, the home region and the shift', async () => {
    view.put(configurationOf(7, [shiftOf(1, { capShare: 1 })]))
    const { status, body } = await get('/lookup?service=reveals&client=10.0.3.4')
    const answer = body as unknown as LookupAnswer
    expect(status).to.equal(200)
    expect(answer).to.include({ service: 'reveals', revision: 7, cacheMs: 2000 })
    const prefix = answer.entries[0]?.operationPrefix ?? ''
    const { grant } = new OperationPrefixCodec(KEY).decode(`${prefix}.0`).unwrap()
    expect(grant).to.include({
      homeRegion: 'east',
      shiftId: 'shift-1',
      service: 'reveals',
      acceptUntilMs: NOW_MS + 4000,
    })
    expect(`${grant.gatewayId}:80`).to.equal(answer.entries[0]?.address)
    expect(answer.entries[0]?.region).to.equal('north')
  })

  it('logs one decision per look-up with its reason, request identifier and revision', async () => {
    view.put(configurationOf(7))
    await get('/lookup?service=reveals&client=10.0.3.4')
    await get('/lookup?service=wrong&client=10.0.3.4')
    expect(lines.map(({ reason }) => reason)).to.deep.equal(['home', 'lookupUnknownService'])
    expect(lines.map(({ revision }) => revision)).to.deep.equal([7, 7])
    expect(new Set(lines.map(({ requestId }) => requestId)).size).to.equal(2)
  })

  const refusals = [
    { path: '/lookup', status: 400, kind: 'lookupMalformed' },
    {
      path: '/lookup?service=reveals&service=reveals&client=10.0.0.1',
      status: 400,
      kind: 'lookupMalformed',
    },
    {
      path: `/lookup?service=${'x'.repeat(200)}&client=10.0.0.1`,
      status: 400,
      kind: 'lookupMalformed',
    },
    { path: '/lookup?service=reveals&client=10.0.0.1.1', status: 400, kind: 'lookupMalformed' },
    { path: '/lookup?service=wrong&client=10.0.0.1', status: 404, kind: 'lookupUnknownService' },
  ]
  for (const { path, status, kind } of refusals) {
    it(`answers ${String(status)} with a reason to ${path.slice(0, 60)}`, async () => {
      view.put(configurationOf(7))
      const answer = await get(path)
      expect(answer.status).to.equal(status)
      expect(answer.body.kind).to.equal(kind)
      expect(answer.body).to.have.keys('kind', 'message', 'remedy', 'requestId')
      expect(answer.headers['tamarackdrift-outcome']).to.equal('not-run')
    })
  }

  it('answers 503 with outcome "not run" and Retry-After while it has no configuration', async () => {
    const answer = await get('/lookup?service=reveals&client=10.0.0.1')
    expect(answer.status).to.equal(503)
    expect(answer.headers['retry-after']).to.equal('2')
    expect(answer.headers['tamarackdrift-outcome']).to.equal('not-run')
    expect((await get('/health')).status).to.equal(503)
  })

  it('answers while it is leaving, but reports itself unhealthy and closes connections', async () => {
    view.put(configurationOf(7))
    expect((await get('/health')).body).to.deep.equal({
      canSteer: true,
      isLeaving: false,
      revision: 7,
    })
    server.announceLeaving()
    const answer = await get('/lookup?service=reveals&client=10.0.3.4')
    expect(answer.status).to.equal(200)
    expect(answer.headers.connection).to.equal('close')
    expect((await get('/health')).status).to.equal(503)
  })
})
