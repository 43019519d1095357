import type { Server } from 'node:net'
import { connect, createServer } from 'node:net'
import { expect } from 'chai'
import { receiveAll } from '../../../testing/receiveAll.js'
import { createService, GatewayCluster } from '../../../playground/gatewayCluster.js'
import type { ClusterGateway } from '../../../playground/gatewayCluster.js'
import { ConnectionEnd } from '../../common/connectionEnd.js'
import { listenOnLoopback, parseHostAndPort } from '../../common/listen.js'

describe('gateway and answers without a length', () => {
  const cluster = new GatewayCluster()
  let server: Server
  let gateway: ClusterGateway

  before(async () => {
    // Ends each connection in order after a part of the body, as the system does for a server that
    // has crashed.
    server = createServer((socket) => {
      socket.on('error', () => undefined)
      socket.on('data', () => socket.end('HTTP/1.1 200 OK\r\n\r\npart'))
    })
    const address = await listenOnLoopback(server)
    const record = {
      workerId: 'w1',
      generation: 1,
      address,
      region: 'north',
      zone: 'north-a',
      slots: 8,
    }
    const service = createService('reveals', { workers: [record] })
    cluster.configuration.set({ services: new Map([['reveals', service]]) })
    gateway = await cluster.startGateway({ memberId: 'g1', region: 'north' })
  })

  after(async () => {
    await cluster.stop()
    server.close()
  })

  // Guards against a truncated answer that a length of the gateway makes look complete.
  it('passes them on without one, and closes the connection', async () => {
    const socket = connect(parseHostAndPort(gateway.callerAddress))
    socket.write('GET /a HTTP/1.1\r\nHost: gateway\r\ntamarackdrift-service: reveals\r\n\r\n')
    const { text, end } = await receiveAll(socket)
    expect(end).to.equal(ConnectionEnd.Regular)
    expect(text).to.match(/^HTTP\/1\.1 200 .*Connection: close.*part$/is)
    expect(text).to.not.match(/content-length|transfer-encoding/i)
  })
})
