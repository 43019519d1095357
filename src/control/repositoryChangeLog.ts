/** {@link ChangeLog} backed by the configuration repository. */
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { ConfigurationError } from '../configuration/configurationErrors.js'
import { ConfigurationErrorKind } from '../configuration/configurationErrors.js'
import type { ConfigurationReplica } from '../configuration/configurationReplica.js'
import type { ConfigurationRepository } from '../configuration/configurationRepository.js'
import type { ConfigurationChange } from '../configuration/document.js'
import type { ChangeLog, CommittedChange, HeadState, HistoryEntry } from './changeLog.js'
import { CommitError, CommitErrorKind } from './changeLog.js'
import { messageWithoutRemedy } from './errorMessage.js'

const COMMIT_ERROR_KINDS: Readonly<Record<ConfigurationErrorKind, CommitErrorKind>> = {
  [ConfigurationErrorKind.Conflict]: CommitErrorKind.Conflict,
  [ConfigurationErrorKind.OutcomeUnknown]: CommitErrorKind.Unknown,
  [ConfigurationErrorKind.StoreUnavailable]: CommitErrorKind.Unavailable,
  [ConfigurationErrorKind.NotHeld]: CommitErrorKind.Unavailable,
  [ConfigurationErrorKind.Malformed]: CommitErrorKind.Invalid,
  [ConfigurationErrorKind.UnknownRecordKind]: CommitErrorKind.Invalid,
  [ConfigurationErrorKind.Refused]: CommitErrorKind.Invalid,
}

/**
 * Reads and commits through the repository; reads recent changes from the replica if it holds them.
 */
export class RepositoryChangeLog implements ChangeLog {
  readonly #repository: ConfigurationRepository
  readonly #replica: ConfigurationReplica

  constructor(repository: ConfigurationRepository, replica: ConfigurationReplica) {
    this.#repository = repository
    this.#replica = replica
  }

  async head(): Promise<Result<HeadState, CommitError>> {
    const head = await this.#repository.readHead()
    return head
      .map(({ revision, snapshotRevision, changeIds }) => ({
        revision,
        snapshotRevision,
        changeIds: new Map(changeIds.map((named) => [named.changeId, named.revision])),
      }))
      .mapErr(commitError)
  }

  async changes(
    first: number,
    last: number,
  ): Promise<Result<readonly CommittedChange[], CommitError>> {
    const isInRange = ({ revision }: CommittedChange): boolean =>
      revision >= first && revision <= last
    const heldChanges =
      this.#replica.revision >= last ? this.#replica.changesSince(first - 1) : undefined
    if (heldChanges !== undefined) return Ok(heldChanges.filter(isInRange))
    const update = await this.#repository.readSince(first - 1)
    if (update.err) return Err(commitError(update.val))
    const changes = update.val.changes.filter(isInRange)
    return changes.length === last - first + 1 ? Ok(changes) : Err(changesNotKept(first))
  }

  async history(): Promise<Result<readonly HistoryEntry[], CommitError>> {
    const history = await this.#repository.history()
    return history.mapErr(commitError)
  }

  async commit(
    change: ConfigurationChange,
    baseRevision: number,
  ): Promise<Result<number, CommitError>> {
    const committed = await this.#repository.commit(change, baseRevision)
    return committed.map(({ revision }) => revision).mapErr(commitError)
  }
}

function commitError(error: ConfigurationError): CommitError {
  return new CommitError(COMMIT_ERROR_KINDS[error.kind], messageWithoutRemedy(error), error.remedy)
}

function changesNotKept(first: number): CommitError {
  return new CommitError(
    CommitErrorKind.Unavailable,
    `The changes since revision ${String(first)} are no longer kept, only a snapshot`,
    'make a new plan',
  )
}
