/**
 * Answers malformed input on callers' connections. A broken request that follows
 * another one on the same connection must not end the answer of the first.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { STATUS_CODES } from 'node:http'
import type { Duplex } from 'node:stream'
import { Outcome, OUTCOME_HEADER } from '../common/headers.js'
import type { GatewayAnswer } from './exchange.js'
import { RefusalKind, refuse } from './refusals.js'

interface ParserError extends Error {
  readonly code?: string
  readonly reason?: string
}

/** Status for errors that have a more precise one than 400. */
const STATUS_OF_CODE: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
}

/** Replaces the handling of parser errors of a listener. */
export function answerParserErrors(listener: Server, nextRequestId: () => string): void {
  const unanswered = new WeakMap<Duplex, Map<ServerResponse, IncomingMessage>>()
  const failed = new WeakSet<Duplex>()
  listener.prependListener('request', (request, response) => {
    const responses = unanswered.get(request.socket) ?? new Map<ServerResponse, IncomingMessage>()
    unanswered.set(request.socket, responses.set(response, request))
    response.once('close', () => responses.delete(response))
  })
  listener.removeAllListeners('clientError')
  listener.on('clientError', (error: ParserError, socket) => {
    if (failed.has(socket)) return
    failed.add(socket)
    const before = [...(unanswered.get(socket) ?? [])]
      .filter(([, request]) => request.complete)
      .map(([response]) => closed(response))
    void Promise.all(before).then(() => {
      endWithRefusal(socket, error, nextRequestId())
    })
  })
}

function closed(response: ServerResponse): Promise<void> {
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
  const status = STATUS_OF_CODE[error.code ?? ''] ?? answer.status
  // The head was not read to its end, so that a retried operation may be behind a late one.
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
