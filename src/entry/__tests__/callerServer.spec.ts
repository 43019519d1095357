import type { Socket } from 'node:net'
import { connect } from 'node:net'
import { expect } from 'chai'
import { ByteBudget } from '../../common/byteBudget.js'
import { sleep, monotonicClock } from '../../common/clock.js'
import type { CallerRequest } from '../callerRequest.js'
import { CallerServer } from '../callerServer.js'
import { ANSWER_MEMORY_BYTES } from '../connectionPool.js'
import { EventLoopDelay } from '../eventLoopDelay.js'

const BODY_BUDGET_BYTES = 1000

const HEADERS = {
  requestId: 'x-id',
  callerTimeout: 'x-timeout',
  objectCookie: 'object',
  reserved: new Set<string>(),
}

describe('EventLoopDelay', () => {
  it('reports a blocked event loop for a while after a late timer', () => {
    const delay = new EventLoopDelay()
    delay.expectTick(100)
    delay.recordTick(110)
    expect(delay.isDelayed(110)).to.equal(false)
    delay.expectTick(200)
    delay.recordTick(900)
    expect([delay.isDelayed(900), delay.isDelayed(2000)]).to.deep.equal([true, false])
  })

  // Guards against forwarding a request of a caller that left during a long callback: events that
  // were pending with that callback are processed before the timer.
  it('reports a blocked event loop before the late timer fires', () => {
    const delay = new EventLoopDelay()
    delay.expectTick(200)
    expect([delay.isDelayed(240), delay.isDelayed(900)]).to.deep.equal([false, true])
  })
})

/** Blocks the event loop. */
function block(durationMs: number): void {
  const untilMs = monotonicClock() + durationMs
  while (monotonicClock() < untilMs);
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  const untilMs = monotonicClock() + 5000
  while (!isDone() && monotonicClock() < untilMs) await sleep(10)
}

