/** JSON-RPC 2.0 client over HTTP (wreck), with connection reuse and a timeout per call. */
import { Agent } from 'node:http'
import wreck from '@hapi/wreck'
import type { JSONRPCResponse } from 'json-rpc-2.0'
import { createJSONRPCRequest } from 'json-rpc-2.0'
import type { ErrorDetails } from './errors.js'
import { messageOf } from './errors.js'
import type { Result } from './results.js'
import { Err, Ok } from './results.js'
import type { CallOptions, RpcClient } from './rpc.js'
import { RpcError, RpcErrorKind } from './rpc.js'

const CONNECTION_REFUSED_CODE = 'ECONNREFUSED'
const NOT_SENT_CODES = new Set([
  CONNECTION_REFUSED_CODE,
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
])
const MAX_ANSWER_BYTES = 32 * 1024 * 1024

/** {@link RpcClient} over HTTP POST to `/rpc` with a bearer token. */
export class HttpRpcClient implements RpcClient {
  readonly #token: string
  readonly #agent: Agent
  readonly #client: typeof wreck
  #nextRequestId = 1

  /** @param maxSocketsPerPeer maximum number of open connections to one address */
  constructor(token: string, maxSocketsPerPeer = 64) {
    this.#token = token
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: maxSocketsPerPeer,
      keepAliveMsecs: 1000,
    })
    this.#client = wreck.defaults({ agent: this.#agent })
  }

  async call(
    address: string,
    method: string,
    params: unknown,
    options: CallOptions,
  ): Promise<Result<unknown, RpcError>> {
    const request = createJSONRPCRequest(this.#nextRequestId++, method, params)
    const signal = options.signal
    if (signal?.aborted === true) return Err(createNotSentError(address, 'the caller cancelled it'))
    const pending = this.#client.request('POST', `http://${address}/rpc`, {
      payload: JSON.stringify(request),
      headers: { 'content-type': 'application/json', authorization: `Bearer ${this.#token}` },
      timeout: options.timeoutMs,
    })
    const abort = (): void => {
      pending.req.destroy()
    }
    signal?.addEventListener('abort', abort, { once: true })
    try {
      const response = await pending
      const body = await this.#client.read(response, {
        timeout: options.timeoutMs,
        maxBytes: MAX_ANSWER_BYTES,
      })
      if (response.statusCode !== 200) {
        return Err(
          createBrokenError(address, `status ${String(response.statusCode)}`, response.statusCode),
        )
      }
      return decodeAnswer(body)
    } catch (error) {
      return Err(toRpcError(address, error))
    } finally {
      signal?.removeEventListener('abort', abort)
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy()
  }
}

function decodeAnswer(body: Buffer): Result<unknown, RpcError> {
  const response = JSON.parse(body.toString('utf8')) as JSONRPCResponse
  if (response.error === undefined) return Ok(response.result as unknown)
  const data = response.error.data as ErrorDetails | undefined
  const remote = data ?? {
    kind: 'internal',
    message: response.error.message,
    remedy: 'read the log of the answering process',
  }
  return Err(new RpcError(RpcErrorKind.Remote, remote.message, remote.remedy, { remote }))
}

function createNotSentError(address: string, reason: string): RpcError {
  return new RpcError(
    RpcErrorKind.NotSent,
    `The call to ${address} was not sent: ${reason}`,
    'check that the process at this address runs, or use another one',
    { isRefused: reason === CONNECTION_REFUSED_CODE },
  )
}

function createBrokenError(address: string, reason: string, statusCode?: number): RpcError {
  return new RpcError(
    RpcErrorKind.Broken,
    `The call to ${address} ended without a usable answer: ${reason}`,
    'check tokens and versions of both processes, then repeat if the method is idempotent',
    statusCode === undefined ? {} : { statusCode },
  )
}

function toRpcError(address: string, error: unknown): RpcError {
  // wreck wraps failures into Boom errors that keep the error code of the socket.
  const boom = error as { code?: string; syscall?: string; output?: { statusCode?: number } }
  // Established connections can fail with some of these codes too, after the call was sent.
  if (boom.syscall === 'connect' && boom.code !== undefined && NOT_SENT_CODES.has(boom.code)) {
    return createNotSentError(address, boom.code)
  }
  if (boom.output?.statusCode === 504) {
    return new RpcError(
      RpcErrorKind.TimedOut,
      `The call to ${address} got no answer in time`,
      'repeat it if the method is idempotent, or raise the timeout setting',
    )
  }
  return createBrokenError(address, messageOf(error))
}
