/** Schema validation of changes, and their JSON encoding in the store. */
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import {
  ConfigurationError,
  ConfigurationErrorKind,
  malformedError,
} from './configurationErrors.js'
import type { ConfigurationChange, ConfigurationRecord } from './document.js'
import { RecordKind } from './document.js'
import { CHANGE_SCHEMA, RECORD_SCHEMAS } from './recordSchemas.js'

/** A change with the revision that its commit created. */
export interface CommittedChange {
  readonly revision: number
  readonly change: ConfigurationChange
}

/** Maximum size of an encoded change in bytes. The store accepts values of up to 1 MB. */
export const MAX_CHANGE_BYTES = 900 * 1024

/** Maximum number of schema violations listed in one error message. */
const MAX_LISTED_VIOLATIONS = 20

/**
 * Validates a change against the schemas. The error message lists the violations of all records.
 */
export function validateChange(value: unknown): Result<ConfigurationChange, ConfigurationError> {
  const validation = CHANGE_SCHEMA.validate(value, { abortEarly: false, convert: false })
  if (validation.error !== undefined) {
    return Err(malformedError(`The change is malformed: ${validation.error.message}`))
  }
  const change = value as ConfigurationChange
  const violations: string[] = []
  for (const [index, record] of change.records.entries()) {
    const schema = schemaOf(record)
    if (schema === undefined) return Err(unknownKindError(change.changeId, index, record))
    const { error } = schema.validate(record, { abortEarly: false, convert: false })
    if (error !== undefined) violations.push(`record ${String(index)}: ${error.message}`)
  }
  if (violations.length === 0) return Ok(change)
  const listed = violations.slice(0, MAX_LISTED_VIOLATIONS).join('; ')
  return Err(malformedError(`The change ${change.changeId} is malformed: ${listed}`))
}

/** Encodes a change as JSON. Fails if the text exceeds {@link MAX_CHANGE_BYTES}. */
export function encodeChange(change: ConfigurationChange): Result<string, ConfigurationError> {
  const text = JSON.stringify(change)
  if (Buffer.byteLength(text) <= MAX_CHANGE_BYTES) return Ok(text)
  return Err(
    new ConfigurationError(
      ConfigurationErrorKind.Malformed,
      `The change ${change.changeId} is longer than ${String(MAX_CHANGE_BYTES)} bytes`,
      'split it into several changes',
    ),
  )
}

/** Parses and validates a change encoded as JSON. */
export function decodeChange(text: string): Result<ConfigurationChange, ConfigurationError> {
  try {
    return validateChange(JSON.parse(text))
  } catch {
    return Err(malformedError('The encoded change is not valid JSON'))
  }
}

function schemaOf(record: ConfigurationRecord): (typeof RECORD_SCHEMAS)[RecordKind] | undefined {
  const supportedKinds: readonly string[] = Object.values(RecordKind)
  return supportedKinds.includes(record.kind) ? RECORD_SCHEMAS[record.kind] : undefined
}

function unknownKindError(
  changeId: string,
  index: number,
  record: ConfigurationRecord,
): ConfigurationError {
  return new ConfigurationError(
    ConfigurationErrorKind.UnknownRecordKind,
    `Record ${String(index)} of the change ${changeId} has the unknown kind ${JSON.stringify(record.kind)}`,
    'upgrade this program to the version that wrote the change',
  )
}
