import type { Server, Socket } from 'node:net'
import { connect, createServer } from 'node:net'
import { expect } from 'chai'
import { sleep } from '../../../src/common/clock.js'
import { ConnectionEnd } from '../../../src/common/connectionEnd.js'
import { listenOnLoopback, parseHostAndPort } from '../../../src/common/listen.js'
import type { ReceivedBytes } from '../../receiveAll.js'
import { receiveAll } from '../../receiveAll.js'
import { FaultyProxy, LinkFault } from '../faultyProxy.js'

const CONNECTIONS = 50
const PIECE = 'y'.repeat(3000)
const PIECES = 3
const PAUSE_MS = 10
/** Time in which the bytes behind the first piece reach the proxy. */
const DISCARD_MS = 300

describe('FaultyProxy', () => {
  let server: Server
  let proxy: FaultyProxy

  afterEach(() => {
    proxy.stop()
    server.close()
  })

  async function start(send: (socket: Socket) => Promise<void> | void): Promise<void> {
    server = createServer((socket) => {
      socket.setNoDelay(true)
      socket.on('error', () => undefined)
      socket.once('data', () => void send(socket))
    })
    proxy = new FaultyProxy(await listenOnLoopback(server))
  }

  function receive(address: string, onText?: (text: string) => void): Promise<ReceivedBytes> {
    const socket = connect({ ...parseHostAndPort(address), allowHalfOpen: true })
    socket.write('start')
    return receiveAll(socket, onText)
  }

  const sendPieces = async (socket: Socket): Promise<void> => {
    for (let piece = 0; piece < PIECES; piece += 1) {
      socket.write(PIECE)
      await sleep(PAUSE_MS)
    }
    socket.end()
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

  describe('with a server that ends its connections in order', () => {
    // Guards against whole answers that the link cuts off or mixes up.
    for (const [before, during] of [
      [LinkFault.None, LinkFault.None],
      [LinkFault.Delayed, LinkFault.Delayed],
      [LinkFault.Delayed, LinkFault.None],
      [LinkFault.None, LinkFault.Delayed],
    ] as const) {
      it(`passes on all bytes and the end, ${before} and then ${during}`, async () => {
        await start(sendPieces)
        const address = await proxy.start()
        proxy.setFault(before)
        const received = receive(address)
        await sleep(1.5 * PAUSE_MS)
        proxy.setFault(during)
        expect(await received).to.deep.equal({
          text: PIECE.repeat(PIECES),
          end: ConnectionEnd.Regular,
        })
      })
    }

    // Guards against answers that a silent link cuts off, but ends in order.
    for (const fault of [LinkFault.Unresponsive, LinkFault.AnswersLost]) {
      it(`resets a connection of which it has discarded bytes, ${fault}`, async () => {
        let sendRest: () => void = () => undefined
        await start((socket) => {
          socket.write(PIECE)
          sendRest = () => socket.end(PIECE)
        })
        const address = await proxy.start()
        const received = receive(address, (text) => {
          if (text !== PIECE) return
          proxy.setFault(fault)
          sendRest()
        })
        await sleep(DISCARD_MS)
        proxy.setFault(LinkFault.None)
        expect(await received).to.deep.equal({ text: PIECE, end: ConnectionEnd.Reset })
      })
    }
  })
})
