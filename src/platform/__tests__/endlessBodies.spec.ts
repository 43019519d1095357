import type { Server } from 'node:http'
import { createServer } from 'node:http'
import { expect } from 'chai'
import { listenOnLoopback } from '../../common/listen.js'
import { HttpFailureKind, HttpJsonClient, isAnswer } from '../httpJsonClient.js'

const TIMEOUT_MS = 1500

describe('HttpJsonClient and bodies in chunks of few bytes', () => {
  let server: Server
  let client: HttpJsonClient
  let address: string
  let chunks: () => Generator<string>

  beforeEach(async () => {
    server = createServer((_request, response) => {
      const parts = chunks()
      const write = (): void => {
        for (let part = parts.next(); part.done !== true; part = parts.next()) {
          if (response.destroyed) return
          if (!response.write(part.value)) {
            response.once('drain', write)
            return
          }
        }
        response.end()
      }
      write()
    })
    address = await listenOnLoopback(server)
    client = new HttpJsonClient(`http://${address}`)
  })

  afterEach(() => {
    client.close()
    server.closeAllConnections()
    server.close()
  })

  it('reads them whole', async () => {
    chunks = function* () {
      yield '["'
      for (let count = 0; count < 1000; count += 1) yield 'xxxxxxxx'
      yield '"]'
    }
    const answer = await client.call('/', undefined, { timeoutMs: TIMEOUT_MS })
    expect(isAnswer(answer) && answer.body).to.deep.equal(['x'.repeat(8000)])
  })

  // Guards against a process that ends for its memory, because the store answers without end.
  it('gives up one without end at its timeout, in bounded memory', async () => {
    chunks = function* () {
      for (;;) yield 'xxxxxxxx'
    }
    const before = process.memoryUsage.rss()
    const answer = await client.call('/', undefined, { timeoutMs: TIMEOUT_MS })
    expect(isAnswer(answer)).to.equal(false)
    if (!isAnswer(answer)) expect(answer.failure).to.equal(HttpFailureKind.AnswerLost)
    expect(process.memoryUsage.rss() - before).to.be.below(80 * 1024 * 1024)
  })
})
