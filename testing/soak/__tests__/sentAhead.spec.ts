/** A real entry process beside callers that keep to no limit: requests ahead, and connections. */
import type { Socket } from 'node:net'
import { expect } from 'chai'
import { monotonicClock, sleep } from '../../../src/common/clock.js'
import { PROBE_HOST, SAFE_HOST, UNSAFE_HOST } from '../deployment.js'
import { EntryPort } from '../entryProcess.js'
import { SingleEntry } from './singleEntry.js'

const SERVERS_PER_SERVICE = 4
/** A third of the heap of a deployment, so that a small crowd uses it up. */
const HEAP_LIMIT_MB = 64
const MEMORY_LIMIT_BYTES = 160 * 1024 * 1024
const DESCRIPTORS = 400
/** Leaves descriptors for the store, peers and servers. */
const MAX_OPEN_DESCRIPTORS = 360
/** Connections that send requests ahead, the bytes that each sends, and the time for it. */
const SENDERS = 24
const SENT_BYTES = 16 * 1024 * 1024
const SENDING_MS = 4000
const BLOCK_BYTES = 64 * 1024
/** More connections than the process has descriptors. */
const CONNECTIONS = 450
/** Connections that the test opens at a time, below the backlog of the listener. */
const CONNECTIONS_AT_ONCE = 50
/** Time that ordinary requests have; no test depends on how much of it they need. */
const REQUEST_TIMEOUT_MS = 30_000

/** Interval of the samples of memory that show the peak of a process that ends. */
const SAMPLING_INTERVAL_MS = 50
const areFiguresPrinted = process.env.TAMARACKDRIFT_TEST_FIGURES !== undefined

/** What a sender sends again and again, and before it. */
interface Flood {
  readonly port: EntryPort
  readonly start?: () => string
  readonly repeated: string
}

const ID = 'X-Tamarackdrift-Request-Id: ahead'
const HOST = `Host: ${SAFE_HOST}`

function request(line: string, ...headers: readonly string[]): string {
  return [line, ...headers, '', ''].join('\r\n')
}

