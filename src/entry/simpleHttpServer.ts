/** HTTP server for requests without a body: readiness, directory, metrics. */
import type { IncomingMessage, Server } from 'node:http'
import { createServer } from 'node:http'
import { listen } from '../common/listen.js'
import type { SimpleAnswer } from './simpleAnswer.js'

/** Answers a request; `undefined` results in status 404. */
export type SimpleHandler = (
  url: URL,
  request: IncomingMessage,
) => SimpleAnswer | undefined | Promise<SimpleAnswer | undefined>

/** Resolves once the server listens. */
export async function startSimpleServer(
  host: string,
  port: number,
  handle: SimpleHandler,
): Promise<Server> {
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://instance')
    void Promise.resolve(handle(url, request)).then((answer) => {
      const { status, contentType, body } = answer ?? NOT_FOUND
      response.writeHead(status, {
        'Content-Type': contentType,
        'Content-Length': Buffer.byteLength(body),
      })
      response.end(body)
    })
  })
  await listen(server, host, port)
  return server
}

const NOT_FOUND: SimpleAnswer = { status: 404, contentType: 'text/plain', body: 'no such path\n' }
