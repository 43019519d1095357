/**
 * Answers HTTP parser errors on callers' connections. A malformed request that is
 * pipelined behind a valid one must not cut off the answer to the valid one.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { STATUS_CODES } from 'node:http'
import { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { destroyIfReset } from '../common/connectionEnd.js'
import { Outcome, OUTCOME_HEADER } from '../common/headers.js'
import type { GatewayAnswer } from './gatewayRequest.js'
import { RefusalKind, refuse } from './refusals.js'

interface ParserError extends Error {
  readonly code?: string
  readonly reason?: string
}

/** Status codes of parser errors for which 400 is not precise enough. */
const STATUS_BY_ERROR_CODE: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
}

/** Replaces the `clientError` handling of a listener; answers pending earlier requests first. */
export function answerParserErrors(listener: Server, nextRequestId: () => string): void {
  const pendingAnswers = new WeakMap<Duplex, Map<ServerResponse, IncomingMessage>>()
  const failed = new WeakSet<Duplex>()
  listener.prependListener('request', (request, response) => {
    const responses =
      pendingAnswers.get(request.socket) ?? new Map<ServerResponse, IncomingMessage>()
    pendingAnswers.set(request.socket, responses.set(response, request))
    response.once('close', () => responses.delete(response))
  })
  listener.removeAllListeners('clientError')
  listener.on('clientError', (error: ParserError, socket) => {
    if (failed.has(socket)) return
    failed.add(socket)
    // A caller who resets the connection within a request has left.
    if (socket instanceof Socket && socket.readableEnded) destroyIfReset(socket)
    const earlierAnswers = [...(pendingAnswers.get(socket) ?? [])]
      .filter(([, request]) => request.complete)
      .map(([response]) => waitUntilClosed(response))
    void Promise.all(earlierAnswers).then(() => {
      endWithRefusal(socket, error, nextRequestId())
    })
  })
}

function waitUntilClosed(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    response.once('close', () => {
      resolve()
    })
  })
}

function endWithRefusal(socket: Duplex, error: ParserError, requestId: string): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const detail = error.reason ?? error.message
  const answer = refuse(RefusalKind.MalformedRequest, requestId, { detail })
  const status = STATUS_BY_ERROR_CODE[error.code ?? ''] ?? answer.status
  // On a timeout the headers are incomplete: the request may be a retry of an operation that ran.
  const outcome = status === 408 ? Outcome.Unknown : answer.outcome
  socket.end(rawAnswer(status, { ...answer, outcome }))
}

function rawAnswer(status: number, answer: GatewayAnswer): string {
  const lines = [
    `HTTP/1.1 ${String(status)} ${STATUS_CODES[status] ?? ''}`,
    'Connection: close',
    `${OUTCOME_HEADER}: ${answer.outcome}`,
    ...answer.headers.map(([name, value]) => `${name}: ${value}`),
    `Content-Length: ${String(answer.body.length)}`,
  ]
  return `${lines.join('\r\n')}\r\n\r\n${answer.body.toString('utf8')}`
}
