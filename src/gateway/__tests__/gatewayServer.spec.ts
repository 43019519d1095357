import { connect } from 'node:net'
import { expect } from 'chai'
import { BackendServer } from '../../../playground/backendServer.js'
import type { ClusterGateway } from '../../../playground/gatewayCluster.js'
import { createService, GatewayCluster } from '../../../playground/gatewayCluster.js'
import { findHeaderFault } from '../headerRules.js'
import { RefusalKind } from '../refusals.js'

const HEAD = 'Host: gateway\r\ntamarackdrift-service: reveals\r\n'

describe('GatewayServer', () => {
  const cluster = new GatewayCluster()
  const worker = new BackendServer({ workerId: 'w1', slots: 8 })
  let gateway: ClusterGateway

  before(async () => {
    await worker.start()
    const record = {
      workerId: 'w1',
      generation: 1,
      address: worker.address,
      region: 'north',
      zone: 'north-a',
      slots: 8,
    }
    const service = createService('reveals', { workers: [record], maxRequestBytes: 1000 })
    cluster.configuration.set({ services: new Map([['reveals', service]]) })
    gateway = await cluster.startGateway({
      memberId: 'g1',
      region: 'north',
      settings: { maxRequestBytes: '2000' },
    })
  })

  after(async () => {
    await cluster.stop()
    await worker.stop()
  })

  /** Sends raw bytes and returns everything received until the connection closes. */
  function exchange(text: string, ended = false): Promise<string> {
    return new Promise((resolve, reject) => {
      const [host = '', port = ''] = gateway.callerAddress.split(':')
      const socket = connect(Number(port), host)
      let received = ''
      socket.setEncoding('latin1').on('data', (part: string) => {
        received += part
      })
      socket.once('error', reject)
      socket.once('close', () => {
        resolve(received)
      })
      socket.write(text, 'latin1')
      if (ended) socket.end()
    })
  }

  async function expectServing(): Promise<void> {
    const answer = await fetch(`http://${gateway.callerAddress}/hint`, {
      headers: { 'tamarackdrift-service': 'reveals' },
    })
    await answer.arrayBuffer()
    expect(answer.status).to.equal(200)
  }

  const refused: readonly (readonly [title: string, status: number, request: string])[] = [
    [
      'conflicting Content-Length',
      400,
      `POST / HTTP/1.1\r\n${HEAD}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde`,
    ],
    [
      'repeated Content-Length',
      400,
      `POST / HTTP/1.1\r\n${HEAD}Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd`,
    ],
    [
      'Transfer-Encoding with Content-Length',
      400,
      `POST / HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n`,
    ],
    [
      'an unknown transfer coding',
      400,
      `POST / HTTP/1.1\r\n${HEAD}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
    ],
    [
      'an obfuscated transfer coding',
      400,
      `POST / HTTP/1.1\r\n${HEAD}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n`,
    ],
    ['a space before a colon', 400, `GET / HTTP/1.1\r\n${HEAD}Content-Length : 0\r\n\r\n`],
    ['a folded header', 400, `GET / HTTP/1.1\r\n${HEAD}X-A: b\r\n folded\r\n\r\n`],
    [
      'a malformed chunk',
      400,
      `POST / HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\n`,
    ],
    ['text that is not HTTP', 400, 'hello\r\n\r\n'],
    ['a missing Host', 400, 'GET / HTTP/1.1\r\nConnection: close\r\n\r\n'],
    ['a repeated Host', 400, `GET / HTTP/1.1\r\n${HEAD}Host: b\r\nConnection: close\r\n\r\n`],
    ['an absolute target', 400, `GET http://b/ HTTP/1.1\r\n${HEAD}Connection: close\r\n\r\n`],
    ['a malformed path', 400, `GET /%zz HTTP/1.1\r\n${HEAD}Connection: close\r\n\r\n`],
    [
      'a forged deadline',
      400,
      `GET / HTTP/1.1\r\n${HEAD}tamarackdrift-deadline: 9\r\nConnection: close\r\n\r\n`,
    ],
    [
      'a repeated service',
      400,
      `GET / HTTP/1.1\r\n${HEAD}tamarackdrift-service: b\r\nConnection: close\r\n\r\n`,
    ],
    [
      'a malformed timeout',
      400,
      `GET / HTTP/1.1\r\n${HEAD}tamarackdrift-timeout-ms: soon\r\nConnection: close\r\n\r\n`,
    ],
    ['a missing service', 400, 'GET / HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n'],
    [
      'an unknown service',
      404,
      'GET / HTTP/1.1\r\nHost: a\r\ntamarackdrift-service: none\r\nConnection: close\r\n\r\n',
    ],
    [
      "a body above the service's limit",
      413,
      `POST / HTTP/1.1\r\n${HEAD}Connection: close\r\nContent-Length: 1500\r\n\r\n${'a'.repeat(1500)}`,
    ],
    [
      "a body above the gateway's limit",
      413,
      `POST / HTTP/1.1\r\n${HEAD}Connection: close\r\nContent-Length: 3000\r\n\r\n${'a'.repeat(3000)}`,
    ],
    [
      'a header section that is too large',
      431,
      `GET / HTTP/1.1\r\n${HEAD}X-A: ${'a'.repeat(40_000)}\r\n\r\n`,
    ],
  ]
  for (const [title, status, request] of refused) {
    it(`refuses ${title} with a reason and keeps serving`, async () => {
      const executed = worker.records.length
      const answer = await exchange(request)
      expect(answer.slice(0, 12)).to.equal(`HTTP/1.1 ${String(status)}`)
      expect(answer).to.match(/tamarackdrift-outcome: not-run\r\n/)
      expect(answer).to.match(/"remedy":"[^"]+"/)
      expect(worker.records).to.have.length(executed)
      await expectServing()
    })
  }

  it('answers a request in flight before it refuses a malformed one pipelined behind it', async () => {
    const first = `GET /one?serviceMs=100 HTTP/1.1\r\n${HEAD}\r\n`
    const answer = await exchange(`${first}BROKEN\r\n\r\n`)
    expect(answer.match(/HTTP\/1\.1 \d+/g)).to.deep.equal(['HTTP/1.1 200', 'HTTP/1.1 400'])
  })

  it('does not run a request smuggled into the body of another one', async () => {
    const executed = worker.records.length
    const hidden = `GET /smuggled HTTP/1.1\r\n${HEAD}\r\n`
    const request = `POST /outer HTTP/1.1\r\n${HEAD}Content-Length: ${String(hidden.length)}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n${hidden}`
    await exchange(request)
    expect(worker.records.slice(executed).map((record) => record.target)).to.deep.equal([])
  })

  it('accepts a request with hop-by-hop headers and headers listed in Connection', async () => {
    const request = `GET /hop HTTP/1.1\r\n${HEAD}Connection: close, x-private\r\nX-Private: 1\r\nTE: trailers\r\n\r\n`
    expect(await exchange(request)).to.match(/^HTTP\/1\.1 200/)
  })

  it('cancels a read at the backend server when its caller disconnects', async () => {
    const request = `GET /gone?serviceMs=2000 HTTP/1.1\r\n${HEAD}\r\n`
    const [host = '', port = ''] = gateway.callerAddress.split(':')
    const socket = connect(Number(port), host)
    socket.write(request)
    const execution = () => worker.records.find((record) => record.target.startsWith('/gone'))
    while (execution() === undefined) await new Promise((resolve) => setTimeout(resolve, 5))
    socket.destroy()
    while (execution()?.endMs === undefined) await new Promise((resolve) => setTimeout(resolve, 5))
    expect(execution()?.cancelled).to.equal(true)
  })

  // An earlier attempt of the operation may have run; the ledger has not been queried yet.
  it('reports an operation as unknown when its request is refused before the ledger lookup', async () => {
    const prefix = cluster.issuePrefix(gateway, 'reveals', 5000)
    const request = `POST / HTTP/1.1\r\n${HEAD}tamarackdrift-operation: ${prefix}.1\r\ntamarackdrift-timeout-ms: soon\r\nConnection: close\r\n\r\n`
    expect(await exchange(request)).to.match(/tamarackdrift-outcome: unknown/)
  })
})

describe('findHeaderFault', () => {
  it('reports ambiguous body lengths that the HTTP parser accepts', () => {
    const host = ['Host', 'a'] as const
    const faults = [
      findHeaderFault([host, ['Content-Length', '1'], ['content-length', '1']]),
      findHeaderFault([host, ['Content-Length', '1'], ['Transfer-Encoding', 'chunked']]),
      findHeaderFault([host, ['Transfer-Encoding', 'identity']]),
    ]
    expect(faults.map((fault) => fault?.kind)).to.deep.equal(
      Array.from(faults, () => RefusalKind.AmbiguousLength),
    )
    expect(findHeaderFault([host, ['Transfer-Encoding', 'chunked']])).to.equal(undefined)
  })
})
