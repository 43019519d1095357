/** The configuration in the store: reading, committing and snapshots. */
import type { Clock } from '../common/clock.js'
import { systemClock } from '../common/clock.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { KeyValueStore } from '../platform/keyValueStore.js'
import type { StoredValue } from '../platform/keyValueStore.js'
import type { CommittedChange } from './configurationChange.js'
import { checkChange, decodeChange, encodeChange } from './configurationChange.js'
import type { ConfigurationHead, NamedChange, VersionedHead } from './configurationHead.js'
import {
  EMPTY_HEAD,
  HEAD_KEY,
  changeKey,
  committedRevision,
  decodeHead,
  namesAllSince,
} from './configurationHead.js'
import type { ConfigurationError } from './configurationErrors.js'
import { malformed, storeUnavailable } from './configurationErrors.js'
import type { CommitReceipt } from './commitAttempt.js'
import { CommitAttempt } from './commitAttempt.js'
import type { ConfigurationChange } from './document.js'
import { applyChanges, emptyConfiguration } from './documentBuilder.js'
import { SnapshotStore } from './snapshotStore.js'
import type { Configuration, ConfigurationView } from './view.js'

/** Options of a repository. */
export interface RepositoryOptions {
  /** Time for one call to the store in milliseconds. */
  readonly callTimeoutMs?: number
  /** Time after which a commit without a known outcome is reported as unknown, in milliseconds. */
  readonly settleTimeoutMs?: number
  /** First pause before the head is read again to settle a commit, in milliseconds; doubles up to 500. */
  readonly retryPauseMs?: number
  /** Configuration of this process; saves reading it again to check a change against it. */
  readonly view?: ConfigurationView
  readonly clock?: Clock
}

/** What is in the store above a revision. */
export interface ConfigurationUpdate {
  readonly head: VersionedHead
  /** Whole configuration to start from, when the changes alone don't reach back far enough. */
  readonly snapshot: Configuration | undefined
  /** Changes above the snapshot or the asked revision, oldest first, up to the head. */
  readonly changes: readonly CommittedChange[]
}

/** A change in the history. */
export interface HistoryEntry extends NamedChange {
  readonly operator: string
  readonly createdAtMs: number
  readonly summary: string
}

/** What is known of a change from the head alone. */
export enum SettledState {
  Committed = 'committed',
  /** It was not committed on its base revision and can't be any more. */
  NotCommitted = 'notCommitted',
  /** A late write may still commit it, or the head no longer reaches back far enough. */
  Open = 'open',
}

/** State of a change, with its revision once it is committed. */
export interface Settlement {
  readonly state: SettledState
  readonly revision: number | undefined
}

const DEFAULT_CALL_TIMEOUT_MS = 2000
const DEFAULT_SETTLE_TIMEOUT_MS = 8000
const DEFAULT_RETRY_PAUSE_MS = 20
/** Bodies that are read at the same time, so that a catch-up does not use up the store's rate. */
const PARALLEL_READS = 8
/** Changes after which reading a snapshot costs fewer calls than reading each body. */
const MAX_BODIES_BEFORE_SNAPSHOT = 64

/** Reads and commits the configuration. Never rejects. */
export class ConfigurationRepository {
  readonly #store: KeyValueStore
  readonly #callTimeoutMs: number
  readonly #settleTimeoutMs: number
  readonly #retryPauseMs: number
  readonly #view: ConfigurationView | undefined
  readonly #clock: Clock
  readonly #snapshots: SnapshotStore
  readonly #history = new Map<number, HistoryEntry>()
  #lastChecked: Configuration | undefined

  constructor(store: KeyValueStore, options: RepositoryOptions = {}) {
    this.#store = store
    this.#callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS
    this.#settleTimeoutMs = options.settleTimeoutMs ?? DEFAULT_SETTLE_TIMEOUT_MS
    this.#retryPauseMs = options.retryPauseMs ?? DEFAULT_RETRY_PAUSE_MS
    this.#view = options.view
    this.#clock = options.clock ?? systemClock
    this.#snapshots = new SnapshotStore(store, this.#callTimeoutMs)
  }

