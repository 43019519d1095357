/** Answers without a length that end while their upload is being written, at a real entry process. */
import type { Socket } from 'node:net'
import { connect, createServer } from 'node:net'
import { expect } from 'chai'
import { sleep } from '../../../src/common/clock.js'
import { ConnectionEnd } from '../../../src/common/connectionEnd.js'
import { listenOnLoopback } from '../../../src/common/listen.js'
import { receiveAll } from '../../receiveAll.js'
import { SAFE_HOST, UNSAFE_HOST } from '../deployment.js'
import { EntryPort } from '../entryProcess.js'
import { unframedAnswer } from './answerBytes.js'
import { SingleEntry } from './singleEntry.js'

const REQUESTS = 20
const SHORT_UPLOAD_BYTES = 60_000
const UPLOAD_SIZES = [SHORT_UPLOAD_BYTES, 600_000, 3_000_000]
/** Half of the shortest upload. */
const HALF_BYTES = SHORT_UPLOAD_BYTES / 2
const BODY_LIMIT_BYTES = 16 * 1024 * 1024
const ANSWER_BYTES = 5000
const SENT_BYTES = 3000
const RESET_AFTER_MS = 5
/** Time for which a server does not read its upload. */
const UNREAD_MS = 60

/** Ends an answer of {@link ANSWER_BYTES} while its upload arrives. */
type EndAnswer = (socket: Socket, answer: Buffer) => Promise<void> | void

const partOf = (answer: Buffer): Buffer =>
  answer.subarray(0, answer.length - ANSWER_BYTES + SENT_BYTES)

const RESETS: Readonly<Record<string, EndAnswer>> = {
  'reset at once': (socket, answer) => {
    socket.write(partOf(answer))
    socket.resetAndDestroy()
  },
  'ended in order, and reset while the server reads on': async (socket, answer) => {
    socket.end(partOf(answer))
    await sleep(RESET_AFTER_MS)
    socket.resetAndDestroy()
  },
  'ended in order, and reset without reading on': async (socket, answer) => {
    socket.pause()
    socket.end(partOf(answer))
    await sleep(RESET_AFTER_MS)
    socket.resetAndDestroy()
  },
  'ended in order, and reset when half of the upload is read': async (socket, answer) => {
    socket.end(partOf(answer))
    while (socket.bytesRead < HALF_BYTES && !socket.readableEnded) await sleep(1)
    socket.pause()
    await sleep(RESET_AFTER_MS)
    socket.resetAndDestroy()
  },
}

/** A server that has read all of a short upload closes the connection in order, without a reset. */
const RESETS_OF_LONG_UPLOADS: Readonly<Record<string, EndAnswer>> = {
  ...RESETS,
  'closed before the upload is read': (socket, answer) => {
    socket.pause()
    socket.write(partOf(answer), () => socket.destroy())
  },
}

const REGULAR_ENDS: Readonly<Record<string, EndAnswer>> = {
  'ended before the rest is read': (socket, answer) => void socket.end(answer),
  'ended some time before the rest is read': async (socket, answer) => {
    socket.pause()
    socket.end(answer)
    await sleep(UNREAD_MS)
    socket.resume()
  },
  'ended by a server that never reads the rest': (socket, answer) => {
    socket.pause()
    socket.end(answer)
  },
}

describe('entry process and answers without a length before the end of an upload', function () {
  this.timeout(120_000)
  const entry = new SingleEntry()
  let endAnswer: EndAnswer = () => undefined
  const sockets = new Set<Socket>()
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket)
    socket.on('error', () => undefined)
    socket.on('close', () => sockets.delete(socket))
    let head = ''
    socket.on('data', (bytes) => {
      if (head.includes('\r\n\r\n')) return
      head += bytes.toString('latin1')
      const id = /request-id: (\S+)/i.exec(head)?.[1]
      if (head.includes('\r\n\r\n') && id !== undefined) {
        void endAnswer(socket, unframedAnswer(id, ANSWER_BYTES))
      }
    })
  })

  before(async () => {
    entry.deployment.bodyBytes = BODY_LIMIT_BYTES
    entry.callerDeadlineMs = 5000
    const address = await listenOnLoopback(server)
    for (const service of ['reveals', 'wallet']) {
      entry.deployment.store.put(`servers/raw-${service}`, {
        address,
        server_info: { service, version: 'v1', zone: 'east-a', slots: 4 },
        status: { state: 'ready', sequence: 1, cold_remaining: '0ms' },
      })
    }
    await entry.start(0)
  })

  after(async () => {
    for (const socket of sockets) socket.destroy()
    server.close()
    await entry.stop()
  })

  /** Uploads one body after the other. @returns the bodies of the successes that look complete */
  async function uploadAll(host: string, uploadBytes: number): Promise<number[]> {
    const complete: number[] = []
    for (let index = 0; index < REQUESTS; index += 1) {
      const socket = connect({ port: EntryPort.Callers, host: entry.host, allowHalfOpen: true })
      const lines = [`Content-Length: ${uploadBytes}`, 'Connection: close']
      socket.write(entry.requestHead(host, 'POST', '/upload', lines))
      socket.write(Buffer.alloc(uploadBytes, 'u'))
      const { text, end } = await receiveAll(socket)
      const headEnd = text.indexOf('\r\n\r\n')
      const body = text.slice(headEnd + 4)
      const length = /content-length: *(\d+)/i.exec(text.slice(0, headEnd))?.[1]
      const isComplete =
        length === undefined ? end === ConnectionEnd.Regular : body.length === Number(length)
      if (text.startsWith('HTTP/1.1 200 ') && isComplete) complete.push(body.length)
    }
    return complete
  }

  for (const host of [SAFE_HOST, UNSAFE_HOST]) {
    for (const uploadBytes of UPLOAD_SIZES) {
      const resets = uploadBytes > SHORT_UPLOAD_BYTES ? RESETS_OF_LONG_UPLOADS : RESETS
      for (const [name, end] of Object.entries(resets)) {
        // Guards against a part of an answer that passes for the whole, because the end of the
        // server's direction is judged before what it does with the rest of the upload.
        it(`${name} are not complete for callers of ${host} (${uploadBytes} bytes)`, async () => {
          endAnswer = end
          expect(await uploadAll(host, uploadBytes)).to.deep.equal([])
        })
      }

      for (const [name, end] of Object.entries(REGULAR_ENDS)) {
        // Guards against whole answers that are given up, or wait for an upload that nobody reads.
        it(`${name} reach callers of ${host} whole (${uploadBytes} bytes)`, async () => {
          endAnswer = end
          const whole = Array.from({ length: REQUESTS }, () => ANSWER_BYTES)
          expect(await uploadAll(host, uploadBytes)).to.deep.equal(whole)
        })
      }
    }
  }
})
