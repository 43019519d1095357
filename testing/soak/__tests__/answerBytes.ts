/** Answers of backend servers as bytes, for tests that decide how a connection ends. */
import type { IncomingMessage } from 'node:http'

export function requestIdOf(request: IncomingMessage): string {
  return String(request.headers['x-tamarackdrift-request-id'])
}

/** Success whose body ends with its connection. */
export function unframedAnswer(requestId: string, bodyBytes: number): Buffer {
  return answer(requestId, 'Connection: close', Buffer.alloc(bodyBytes, 'y'))
}

/** Success whose head states the length of its body. */
export function framedAnswer(requestId: string, body: Buffer): Buffer {
  return answer(requestId, `Content-Length: ${body.length}`, body)
}

function answer(requestId: string, line: string, body: Buffer): Buffer {
  const head =
    `HTTP/1.1 200 OK\r\nX-Tamarackdrift-Request-Id: ${requestId}\r\n` +
    `X-Tamarackdrift-Response-Signature: sig\r\n${line}\r\n\r\n`
  return Buffer.concat([Buffer.from(head), body])
}
