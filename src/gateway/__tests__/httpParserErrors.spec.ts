import { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { connect } from 'node:net'
import { expect } from 'chai'
import { sleep } from '../../common/clock.js'
import { listenOnLoopback } from '../../common/listen.js'
import { receiveAll } from '../../../testing/receiveAll.js'
import { answerParserErrors } from '../httpParserErrors.js'

const CONNECTIONS = 20
const REQUEST = 'GET / HTTP/1.1\r\nHost: gateway\r\n\r\n'
const PART = 'GET /further HTTP/1.1\r\n'
const WORK_MS = 600

describe('answerParserErrors', () => {
  let server: Server
  let openRequests = 0

  beforeEach(async () => {
    server = new Server((_request, response) => {
      openRequests += 1
      response.once('close', () => {
        openRequests -= 1
      })
      setTimeout(() => response.end('whole'), WORK_MS)
    })
    answerParserErrors(server, () => 'refusal')
    await listenOnLoopback(server)
  })

  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  // Guards against work for a caller that has left: Node.js reports a reset with the last bytes as
  // the end of what the caller sends.
  it('ends the requests of a caller who resets the connection within a further one', async () => {
    for (let index = 0; index < CONNECTIONS; index += 1) {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
      socket.on('error', () => undefined)
      socket.write(REQUEST)
      setTimeout(() => {
        socket.write(PART)
        socket.resetAndDestroy()
      }, 50)
    }
    await sleep(WORK_MS / 2)
    expect(openRequests).to.equal(0)
  })

  it('answers a request of a caller who ends the connection within a further one', async () => {
    const { port } = server.address() as AddressInfo
    const socket = connect({ port, allowHalfOpen: true })
    socket.end(REQUEST + PART)
    const { text } = await receiveAll(socket)
    expect(text).to.match(/^HTTP\/1\.1 200 .*whole/s)
  })
})
