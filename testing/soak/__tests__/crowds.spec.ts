/** Crowds of clients that keep to no limit, with bodies and heads of many small parts. */
import type { Socket } from 'node:net'
import { sleep } from '../../../src/common/clock.js'
import { UNSAFE_HOST } from '../deployment.js'
import { CrowdedEntry } from './crowdedEntry.js'

/** Heap of a deployment. */
const HEAP_LIMIT_MB = 200
/** Memory of a machine, which the settings of the test state. */
const MEMORY_MB = 350
const DESCRIPTORS = 1600
/** Leaves descriptors for the store, peers and servers. */
const MAX_OPEN_DESCRIPTORS = 1280
/** Largest body and head that operators allow today, in bytes. */
const BODY_LIMIT_BYTES = 64 * 1024 * 1024
const HEAD_LIMIT_BYTES = 16 * 1024
/** Time for which a crowd sends, in milliseconds; what is not taken until then stays unsent. */
const SENDING_MS = 6000
const NO_ROUTE_HOST = 'none.example'

interface Crowd {
  readonly clients: number
  readonly bytes: number
  readonly start: (id: string) => string
  /** Sent again and again behind the start, up to the bytes. */
  readonly repeated: Buffer
}

function chunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`
}

/** Head of a body in chunks, whose end is never sent. */
function openBody(host: string): (id: string) => string {
  return (id) =>
    [
      'POST /upload HTTP/1.1',
      `Host: ${host}`,
      `X-Tamarackdrift-Request-Id: ${id}`,
      'X-Tamarackdrift-Deadline-Milliseconds: 30000',
      'Transfer-Encoding: chunked',
      '',
      '',
    ].join('\r\n')
}

/** Whole requests for a path without a route, whose heads have as many lines as fit. */
function headOf(line: (index: number) => string): Buffer {
  let head = [
    'GET /none HTTP/1.1',
    `Host: ${NO_ROUTE_HOST}`,
    'X-Tamarackdrift-Request-Id: crowd',
    '',
  ].join('\r\n')
  for (let index = 0; ; index += 1) {
    const next = `${line(index)}\r\n`
    if (head.length + next.length + 2 > HEAD_LIMIT_BYTES - 1024) break
    head += next
  }
  return Buffer.from(`${head}\r\n`)
}

const LARGE_CHUNKS = Buffer.from(chunk(64 * 1024))
const SMALLEST_CHUNKS = Buffer.from(chunk(1).repeat(10_000))
const nothing = (): string => ''

const CROWDS: Readonly<Record<string, Crowd>> = {
  'bodies in large chunks': {
    clients: 300,
    bytes: 4_000_000,
    start: openBody(UNSAFE_HOST),
    repeated: LARGE_CHUNKS,
  },
  'bodies in large chunks, twice as many': {
    clients: 600,
    bytes: 4_000_000,
    start: openBody(UNSAFE_HOST),
    repeated: LARGE_CHUNKS,
  },
  'bodies in large chunks at a path without a route': {
    clients: 300,
    bytes: 4_000_000,
    start: openBody(NO_ROUTE_HOST),
    repeated: LARGE_CHUNKS,
  },
  'bodies in the smallest chunks': {
    clients: 150,
    bytes: 1_000_000,
    start: openBody(UNSAFE_HOST),
    repeated: SMALLEST_CHUNKS,
  },
  'bodies in the smallest chunks at a path without a route': {
    clients: 150,
    bytes: 1_000_000,
    start: openBody(NO_ROUTE_HOST),
    repeated: SMALLEST_CHUNKS,
  },
  'heads of many short lines': {
    clients: 300,
    bytes: 2_000_000,
    start: nothing,
    repeated: headOf((index) => `${index.toString(36)}:`),
  },
  'heads of many lines of one name': {
    clients: 300,
    bytes: 2_000_000,
    start: nothing,
    repeated: headOf(() => 'x:'),
  },
  'heads of many odd lines': {
    clients: 300,
    bytes: 2_000_000,
    start: nothing,
    repeated: headOf((index) => `!#$%&'*+.^_|~${index}:\t \u00e9`),
  },
}

/** Sends until all is sent, the connection ends, or the time is over. */
function send(socket: Socket, { bytes, start, repeated }: Crowd, id: string): Promise<void> {
  return new Promise((resolve) => {
    let sentBytes = 0
    const write = (): void => {
      while (sentBytes < bytes && socket.writable) {
        sentBytes += repeated.length
        if (!socket.write(repeated)) return
      }
      if (sentBytes >= bytes) resolve()
    }
    socket.on('drain', write)
    socket.on('close', () => {
      resolve()
    })
    setTimeout(resolve, SENDING_MS)
    socket.write(start(id))
    write()
  })
}

describe('entry process beside a crowd that sends without limits', function () {
  this.timeout(180_000)
  const crowded = new CrowdedEntry({
    memoryBytes: MEMORY_MB * 1024 * 1024,
    openDescriptors: MAX_OPEN_DESCRIPTORS,
  })

  before(async () => {
    crowded.entry.deployment.descriptors = DESCRIPTORS
    crowded.entry.deployment.memoryMb = MEMORY_MB
    crowded.entry.deployment.bodyBytes = BODY_LIMIT_BYTES
    await crowded.start(4, HEAP_LIMIT_MB)
  })

  beforeEach(() => crowded.renew())

  afterEach(() => {
    crowded.finish()
  })

  after(() => crowded.stop())

  for (const [name, crowd] of Object.entries(CROWDS)) {
    // Guards against a process that ends for its memory, or answers nobody, because what a crowd
    // sends is kept or parsed without a bound; and against one that goes on with it afterwards.
    it(`keeps its memory and answers others: ${name}`, async () => {
      let count = 0
      await crowded.gather(crowd.clients, (socket) => {
        count += 1
        return send(socket, crowd, `crowd-${count}`)
      })
      await crowded.expectSound('beside the crowd')
      crowded.disperse()
      await sleep(100)
      await crowded.expectSound('after the crowd')
    })
  }
})
