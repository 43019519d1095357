/** Signed operation prefixes: the right to run operations, bound to one incarnation of one gateway. */
import { createHmac } from 'node:crypto'
import Joi from 'joi'
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import { secretsEqual } from '../common/tokens.js'

/** What a prefix says. */
export interface OperationGrant {
  /** Member identifier of the owning gateway. */
  readonly gatewayId: string
  /** Incarnation of the owning gateway; no other process ever runs the operation. */
  readonly incarnation: string
  readonly service: string
  /** Region whose callers the client belongs to. */
  readonly homeRegion: string
  /** Shift that moved the caller away from its home region. */
  readonly shiftId?: string
  /** New operations are accepted until this time, milliseconds since the epoch. */
  readonly acceptUntilMs: number
  /** Distinguishes the prefixes that are handed to different callers; 16 hexadecimal digits. */
  readonly nonce: string
}

/** A decoded operation identifier. */
export interface OperationIdentifier {
  readonly grant: OperationGrant
  /** Number of the operation under its prefix, chosen by the caller. */
  readonly number: number
  /** The identifier as given. */
  readonly text: string
}

/** Kinds of errors from {@link OperationPrefixCodec.decode}. */
export enum OperationPrefixErrorKind {
  Malformed = 'operationIdentifierMalformed',
  Forged = 'operationPrefixForged',
}

const PREFIX_SCHEMA = Joi.array()
  .ordered(
    Joi.string().max(128).required(),
    Joi.string().hex().length(16).required(),
    Joi.string().max(64).required(),
    Joi.string().max(64).required(),
    Joi.string().max(128).allow('').required(),
    Joi.number().integer().min(0).required(),
    Joi.string().hex().length(16).required(),
  )
  .required()
const SIGNATURE_BYTES = 16
const MAX_IDENTIFIER_LENGTH = 1024
const NUMBER_PATTERN = /^(0|[1-9][0-9]{0,14})$/
const REMEDY = 'look up again and number the operation under the prefix of that answer'

/** Encodes and verifies prefixes with the key that look-up daemons and gateways share. */
export class OperationPrefixCodec {
  readonly #key: string

  constructor(key: string) {
    this.#key = key
  }

  /** Returns `<base64url payload>~<base64url signature>`. */
  encode(grant: OperationGrant): string {
    const fields = [
      grant.gatewayId,
      grant.incarnation,
      grant.service,
      grant.homeRegion,
      grant.shiftId ?? '',
      grant.acceptUntilMs,
      grant.nonce,
    ]
    const payload = Buffer.from(JSON.stringify(fields)).toString('base64url')
    return `${payload}~${this.#sign(payload)}`
  }

  /** Verifies an identifier `<prefix>.<number>`. */
  decode(text: string): Result<OperationIdentifier, SteeringError<OperationPrefixErrorKind>> {
    const dot = text.lastIndexOf('.')
    const tilde = text.indexOf('~')
    const number = text.slice(dot + 1)
    if (
      text.length > MAX_IDENTIFIER_LENGTH ||
      tilde < 0 ||
      dot < tilde ||
      !NUMBER_PATTERN.test(number)
    ) {
      return Err(malformed('it does not have the form <prefix>.<number>'))
    }
    const payload = text.slice(0, tilde)
    // Compared as text: base64url has several spellings of the same bytes, and
    // an operation with two spellings would be two operations to the ledger.
    if (!secretsEqual(text.slice(tilde + 1, dot), this.#sign(payload))) {
      return Err(
        new SteeringError(
          OperationPrefixErrorKind.Forged,
          'The operation prefix was not issued by this system',
          REMEDY,
        ),
      )
    }
    return parsePayload(payload).map((grant) => ({ grant, number: Number(number), text }))
  }

  #sign(payload: string): string {
    const digest = createHmac('sha256', this.#key).update(payload).digest()
    return digest.subarray(0, SIGNATURE_BYTES).toString('base64url')
  }
}

function malformed(reason: string): SteeringError<OperationPrefixErrorKind> {
  return new SteeringError(
    OperationPrefixErrorKind.Malformed,
    `The operation identifier can't be read: ${reason}`,
    REMEDY,
  )
}

function parsePayload(
  payload: string,
): Result<OperationGrant, SteeringError<OperationPrefixErrorKind>> {
  let decoded: unknown
  try {
    decoded = JSON.parse(Buffer.from(payload, 'base64url').toString('utf8'))
  } catch {
    return Err(malformed('its payload is not JSON'))
  }
  const checked = PREFIX_SCHEMA.validate(decoded)
  if (checked.error !== undefined) return Err(malformed(checked.error.message))
  const [gatewayId, incarnation, service, homeRegion, shiftId, acceptUntilMs, nonce] =
    checked.value as [string, string, string, string, string, number, string]
  return Ok({
    gatewayId,
    incarnation,
    service,
    homeRegion,
    ...(shiftId === '' ? {} : { shiftId }),
    acceptUntilMs,
    nonce,
  })
}
