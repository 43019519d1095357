/**
 * {@link InstanceList} over HTTP: the platform answers `GET /v1/instances` with
 * status 200 and `{ instances: [ListedInstance, …] }`.
 */
import Joi from 'joi'
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import { HttpJsonClient, isAnswer } from './httpJsonClient.js'
import type { InstanceList, ListedInstance } from './instanceList.js'
import { InstanceKind, InstanceState, PlatformErrorKind } from './instanceList.js'

const LIST_SCHEMA = Joi.object({
  instances: Joi.array()
    .items(
      Joi.object({
        instanceId: Joi.string().required(),
        kind: Joi.valid(...Object.values(InstanceKind)).required(),
        state: Joi.valid(...Object.values(InstanceState)).required(),
        generation: Joi.number().integer().min(0).required(),
        region: Joi.string().required(),
        zone: Joi.string().required(),
        address: Joi.string().required(),
      }).unknown(),
    )
    .required(),
})
  .unknown()
  .required()

/** Reads the instance list from an HTTP endpoint. */
export class HttpInstanceList implements InstanceList {
  readonly #client: HttpJsonClient
  readonly #url: string

  /** @param url base URL of the instance list service */
  constructor(url: string) {
    this.#url = url
    this.#client = new HttpJsonClient(url)
  }

  async read(
    timeoutMs: number,
  ): Promise<Result<readonly ListedInstance[], SteeringError<PlatformErrorKind>>> {
    const outcome = await this.#client.call('/v1/instances', undefined, { timeoutMs })
    if (!isAnswer(outcome)) return Err(this.#unavailable(outcome.reason))
    if (outcome.status !== 200) return Err(this.#unavailable(`status ${String(outcome.status)}`))
    const checked = LIST_SCHEMA.validate(outcome.body)
    if (checked.error !== undefined) return Err(this.#malformed(checked.error.message))
    return Ok((outcome.body as { instances: ListedInstance[] }).instances)
  }

  /** Closes all connections. */
  close(): void {
    this.#client.close()
  }

  #unavailable(reason: string): SteeringError<PlatformErrorKind> {
    return new SteeringError(
      PlatformErrorKind.Unavailable,
      `Reading the instance list at ${this.#url} failed: ${reason}`,
      'keep using the last list and read it again later',
    )
  }

  #malformed(reason: string): SteeringError<PlatformErrorKind> {
    return new SteeringError(
      PlatformErrorKind.Malformed,
      `The instance list at ${this.#url} is malformed: ${reason}`,
      'keep using the last list and check the version of the platform',
    )
  }
}
