import type { Server, Socket } from 'node:net'
import { createServer } from 'node:net'
import { expect } from 'chai'
import { monotonicClock, sleep } from '../clock.js'
import type { ExchangeResult } from '../exchange.js'
import { ExchangeFailureReason, ExchangeKind } from '../exchange.js'
import { HttpExchangeClient } from '../httpExchange.js'
import { listenOnLoopback } from '../listen.js'

const EXCHANGES = 50
const TIMEOUT_MS = 5000
const HEAD = 'HTTP/1.1 200 OK\r\n'
const BODY = 'z'.repeat(5000)
const PAUSE_MS = 10
/** More than the systems of both sides hold while the server doesn't read. */
const UPLOAD_BYTES = 8_000_000
const UPLOADS = 10
const SHORT_UPLOAD_BYTES = 20_000

type Answer = (socket: Socket) => Promise<void> | void

describe('HttpExchangeClient', () => {
  let server: Server
  let client: HttpExchangeClient

  afterEach(() => {
    client.close()
    server.close()
  })

  async function exchangeAll(
    answer: Answer,
    method = 'GET',
    uploadBytes = 0,
  ): Promise<ExchangeResult[]> {
    server = createServer({ allowHalfOpen: true }, (socket) => {
      socket.setNoDelay(true)
      socket.on('error', () => undefined)
      if (uploadBytes === 0) socket.on('data', () => void answer(socket))
      else socket.once('data', () => void answer(socket))
    })
    const address = await listenOnLoopback(server)
    client = new HttpExchangeClient({
      maxConnections: EXCHANGES,
      idleTimeoutMs: TIMEOUT_MS,
      clock: monotonicClock,
    })
    return Promise.all(
      Array.from({ length: uploadBytes === 0 ? EXCHANGES : UPLOADS }, () =>
        client.exchange({
          address,
          method,
          target: '/hint',
          headers: [],
          body: Buffer.alloc(uploadBytes),
          deadlineMs: monotonicClock() + TIMEOUT_MS,
          maxAnswerBytes: 1_000_000,
          signal: new AbortController().signal,
        }),
      ),
    )
  }

  describe('with a server that resets answers without a length', () => {
    const resets: Readonly<Record<string, Answer>> = {
      'behind the head': (socket) => {
        socket.write(`${HEAD}\r\n`)
        socket.resetAndDestroy()
      },
      'within the body': (socket) => {
        socket.write(`${HEAD}\r\n${BODY}`)
        socket.resetAndDestroy()
      },
      'within a body in another transfer coding': (socket) => {
        socket.write(`${HEAD}Transfer-Encoding: gzip\r\n\r\n${BODY}`)
        socket.resetAndDestroy()
      },
      'some time after the last bytes': async (socket) => {
        socket.write(`${HEAD}\r\n${BODY}`)
        await sleep(PAUSE_MS)
        socket.resetAndDestroy()
      },
    }
    for (const [name, answer] of Object.entries(resets)) {
      // Guards against a truncated answer that a gateway, or a caller's client, takes for a whole one.
      it(`reports one that it resets ${name} as broken`, async () => {
        for (const { kind } of await exchangeAll(answer)) expect(kind).to.equal(ExchangeKind.Broken)
      })
    }
  })

  describe('with a server that ends its connections in order', () => {
    // Guards against whole answers that are taken for broken ones.
    const whole: Readonly<Record<string, Answer>> = {
      'an answer without a length': (socket) => {
        socket.end(`${HEAD}\r\n${BODY}`)
      },
      'an answer without a length, in pieces': async (socket) => {
        socket.write(`${HEAD}\r\n`)
        await sleep(PAUSE_MS)
        socket.write(BODY.slice(0, 1000))
        await sleep(PAUSE_MS)
        socket.end(BODY.slice(1000))
      },
      'an answer with a length': (socket) => {
        socket.end(`${HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`)
      },
      'an answer with a length on a kept connection': (socket) => {
        socket.write(`${HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`)
      },
      'an answer with a length before a reset': (socket) => {
        socket.write(`${HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`)
        socket.resetAndDestroy()
      },
    }
    for (const [name, answer] of Object.entries(whole)) {
      it(`reports ${name}`, async () => {
        for (const result of await exchangeAll(answer)) {
          const body =
            result.kind === ExchangeKind.Answered ? result.body.toString() : result.reason
          expect(body).to.equal(BODY)
        }
      })
    }

    it('reports an answer without a body on a kept connection', async () => {
      const answer: Answer = (socket) => void socket.write(`${HEAD}\r\n`)
      for (const { kind } of await exchangeAll(answer, 'HEAD')) {
        expect(kind).to.equal(ExchangeKind.Answered)
      }
    })

    // Guards against an answer that ends in order before its stated length, and counts as whole.
    it('reports an answer that is shorter than its length as truncated', async () => {
      const answer: Answer = (socket) => {
        socket.end(`${HEAD}Content-Length: ${BODY.length + 1}\r\n\r\n${BODY}`)
      }
      for (const result of await exchangeAll(answer)) {
        expect(result).to.deep.equal({
          kind: ExchangeKind.Broken,
          reason: ExchangeFailureReason.Truncated,
        })
      }
    })
  })

  describe('with a server that ends its direction before the upload is over', () => {
    const PART = `${HEAD}\r\n${BODY.slice(0, 3000)}`

    // Guards against a part of an answer that passes for the whole.
    it('reports an answer as broken that it resets behind a regular end', async () => {
      const answer: Answer = async (socket) => {
        socket.pause()
        socket.end(PART)
        await sleep(PAUSE_MS)
        socket.resetAndDestroy()
      }
      for (const { kind } of await exchangeAll(answer, 'POST', UPLOAD_BYTES)) {
        expect(kind).to.equal(ExchangeKind.Broken)
      }
    })

    // Guards against whole answers that are given up although the request was written out.
    it('reports an answer behind a short upload', async () => {
      const answer: Answer = async (socket) => {
        socket.resume()
        await sleep(PAUSE_MS)
        socket.end(`${HEAD}\r\n${BODY}`)
      }
      for (const result of await exchangeAll(answer, 'POST', SHORT_UPLOAD_BYTES)) {
        const body = result.kind === ExchangeKind.Answered ? result.body.toString() : result.reason
        expect(body).to.equal(BODY)
      }
    })
  })
})
