import type { Server, Socket } from 'node:net'
import { connect, createServer } from 'node:net'
import { expect } from 'chai'
import { ConnectionEnd, onConnectionEnd } from '../../../src/common/connectionEnd.js'
import { listenOnLoopback, parseHostAndPort } from '../../../src/common/listen.js'
import { FaultyProxy } from '../faultyProxy.js'

const CONNECTIONS = 50
const PIECE = 'y'.repeat(3000)

describe('FaultyProxy', () => {
  let server: Server
  let proxy: FaultyProxy

  afterEach(() => {
    proxy.stop()
    server.close()
  })

  async function start(send: (socket: Socket) => void): Promise<void> {
    server = createServer((socket) => {
      socket.setNoDelay(true)
      socket.on('error', () => undefined)
      socket.once('data', () => {
        send(socket)
      })
    })
    proxy = new FaultyProxy(await listenOnLoopback(server))
  }

  async function receive(address: string): Promise<{ text: string; end: ConnectionEnd }> {
    const socket = connect({ ...parseHostAndPort(address), allowHalfOpen: true })
    let text = ''
    socket.on('data', (bytes) => {
      text += bytes.toString()
    })
    socket.write('start')
    const end = await new Promise<ConnectionEnd>((resolve) => {
      onConnectionEnd(socket, resolve)
      socket.on('error', () => {
        resolve(ConnectionEnd.Reset)
      })
    })
    socket.destroy()
    return { text, end }
  }

  // Guards against a soak that can't see truncated answers, because its links end them in order.
  it('passes on a reset that arrives with the last bytes', async () => {
    await start((socket) => {
      socket.write(PIECE)
      socket.resetAndDestroy()
    })
    const address = await proxy.start()
    const connections = Array.from({ length: CONNECTIONS }, () => receive(address))
    const ends = (await Promise.all(connections)).map(({ end }) => end)
    expect(ends).to.not.include(ConnectionEnd.Regular)
  })
})
