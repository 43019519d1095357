import type { Server, Socket } from 'node:net'
import { connect, createServer } from 'node:net'
import { expect } from 'chai'
import { sleep } from '../clock.js'
import { ConnectionEnd, onConnectionEnd } from '../connectionEnd.js'
import { listenOnLoopback, parseHostAndPort } from '../listen.js'

const CONNECTIONS = 100
const SMALL = Buffer.alloc(3000, 'x')
const LARGE = Buffer.alloc(200_000, 'x')
const PAUSE_MS = 5
/** More than the buffers of a connection on loopback hold. */
const UPLOAD = Buffer.alloc(12_000_000, 'u')

/** Whether all bytes arrive, and how the connection ends. */
interface Received {
  readonly bytes: number
  readonly end: ConnectionEnd | 'error'
}

type SendAndEnd = (socket: Socket) => Promise<void> | void

const RESETS: Readonly<Record<string, SendAndEnd>> = {
  'at once': (socket) => {
    socket.write(SMALL)
    socket.resetAndDestroy()
  },
  'behind many bytes': (socket) => {
    socket.write(LARGE)
    socket.resetAndDestroy()
  },
  'behind a second piece': async (socket) => {
    socket.write(SMALL)
    await sleep(PAUSE_MS)
    socket.write(SMALL)
    socket.resetAndDestroy()
  },
  'some time after the last bytes': async (socket) => {
    socket.write(SMALL)
    await sleep(PAUSE_MS)
    socket.resetAndDestroy()
  },
}

const REGULAR_ENDS: Readonly<Record<string, readonly [bytes: number, SendAndEnd]>> = {
  'at once': [SMALL.length, (socket) => void socket.end(SMALL)],
  'in both directions': [
    SMALL.length,
    (socket) => {
      socket.end(SMALL, () => socket.destroy())
    },
  ],
  'behind three pieces': [
    3 * SMALL.length,
    async (socket) => {
      for (let piece = 0; piece < 2; piece += 1) {
        socket.write(SMALL)
        await sleep(PAUSE_MS)
      }
      socket.end(SMALL)
    },
  ],
  'behind many bytes': [LARGE.length, (socket) => void socket.end(LARGE)],
  'before a reset': [
    SMALL.length,
    (socket) => {
      socket.end(SMALL, () => socket.resetAndDestroy())
    },
  ],
}

describe('onConnectionEnd', () => {
  let server: Server | undefined

  afterEach(() => server?.close())

  async function receive(
    allowHalfOpen: boolean,
    send: SendAndEnd,
    { count, bytesToSend } = { count: CONNECTIONS, bytesToSend: Buffer.from('start') },
  ): Promise<Received[]> {
    const accepted: Socket[] = []
    server = createServer((socket) => {
      accepted.push(socket)
      socket.setNoDelay(true)
      socket.on('error', () => undefined)
      socket.once('data', () => {
        socket.pause()
        void send(socket)
      })
    })
    const address = parseHostAndPort(await listenOnLoopback(server))
    const connections = Array.from({ length: count }, () => {
      const socket = connect({ ...address, allowHalfOpen })
      let bytes = 0
      socket.on('data', (chunk) => {
        bytes += chunk.length
      })
      socket.write(bytesToSend)
      return new Promise<Received>((resolve) => {
        socket.on('error', () => {
          resolve({ bytes, end: 'error' })
        })
        onConnectionEnd(socket, (end) => {
          resolve({ bytes, end })
          socket.destroy()
        })
      })
    })
    const received = await Promise.all(connections)
    for (const socket of accepted) socket.destroy()
    return received
  }

  // Guards against an error on a connection that both sides have ended in order.
  it('does not check a connection whose own direction has ended', async () => {
    server = createServer({ allowHalfOpen: true }, (socket) => {
      socket.resume()
      socket.on('end', () => socket.end(SMALL))
    })
    const address = parseHostAndPort(await listenOnLoopback(server))
    const socket = connect({ ...address, allowHalfOpen: true })
    socket.resume()
    const end = new Promise<ConnectionEnd>((resolve, reject) => {
      socket.on('error', reject)
      onConnectionEnd(socket, resolve)
    })
    socket.end('all')
    expect(await end).to.equal(ConnectionEnd.Unknown)
  })

  for (const allowHalfOpen of [true, false]) {
    describe(`with allowHalfOpen ${allowHalfOpen}`, () => {
      for (const [name, send] of Object.entries(RESETS)) {
        // Guards against bytes that were cut by a reset and pass for a complete message.
        it(`reports a reset ${name}`, async () => {
          const ends = (await receive(allowHalfOpen, send)).map(({ end }) => end)
          expect(ends).to.not.include(ConnectionEnd.Regular)
        })
      }

      for (const [name, [bytes, send]] of Object.entries(REGULAR_ENDS)) {
        // Guards against complete messages that are thrown away.
        it(`reports a regular end ${name}`, async () => {
          for (const received of await receive(allowHalfOpen, send)) {
            expect(received).to.deep.equal({ bytes, end: ConnectionEnd.Regular })
          }
        })
      }

      describe('before all that it sends is read', () => {
        const upload = { count: 10, bytesToSend: UPLOAD }

        // Guards against a check that an unread upload answers wrongly.
        for (const [name, send] of Object.entries(RESETS)) {
          it(`reports a reset ${name}`, async () => {
            const ends = (await receive(allowHalfOpen, send, upload)).map(({ end }) => end)
            expect(ends).to.not.include(ConnectionEnd.Regular)
          })
        }

        // Guards against an early answer that waits for an upload which its server never reads.
        for (const [name, [bytes, send]] of Object.entries(REGULAR_ENDS)) {
          it(`reports a regular end ${name}`, async () => {
            for (const received of await receive(allowHalfOpen, send, upload)) {
              expect(received).to.deep.equal({ bytes, end: ConnectionEnd.Regular })
            }
          })
        }
      })
    })
  }
})