describe('CallerServer', () => {
  let server: CallerServer
  let ran: string[]
  let hosts: string[]
  let bodyBudget: ByteBudget
  let isEventLoopDelayed: boolean
  /** Time for which each request blocks the event loop, in milliseconds. */
  let blockingMs: number
  let errors: unknown[]

  beforeEach(async () => {
    ran = []
    hosts = []
    isEventLoopDelayed = true
    blockingMs = 0
    errors = []
    bodyBudget = new ByteBudget(BODY_BUDGET_BYTES)
    server = new CallerServer({
      headers: HEADERS,
      clock: monotonicClock,
      bodyBudget,
      answerBudget: new ByteBudget(ANSWER_MEMORY_BYTES),
      limits: () => undefined,
      isEventLoopDelayed: () => isEventLoopDelayed,
      onError: (requestId, error) => {
        errors.push(requestId, error)
      },
      run: (request: CallerRequest) => {
        ran.push(request.requestId)
        hosts.push(request.host)
        if (request.requestId === 'fails') return Promise.reject(new Error('unexpected'))
        block(blockingMs)
        return Promise.resolve({ status: 200, headers: [], body: Buffer.from('done') })
      },
    })
    await server.start('127.0.0.1', 0)
  })

  afterEach(() => {
    server.stop(monotonicClock())
  })

  const requestText = (id: string): string =>
    `GET / HTTP/1.1\r\nHost: hints.example\r\nX-Id: ${id}\r\n\r\n`

  // Guards against forwarding requests of callers that have already disconnected: after the event
  // loop was blocked, a request was read a second late, and the close behind it only after that.
  it('does not run a request whose caller disconnected before it was read', async () => {
    const leaving = connect(server.port, '127.0.0.1')
    leaving.end(requestText('left'))
    const staying = connect(server.port, '127.0.0.1')
    staying.write(requestText('stayed'))
    // Request and close are pending together.
    block(200)
    await sleep(100)
    staying.destroy()
    expect(ran).to.deep.equal(['stayed'])
  })

  // Guards against forwarding requests of callers that disconnected while their connections waited
  // to be accepted: Node.js accepts one connection per turn, and no timer need be late meanwhile.
  it('does not run a request whose caller disconnected before its connection was accepted', async () => {
    isEventLoopDelayed = false
    blockingMs = 10
    const staying: Socket[] = []
    for (let index = 0; index < 20; index += 1) {
      connect(server.port, '127.0.0.1').end(requestText(`left-${index}`))
      const socket = connect(server.port, '127.0.0.1')
      socket.write(requestText(`stayed-${index}`))
      staying.push(socket)
    }
    await waitUntil(() => ran.filter((id) => id.startsWith('stayed')).length === staying.length)
    for (const socket of staying) socket.destroy()
    expect(ran.filter((id) => id.startsWith('left'))).to.deep.equal([])
  })

  // Guards against requests that match the route of another host, or none, because the bytes of
  // Host were taken for characters of Latin-1.
  it('reads the host of a request as UTF-8, and other bytes as they are', async () => {
    for (const host of ['hints.example', '\u0142ucja.example', 'caf\u00e9.example']) {
      const socket = connect(server.port, '127.0.0.1')
      socket.write(`GET / HTTP/1.1\r\nHost: ${host}\r\nX-Id: a\r\n\r\n`, 'utf8')
      socket.write('GET / HTTP/1.1\r\nHost: caf\u00e9.example\r\nX-Id: b\r\n\r\n', 'latin1')
      await waitUntil(() => hosts.length >= 2)
      socket.destroy()
      expect(hosts.splice(0)).to.deep.equal([host, 'caf\u00e9.example'])
    }
  })

  // Guards against a process that ends, with all its requests, over one of them.
  it('answers a request whose handling fails as possibly run', async () => {
    const socket = connect(server.port, '127.0.0.1')
    let text = ''
    socket.on('data', (bytes) => {
      text += bytes.toString()
    })
    socket.write(requestText('fails'))
    await waitUntil(() => text !== '')
    socket.destroy()
    expect(text).to.match(/^HTTP\/1\.1 502 /)
    expect(errors[0]).to.equal('fails')
  })

  describe('bodies', () => {
    const sockets: Socket[] = []
    afterEach(() => {
      for (const socket of sockets.splice(0)) socket.destroy()
    })

    const open = (): { socket: Socket; received: () => string } => {
      const socket = connect(server.port, '127.0.0.1')
      sockets.push(socket)
      let text = ''
      socket.on('error', () => undefined)
      socket.on('data', (bytes) => {
        text += bytes.toString()
      })
      return { socket, received: () => text }
    }
    const upload = (id: string, headers: string, body = ''): string =>
      `POST / HTTP/1.1\r\nHost: hints.example\r\nX-Id: ${id}\r\n${headers}\r\n\r\n${body}`
    const settle = (): Promise<void> => sleep(80)

    // Guards against a process that is killed because many large bodies arrive at once.
    it('refuses a body that the memory does not hold before it arrives, as not run', async () => {
      const first = open()
      first.socket.write(upload('first', 'Content-Length: 900', 'x'.repeat(100)))
      await settle()
      const second = open()
      second.socket.write(upload('second', 'Content-Length: 200'))
      await settle()
      expect(second.received()).to.match(/^HTTP\/1\.1 503 [^]*retry-after: 0\.500/i)
      first.socket.write('x'.repeat(800))
      await settle()
      expect(ran).to.deep.equal(['first'])
      expect(bodyBudget.usedBytes).to.equal(0)
      // A caller that sent its whole body before it reads keeps its connection.
      second.socket.write('y'.repeat(200) + upload('third', 'Content-Length: 1', 'z'))
      await settle()
      expect(ran).to.deep.equal(['first', 'third'])
    })

    it('refuses a chunked body without end once the memory is used up', async () => {
      const endless = open()
      endless.socket.write(upload('endless', 'Transfer-Encoding: chunked'))
      for (let chunk = 0; chunk < 8; chunk += 1)
        endless.socket.write(`64\r\n${'x'.repeat(100)}\r\n`)
      await settle()
      expect(endless.received()).to.match(/^HTTP\/1\.1 503 /)
      expect(endless.received()).to.match(/connection: close/i)
      expect(bodyBudget.usedBytes).to.equal(0)
    })

    it('rejects a body that is not complete when the caller stops waiting', async () => {
      const slow = open()
      slow.socket.write(upload('slow', 'X-Timeout: 50\r\nContent-Length: 9', 'x'))
      await settle()
      expect(slow.received()).to.match(/^HTTP\/1\.1 408 /)
      expect(ran).to.deep.equal([])
    })

    it('does not run a request whose body breaks off', async () => {
      const broken = open()
      broken.socket.end(upload('broken', 'Content-Length: 9', 'x'))
      await settle()
      expect(ran).to.deep.equal([])
      expect(bodyBudget.usedBytes).to.equal(0)
    })

    it('asks for a body only if it will be read', async () => {
      const accepted = open()
      accepted.socket.write(upload('accepted', 'Expect: 100-continue\r\nContent-Length: 3'))
      const refused = open()
      refused.socket.write(upload('refused', 'Expect: 100-continue\r\nContent-Length: 2000'))
      await settle()
      expect(accepted.received()).to.match(/^HTTP\/1\.1 100 /)
      expect(refused.received()).to.match(/^HTTP\/1\.1 503 /)
      accepted.socket.write('xyz')
      await settle()
      expect(ran).to.deep.equal(['accepted'])
    })
  })
})
