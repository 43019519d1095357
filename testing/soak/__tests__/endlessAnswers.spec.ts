/** Memory and other requests of a real entry process beside servers and callers in trouble. */
import type { IncomingMessage } from 'node:http'
import { Agent, request as httpRequest } from 'node:http'
import { expect } from 'chai'
import { monotonicClock, sleep } from '../../../src/common/clock.js'
import { SAFE_HOST, UNSAFE_HOST } from '../deployment.js'
import { EntryPort } from '../entryProcess.js'
import { SingleEntry } from './singleEntry.js'

const SERVERS_PER_SERVICE = 6
const ROUTE_TIMEOUT_MS = 4000
const FAULT_DURATION_MS = 6000
/** Callers of the load without a fault, with which each load beside a fault is compared. */
const USUAL_CALLERS = 40
/** Memory of the smallest machines. */
const MEMORY_LIMIT_BYTES = 250 * 1024 * 1024
/** Answers of sound servers during the fault, as a fraction of those without it. */
const MIN_SOUND_FRACTION = 0.7
const BLOCK_BYTES = 64 * 1024
/** Callers that do not read their answer, and its size. */
const SLOW_CALLERS = 30
const LARGE_BYTES = 12_000_000

const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'
const endless: Readonly<Record<string, { callers: number; start: string; repeat: string }>> = {
  'chunks of 8 bytes': { callers: 40, start: CHUNKED, repeat: '8\r\nxxxxxxxx\r\n' },
  'chunks of 5 bytes, to many callers': {
    callers: 150,
    start: CHUNKED,
    repeat: '5\r\nxxxxx\r\n',
  },
  'chunks of 2,000 bytes': {
    callers: 40,
    start: CHUNKED,
    repeat: `7d0\r\n${'x'.repeat(2000)}\r\n`,
  },
  'a body without a length': { callers: 40, start: '\r\n', repeat: 'x'.repeat(2000) },
  trailers: { callers: 40, start: `${CHUNKED}1\r\nx\r\n0\r\n`, repeat: 'a: b\r\n' },
  'interim answers': { callers: 40, start: '', repeat: 'HTTP/1.1 100 Continue\r\n\r\n' },
}

/** What became of the requests of all callers. */
interface Counts {
  answered: number
  /** Identifiers of requests whose connection ended without an answer. */
  readonly cut: string[]
}

