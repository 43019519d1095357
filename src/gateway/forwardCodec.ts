/** Encodes requests and answers for the internal RPC between gateways. */
import Joi from 'joi'
import { Outcome } from '../common/headers.js'
import type { OperationIdentifier } from '../operations/operationPrefix.js'
import type { HeaderPair } from '../common/exchange.js'
import type { GatewayAnswer, GatewayRequest } from './gatewayRequest.js'

/** RPC method that runs an operation at its owner. */
export const RUN_OWNED_METHOD = 'gateway.runOwned'
/** RPC method that runs a request in another region. */
export const RUN_DELEGATED_METHOD = 'gateway.runDelegated'

/** A request as sent between gateways; the body is base64. */
export interface WireRequest {
  readonly requestId: string
  readonly service: string
  readonly method: string
  readonly target: string
  readonly headers: readonly HeaderPair[]
  readonly body: string
  /** Identifier of the operation, or an empty string. */
  readonly operation: string
  readonly arrivedAtMs: number
  readonly deadlineMs: number
  readonly sendByMs: number
  /** Number of times the request was forwarded, including this one. */
  readonly hops: number
}

/** One hop from the caller's gateway to the owner, one from the owner to another region. */
export const MAX_HOPS = 2

const HEADERS = Joi.array().items(
  Joi.array().ordered(Joi.string().required(), Joi.string().allow('').required()).length(2),
)

/** Schema of {@link WireRequest}. */
export const WIRE_REQUEST_SCHEMA = Joi.object({
  requestId: Joi.string().max(128).required(),
  service: Joi.string().max(64).required(),
  method: Joi.string().max(32).required(),
  target: Joi.string().required(),
  headers: HEADERS.required(),
  body: Joi.string().allow('').required(),
  operation: Joi.string().allow('').required(),
  arrivedAtMs: Joi.number().required(),
  deadlineMs: Joi.number().required(),
  sendByMs: Joi.number().required(),
  hops: Joi.number().integer().min(1).max(MAX_HOPS).required(),
}).required()

const WIRE_ANSWER_SCHEMA = Joi.object({
  outcome: Joi.string()
    .valid(...Object.values(Outcome))
    .required(),
  status: Joi.number().integer().min(200).max(599).required(),
  headers: HEADERS.required(),
  body: Joi.string().allow('').required(),
  isDelimitedByClose: Joi.boolean(),
  reason: Joi.string().required(),
}).required()

interface WireAnswer {
  readonly outcome: Outcome
  readonly status: number
  readonly headers: readonly HeaderPair[]
  readonly body: string
  readonly isDelimitedByClose?: boolean
  readonly reason: string
}

/** Encodes a request for another gateway. `operation` is empty if the receiver is not the owner. */
export function encodeRequest(
  request: GatewayRequest,
  hops: number,
  operation: string,
): WireRequest {
  return {
    requestId: request.requestId,
    service: request.service,
    method: request.method,
    target: request.target,
    headers: request.headers,
    body: request.body.toString('base64'),
    operation,
    ...request.deadline,
    hops,
  }
}

/** Decodes a request that was validated against {@link WIRE_REQUEST_SCHEMA}. */
export function decodeRequest(
  wire: WireRequest,
  operation: OperationIdentifier | undefined,
  signal: AbortSignal,
): GatewayRequest {
  const { arrivedAtMs, deadlineMs, sendByMs } = wire
  return {
    requestId: wire.requestId,
    service: wire.service,
    method: wire.method,
    target: wire.target,
    headers: wire.headers,
    body: Buffer.from(wire.body, 'base64'),
    operation,
    deadline: { arrivedAtMs, deadlineMs, sendByMs },
    signal,
  }
}

/** Encodes an answer for the gateway that forwarded the request. */
export function encodeAnswer(answer: GatewayAnswer): unknown {
  return { ...answer, body: answer.body.toString('base64') }
}

/** Decodes an answer; returns `undefined` if it is malformed. */
export function decodeAnswer(wire: unknown): GatewayAnswer | undefined {
  const checked = WIRE_ANSWER_SCHEMA.validate(wire)
  if (checked.error !== undefined) return undefined
  const answer = checked.value as WireAnswer
  return { ...answer, body: Buffer.from(answer.body, 'base64') }
}
