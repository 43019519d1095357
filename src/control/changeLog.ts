/** What control needs of the configuration's commits; the configuration repository provides it. */
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import type { ConfigurationChange } from '../configuration/document.js'

/** How a commit can fail. */
export enum CommitErrorKind {
  /** The head is at another revision; nothing was committed. */
  Conflict = 'commitConflict',
  /** The store refused or could not be reached; nothing was committed. */
  Unavailable = 'commitUnavailable',
  /** The answer was lost and could not be settled by the change id. */
  Unknown = 'commitUnknown',
  /** The records don't apply to the configuration; nothing was committed. */
  Invalid = 'commitInvalid',
}

/** Failure of a commit. */
export class CommitError extends SteeringError<CommitErrorKind> {}

/** A change with the revision that it became. */
export interface CommittedChange {
  readonly revision: number
  readonly change: ConfigurationChange
}

/** A change as the history shows it. */
export interface HistoryLine {
  readonly revision: number
  readonly changeId: string
  readonly operator: string
  /** Milliseconds since the epoch. */
  readonly createdAtMs: number
  readonly summary: string
}

/** The head of the accepted configuration. */
export interface HeadState {
  /** 0 before the first change. */
  readonly revision: number
  /** Revision of the snapshot that the head names; 0 for none. */
  readonly snapshotRevision: number
  /** Revisions of the latest changes by change id. */
  readonly changeIds: ReadonlyMap<string, number>
}

/** Reads and commits changes of the accepted configuration. No method rejects. */
export interface ChangeLog {
  /** Reads the head; fails only as `Unavailable`. */
  head(): Promise<Result<HeadState, CommitError>>
  /** Reads the changes of the revisions `first` to `last`; fails only as `Unavailable`. */
  changes(first: number, last: number): Promise<Result<readonly CommittedChange[], CommitError>>
  /** Returns the latest changes, newest last; fails only as `Unavailable`. */
  history(): Promise<Result<readonly HistoryLine[], CommitError>>
  /**
   * Commits `change` as revision `baseRevision + 1`. A change id that is
   * committed already gives the revision that it became.
   */
  commit(change: ConfigurationChange, baseRevision: number): Promise<Result<number, CommitError>>
}
