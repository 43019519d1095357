import type { Server, Socket } from 'node:net'
import { connect, createServer } from 'node:net'
import { expect } from 'chai'
import { monotonicClock, sleep } from '../../common/clock.js'
import { listenOnLoopback, parseHostAndPort } from '../../common/listen.js'
import { LingeringConnections } from '../lingeringConnections.js'

/** Stated limits of a connection that lingers, and a margin. */
const LINGER_TIMEOUT_MS = 5000
const MAX_DISCARDED_BYTES = 16 * 1024 * 1024
const MARGIN_MS = 1500

describe('LingeringConnections', () => {
  const lingering = new LingeringConnections()
  const callers: Socket[] = []
  let server: Server
  let address: string

  beforeEach(async () => {
    server = createServer({ allowHalfOpen: true }, (socket) => {
      socket.on('error', () => undefined)
      socket.write('answer')
      lingering.add(socket)
    })
    address = await listenOnLoopback(server)
  })

  afterEach(() => {
    for (const caller of callers.splice(0)) caller.destroy()
    server.close()
  })

  /** Connects a caller that keeps its side open. */
  function open(): { caller: Socket; received: () => string } {
    const caller = connect({ ...parseHostAndPort(address), allowHalfOpen: true })
    callers.push(caller)
    let text = ''
    caller.on('error', () => undefined)
    caller.on('data', (bytes) => {
      text += bytes.toString()
    })
    return { caller, received: () => text }
  }

  async function waitUntilEmpty(withinMs: number): Promise<number> {
    const startedAtMs = monotonicClock()
    while (lingering.size > 0 && monotonicClock() - startedAtMs < withinMs) await sleep(20)
    return monotonicClock() - startedAtMs
  }

  it('closes as soon as the caller ends its side', async () => {
    const { caller, received } = open()
    await sleep(100)
    expect([lingering.size, received()]).to.deep.equal([1, 'answer'])
    caller.end('late')
    expect(await waitUntilEmpty(MARGIN_MS)).to.be.below(MARGIN_MS)
  })

  // Guards against connections that are held by callers that never close them.
  it('closes a connection whose caller does nothing, after its time', async () => {
    open()
    await sleep(100)
    const heldMs = await waitUntilEmpty(LINGER_TIMEOUT_MS + MARGIN_MS)
    expect(heldMs).to.be.within(LINGER_TIMEOUT_MS - MARGIN_MS, LINGER_TIMEOUT_MS + MARGIN_MS)
  })

  // Guards against a caller that sends without end.
  it('closes a connection once too much was discarded', async () => {
    const { caller } = open()
    const block = Buffer.alloc(256 * 1024)
    let sentBytes = 0
    await new Promise<void>((resolve) => {
      caller.on('close', resolve)
      const send = (): void => {
        sentBytes += block.length
        caller.write(block, (error) => {
          if (error == null) send()
        })
      }
      send()
    })
    // What the kernel buffers was sent, and is not read.
    expect(sentBytes).to.be.within(MAX_DISCARDED_BYTES, 2 * MAX_DISCARDED_BYTES)
    await waitUntilEmpty(MARGIN_MS)
    expect(lingering.size).to.equal(0)
  })

  it('closes the oldest connections when too many linger', async () => {
    for (let count = 0; count < 540; count += 1) open()
    await sleep(500)
    expect(lingering.size).to.equal(512)
  })
})
