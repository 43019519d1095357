/** HTTP server for requests without a body: readiness, directory, metrics. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import { monotonicClock } from '../common/clock.js'
import { listen } from '../common/listen.js'
import { DEFAULT_CALLER_BOUNDS } from '../callers/callerBounds.js'
import type { ListenerBounds } from '../callers/callerBounds.js'
import { CallerConnections, headSizeBytes } from './callerConnection.js'
import type { SimpleAnswer } from './simpleAnswer.js'

/** Answers a request; `undefined` results in status 404. */
export type SimpleHandler = (
  url: URL,
  request: IncomingMessage,
) => SimpleAnswer | undefined | Promise<SimpleAnswer | undefined>

export interface SimpleServerOptions {
  readonly host: string
  readonly port: number
  readonly handle: SimpleHandler
  /** Called with the error of a request, which is answered with status 500. */
  readonly onError: (target: string, error: unknown) => void
  readonly bounds?: ListenerBounds | undefined
}

/** Resolves once the server listens. */
export async function startSimpleServer(options: SimpleServerOptions): Promise<Server> {
  const connections = new CallerConnections(options.bounds ?? DEFAULT_CALLER_BOUNDS.directory)
  const handle = (request: IncomingMessage, response: ServerResponse): void => {
    const connection = connections.get(request.socket)
    if (connection === undefined) return
    const abort = connection.openRequest(request, headSizeBytes(request))
    response.once('close', () => {
      connection.endRequest(abort, monotonicClock())
    })
    void answerOf(request, options).then(({ status, contentType, body }) => {
      const length = Buffer.byteLength(body)
      response.once('close', connection.addAnswer(length))
      response.writeHead(status, { 'Content-Type': contentType, 'Content-Length': length })
      response.end(body)
    })
  }
  const server = createServer(handle)
  // Without a listener, Node.js answers such requests itself, and they are not counted.
  server.on('checkExpectation', handle)
  server.on('connection', (socket) => {
    connections.add(socket)
  })
  server.on('close', () => {
    connections.stop()
  })
  await listen(server, options.host, options.port)
  return server
}

/** Never rejects. */
async function answerOf(
  request: IncomingMessage,
  { handle, onError }: SimpleServerOptions,
): Promise<SimpleAnswer> {
  const target = request.url ?? '/'
  const url = parseTarget(target)
  if (url === undefined) return INVALID_TARGET
  try {
    return (await handle(url, request)) ?? NOT_FOUND
  } catch (error) {
    onError(target, error)
    return FAILED
  }
}

/** A path may begin with two slashes, which would be taken for the start of a host in a reference. */
function parseTarget(target: string): URL | undefined {
  const text = target.startsWith('/') ? `http://instance${target}` : target
  return URL.canParse(text) ? new URL(text) : undefined
}

function textAnswer(status: number, text: string): SimpleAnswer {
  return { status, contentType: 'text/plain', body: `${text}\n` }
}

const NOT_FOUND = textAnswer(404, 'no such path')
const INVALID_TARGET = textAnswer(400, 'target is neither a path nor a URL')
const FAILED = textAnswer(500, 'the request failed; see the log of the instance')
