/** Closes of a real entry process while callers still send: the last answer must arrive. */
import { connect } from 'node:net'
import { expect } from 'chai'
import { monotonicClock, sleep } from '../../../src/common/clock.js'
import { GRACE_PERIOD_MS, SAFE_HOST } from '../deployment.js'
import { EntryPort } from '../entryProcess.js'
import { SingleEntry } from './singleEntry.js'

const PIECE = Buffer.alloc(64 * 1024, 'x')

describe('entry process that closes a connection', function () {
  this.timeout(60_000)
  const entry = new SingleEntry()

  before(async () => {
    await entry.start(4)
    for (const { standIn } of entry.deployment.servers) {
      standIn.workDurationMs = 100
      standIn.replaceAnswer = (request) =>
        request.url === '/large'
          ? largeAnswer(String(request.headers['x-tamarackdrift-request-id']))
          : undefined
    }
  })

  beforeEach(() => entry.restart())

  after(() => entry.stop())

  // Guards against rejections that are lost because the process closes a connection in both
  // directions while the caller still sends its body.
  describe('on a request that it rejects', () => {
    const BODY_BYTES = 4 * 1024 * 1024
    const CALLERS = 20

    /** Sends everything and reads after it. @returns the status, or the code of the error */
    function sendThenRead(head: string): Promise<string> {
      return new Promise((resolve) => {
        const socket = connect(EntryPort.Callers, entry.host)
        let received = ''
        let unsentBytes = BODY_BYTES
        socket.pause()
        socket.on('data', (bytes) => {
          received += bytes.toString('latin1')
        })
        socket.on('error', (error: NodeJS.ErrnoException) => {
          resolve(error.code ?? error.message)
        })
        socket.on('end', () => {
          resolve(/^HTTP\/1\.1 (\d{3})/.exec(received)?.[1] ?? 'no answer')
        })
        const sendPiece = (): void => {
          unsentBytes -= PIECE.length
          socket.write(PIECE, () => {
            if (unsentBytes > 0) sendPiece()
            else socket.resume()
          })
        }
        socket.write(head, 'latin1')
        sendPiece()
      })
    }

    const length = `Content-Length: ${BODY_BYTES}`
    const large = `X-Large: ${'x'.repeat(20_000)}`
    const cases: Readonly<Record<string, { status: string; head: () => string }>> = {
      'a body over the limit': {
        status: '413',
        head: () => entry.requestHead(SAFE_HOST, 'POST', '/usual', [length]),
      },
      'a head over the limit': {
        status: '431',
        head: () => entry.requestHead(SAFE_HOST, 'POST', '/usual', [length, large]),
      },
      'a target that is no path': {
        status: '400',
        head: () => entry.requestHead(SAFE_HOST, 'POST', 'http://a/', [length]),
      },
      'a head that is not HTTP': { status: '400', head: () => 'not HTTP\r\n\r\n' },
      'a body that is not chunked properly': {
        status: '400',
        head: () => entry.requestHead(SAFE_HOST, 'POST', '/usual', ['Transfer-Encoding: chunked']),
      },
    }
    for (const [name, { status, head }] of Object.entries(cases)) {
      it(`delivers ${status} to callers that are still sending: ${name}`, async () => {
        const answers = Array.from({ length: CALLERS }, () => sendThenRead(head()))
        const expected = Array.from({ length: CALLERS }, () => status)
        expect(await Promise.all(answers)).to.deep.equal(expected)
      })
    }

    // Guards against requests that were passed on and end without an answer, because the bytes
    // behind them are no request.
    it('answers the requests before bytes that are no request', async () => {
      const bytes = entry.requestHead(SAFE_HOST, 'GET', '/usual', [])
      const received = await entry.exchangeBytes(EntryPort.Callers, `${bytes}not HTTP\r\n\r\n`)
      expect(received).to.match(/^HTTP\/1\.1 200 .*Connection: close/is)
    })
  })

  // Guards against answers that a planned stop cuts, because callers send further requests behind
  // the answer that closes their connection.
  describe('on SIGTERM', () => {
    const CALLERS = 12
    const DEPTH = 4
    const LOAD_BEFORE_STOP_MS = 700
    /** Bytes that a caller reads at a time, and the pause after them; 1 MB/s. */
    const READ_BYTES = 16 * 1024
    const READ_PAUSE_MS = 16

    /** Keeps requests open until an answer closes the connection. @returns bytes that are missing */
    function pipeline(): Promise<number> {
      return new Promise((resolve) => {
        let received = Buffer.alloc(0)
        let isClosing = false
        let answerBytes = 0
        const sendNext = (): void => {
          socket.write(entry.requestHead(SAFE_HOST, 'GET', '/large', []))
        }
        const readAnswers = (): void => {
          for (;;) {
            const headEnd = received.indexOf('\r\n\r\n')
            if (headEnd < 0) return
            const head = received.subarray(0, headEnd).toString('latin1')
            answerBytes = headEnd + 4 + Number(/content-length: *(\d+)/i.exec(head)?.[1])
            if (/connection: close/i.test(head)) isClosing = true
            if (received.length < answerBytes) return
            received = received.subarray(answerBytes)
            answerBytes = 0
            if (!isClosing) sendNext()
          }
        }
        const socket = connect({
          port: EntryPort.Callers,
          host: entry.host,
          onread: {
            buffer: Buffer.alloc(READ_BYTES),
            callback: (count, buffer) => {
              received = Buffer.concat([received, buffer.subarray(0, count)])
              readAnswers()
              setTimeout(() => socket.resume(), READ_PAUSE_MS)
              return false
            },
          },
        })
        socket.on('error', () => undefined)
        socket.on('close', () => {
          resolve(received.length === 0 ? 0 : answerBytes - received.length)
        })
        socket.on('connect', () => {
          for (let count = 0; count < DEPTH; count += 1) sendNext()
        })
      })
    }

    it('completes the answers that it has begun, to callers that send further requests', async () => {
      const callers = Array.from({ length: CALLERS }, () => pipeline())
      await sleep(LOAD_BEFORE_STOP_MS)
      entry.process.signal('SIGTERM')
      const missing = await Promise.all(callers)
      expect(missing).to.deep.equal(missing.map(() => 0))
    })

    // Guards against a stop that waits for a caller that never closes its side.
    it('ends within the grace period beside callers that read nothing and never close', async () => {
      const silent = Array.from({ length: CALLERS }, () => {
        const { socket } = entry.open(EntryPort.Callers)
        socket.on('error', () => undefined)
        socket.pause()
        for (let count = 0; count < DEPTH; count += 1) {
          socket.write(entry.requestHead(SAFE_HOST, 'GET', '/large', []))
        }
        return socket
      })
      await sleep(LOAD_BEFORE_STOP_MS)
      const startedAtMs = monotonicClock()
      entry.process.signal('SIGTERM')
      while (entry.process.isRunning && monotonicClock() - startedAtMs < 2 * GRACE_PERIOD_MS) {
        await sleep(20)
      }
      const durationMs = monotonicClock() - startedAtMs
      for (const socket of silent) socket.destroy()
      expect(durationMs).to.be.below(GRACE_PERIOD_MS)
    })
  })
})

function largeAnswer(requestId: string): Buffer {
  const body = Buffer.alloc(200_000, 'y')
  return Buffer.concat([
    Buffer.from(
      `HTTP/1.1 200 OK\r\nX-Tamarackdrift-Request-Id: ${requestId}\r\n` +
        `X-Tamarackdrift-Response-Signature: sig\r\nContent-Length: ${body.length}\r\n\r\n`,
    ),
    body,
  ])
}
