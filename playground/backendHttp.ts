/** Small HTTP helpers of the stand-in of a backend server. */
import type { IncomingMessage, ServerResponse } from 'node:http'

/** Returns a header, or an empty string. */
export function textHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name]
  return typeof value === 'string' ? value : ''
}

/** Reads a whole body. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

/** Answers with JSON. */
export function sendJson(response: ServerResponse, status: number, content: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(content))
}
