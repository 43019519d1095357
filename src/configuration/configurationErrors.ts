/** Errors of reading, changing and distributing the configuration. */
import { SteeringError } from '../common/errors.js'

export enum ConfigurationErrorKind {
  /** A change, a snapshot or the head does not match its schema. */
  Malformed = 'configurationMalformed',
  /** The change has a record kind that this version of the program does not support. */
  UnknownRecordKind = 'configurationUnknownRecordKind',
  /** The change contradicts the configuration that it is based on. */
  Refused = 'configurationRefused',
  /** Other changes were committed after the base revision; `details.intervening` names them. */
  Conflict = 'configurationConflict',
  /** The store could not be used. This call committed nothing. */
  StoreUnavailable = 'configurationStoreUnavailable',
  /** The change may have been committed. */
  OutcomeUnknown = 'configurationOutcomeUnknown',
  /** This process does not have the requested revision. */
  NotHeld = 'configurationNotHeld',
}

export class ConfigurationError extends SteeringError<ConfigurationErrorKind> {}

/** A change that another writer committed after the base revision. */
export interface InterveningChange {
  readonly revision: number
  readonly changeId: string
  /** Absent if the change body could not be read. */
  readonly operator?: string
  readonly summary?: string
}

/** The base revision is not the latest one. Nothing was committed. */
export class CommitConflict extends ConfigurationError {
  /** Latest revision in the store. */
  readonly revision: number
  /** Changes after the base revision, oldest first; at most the last 256. */
  readonly intervening: readonly InterveningChange[]

  constructor(
    baseRevision: number,
    revision: number,
    intervening: readonly InterveningChange[],
    problem = `The change is based on revision ${String(baseRevision)}, but the latest is ${String(revision)}`,
  ) {
    const changeLabels = intervening.map(
      (change) => `${String(change.revision)}: ${change.summary ?? change.changeId}`,
    )
    super(
      ConfigurationErrorKind.Conflict,
      `${problem} (${changeLabels.slice(-10).join('; ')})`,
      'read the latest revision and apply the change on top of it',
      { baseRevision, revision, intervening },
    )
    this.revision = revision
    this.intervening = intervening
  }
}

/** Creates an error for data that does not match its schema. */
export function malformedError(problem: string): ConfigurationError {
  return new ConfigurationError(
    ConfigurationErrorKind.Malformed,
    problem,
    'correct the named fields and try again',
  )
}

/** Creates an error for a change that contradicts the configuration. */
export function refusedError(problem: string): ConfigurationError {
  return new ConfigurationError(
    ConfigurationErrorKind.Refused,
    problem,
    'correct the change, or first commit the change that it depends on',
  )
}

/** Creates an error for a store call that failed or returned unusable data. */
export function storeUnavailableError(problem: string): ConfigurationError {
  return new ConfigurationError(
    ConfigurationErrorKind.StoreUnavailable,
    problem,
    'retry once the store is available again',
  )
}