describe('entry process beside callers that keep to no limit', function () {
  this.timeout(120_000)
  const entry = new SingleEntry()
  const crowd: Socket[] = []
  let peakBytes = 0
  let sampling: NodeJS.Timeout | undefined

  before(async () => {
    entry.deployment.routeTimeoutMs = REQUEST_TIMEOUT_MS
    entry.deployment.descriptors = DESCRIPTORS
    entry.callerDeadlineMs = REQUEST_TIMEOUT_MS
    await entry.start(SERVERS_PER_SERVICE, [`--max-old-space-size=${HEAP_LIMIT_MB}`])
  })

  // The peak of resident memory is that of the process, so each test has one of its own.
  beforeEach(async () => {
    entry.process.signal('SIGKILL')
    while (entry.process.isRunning) await sleep(20)
    await entry.restart()
    peakBytes = 0
    sampling = setInterval(() => {
      if (entry.process.isRunning) peakBytes = entry.process.peakResidentBytes || peakBytes
    }, SAMPLING_INTERVAL_MS)
  })

  afterEach(() => {
    clearInterval(sampling)
    if (areFiguresPrinted) console.log(`        peak ${peakBytes} bytes`)
    for (const socket of crowd.splice(0)) socket.destroy()
  })

  after(() => entry.stop())

  function open(port: EntryPort): Socket {
    const { socket } = entry.open(port)
    socket.on('error', () => undefined)
    socket.pause()
    crowd.push(socket)
    return socket
  }

  /** Sends until all is sent, the connection ends, or the time is over; reads nothing. */
  function sendAhead({ port, start, repeated }: Flood): Promise<void> {
    return new Promise((resolve) => {
      const socket = open(port)
      const block = Buffer.from(repeated.repeat(Math.ceil(BLOCK_BYTES / repeated.length)))
      let sentBytes = 0
      const write = (): void => {
        while (sentBytes < SENT_BYTES && socket.writable) {
          sentBytes += block.length
          if (!socket.write(block)) return
        }
      }
      socket.on('drain', write)
      socket.on('close', () => {
        resolve()
      })
      setTimeout(resolve, SENDING_MS)
      socket.write(start?.() ?? '')
      write()
    })
  }

  async function openMany(port: EntryPort, use: (socket: Socket) => void): Promise<void> {
    for (let opened = 0; opened < CONNECTIONS; opened += CONNECTIONS_AT_ONCE) {
      await Promise.all(
        Array.from({ length: CONNECTIONS_AT_ONCE }, () => {
          const socket = open(port)
          return new Promise<void>((resolve) => {
            socket.once('connect', () => {
              use(socket)
              resolve()
            })
            socket.once('close', () => {
              resolve()
            })
          })
        }),
      )
    }
    await sleep(SENDING_MS)
  }

  /**
   * Sends an ordinary request, again when the instance says so: a crowd whose requests are good
   * keeps the servers busy, and what finds no slot is refused.
   */
  async function askAsCaller(): Promise<string> {
    const endMs = monotonicClock() + REQUEST_TIMEOUT_MS
    for (;;) {
      entry.callerDeadlineMs = Math.max(1, Math.round(endMs - monotonicClock()))
      const answer = await entry.exchange(SAFE_HOST, 'GET', '/usual')
      const retryAfter = /^HTTP\/1\.1 503 .*^Retry-After: ([\d.]+)/ims.exec(answer)?.[1]
      if (retryAfter === undefined || monotonicClock() > endMs) return answer
      await sleep(Number(retryAfter) * 1000)
    }
  }

  /** Checks the process beside the crowd, which is still connected. */
  async function expectSound(): Promise<void> {
    expect(entry.process.isRunning, 'runs').to.equal(true)
    const { openDescriptors } = entry.process
    if (areFiguresPrinted) console.log(`        ${openDescriptors} descriptors`)
    expect(openDescriptors).to.be.below(MAX_OPEN_DESCRIPTORS)
    expect(await askAsCaller()).to.match(/^HTTP\/1\.1 200 /)
    const readiness = request('GET /readiness HTTP/1.1', HOST, 'Connection: close')
    expect(await entry.exchangeBytes(EntryPort.Readiness, readiness)).to.match(/^HTTP\/1\.1 200 /)
    const lookUp = request(
      `GET /resolution?name=${SAFE_HOST}&region=east&zone=east-a HTTP/1.1`,
      HOST,
      'Connection: close',
    )
    expect(await entry.exchangeBytes(EntryPort.Directory, lookUp)).to.match(/^HTTP\/1\.1 200 /)
    expect(entry.process.isRunning, 'runs afterwards').to.equal(true)
    expect(entry.process.peakResidentBytes).to.be.below(MEMORY_LIMIT_BYTES)
  }

  // Guards against a process that ends for its memory, with the requests of all other callers,
  // because it reads requests whose answers are not fetched.
  describe('with requests sent ahead, whose answers they do not fetch', () => {
    const callers = EntryPort.Callers
    const floods: Readonly<Record<string, Flood>> = {
      'usual requests': { port: callers, repeated: request('GET /usual HTTP/1.1', HOST, ID) },
      'requests for the head': {
        port: callers,
        repeated: request('HEAD /usual HTTP/1.1', HOST, ID),
      },
      'requests with a body': {
        port: callers,
        repeated: `${request('POST /usual HTTP/1.1', `Host: ${UNSAFE_HOST}`, ID, 'Content-Length: 5')}12345`,
      },
      'requests that expect to be asked for the body': {
        port: callers,
        repeated: `${request('POST /usual HTTP/1.1', HOST, ID, 'Content-Length: 5', 'Expect: 100-continue')}12345`,
      },
      'heads of 7 KB': {
        port: callers,
        repeated: request('GET /usual HTTP/1.1', HOST, ID, `X-Large: ${'x'.repeat(7000)}`),
      },
      'requests without an id': { port: callers, repeated: request('GET /usual HTTP/1.1', HOST) },
      'requests without Host': { port: callers, repeated: request('GET /usual HTTP/1.1', ID) },
      'requests without any header': { port: callers, repeated: request('GET / HTTP/1.1') },
      'requests without any header, behind one that waits': {
        port: callers,
        start: () => entry.requestHead(SAFE_HOST, 'GET', '/usual', []),
        repeated: request('GET / HTTP/1.1'),
      },
      'requests for all targets': {
        port: callers,
        repeated: request('OPTIONS * HTTP/1.1', HOST, ID),
      },
      'paths without a route': {
        port: callers,
        repeated: request('GET /none HTTP/1.1', 'Host: none.example', ID),
      },
      'paths without a route, and a body': {
        port: callers,
        repeated: `${request('POST /none HTTP/1.1', 'Host: none.example', ID, 'Content-Length: 5')}12345`,
      },
      'questions for readiness': {
        port: EntryPort.Readiness,
        repeated: request('GET /readiness HTTP/1.1', 'Host: a'),
      },
      'paths that the readiness port does not have': {
        port: EntryPort.Readiness,
        repeated: request('GET /none HTTP/1.1', 'Host: a'),
      },
      'look-ups': {
        port: EntryPort.Directory,
        repeated: request(`GET /resolution?name=${SAFE_HOST}&region=east HTTP/1.1`, 'Host: a'),
      },
      metrics: {
        port: EntryPort.Metrics,
        repeated: request('GET /metrics HTTP/1.1', 'Host: a'),
      },
    }
    for (const [name, flood] of Object.entries(floods)) {
      it(`keeps its memory and answers others: ${name}`, async () => {
        await Promise.all(Array.from({ length: SENDERS }, () => sendAhead(flood)))
        await expectSound()
      })
    }
  })

  // Guards against a process that accepts no further callers, and reaches neither its store nor
  // its servers, because idle connections have taken its descriptors.
  describe('with more connections than it has descriptors', () => {
    const halfHead = `GET /usual HTTP/1.1\r\n${HOST}\r\nX-Large: ${'x'.repeat(12_000)}`
    const uses: Readonly<Record<string, { port: EntryPort; use: (socket: Socket) => void }>> = {
      'that send nothing': { port: EntryPort.Callers, use: () => undefined },
      'that send half a head': {
        port: EntryPort.Callers,
        use: (socket) => socket.write(halfHead),
      },
      'that send half a body': {
        port: EntryPort.Callers,
        use: (socket) =>
          socket.write(
            entry.requestHead(SAFE_HOST, 'POST', '/usual', ['Content-Length: 9']) + '1234',
          ),
      },
      'that send heads in single bytes': { port: EntryPort.Callers, use: sendSingleBytes },
      'that end their direction and read nothing': {
        port: EntryPort.Callers,
        use: (socket) => socket.end(entry.requestHead(SAFE_HOST, 'GET', '/usual', [])),
      },
      'that send requests ahead': {
        port: EntryPort.Callers,
        use: (socket) => socket.write(request('GET /none HTTP/1.1', HOST, ID).repeat(200)),
      },
      'that send nothing, at the readiness port': {
        port: EntryPort.Readiness,
        use: () => undefined,
      },
      'that send nothing, at the directory': { port: EntryPort.Directory, use: () => undefined },
      'that send nothing, at the metrics': { port: EntryPort.Metrics, use: () => undefined },
    }

    function sendSingleBytes(socket: Socket): void {
      const head = Buffer.from(halfHead)
      let sentBytes = 0
      const timer = setInterval(() => {
        socket.write(head.subarray(sentBytes, sentBytes + 1))
        sentBytes += 1
        if (sentBytes === head.length || !socket.writable) clearInterval(timer)
      }, 20)
      socket.on('close', () => {
        clearInterval(timer)
      })
    }

    for (const [name, { port, use }] of Object.entries(uses)) {
      it(`goes on with others and its store: ${name}`, async () => {
        await openMany(port, use)
        await expectSound()
        const version = entry.deployment.publishNextVersion()
        const endMs = monotonicClock() + REQUEST_TIMEOUT_MS
        let answer = ''
        while (!answer.startsWith('HTTP/1.1 200 ') && monotonicClock() < endMs) {
          await sleep(100)
          answer = await entry.exchange(PROBE_HOST, 'GET', `/v${version}/`)
        }
        expect(answer).to.match(/^HTTP\/1\.1 200 /)
      })
    }
  })
})
