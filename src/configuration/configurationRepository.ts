/** Reads and commits the configuration in the store, and writes its snapshots. */
import type { Clock } from '../common/clock.js'
import { systemClock } from '../common/clock.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { KeyValueStore } from '../platform/keyValueStore.js'
import type { StoredValue } from '../platform/keyValueStore.js'
import type { CommittedChange } from './configurationChange.js'
import { decodeChange, encodeChange, validateChange } from './configurationChange.js'
import type { ChangeReference, ConfigurationHead, VersionedHead } from './configurationHead.js'
import {
  EMPTY_HEAD,
  HEAD_KEY,
  changeBodyKey,
  committedRevision,
  decodeHead,
  listsAllChangesSince,
} from './configurationHead.js'
import type { ConfigurationError } from './configurationErrors.js'
import { malformedError, storeUnavailableError } from './configurationErrors.js'
import type { CommitReceipt } from './commitAttempt.js'
import { CommitAttempt } from './commitAttempt.js'
import type { ConfigurationChange } from './document.js'
import { applyChanges, emptyConfiguration } from './documentBuilder.js'
import { SnapshotStore } from './snapshotStore.js'
import type { Configuration, ConfigurationView } from './view.js'

export interface RepositoryOptions {
  /** Timeout of one call to the store in milliseconds. */
  readonly callTimeoutMs?: number
  /**
   * Time in milliseconds after which a commit with an uncertain outcome is reported as unknown, and
   * a snapshot write is given up.
   */
  readonly commitTimeoutMs?: number
  /**
   * Delay before the first retry of a commit in milliseconds; it doubles with each retry, up to
   * 500.
   */
  readonly retryDelayMs?: number
  /**
   * Configuration of this process. Changes are checked against it without reading it from the
   * store.
   */
  readonly view?: ConfigurationView
  readonly clock?: Clock
}

/** Content of the store after a given revision. */
export interface ConfigurationUpdate {
  readonly head: VersionedHead
  /** Base of the changes; `undefined` if they follow the given revision directly. */
  readonly snapshot: Configuration | undefined
  /** Changes after the snapshot or the given revision up to the head, oldest first. */
  readonly changes: readonly CommittedChange[]
}

/** A committed change without its records. */
export interface HistoryEntry extends ChangeReference {
  readonly operator: string
  readonly createdAtMs: number
  readonly summary: string
}

/** Commit state of a change, as far as the head shows it. */
export enum CommitState {
  Committed = 'committed',
  /** It was not committed on its base revision and no longer can be. */
  NotCommitted = 'notCommitted',
  /**
   * A delayed write may still commit it, or the head no longer lists the revision after its base.
   */
  Undecided = 'open',
}

/** Commit state of a change, with its revision if it was committed. */
export interface CommitStatus {
  readonly state: CommitState
  readonly revision: number | undefined
}

const DEFAULT_CALL_TIMEOUT_MS = 2000
const DEFAULT_COMMIT_TIMEOUT_MS = 8000
const DEFAULT_RETRY_DELAY_MS = 20
/**
 * Limit of concurrent reads of change bodies, so that a catch-up does not exhaust the store's
 * request rate.
 */
const MAX_CONCURRENT_READS = 8
/**
 * Number of missing changes above which reading a snapshot takes fewer calls than reading each
 * change.
 */
const MAX_CHANGES_BEFORE_SNAPSHOT = 64

/**
 * Reads and commits the configuration. Failures are returned as results; its promises never reject.
 */
export class ConfigurationRepository {
  readonly #store: KeyValueStore
  readonly #callTimeoutMs: number
  readonly #commitTimeoutMs: number
  readonly #retryDelayMs: number
  readonly #view: ConfigurationView | undefined
  readonly #clock: Clock
  readonly #snapshots: SnapshotStore
  readonly #historyCache = new Map<number, HistoryEntry>()
  #lastCheckedBase: Configuration | undefined

  constructor(store: KeyValueStore, options: RepositoryOptions = {}) {
    this.#store = store
    this.#callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS
    this.#commitTimeoutMs = options.commitTimeoutMs ?? DEFAULT_COMMIT_TIMEOUT_MS
    this.#retryDelayMs = options.retryDelayMs ?? DEFAULT_RETRY_DELAY_MS
    this.#view = options.view
    this.#clock = options.clock ?? systemClock
    this.#snapshots = new SnapshotStore(store, this.#callTimeoutMs)
  }

