/** Look-up of entry instances by callers. */
import Joi from 'joi'
import { SteeringError } from '../common/errors.js'
import type { ExchangeResult } from '../common/exchange.js'
import { ExchangeKind } from '../common/exchange.js'
import type { HttpExchangeClient } from '../common/httpExchange.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'

/** An entry instance in a look-up answer. */
export interface LookupEntry {
  /** `host:port` */
  readonly address: string
  /** Prefix of the identifiers of operations that are sent to this instance first. */
  readonly operationPrefix: string
}

/** Answer of a lookup daemon. */
export interface LookupAnswer {
  readonly entries: readonly LookupEntry[]
  /** Time for which the answer may be cached, in milliseconds. */
  readonly cacheMs: number
}

/** Kinds of look-up failures; no operation was run. */
export enum LookupErrorKind {
  Unavailable = 'lookupUnavailable',
}

/** Source of look-up answers. */
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

/** Queries lookup daemons over HTTP, in the given order until one answers. */
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
    let problem = 'no lookup daemon is configured'
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
        `The look-up of entry instances failed: ${problem}`,
        'retry after a second',
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