describe('entry process beside servers that send without end', function () {
  this.timeout(90_000)
  const entry = new SingleEntry()
  let flood: { start: string; block: Buffer } | undefined
  let soundAnswers = 0
  let requestCount = 0

  before(async () => {
    entry.deployment.routeTimeoutMs = ROUTE_TIMEOUT_MS
    await entry.start(SERVERS_PER_SERVICE)
    for (const [index, { standIn }] of entry.deployment.servers.entries()) {
      const isFaulty = index % 2 === 1
      standIn.replaceAnswer = (request) => {
        if (!isFaulty) soundAnswers += 1
        if (!isFaulty || flood === undefined) return undefined
        sendWithoutEnd(request, flood.start, flood.block)
        return Buffer.alloc(0)
      }
    }
  })

  let usualSoundAnswers = 0

  before(async () => {
    await load(USUAL_CALLERS)
    usualSoundAnswers = soundAnswers
  })

  beforeEach(() => entry.restart())

  after(() => entry.stop())

  function sendWithoutEnd(request: IncomingMessage, start: string, block: Buffer): void {
    const { socket } = request
    const id = String(request.headers['x-tamarackdrift-request-id'])
    const head =
      start === ''
        ? ''
        : `HTTP/1.1 200 OK\r\nX-Tamarackdrift-Request-Id: ${id}\r\n` +
          `X-Tamarackdrift-Response-Signature: sig\r\n${start}`
    socket.write(head)
    const write = (): void => {
      if (!socket.destroyed && socket.write(block)) setImmediate(write)
    }
    socket.on('drain', write)
    write()
  }

  /** Sends requests one after the other on a kept connection. */
  async function call(host: string, method: string, endMs: number, counts: Counts): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (monotonicClock() < endMs) {
      requestCount += 1
      const id = `endless-${requestCount}`
      await new Promise<void>((resolve) => {
        const options = {
          host: entry.host,
          port: EntryPort.Callers,
          path: '/usual',
          method,
          agent,
          headers: {
            Host: host,
            'X-Tamarackdrift-Request-Id': id,
            'X-Tamarackdrift-Deadline-Milliseconds': String(ROUTE_TIMEOUT_MS),
          },
        }
        const fail = (): void => {
          counts.cut.push(id)
          resolve()
        }
        httpRequest(options, (response) => {
          response.resume()
          response.on('error', fail)
          response.on('end', () => {
            if (response.statusCode === 200) counts.answered += 1
            resolve()
          })
        })
          .on('error', fail)
          .end()
      })
    }
    agent.destroy()
  }

  async function load(callers: number): Promise<Counts> {
    const counts: Counts = { answered: 0, cut: [] }
    const endMs = monotonicClock() + FAULT_DURATION_MS
    await Promise.all(
      Array.from({ length: callers }, (_value, index) =>
        index % 2 === 0
          ? call(SAFE_HOST, 'GET', endMs, counts)
          : call(UNSAFE_HOST, 'POST', endMs, counts),
      ),
    )
    return counts
  }

  /** Restarts the process, so that it avoids no server because of an earlier test. */
  async function startAnew(): Promise<void> {
    entry.process.signal('SIGKILL')
    while (entry.process.isRunning) await sleep(20)
    await entry.restart()
  }

  // Guards against a process that ends for its memory, with the requests of other callers, and
  // against sound servers that get no requests because parsing takes the processor.
  for (const [name, { callers, start, repeat }] of Object.entries(endless)) {
    it(`keeps its memory and goes on serving: ${name}`, async () => {
      await startAnew()
      soundAnswers = 0
      const block = Buffer.from(repeat.repeat(Math.ceil(BLOCK_BYTES / repeat.length)))
      flood = { start, block }
      const counts = await load(callers)
      flood = undefined
      expect(entry.process.isRunning).to.equal(true)
      expect(counts.cut).to.deep.equal([])
      expect(entry.process.peakResidentBytes).to.be.below(MEMORY_LIMIT_BYTES)
      expect(soundAnswers).to.be.above(MIN_SOUND_FRACTION * usualSoundAnswers)
      expect(counts.answered).to.be.above(0)
    })
  }

  // Guards against a process that ends for its memory, because callers do not fetch large answers.
  it('keeps its memory beside callers that fetch nothing', async () => {
    await startAnew()
    for (const { standIn } of entry.deployment.servers) {
      standIn.replaceAnswer = (request) =>
        request.url === '/large'
          ? largeAnswer(String(request.headers['x-tamarackdrift-request-id']))
          : undefined
    }
    const idle = Array.from({ length: SLOW_CALLERS }, () => {
      const { socket } = entry.open(EntryPort.Callers)
      socket.on('error', () => undefined)
      socket.pause()
      socket.write(entry.requestHead(SAFE_HOST, 'GET', '/large', []))
      return socket
    })
    const counts = await load(USUAL_CALLERS)
    for (const socket of idle) socket.destroy()
    expect(entry.process.isRunning).to.equal(true)
    expect(counts.cut).to.deep.equal([])
    expect(counts.answered).to.be.above(0)
    expect(entry.process.peakResidentBytes).to.be.below(MEMORY_LIMIT_BYTES)
  })
})

function largeAnswer(requestId: string): Buffer {
  const head =
    `HTTP/1.1 200 OK\r\nX-Tamarackdrift-Request-Id: ${requestId}\r\n` +
    `X-Tamarackdrift-Response-Signature: sig\r\nContent-Length: ${LARGE_BYTES}\r\n\r\n`
  return Buffer.concat([Buffer.from(head), Buffer.alloc(LARGE_BYTES, 'y')])
}