  /** Reads the head, or returns {@link EMPTY_HEAD} if the store has none. Makes one call. */
  async readHead(): Promise<Result<VersionedHead, ConfigurationError>> {
    const read = await this.#store.get(HEAD_KEY, { timeoutMs: this.#callTimeoutMs })
    return read.err ? Err(storeUnavailableError(read.val.message)) : parseStoredHead(read.val)
  }

  /**
   * Waits for a head with a store version above `afterVersion`. Makes one call.
   * @returns `undefined` if the head did not change within `waitMs`
   */
  async watchHead(
    afterVersion: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<VersionedHead | undefined, ConfigurationError>> {
    const options = { timeoutMs: waitMs, signal }
    const watched = await this.#store.watch(HEAD_KEY, afterVersion, options)
    if (watched.err) return Err(storeUnavailableError(watched.val.message))
    return watched.val === undefined ? Ok(undefined) : parseStoredHead(watched.val)
  }

  /**
   * Reads the updates after `revision`, or everything for -1. Makes one call for the head, and one
   * per change or snapshot part.
   */
  async readSince(
    revision: number,
    currentHead?: VersionedHead,
  ): Promise<Result<ConfigurationUpdate, ConfigurationError>> {
    const read = currentHead === undefined ? await this.readHead() : Ok(currentHead)
    if (read.err) return read
    const head = read.val
    let baseRevision = revision
    let snapshot: Configuration | undefined
    if (needsSnapshot(head, revision)) {
      const loaded = await this.#snapshots.readLatest(head)
      if (loaded.err) return loaded
      snapshot = loaded.val
      baseRevision = snapshot.revision
    }
    if (!listsAllChangesSince(head, Math.max(0, baseRevision))) {
      return Err(
        malformedError(
          `The configuration head does not list all changes after revision ${String(baseRevision)}`,
        ),
      )
    }
    const changes = await this.#readChanges(
      head.changeIds.filter((reference) => reference.revision > baseRevision),
    )
    return changes.map((bodies) => ({ head, snapshot, changes: bodies }))
  }

  /**
   * Commits a change on top of `baseRevision`. Repeating a call with the same change is
   * safe: it returns the revision of the first commit.
   *
   * Errors: `CommitConflict` if other changes were committed after `baseRevision`,
   * `Malformed` or `Refused` if the change is invalid, `StoreUnavailable` if nothing was
   * committed, `OutcomeUnknown` if the call must be repeated with the same change.
   */
  async commit(
    change: ConfigurationChange,
    baseRevision: number,
  ): Promise<Result<CommitReceipt, ConfigurationError>> {
    const text = validateChange(change).andThen(encodeChange)
    if (text.err) return text
    const attempt = new CommitAttempt(
      {
        store: this.#store,
        callTimeoutMs: this.#callTimeoutMs,
        initialRetryDelayMs: this.#retryDelayMs,
        clock: this.#clock,
        readHead: () => this.readHead(),
        describeChanges: (changes) => this.#describeChanges(changes),
        checkApplicable: (head) => this.#checkApplicable(head, change),
      },
      { change, text: text.val, baseRevision },
      this.#clock() + this.#commitTimeoutMs,
    )
    return attempt.run()
  }

  /** Looks up whether a change based on `baseRevision` was committed. Makes one call. */
  async commitStatus(
    changeId: string,
    baseRevision: number,
  ): Promise<Result<CommitStatus, ConfigurationError>> {
    const read = await this.readHead()
    return read.map((head) => {
      const revision = committedRevision(head, changeId)
      if (revision !== undefined) return { state: CommitState.Committed, revision }
      const isSuperseded = head.revision > baseRevision && listsAllChangesSince(head, baseRevision)
      return {
        state: isSuperseded ? CommitState.NotCommitted : CommitState.Undecided,
        revision: undefined,
      }
    })
  }

  /**
   * Writes a snapshot and lists it in the head, unless the head lists one of this revision or a
   * later one. Makes about one call per 900 KB of the snapshot, and two more.
   * @returns whether a snapshot was written
   */
  writeSnapshot(configuration: Configuration): Promise<Result<boolean, ConfigurationError>> {
    const deadlineMs = this.#clock() + this.#commitTimeoutMs
    return this.#snapshots.write(configuration, () => this.readHead(), deadlineMs, this.#clock)
  }

  /**
   * Reads the changes from `firstRevision` to `lastRevision`, which the head must still list.
   * Makes one call, and one per change.
   */
  async readChanges(
    firstRevision: number,
    lastRevision: number,
  ): Promise<Result<readonly CommittedChange[], ConfigurationError>> {
    const read = await this.readHead()
    if (read.err) return read
    const references = read.val.changeIds.filter(
      ({ revision }) => revision >= firstRevision && revision <= lastRevision,
    )
    if (references.length === lastRevision - firstRevision + 1) return this.#readChanges(references)
    return Err(
      malformedError(
        `The configuration head does not list all revisions from ${String(firstRevision)} to ${String(lastRevision)}`,
      ),
    )
  }