  /** Reads the head; a store without one has {@link EMPTY_HEAD}. One call. */
  async readHead(): Promise<Result<VersionedHead, ConfigurationError>> {
    const read = await this.#store.get(HEAD_KEY, { timeoutMs: this.#callTimeoutMs })
    return read.err ? Err(storeUnavailable(read.val.message)) : headOf(read.val)
  }

  /**
   * Waits for a head after the store version `afterVersion`. One call.
   * @returns `undefined` when nothing changed within `waitMs`
   */
  async watchHead(
    afterVersion: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<VersionedHead | undefined, ConfigurationError>> {
    const options = { timeoutMs: waitMs, signal }
    const watched = await this.#store.watch(HEAD_KEY, afterVersion, options)
    if (watched.err) return Err(storeUnavailable(watched.val.message))
    return watched.val === undefined ? Ok(undefined) : headOf(watched.val)
  }

  /** Reads what is above `revision` (-1: nothing is held): one call, and one per change or part. */
  async readSince(
    revision: number,
    knownHead?: VersionedHead,
  ): Promise<Result<ConfigurationUpdate, ConfigurationError>> {
    const read = knownHead === undefined ? await this.readHead() : Ok(knownHead)
    if (read.err) return read
    const head = read.val
    let from = revision
    let snapshot: Configuration | undefined
    if (needsSnapshot(head, revision)) {
      const loaded = await this.#snapshots.readLatest(head)
      if (loaded.err) return loaded
      snapshot = loaded.val
      from = snapshot.revision
    }
    if (!namesAllSince(head, Math.max(0, from))) {
      return Err(malformed(`The head does not name all changes above revision ${String(from)}`))
    }
    const changes = await this.#readChanges(head.changeIds.filter((named) => named.revision > from))
    return changes.map((bodies) => ({ head, snapshot, changes: bodies }))
  }

  /**
   * Commits a change on top of `baseRevision`. Repeating a call with the same
   * change is safe: it finds the revision of the first one.
   *
   * Errors: `CommitConflict` when other changes came in between, `Refused` and
   * `Malformed` when the change is wrong, `StoreUnavailable` when nothing was
   * committed, `OutcomeUnknown` when the call must be repeated with the same change.
   */
  async commit(
    change: ConfigurationChange,
    baseRevision: number,
  ): Promise<Result<CommitReceipt, ConfigurationError>> {
    const text = checkChange(change).andThen(encodeChange)
    if (text.err) return text
    const attempt = new CommitAttempt(
      {
        store: this.#store,
        callTimeoutMs: this.#callTimeoutMs,
        firstPauseMs: this.#retryPauseMs,
        clock: this.#clock,
        readHead: () => this.readHead(),
        describe: (changes) => this.#describe(changes),
        check: (head) => this.#checkAgainst(head, change),
      },
      { change, text: text.val, baseRevision },
      this.#clock() + this.#settleTimeoutMs,
    )
    return attempt.run()
  }

  /** Looks up what became of a change that was to follow `baseRevision`. One call. */
  async settle(
    changeId: string,
    baseRevision: number,
  ): Promise<Result<Settlement, ConfigurationError>> {
    const read = await this.readHead()
    return read.map((head) => {
      const revision = committedRevision(head, changeId)
      if (revision !== undefined) return { state: SettledState.Committed, revision }
      const isOver = head.revision > baseRevision && namesAllSince(head, baseRevision)
      return {
        state: isOver ? SettledState.NotCommitted : SettledState.Open,
        revision: undefined,
      }
    })
  }

  /**
   * Writes a snapshot and names it in the head, unless the head names one of
   * this revision or above. About one call per 900 KB and two more.
   * @returns whether a snapshot was written
   */
  writeSnapshot(configuration: Configuration): Promise<Result<boolean, ConfigurationError>> {
    const deadlineMs = this.#clock() + this.#settleTimeoutMs
    return this.#snapshots.write(configuration, () => this.readHead(), deadlineMs, this.#clock)
  }

  /** Reads the changes `first` to `last`, which the head must still name. One call, and one per change. */
  async readChanges(
    first: number,
    last: number,
  ): Promise<Result<readonly CommittedChange[], ConfigurationError>> {
    const read = await this.readHead()
    if (read.err) return read
    const named = read.val.changeIds.filter(({ revision }) => revision >= first && revision <= last)
    if (named.length === last - first + 1) return this.#readChanges(named)
    return Err(malformed(`The head does not name all of ${String(first)} to ${String(last)}`))
  }

  /** Returns the last 256 changes, newest last. Reads only bodies that were not read before. */
  async history(): Promise<Result<readonly HistoryEntry[], ConfigurationError>> {
    const read = await this.readHead()
    if (read.err) return read
    const named = read.val.changeIds
    const unread = named.filter(({ revision }) => !this.#history.has(revision))
    const bodies = await this.#readChanges(unread)
    if (bodies.err) return bodies
    for (const body of bodies.val) this.#remember(body)
    const oldest = named[0]?.revision ?? 0
    for (const revision of this.#history.keys()) {
      if (revision < oldest) this.#history.delete(revision)
    }
    return Ok(named.flatMap(({ revision }) => this.#history.get(revision) ?? []))
  }

  #remember({ revision, change }: CommittedChange): void {
    const { changeId, operator, createdAtMs, summary } = change
    this.#history.set(revision, { revision, changeId, operator, createdAtMs, summary })
  }

  async #describe(changes: readonly NamedChange[]): Promise<readonly HistoryEntry[]> {
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
    named: readonly NamedChange[],
  ): Promise<Result<readonly CommittedChange[], ConfigurationError>> {
    const changes: CommittedChange[] = []
    for (let start = 0; start < named.length; start += PARALLEL_READS) {
      const batch = named.slice(start, start + PARALLEL_READS)
      const results = await Promise.all(batch.map((change) => this.#readChange(change)))
      for (const result of results) {
        if (result.err) return result
        changes.push(result.val)
      }
    }
    return Ok(changes)
  }

  async #readChange(named: NamedChange): Promise<Result<CommittedChange, ConfigurationError>> {
    const key = changeKey(named.revision, named.changeId)
    const read = await this.#store.get(key, { timeoutMs: this.#callTimeoutMs })
    if (read.err) return Err(storeUnavailable(read.val.message))
    if (read.val === undefined) return Err(malformed(`The store lacks the committed body ${key}`))
    return decodeChange(read.val.value).map((change) => ({ revision: named.revision, change }))
  }

  /** Checks that the change can be applied at the head, so that no replica gets stuck on it. */
  async #checkAgainst(
    head: VersionedHead,
    change: ConfigurationChange,
  ): Promise<Result<void, ConfigurationError>> {
    const base = await this.#configurationAt(head)
    if (base.err) return base
    this.#lastChecked = base.val
    const committed = { revision: head.revision + 1, change }
    const { error } = applyChanges(base.val, [committed])
    return error === undefined ? Ok(undefined) : Err(error)
  }

  async #configurationAt(head: VersionedHead): Promise<Result<Configuration, ConfigurationError>> {
    const held = [this.#view?.current(), this.#lastChecked]
      .filter((candidate) => candidate !== undefined)
      .filter((candidate) => candidate.revision <= head.revision)
      .sort((left, right) => right.revision - left.revision)[0]
    if (held?.revision === head.revision) return Ok(held)
    const update = await this.readSince(held?.revision ?? -1, head)
    if (update.err) return update
    const start = update.val.snapshot ?? held ?? emptyConfiguration()
    const { configuration, error } = applyChanges(start, update.val.changes)
    return error === undefined ? Ok(configuration) : Err(error)
  }
}

function headOf(stored: StoredValue | undefined): Result<VersionedHead, ConfigurationError> {
  return stored === undefined ? Ok(EMPTY_HEAD) : decodeHead(stored.value, stored.version)
}

function needsSnapshot(head: ConfigurationHead, revision: number): boolean {
  // A snapshot revision of 0 stands for the empty configuration, which is not stored.
  if (head.snapshotRevision <= Math.max(0, revision)) return false
  const isFar = head.revision - revision > MAX_BODIES_BEFORE_SNAPSHOT
  return revision < 0 || isFar || !namesAllSince(head, revision)
}
