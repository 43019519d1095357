/** HTTP helpers of the backend server stand-in. */
import type { IncomingMessage, ServerResponse } from 'node:http'

/** Returns the value of a header, or an empty string if it is absent. */
export function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name]
  return typeof value === 'string' ? value : ''
}

/** Reads the complete request body. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

/** Sends `content` as JSON. */
export function sendJson(response: ServerResponse, status: number, content: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(content))
}
