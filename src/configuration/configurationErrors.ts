/** Typed errors of the configuration. */
import { SteeringError } from '../common/errors.js'

/** Kinds of errors about the configuration. */
export enum ConfigurationErrorKind {
  /** The change or another text does not have the required form. */
  Malformed = 'configurationMalformed',
  /** The change has a record kind that this program does not know. */
  UnknownRecordKind = 'configurationUnknownRecordKind',
  /** The change contradicts the configuration that it is based on. */
  Refused = 'configurationRefused',
  /** Other changes were committed after the base revision; `details.intervening` names them. */
  Conflict = 'configurationConflict',
  /** The store is not available; nothing was committed by this call. */
  StoreUnavailable = 'configurationStoreUnavailable',
  /** The change may have been committed. */
  OutcomeUnknown = 'configurationOutcomeUnknown',
  /** The requested revision is not held here. */
  NotHeld = 'configurationNotHeld',
}

/** Error about the configuration. */
export class ConfigurationError extends SteeringError<ConfigurationErrorKind> {}

/** A committed change that a writer did not know. */
export interface InterveningChange {
  readonly revision: number
  readonly changeId: string
  /** Absent when the body could not be read. */
  readonly operator?: string
  readonly summary?: string
}

/** The base revision is not the latest one; nothing was committed. */
export class CommitConflict extends ConfigurationError {
  /** Latest revision. */
  readonly revision: number
  /** Changes after the base revision, oldest first; at most the last 256. */
  readonly intervening: readonly InterveningChange[]

  constructor(
    baseRevision: number,
    revision: number,
    intervening: readonly InterveningChange[],
    problem = `The change is based on revision ${String(baseRevision)}, but the latest is ${String(revision)}`,
  ) {
    const names = intervening.map(
      (change) => `${String(change.revision)}: ${change.summary ?? change.changeId}`,
    )
    super(
      ConfigurationErrorKind.Conflict,
      `${problem} (${names.slice(-10).join('; ')})`,
      'read the latest revision and make the change again on it',
      { baseRevision, revision, intervening },
    )
    this.revision = revision
    this.intervening = intervening
  }
}

/** Creates an error for a text or a change of the wrong form. */
export function malformed(problem: string): ConfigurationError {
  return new ConfigurationError(
    ConfigurationErrorKind.Malformed,
    problem,
    'correct the named fields and send it again',
  )
}

/** Creates an error for a change that contradicts the configuration. */
export function refused(problem: string): ConfigurationError {
  return new ConfigurationError(
    ConfigurationErrorKind.Refused,
    problem,
    'correct the change, or first commit the change that it depends on',
  )
}

/** Creates an error for a store call without a usable answer. */
export function storeUnavailable(problem: string): ConfigurationError {
  return new ConfigurationError(
    ConfigurationErrorKind.StoreUnavailable,
    problem,
    'repeat it once the store answers again',
  )
}
