/** Look-up answers as a caller gets and caches them. */
import Joi from 'joi'
import { SteeringError } from '../common/errors.js'
import type { ExchangeResult } from '../common/exchange.js'
import { ExchangeKind } from '../common/exchange.js'
import type { HttpExchangeClient } from '../common/httpExchange.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'

/** An entry instance that may be used. */
export interface LookupEntry {
  /** `host:port` */
  readonly address: string
  /** Prefix for operations that are sent to this instance first. */
  readonly operationPrefix: string
}

/** A look-up answer. */
export interface LookupAnswer {
  readonly entries: readonly LookupEntry[]
  /** Time that the answer may be used, in milliseconds. */
  readonly cacheMs: number
}

/** Kinds of look-up failures; nothing was run in either case. */
export enum LookupErrorKind {
  Unavailable = 'lookupUnavailable',
}

/** Looks up entry instances. */
export interface LookupSource {
  /** Never rejects. */
  lookup(
    service: string,
    clientAddress: string,
    deadlineMs: number,
  ): Promise<Result<LookupAnswer, SteeringError<LookupErrorKind>>>
}

const ANSWER_SCHEMA = Joi.object<LookupAnswer>({
  entries: Joi.array()
    .items(
      Joi.object({
        address: Joi.string().required(),
        operationPrefix: Joi.string().required(),
      }).unknown(),
    )
    .required(),
  cacheMs: Joi.number().min(0).required(),
})
  .unknown()
  .required()
const MAX_ANSWER_BYTES = 64 * 1024

/** Asks look-up daemons over HTTP, in their order until one answers. */
export class HttpLookupSource implements LookupSource {
  readonly #client: HttpExchangeClient
  readonly #addresses: readonly string[]

  constructor(client: HttpExchangeClient, addresses: readonly string[]) {
    this.#client = client
    this.#addresses = addresses
  }

  async lookup(
    service: string,
    clientAddress: string,
    deadlineMs: number,
  ): Promise<Result<LookupAnswer, SteeringError<LookupErrorKind>>> {
    const query = new URLSearchParams({ service, client: clientAddress }).toString()
    let problem = 'no look-up daemon is known'
    for (const address of this.#addresses) {
      const answered = await this.#client.exchange({
        address,
        method: 'GET',
        target: `/lookup?${query}`,
        headers: [],
        body: Buffer.alloc(0),
        deadlineMs,
        maxAnswerBytes: MAX_ANSWER_BYTES,
        signal: new AbortController().signal,
      })
      const answer = parseAnswer(answered)
      if (typeof answer !== 'string') return Ok(answer)
      problem = answer
    }
    return Err(
      new SteeringError(
        LookupErrorKind.Unavailable,
        `No entry instance could be looked up: ${problem}`,
        'try again after a second',
      ),
    )
  }
}

function parseAnswer(answered: ExchangeResult): LookupAnswer | string {
  if (answered.kind !== ExchangeKind.Answered) return answered.reason
  if (answered.status !== 200) return `status ${String(answered.status)}`
  try {
    const checked = ANSWER_SCHEMA.validate(JSON.parse(answered.body.toString('utf8')))
    return checked.error === undefined ? checked.value : checked.error.message
  } catch {
    return 'the answer is not JSON'
  }
}
