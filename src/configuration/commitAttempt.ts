/** Commits one change: writes its body, then updates the head by compare-and-swap. */
import type { Clock } from '../common/clock.js'
import { sleep } from '../common/clock.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { KeyValueStore, StoreError } from '../platform/keyValueStore.js'
import { StoreErrorKind } from '../platform/keyValueStore.js'
import type { InterveningChange } from './configurationErrors.js'
import {
  CommitConflict,
  ConfigurationError,
  ConfigurationErrorKind,
  malformedError,
  refusedError,
  storeUnavailableError,
} from './configurationErrors.js'
import type { ChangeReference, VersionedHead } from './configurationHead.js'
import {
  HEAD_KEY,
  HISTORY_LENGTH,
  changeBodyKey,
  committedRevision,
  encodeHead,
  headWithChange,
  listsAllChangesSince,
} from './configurationHead.js'
import type { ConfigurationChange } from './document.js'

export interface CommitReceipt {
  readonly changeId: string
  readonly revision: number
  /** Whether an earlier call had already committed the change. */
  readonly isRepeated: boolean
}

/** Settings and functions of the repository that makes the commit. */
export interface CommitDependencies {
  readonly store: KeyValueStore
  readonly callTimeoutMs: number
  readonly initialRetryDelayMs: number
  readonly clock: Clock
  readHead(): Promise<Result<VersionedHead, ConfigurationError>>
  describeChanges(changes: readonly ChangeReference[]): Promise<readonly InterveningChange[]>
  /** Checks that the change can be applied to the configuration at the head. */
  checkApplicable(head: VersionedHead): Promise<Result<void, ConfigurationError>>
}

/** A change, its encoded text, and the revision that it is based on. */
export interface CommitRequest {
  readonly change: ConfigurationChange
  readonly text: string
  readonly baseRevision: number
}

type Outcome = Result<CommitReceipt, ConfigurationError>

/**
 * Maximum number of changes after the latest snapshot; further commits fail until the next
 * snapshot is written. A process that starts without a configuration needs a snapshot and all
 * changes after it, and the head lists only the last 256.
 */
export const MAX_CHANGES_SINCE_SNAPSHOT = HISTORY_LENGTH - 16
const MAX_RETRY_DELAY_MS = 500

/** One commit, which is retried until its outcome is certain or its deadline has passed. */
export class CommitAttempt {
  readonly #dependencies: CommitDependencies
  readonly #request: CommitRequest
  readonly #deadlineMs: number
  /** Whether a head write was sent and it is unknown if it took effect. */
  #hasUnconfirmedHeadWrite = false
  #isBodyWritten = false
  #retryDelayMs: number

  constructor(dependencies: CommitDependencies, request: CommitRequest, deadlineMs: number) {
    this.#dependencies = dependencies
    this.#request = request
    this.#deadlineMs = deadlineMs
    this.#retryDelayMs = dependencies.initialRetryDelayMs
  }

