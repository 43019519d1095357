/** Signed operation prefixes, which allow a caller to run operations on one gateway incarnation. */
import { createHmac } from 'node:crypto'
import Joi from 'joi'
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import { secretsEqual } from '../common/tokens.js'

/** Content of an operation prefix. */
export interface OperationGrant {
  /** Member identifier of the owning gateway. */
  readonly gatewayId: string
  /** Incarnation of the owning gateway, the only process that may run the operation. */
  readonly incarnation: string
  readonly service: string
  /** Home region of the caller. */
  readonly homeRegion: string
  /** Shift that moved the caller out of its home region, if any. */
  readonly shiftId?: string
  /** End of the acceptance of new operations, milliseconds since the epoch. */
  readonly acceptUntilMs: number
  /** Makes the prefixes of different callers unique; 16 hexadecimal digits. */
  readonly nonce: string
}

/** A decoded and verified operation identifier. */
export interface OperationIdentifier {
  readonly grant: OperationGrant
  /** Number of the operation within its prefix, chosen by the caller. */
  readonly number: number
  /** The identifier in the form in which it was received. */
  readonly text: string
}

/** Error kinds of {@link OperationPrefixCodec.decode}. */
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
const PREFIX_REMEDY = 'look up again and number the operation under the prefix of that answer'

/** Signs and verifies prefixes with a key that the look-up daemons and gateways share. */
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

  /** Parses an identifier `<prefix>.<number>` and verifies its signature. */
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
    // Compare the encoded text: several base64url texts decode to the same bytes, and the ledger
    // would treat two texts of the same operation as two operations.
    if (!secretsEqual(text.slice(tilde + 1, dot), this.#sign(payload))) {
      return Err(
        new SteeringError(
          OperationPrefixErrorKind.Forged,
          'The operation prefix was not issued by this system',
          PREFIX_REMEDY,
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
    `The operation identifier is malformed: ${reason}`,
    PREFIX_REMEDY,
  )
}

function parsePayload(
  payload: string,
): Result<OperationGrant, SteeringError<OperationPrefixErrorKind>> {
  let decoded: unknown
  try {
    decoded = JSON.parse(Buffer.from(payload, 'base64url').toString('utf8'))
  } catch {
    return Err(malformed('its payload is not valid JSON'))
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
