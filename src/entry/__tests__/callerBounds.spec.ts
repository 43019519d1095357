import type { Socket } from 'node:net'
import { connect } from 'node:net'
import { expect } from 'chai'
import * as fc from 'fast-check'
import { ByteBudget } from '../../common/byteBudget.js'
import { monotonicClock, sleep } from '../../common/clock.js'
import type { ListenerBounds } from '../../callers/callerBounds.js'
import { DEFAULT_CALLER_BOUNDS } from '../../callers/callerBounds.js'
import type { CallerAnswer, CallerRequest } from '../callerRequest.js'
import { CallerServer } from '../callerServer.js'
import { ANSWER_MEMORY_BYTES } from '../connectionPool.js'
import { ConnectionUse, leastNeeded } from '../../callers/connectionLimits.js'

const HEADERS = {
  requestId: 'x-id',
  callerTimeout: 'x-timeout',
  objectCookie: 'object',
  reserved: new Set<string>(),
}
const MAX_WAIT_MS = 10_000

async function waitUntil(isDone: () => boolean): Promise<void> {
  const untilMs = monotonicClock() + MAX_WAIT_MS
  while (!isDone() && monotonicClock() < untilMs) await sleep(5)
}

/** Kinds of bodies; their bytes contain what ends a head. */
const BODIES: Readonly<Record<string, { lines: readonly string[]; bytes: string; body: string }>> =
  {
    none: { lines: [], bytes: '', body: '' },
    sized: { lines: ['Content-Length: 9'], bytes: 'ab\r\n\r\ncde', body: 'ab\r\n\r\ncde' },
    chunked: {
      lines: ['Transfer-Encoding: chunked'],
      bytes: '5\r\na\r\n\r\n\r\n2\r\nbc\r\n0\r\nTrailer: x\r\n\r\n',
      body: 'a\r\n\r\nbc',
    },
  }

function requestText(id: number, kind: string): string {
  const { lines = [], bytes = '' } = BODIES[kind] ?? {}
  return `POST / HTTP/1.1\r\nHost: a\r\nX-Id: ${id}\r\n${lines.map((line) => `${line}\r\n`).join('')}\r\n${bytes}`
}

