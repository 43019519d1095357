/** How backend servers end answers without a length, at a real entry process. */
import type { Socket } from 'node:net'
import { connect } from 'node:net'
import { expect } from 'chai'
import { sleep } from '../../../src/common/clock.js'
import { ConnectionEnd } from '../../../src/common/connectionEnd.js'
import type { ReceivedBytes } from '../../receiveAll.js'
import { receiveAll } from '../../receiveAll.js'
import { SAFE_HOST, UNSAFE_HOST } from '../deployment.js'
import { EntryPort } from '../entryProcess.js'
import { framedAnswer, requestIdOf, unframedAnswer } from './answerBytes.js'
import { SingleEntry } from './singleEntry.js'

/** Requests of a test; each third answer has no length. */
const REQUESTS = 60
const REQUEST_PAUSE_MS = 10
const BODY_BYTES = 5000
const LARGE_BODY_BYTES = 200_000
const PIECE_PAUSE_MS = 10

type EndAnswer = (socket: Socket, body: Buffer) => Promise<void> | void

interface Received {
  readonly status: number
  readonly body: string
  /** Whether nothing shows that bytes are missing. */
  readonly isComplete: boolean
}

/** Size of the body, and how a server breaks off behind the head of its answer. */
const RESETS: Readonly<Record<string, readonly [bodyBytes: number, EndAnswer]>> = {
  'behind the head': [
    BODY_BYTES,
    (socket) => {
      socket.resetAndDestroy()
    },
  ],
  'within the body': [
    BODY_BYTES,
    (socket, body) => {
      socket.write(body.subarray(0, 3000))
      socket.resetAndDestroy()
    },
  ],
  'within a large body': [
    LARGE_BODY_BYTES,
    (socket, body) => {
      socket.write(body.subarray(0, 150_000))
      socket.resetAndDestroy()
    },
  ],
  'behind a second piece': [
    BODY_BYTES,
    async (socket, body) => {
      socket.write(body.subarray(0, 1500))
      await sleep(PIECE_PAUSE_MS)
      socket.write(body.subarray(1500, 3000))
      socket.resetAndDestroy()
    },
  ],
  'some time after the last bytes': [
    BODY_BYTES,
    async (socket, body) => {
      socket.write(body.subarray(0, 3000))
      await sleep(4 * PIECE_PAUSE_MS)
      socket.resetAndDestroy()
    },
  ],
}

const REGULAR_ENDS: Readonly<Record<string, readonly [bodyBytes: number, EndAnswer]>> = {
  'at once': [BODY_BYTES, (socket, body) => void socket.end(body)],
  'in both directions': [
    BODY_BYTES,
    (socket, body) => {
      socket.end(body, () => socket.destroy())
    },
  ],
  'behind three pieces': [
    BODY_BYTES,
    async (socket, body) => {
      socket.write(body.subarray(0, 1000))
      await sleep(PIECE_PAUSE_MS)
      socket.write(body.subarray(1000, 2000))
      await sleep(PIECE_PAUSE_MS)
      socket.end(body.subarray(2000))
    },
  ],
  'behind a large body': [LARGE_BODY_BYTES, (socket, body) => void socket.end(body)],
}

function toReceived({ text, end }: ReceivedBytes): Received {
  const headEnd = text.indexOf('\r\n\r\n')
  const head = text.slice(0, headEnd)
  const body = text.slice(headEnd + 4)
  const length = /content-length: *(\d+)/i.exec(head)?.[1]
  return {
    status: Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1]),
    body,
    isComplete:
      length === undefined ? end === ConnectionEnd.Regular : body.length === Number(length),
  }
}

describe('entry process and the end of answers without a length', function () {
  this.timeout(60_000)
  const entry = new SingleEntry()

  before(async () => {
    await entry.start(4)
    for (const { standIn } of entry.deployment.servers) standIn.workDurationMs = 10
  })

  after(() => entry.stop())

  /** Sends requests; each third answer has no length, and `end` ends it. */
  async function exchangeAll(host: string, body: Buffer, end: EndAnswer): Promise<Received[]> {
    let count = 0
    for (const { standIn } of entry.deployment.servers) {
      standIn.replaceAnswer = (request) => {
        count += 1
        const requestId = requestIdOf(request)
        if (count % 3 !== 0) return framedAnswer(requestId, body)
        process.nextTick(() => void end(request.socket, body))
        return unframedAnswer(requestId, 0)
      }
    }
    const received: Promise<Received>[] = []
    for (let index = 0; index < REQUESTS; index += 1) {
      received.push(exchange(host))
      await sleep(REQUEST_PAUSE_MS)
    }
    return Promise.all(received)
  }

  async function exchange(host: string): Promise<Received> {
    const socket = connect({ port: EntryPort.Callers, host: entry.host, allowHalfOpen: true })
    socket.write(entry.requestHead(host, 'GET', '/hint', ['Connection: close']))
    return toReceived(await receiveAll(socket))
  }

  for (const host of [SAFE_HOST, UNSAFE_HOST]) {
    for (const [name, [bytes, end]] of Object.entries(RESETS)) {
      // Guards against a truncated success that looks complete, because Node.js reports a reset
      // which arrives with the last bytes as the end of the connection.
      it(`with a reset ${name} do not look complete to callers of ${host}`, async () => {
        const body = Buffer.alloc(bytes, 'z')
        const answers = await exchangeAll(host, body, end)
        const complete = answers.filter(({ status, isComplete }) => status === 200 && isComplete)
        for (const { body: received } of complete) expect(received).to.equal(body.toString())
        expect(complete.length).to.be.within(REQUESTS / 2, REQUESTS)
      })
    }

    for (const [name, [bytes, end]] of Object.entries(REGULAR_ENDS)) {
      // Guards against whole answers that are taken for truncated ones.
      it(`in order ${name} reach callers of ${host} whole`, async () => {
        const body = Buffer.alloc(bytes, 'z')
        for (const answer of await exchangeAll(host, body, end)) {
          expect(answer).to.deep.equal({ status: 200, body: body.toString(), isComplete: true })
        }
      })
    }
  }
})