  /** Returns the last 256 changes, newest last. Reads only the bodies that are not cached. */
  async history(): Promise<Result<readonly HistoryEntry[], ConfigurationError>> {
    const read = await this.readHead()
    if (read.err) return read
    const references = read.val.changeIds
    const unread = references.filter(({ revision }) => !this.#historyCache.has(revision))
    const bodies = await this.#readChanges(unread)
    if (bodies.err) return bodies
    for (const body of bodies.val) this.#cacheHistoryEntry(body)
    const oldest = references[0]?.revision ?? 0
    for (const revision of this.#historyCache.keys()) {
      if (revision < oldest) this.#historyCache.delete(revision)
    }
    return Ok(references.flatMap(({ revision }) => this.#historyCache.get(revision) ?? []))
  }

  #cacheHistoryEntry({ revision, change }: CommittedChange): void {
    const { changeId, operator, createdAtMs, summary } = change
    this.#historyCache.set(revision, { revision, changeId, operator, createdAtMs, summary })
  }

  async #describeChanges(changes: readonly ChangeReference[]): Promise<readonly HistoryEntry[]> {
    const bodies = await this.#readChanges(changes)
    if (bodies.err) return []
    return bodies.val.map(({ revision, change: { changeId, operator, createdAtMs, summary } }) => ({
      revision,
      changeId,
      operator,
      createdAtMs,
      summary,
    }))
  }

  async #readChanges(
    references: readonly ChangeReference[],
  ): Promise<Result<readonly CommittedChange[], ConfigurationError>> {
    const changes: CommittedChange[] = []
    for (let start = 0; start < references.length; start += MAX_CONCURRENT_READS) {
      const batch = references.slice(start, start + MAX_CONCURRENT_READS)
      const results = await Promise.all(batch.map((change) => this.#readChange(change)))
      for (const result of results) {
        if (result.err) return result
        changes.push(result.val)
      }
    }
    return Ok(changes)
  }

  async #readChange(
    reference: ChangeReference,
  ): Promise<Result<CommittedChange, ConfigurationError>> {
    const key = changeBodyKey(reference.revision, reference.changeId)
    const read = await this.#store.get(key, { timeoutMs: this.#callTimeoutMs })
    if (read.err) return Err(storeUnavailableError(read.val.message))
    if (read.val === undefined)
      return Err(malformedError(`The body ${key} of a committed change is missing from the store`))
    return decodeChange(read.val.value).map((change) => ({ revision: reference.revision, change }))
  }

  /**
   * Checks that the change can be applied at the head; otherwise all replicas would stay at the
   * revision before it.
   */
  async #checkApplicable(
    head: VersionedHead,
    change: ConfigurationChange,
  ): Promise<Result<void, ConfigurationError>> {
    const base = await this.#configurationAt(head)
    if (base.err) return base
    this.#lastCheckedBase = base.val
    const committed = { revision: head.revision + 1, change }
    const { error } = applyChanges(base.val, [committed])
    return error === undefined ? Ok(undefined) : Err(error)
  }

  async #configurationAt(head: VersionedHead): Promise<Result<Configuration, ConfigurationError>> {
    const closest = [this.#view?.current(), this.#lastCheckedBase]
      .filter((candidate) => candidate !== undefined)
      .filter((candidate) => candidate.revision <= head.revision)
      .sort((left, right) => right.revision - left.revision)[0]
    if (closest?.revision === head.revision) return Ok(closest)
    const update = await this.readSince(closest?.revision ?? -1, head)
    if (update.err) return update
    const start = update.val.snapshot ?? closest ?? emptyConfiguration()
    const { configuration, error } = applyChanges(start, update.val.changes)
    return error === undefined ? Ok(configuration) : Err(error)
  }
}

function parseStoredHead(
  stored: StoredValue | undefined,
): Result<VersionedHead, ConfigurationError> {
  return stored === undefined ? Ok(EMPTY_HEAD) : decodeHead(stored.value, stored.version)
}

function needsSnapshot(head: ConfigurationHead, revision: number): boolean {
  // Snapshot revision 0 means the empty configuration, which is not stored.
  if (head.snapshotRevision <= Math.max(0, revision)) return false
  const hasManyMissingChanges = head.revision - revision > MAX_CHANGES_BEFORE_SNAPSHOT
  return revision < 0 || hasManyMissingChanges || !listsAllChangesSince(head, revision)
}
