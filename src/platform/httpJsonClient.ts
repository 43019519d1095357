/** JSON over HTTP (wreck) with a timeout for the whole call. */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import { Agent } from 'node:http'
import wreck from '@hapi/wreck'
import { ByteBudget } from '../common/byteBudget.js'
import { messageOf } from '../common/errors.js'
import { isFinalStatus } from '../common/exchange.js'
import { GrowableBuffer } from '../common/growableBuffer.js'

/** Whether a call without a usable answer may have been executed. */
export enum HttpFailureKind {
  /** The connection was not established, so the server has not received the call. */
  NotSent = 'notSent',
  /** The call may have been received and executed. */
  AnswerLost = 'answerLost',
}

/** A complete answer. */
export interface HttpAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: unknown
}

/** A call without a usable answer. */
export interface HttpFailure {
  readonly failure: HttpFailureKind
  readonly reason: string
}

/** Options of one call. */
export interface HttpCallOptions {
  /** Timeout from the start of the call to the end of the answer's body, in milliseconds. */
  readonly timeoutMs: number
  readonly signal?: AbortSignal
  /** Default: POST with a payload, GET without. */
  readonly method?: 'DELETE' | 'POST'
}

const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'ENOTFOUND',
])
/** Memory for one answer; twice its size while it grows. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024

/** Calls JSON endpoints over keep-alive connections. */
export class HttpJsonClient {
  readonly #baseUrl: string
  readonly #agent: Agent
  readonly #client: typeof wreck

  /** @param baseUrl URL to which the path of each call is appended */
  constructor(baseUrl: string, maxSockets = 64) {
    this.#baseUrl = baseUrl.replace(/\/+$/, '')
    this.#agent = new Agent({ keepAlive: true, maxSockets, keepAliveMsecs: 1000 })
    this.#client = wreck.defaults({ agent: this.#agent })
  }

  /** Sends `payload`, or no body with GET when it is `undefined`. Never rejects. */
  async call(
    path: string,
    payload: unknown,
    options: HttpCallOptions,
  ): Promise<HttpAnswer | HttpFailure> {
    const signal = options.signal
    if (signal?.aborted === true) return notSent('cancelled by the caller')
    const startedAtMs = performance.now()
    const pending = this.#client.request(
      options.method ?? (payload === undefined ? 'GET' : 'POST'),
      `${this.#baseUrl}${path}`,
      {
        timeout: options.timeoutMs,
        headers: { 'content-type': 'application/json' },
        ...(payload === undefined ? {} : { payload: JSON.stringify(payload) }),
      },
    )
    const abort = (): void => {
      pending.req.destroy()
    }
    signal?.addEventListener('abort', abort, { once: true })
    try {
      const response = await pending
      checkHead(response)
      const remainingMs = Math.max(1, options.timeoutMs - (performance.now() - startedAtMs))
      const body = await readBody(response, remainingMs)
      const status = response.statusCode ?? 0
      return { status, headers: response.headers, body: parseBody(body, status) }
    } catch (error) {
      return toFailure(error)
    } finally {
      signal?.removeEventListener('abort', abort)
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy()
  }
}

/** Throws if the status or the version is none; Node.js also accepts the versions 0.9 and 2.0. */
function checkHead({ httpVersionMajor, statusCode, socket }: IncomingMessage): void {
  if (httpVersionMajor === 1 && isFinalStatus(statusCode)) return
  // Nothing that follows on the connection can be trusted.
  socket.destroy()
  throw new Error(`invalid answer: HTTP version ${httpVersionMajor}, status ${String(statusCode)}`)
}

/** Reads the body into one block; a list of its chunks could take many times its size. */
async function readBody(response: IncomingMessage, timeoutMs: number): Promise<Buffer> {
  const reservation = new ByteBudget(MAX_ANSWER_BYTES).open()
  const body = new GrowableBuffer(reservation)
  const timer = setTimeout(() => {
    response.destroy(new Error(`no complete answer within ${Math.round(timeoutMs)} ms`))
  }, timeoutMs)
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      if (!body.append(chunk, 0, chunk.length)) throw new Error('answer is too large')
    }
    return body.view()
  } finally {
    clearTimeout(timer)
  }
}

/**
 * Parses the body of an answer as JSON. Statuses from 400 may come without JSON and then yield an
 * object with the body as `text`; a status below 400 without JSON is no valid answer, so it throws.
 */
function parseBody(body: Buffer, status: number): unknown {
  const text = body.toString('utf8')
  if (status < 400) return JSON.parse(text)
  try {
    return JSON.parse(text)
  } catch {
    return { text }
  }
}

/** Returns whether a call got an answer. */
export function isAnswer(outcome: HttpAnswer | HttpFailure): outcome is HttpAnswer {
  return 'status' in outcome
}

function notSent(reason: string): HttpFailure {
  return { failure: HttpFailureKind.NotSent, reason }
}

function toFailure(error: unknown): HttpFailure {
  // Wreck wraps failures in Boom errors that keep the error code of the socket.
  const code = (error as { code?: string }).code
  if (code !== undefined && NOT_SENT_CODES.has(code)) return notSent(code)
  return { failure: HttpFailureKind.AnswerLost, reason: messageOf(error) }
}
