import type { Server } from 'node:net'
import { createServer } from 'node:net'
import { expect } from 'chai'
import { listenOnLoopback } from '../../common/listen.js'
import { HttpFailureKind, HttpJsonClient, isAnswer } from '../httpJsonClient.js'

const TIMEOUT_MS = 5000
const BODY = '{"items":[{"key":"a","revision":17}],"latest":1234}'

describe('HttpJsonClient and answers without a length that are reset', () => {
  let server: Server
  let client: HttpJsonClient

  afterEach(() => {
    client.close()
    server.close()
  })

  // Guards against a list of the store that broke off and counts as whole: Node.js completes such an
  // answer.
  it('reports no part of a JSON object as an answer', async () => {
    server = createServer((socket) => {
      socket.on('error', () => undefined)
      socket.once('data', (bytes) => {
        const length = Number(/^GET \/(\d+) /.exec(bytes.toString())?.[1])
        socket.write(`HTTP/1.1 200 OK\r\n\r\n${BODY.slice(0, length)}`)
        socket.resetAndDestroy()
      })
    })
    client = new HttpJsonClient(`http://${await listenOnLoopback(server)}`)
    const outcomes = await Promise.all(
      Array.from({ length: BODY.length }, (_, length) =>
        client.call(`/${length}`, undefined, { timeoutMs: TIMEOUT_MS }),
      ),
    )
    for (const outcome of outcomes) {
      expect(isAnswer(outcome)).to.equal(false)
      if (!isAnswer(outcome)) expect(outcome.failure).to.equal(HttpFailureKind.AnswerLost)
    }
  })
})