describe('bounds of callers', () => {
  let server: CallerServer
  let read: { id: string; body: string }[]
  let answers: ((answer: CallerAnswer) => void)[]
  let isAnswering: boolean
  let answerBytes: number
  const sockets: Socket[] = []

  const done = (): CallerAnswer => ({ status: 200, headers: [], body: Buffer.alloc(answerBytes) })

  async function start(bounds: Partial<ListenerBounds>): Promise<void> {
    read = []
    answers = []
    isAnswering = true
    answerBytes = 4
    server = new CallerServer({
      headers: HEADERS,
      clock: monotonicClock,
      bodyBudget: new ByteBudget(1_000_000),
      answerBudget: new ByteBudget(ANSWER_MEMORY_BYTES),
      limits: () => undefined,
      isEventLoopDelayed: () => false,
      onError: () => undefined,
      bounds: { ...DEFAULT_CALLER_BOUNDS.callers, ...bounds },
      run: (request: CallerRequest) => {
        read.push({ id: request.requestId, body: request.body.toString() })
        if (isAnswering) return Promise.resolve(done())
        return new Promise((resolve) => answers.push(resolve))
      },
    })
    await server.start('127.0.0.1', 0)
  }

  function open(): { readonly socket: Socket; readonly answered: () => number } {
    const socket = connect({ port: server.port, host: '127.0.0.1', noDelay: true })
    let text = ''
    socket.setEncoding('latin1')
    socket.on('data', (bytes) => {
      text += bytes.toString()
    })
    socket.on('error', () => undefined)
    sockets.push(socket)
    return { socket, answered: () => text.split('HTTP/1.1 200 OK').length - 1 }
  }

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy()
    server.stop(monotonicClock())
  })

  // Guards against requests that are lost, merged or changed because the input is divided.
  it('reads the same requests however the bytes arrive', async () => {
    await start({ requestsPerConnection: 3 })
    const kinds = fc.array(fc.constantFrom(...Object.keys(BODIES)), { minLength: 1, maxLength: 3 })
    const cuts = fc.array(fc.nat(400), { maxLength: 6 })
    await fc.assert(
      fc.asyncProperty(kinds, cuts, async (kindsSent, cutsAt) => {
        read = []
        const { socket, answered } = open()
        const text = kindsSent.map((kind, id) => requestText(id, kind)).join('')
        let sent = 0
        for (const cut of [...cutsAt.sort((left, right) => left - right), text.length]) {
          socket.write(text.slice(sent, cut))
          sent = Math.min(Math.max(sent, cut), text.length)
          await sleep(1)
        }
        await waitUntil(() => answered() === kindsSent.length)
        socket.destroy()
        expect(answered()).to.equal(kindsSent.length)
        const expected = kindsSent.map((kind, id) => ({ id: `${id}`, body: BODIES[kind]?.body }))
        // Requests run at once, and a body may be complete before that of an earlier one.
        expect(read.sort((left, right) => left.id.localeCompare(right.id))).to.deep.equal(expected)
      }),
      { numRuns: 40, seed: 39 },
    )
  })

  // Guards against a process that makes thousands of requests of one chunk of bytes.
  for (const kind of Object.keys(BODIES)) {
    it(`reads no more than it may ahead, and loses none of the rest: ${kind}`, async () => {
      await start({ requestsPerConnection: 4 })
      isAnswering = false
      const { socket, answered } = open()
      const count = 12
      socket.write(Array.from({ length: count }, (_, id) => requestText(id, kind)).join(''))
      await waitUntil(() => server.openRequests >= 4)
      await sleep(100)
      expect(server.openRequests).to.equal(4)
      isAnswering = true
      for (const answer of answers) answer(done())
      await waitUntil(() => answered() === count)
      expect(answered()).to.equal(count)
    })
  }

  // Guards against a connection that stops for ever, or loses requests, when Node.js itself stops
  // reading because answers wait behind one that is not ready.
  it('answers all requests whose answers wait for earlier ones, as they are sent bit by bit', async () => {
    await start({ requestsPerConnection: 16 })
    isAnswering = false
    answerBytes = 40_000
    const { socket, answered } = open()
    const count = 48
    const kinds = Object.keys(BODIES)
    const answerLast = setInterval(() => answers.pop()?.(done()), 3)
    for (let id = 0; id < count; id += 1) {
      const text = requestText(id, kinds[id % kinds.length] ?? '')
      socket.write(text.slice(0, 40))
      if (id % 5 === 0) await sleep(4)
      socket.write(text.slice(40))
      if (id % 7 === 0) socket.pause()
      await sleep(1)
      socket.resume()
    }
    await waitUntil(() => answered() === count)
    clearInterval(answerLast)
    expect(answered()).to.equal(count)
    expect(read.map(({ id }) => id)).to.have.members(
      Array.from({ length: count }, (_, id) => `${id}`),
    )
  })

  // Guards against answers without bound to a caller that fetches none of them.
  it('reads no requests ahead while too many bytes of answers are not fetched', async () => {
    await start({ answerBytesPerConnection: 1_000_000 })
    // More than the system buffers, and less than the memory for answers.
    answerBytes = 200_000
    const { socket } = open()
    socket.pause()
    const block = Array.from({ length: 100 }, (_, id) => requestText(id, 'none')).join('')
    socket.write(block)
    // How many are read before the answers count depends on how many are parsed in one turn.
    let readBefore = 0
    while (readBefore !== read.length || readBefore === 0) {
      readBefore = read.length
      await sleep(300)
    }
    expect(readBefore).to.be.at.most(100)
    socket.write(block)
    await sleep(300)
    expect(server.openRequests).to.be.above(0)
    expect(read.length).to.equal(readBefore)
  })

  // Guards against connections that hold memory for ever, and against the close of slow ones.
  it('closes a connection that fetches nothing, and none that fetches slowly', async () => {
    await start({ fetchTimeoutMs: 600 })
    answerBytes = 16_000_000
    const receivedBytes = { silent: 0, slow: 0 }
    const { silent, slow } = { silent: open().socket, slow: open().socket }
    for (const socket of [silent, slow]) {
      socket.pause()
      socket.write(requestText(1, 'none'))
    }
    slow.on('data', (bytes) => {
      receivedBytes.slow += bytes.length
      slow.pause()
    })
    silent.pause()
    const reading = setInterval(() => slow.resume(), 5)
    await waitUntil(() => receivedBytes.slow > answerBytes)
    clearInterval(reading)
    silent.on('data', (bytes) => {
      receivedBytes.silent += bytes.length
    })
    let isSilentClosed = false
    silent.once('close', () => {
      isSilentClosed = true
    })
    silent.resume()
    await waitUntil(() => isSilentClosed)
    expect(receivedBytes.slow).to.be.above(answerBytes)
    expect(receivedBytes.silent).to.be.below(answerBytes)
  })

  // Guards against callers that can't connect because idle connections use up the bound.
  it('closes the connections that are needed least, for new ones', async () => {
    await start({ connections: 3 })
    isAnswering = false
    const running = open()
    running.socket.write(requestText(1, 'none'))
    await waitUntil(() => server.openRequests === 1)
    const silent = [open(), open(), open()]
    await waitUntil(() => silent[0]?.socket.destroyed === true)
    expect(running.socket.destroyed).to.equal(false)
    const last = open()
    last.socket.write(requestText(2, 'none'))
    await waitUntil(() => server.openRequests === 2)
    for (const answer of answers) answer(done())
    await waitUntil(() => running.answered() + last.answered() === 2)
    expect([running.answered(), last.answered()]).to.deep.equal([1, 1])
  })

  it('prefers connections that were never used, then idle ones, and spares those in use', () => {
    const uses = [ConnectionUse.Running, ConnectionUse.Unfetched, ConnectionUse.Idle]
    expect(leastNeeded(uses, (use) => use)).to.equal(ConnectionUse.Idle)
    expect(leastNeeded([...uses, ConnectionUse.Unused], (use) => use)).to.equal(
      ConnectionUse.Unused,
    )
    expect(leastNeeded([ConnectionUse.Running], (use) => use)).to.equal(undefined)
  })
})
