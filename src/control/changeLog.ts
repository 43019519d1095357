/** Interface through which the control daemon reads and commits configuration changes. */
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import type { ConfigurationChange } from '../configuration/document.js'

/** Kinds of {@link CommitError}. */
export enum CommitErrorKind {
  /** The head is not at the expected base revision; nothing was committed. */
  Conflict = 'commitConflict',
  /** The store rejected the call or could not be reached; nothing was committed. */
  Unavailable = 'commitUnavailable',
  /**
   * The answer was lost, and looking up the change id did not show whether the commit took effect.
   */
  Unknown = 'commitUnknown',
  /** The records can't be applied to the configuration; nothing was committed. */
  Invalid = 'commitInvalid',
}

/** Error of a {@link ChangeLog} call. */
export class CommitError extends SteeringError<CommitErrorKind> {}

/** A change and the revision under which it was committed. */
export interface CommittedChange {
  readonly revision: number
  readonly change: ConfigurationChange
}

/** Summary of a committed change in the history. */
export interface HistoryEntry {
  readonly revision: number
  readonly changeId: string
  readonly operator: string
  /** Milliseconds since the epoch. */
  readonly createdAtMs: number
  readonly summary: string
}

/** The head of the accepted configuration. */
export interface HeadState {
  /** Latest committed revision; 0 before the first change. */
  readonly revision: number
  /** Revision of the snapshot that the head refers to; 0 for none. */
  readonly snapshotRevision: number
  /** Revision of each of the latest changes, by change id. */
  readonly changeIds: ReadonlyMap<string, number>
}

/** Reads and commits changes of the accepted configuration. The returned promises never reject. */
export interface ChangeLog {
  /** Reads the head; fails only with `Unavailable`. */
  head(): Promise<Result<HeadState, CommitError>>
  /** Reads the changes of revisions `first` to `last`, inclusive; fails only with `Unavailable`. */
  changes(first: number, last: number): Promise<Result<readonly CommittedChange[], CommitError>>
  /** Returns the latest changes, newest last; fails only with `Unavailable`. */
  history(): Promise<Result<readonly HistoryEntry[], CommitError>>
  /**
   * Commits `change` as revision `baseRevision + 1`. If its change id is
   * already committed, returns the revision of that commit.
   */
  commit(change: ConfigurationChange, baseRevision: number): Promise<Result<number, CommitError>>
}
