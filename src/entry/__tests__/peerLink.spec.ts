import type { Server, Socket } from 'node:net'
import { connect, createServer } from 'node:net'
import { expect } from 'chai'
import { monotonicClock, sleep } from '../../common/clock.js'
import { listenOnLoopback, parseHostAndPort } from '../../common/listen.js'
import { PeerLink } from '../peerLink.js'
import type { PeerMessage } from '../peerMessages.js'
import { PeerMessageKind } from '../peerMessages.js'

const LINE = `{"kind":"${PeerMessageKind.Leaving}","incarnation":"Zoë"}`

describe('PeerLink', () => {
  let server: Server
  let peer: Socket
  let received: PeerMessage[]
  let reasons: string[]

  beforeEach(async () => {
    received = []
    reasons = []
    server = createServer((socket) => {
      new PeerLink(socket, {
        received: (message) => received.push(message),
        closed: (reason) => reasons.push(reason),
      })
    })
    peer = connect(parseHostAndPort(await listenOnLoopback(server)))
    peer.setNoDelay(true)
    peer.on('error', () => undefined)
  })

  afterEach(() => {
    peer.destroy()
    server.close()
  })

  async function waitUntil(isDone: () => boolean, withinMs = 5000): Promise<void> {
    const endMs = monotonicClock() + withinMs
    while (!isDone() && monotonicClock() < endMs) await sleep(5)
  }

  it('reads lines that are split anywhere, also within a character', async () => {
    const bytes = Buffer.from(`${LINE}\n${LINE}\n${LINE}\n`)
    for (const byte of bytes) {
      peer.write(Buffer.from([byte]))
      await sleep(0)
    }
    await waitUntil(() => received.length === 3)
    expect(received).to.deep.equal([LINE, LINE, LINE].map((line) => JSON.parse(line) as unknown))
  })

  // Guards against a line without end that keeps an object for each piece, or all of its bytes.
  it('closes a link whose line does not end, in bounded memory', async () => {
    const before = process.memoryUsage.rss()
    const block = Buffer.alloc(64 * 1024, 'x')
    const write = (): void => {
      if (!peer.destroyed && peer.write(block)) setImmediate(write)
    }
    peer.on('drain', write)
    write()
    await waitUntil(() => reasons.length > 0)
    expect(reasons).to.deep.equal(['line from peer exceeds the maximum length'])
    expect(process.memoryUsage.rss() - before).to.be.below(100 * 1024 * 1024)
  })

  it('closes a link with a line that is no message', async () => {
    peer.write('{"kind":"a","ask":{}}\n')
    await waitUntil(() => reasons.length > 0)
    expect(reasons).to.deep.equal(['line from peer is not a valid message'])
    expect(received).to.deep.equal([])
  })
})