  async run(): Promise<Outcome> {
    for (;;) {
      const read = await this.#dependencies.readHead()
      const outcome = read.err ? this.#afterFailure(read.val) : await this.#tryCommit(read.val)
      if (outcome !== undefined) return outcome
      if (this.#dependencies.clock() >= this.#deadlineMs) return Err(this.#deadlineError())
      await sleep(this.#retryDelayMs)
      this.#retryDelayMs = Math.min(2 * this.#retryDelayMs, MAX_RETRY_DELAY_MS)
    }
  }

  /** Returns `undefined` if the head must be read again before the next attempt. */
  async #tryCommit(head: VersionedHead): Promise<Outcome | undefined> {
    const decided = await this.#outcomeFromHead(head)
    if (decided !== undefined) return decided
    if (!this.#isBodyWritten) {
      const written = await this.#checkAndWriteBody(head)
      if (written.err) return written
      this.#isBodyWritten = true
    }
    const value = encodeHead(headWithChange(head, this.#request.change.changeId))
    const swapped = await this.#swapHead(value, head.storeVersion)
    if (swapped.ok) return Ok(this.#receipt(head.revision + 1, false))
    if (swapped.val.kind === StoreErrorKind.Conflict) return undefined
    if (swapped.val.kind === StoreErrorKind.Unknown) {
      this.#hasUnconfirmedHeadWrite = true
      return undefined
    }
    return this.#afterFailure(swapped.val)
  }

  /** Returns the outcome if it follows from the head. */
  async #outcomeFromHead(head: VersionedHead): Promise<Outcome | undefined> {
    const { change, baseRevision } = this.#request
    const revision = committedRevision(head, change.changeId)
    if (revision !== undefined) return Ok(this.#receipt(revision, !this.#hasUnconfirmedHeadWrite))
    if (head.revision < baseRevision) {
      return Err(refusedError(`Revision ${String(baseRevision)} does not exist yet`))
    }
    if (head.revision === baseRevision) return undefined
    // The change can only have been committed as the revision after its base. If the head no
    // longer lists that revision, only a missing body proves that it was not committed.
    if (!listsAllChangesSince(head, baseRevision) && (await this.#mayHaveBeenCommitted())) {
      return Err(this.#outcomeUnknownError())
    }
    const laterChanges = head.changeIds.filter((candidate) => candidate.revision > baseRevision)
    const described = new Map(
      (await this.#dependencies.describeChanges(laterChanges.slice(-10))).map((entry) => [
        entry.revision,
        entry,
      ]),
    )
    const intervening = laterChanges.map((entry) => described.get(entry.revision) ?? entry)
    return Err(new CommitConflict(baseRevision, head.revision, intervening))
  }

  async #mayHaveBeenCommitted(): Promise<boolean> {
    const { change, baseRevision } = this.#request
    const key = changeBodyKey(baseRevision + 1, change.changeId)
    const body = await this.#dependencies.store.get(key, {
      timeoutMs: this.#dependencies.callTimeoutMs,
    })
    return body.err || body.val !== undefined
  }

  async #checkAndWriteBody(head: VersionedHead): Promise<Result<void, ConfigurationError>> {
    if (head.revision - head.snapshotRevision >= MAX_CHANGES_SINCE_SNAPSHOT) {
      return Err(snapshotOverdueError(head))
    }
    const checked = await this.#dependencies.checkApplicable(head)
    return checked.err ? checked : this.#writeBody(head.revision + 1)
  }

  async #writeBody(revision: number): Promise<Result<void, ConfigurationError>> {
    const { change, text } = this.#request
    const key = changeBodyKey(revision, change.changeId)
    const { store, callTimeoutMs: timeoutMs } = this.#dependencies
    const written = await store.compareAndSwap(key, text, 0, { timeoutMs })
    if (written.ok) return Ok(undefined)
    if (written.val.kind === StoreErrorKind.Failed)
      return Err(storeUnavailableError(written.val.message))
    // This call or an earlier one may already have written the body.
    const read = await store.get(key, { timeoutMs })
    if (read.err) return Err(storeUnavailableError(read.val.message))
    if (read.val?.value === text) return Ok(undefined)
    return read.val === undefined
      ? Err(storeUnavailableError(`The change body ${key} could not be written`))
      : Err(
          malformedError(`The change id ${change.changeId} is already used by a different change`),
        )
  }

  #swapHead(value: string, version: number): Promise<Result<number, StoreError>> {
    const { store, callTimeoutMs: timeoutMs } = this.#dependencies
    return store.compareAndSwap(HEAD_KEY, value, version, { timeoutMs })
  }

  /**
   * A failed call ends the commit, unless a head write is unconfirmed; the head is then read again.
   */
  #afterFailure(error: Error): Outcome | undefined {
    return this.#hasUnconfirmedHeadWrite ? undefined : Err(storeUnavailableError(error.message))
  }

  #receipt(revision: number, isRepeated: boolean): CommitReceipt {
    return { changeId: this.#request.change.changeId, revision, isRepeated }
  }

  #deadlineError(): ConfigurationError {
    if (this.#hasUnconfirmedHeadWrite) return this.#outcomeUnknownError()
    return storeUnavailableError(
      'The configuration head kept changing or could not be written before the deadline',
    )
  }

  #outcomeUnknownError(): ConfigurationError {
    const { change, baseRevision } = this.#request
    return new ConfigurationError(
      ConfigurationErrorKind.OutcomeUnknown,
      `It is unknown whether the change ${change.changeId} was committed`,
      'retry with the same change id, or look for the change in the history',
      { changeId: change.changeId, baseRevision },
    )
  }
}

function snapshotOverdueError(head: VersionedHead): ConfigurationError {
  const changesSinceSnapshot = head.revision - head.snapshotRevision
  return new ConfigurationError(
    ConfigurationErrorKind.StoreUnavailable,
    `No snapshot has been written for ${String(changesSinceSnapshot)} revisions; a new member could not read any further changes`,
    'check that a control daemon runs and can write snapshots, then retry the commit',
  )
}
