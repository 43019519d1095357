/**
 * {@link BackendStatusSource} over HTTP: a backend server answers `GET /status`
 * with status 200 and `{ health, busySlots, measuredAtMs }`.
 */
import { Agent } from 'node:http'
import wreck from '@hapi/wreck'
import Joi from 'joi'
import { SteeringError, messageOf } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { BackendStatus, BackendStatusSource } from './backendStatus.js'
import { BackendHealth } from './backendStatus.js'
import { PlatformErrorKind } from './instanceList.js'

const STATUS_SCHEMA = Joi.object<BackendStatus>({
  health: Joi.valid(...Object.values(BackendHealth)).required(),
  busySlots: Joi.number().min(0).required(),
  measuredAtMs: Joi.number().required(),
})
  .unknown()
  .required()
const MAX_STATUS_BYTES = 64 * 1024

/** Reads the status endpoint of backend servers over one keep-alive connection per server. */
export class HttpBackendStatusSource implements BackendStatusSource {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 })
  readonly #client = wreck.defaults({ agent: this.#agent })

  async read(
    address: string,
    timeoutMs: number,
  ): Promise<Result<BackendStatus, SteeringError<PlatformErrorKind>>> {
    try {
      const url = `http://${address}/status`
      const response = await this.#client.request('GET', url, { timeout: timeoutMs })
      const limits = { timeout: timeoutMs, maxBytes: MAX_STATUS_BYTES }
      const body = await this.#client.read(response, limits)
      if (response.statusCode !== 200) {
        return Err(unavailable(address, `status ${String(response.statusCode)}`))
      }
      return decodeStatus(address, body.toString('utf8'))
    } catch (error) {
      return Err(unavailable(address, messageOf(error)))
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy()
  }
}

function decodeStatus(
  address: string,
  text: string,
): Result<BackendStatus, SteeringError<PlatformErrorKind>> {
  try {
    const checked = STATUS_SCHEMA.validate(JSON.parse(text))
    return checked.error === undefined
      ? Ok(checked.value)
      : Err(malformed(address, checked.error.message))
  } catch (error) {
    return Err(malformed(address, messageOf(error)))
  }
}

function unavailable(address: string, reason: string): SteeringError<PlatformErrorKind> {
  return new SteeringError(
    PlatformErrorKind.Unavailable,
    `Reading the status of the backend server at ${address} failed: ${reason}`,
    'rely on its answers to requests until its status can be read again',
  )
}

function malformed(address: string, reason: string): SteeringError<PlatformErrorKind> {
  return new SteeringError(
    PlatformErrorKind.Malformed,
    `The status of the backend server at ${address} is malformed: ${reason}`,
    'correct the status endpoint of the backend server',
  )
}
