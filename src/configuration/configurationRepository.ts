/** Reads and commits the configuration in the store, and writes its snapshots. */
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

export interface RepositoryOptions {
  /** Timeout of one call to the store in milliseconds. */
  readonly callTimeoutMs?: number
  /**
   * Time in milliseconds after which a commit with an uncertain outcome is reported as unknown, and
   * a snapshot write is given up.
   */
  readonly settleTimeoutMs?: number
  /** Delay before the first retry of a commit in milliseconds; it doubles with each retry, up to 500. */
  readonly retryPauseMs?: number
  /** Configuration of this process. Changes are checked against it without reading it from the store. */
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
export interface HistoryEntry extends NamedChange {
  readonly operator: string
  readonly createdAtMs: number
  readonly summary: string
}

/** Commit state of a change, as far as the head shows it. */
export enum SettledState {
  Committed = 'committed',
  /** It was not committed on its base revision and no longer can be. */
  NotCommitted = 'notCommitted',
  /** A delayed write may still commit it, or the head no longer lists the revision after its base. */
  Open = 'open',
}

/** Commit state of a change, with its revision if it was committed. */
export interface Settlement {
  readonly state: SettledState
  readonly revision: number | undefined
}

const DEFAULT_CALL_TIMEOUT_MS = 2000
const DEFAULT_SETTLE_TIMEOUT_MS = 8000
const DEFAULT_RETRY_PAUSE_MS = 20
/**
 * Limit of concurrent reads of change bodies, so that a catch-up does not exhaust the store's
 * request rate.
 */
const PARALLEL_READS = 8
/** Number of missing changes above which reading a snapshot takes fewer calls than reading each change. */
const MAX_BODIES_BEFORE_SNAPSHOT = 64

/** Reads and commits the configuration. Failures are returned as results; its promises never reject. */
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

  /** Reads the head, or returns {@link EMPTY_HEAD} if the store has none. Makes one call. */
  async readHead(): Promise<Result<VersionedHead, ConfigurationError>> {
    const read = await this.#store.get(HEAD_KEY, { timeoutMs: this.#callTimeoutMs })
    return read.err ? Err(storeUnavailable(read.val.message)) : headOf(read.val)
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
    if (watched.err) return Err(storeUnavailable(watched.val.message))
    return watched.val === undefined ? Ok(undefined) : headOf(watched.val)
  }

  /**
   * Reads the updates after `revision`, or everything for -1. Makes one call for the head, and one
   * per change or snapshot part.
   */
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
      return Err(
        malformed(
          `The configuration head does not list all changes after revision ${String(from)}`,
        ),
      )
    }
    const changes = await this.#readChanges(head.changeIds.filter((named) => named.revision > from))
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

  /** Looks up whether a change based on `baseRevision` was committed. Makes one call. */
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
   * Writes a snapshot and lists it in the head, unless the head lists one of this revision or a
   * later one. Makes about one call per 900 KB of the snapshot, and two more.
   * @returns whether a snapshot was written
   */
  writeSnapshot(configuration: Configuration): Promise<Result<boolean, ConfigurationError>> {
    const deadlineMs = this.#clock() + this.#settleTimeoutMs
    return this.#snapshots.write(configuration, () => this.readHead(), deadlineMs, this.#clock)
  }

  /**
   * Reads the changes of the revisions `first` to `last`, which the head must still list. Makes one
   * call, and one per change.
   */
  async readChanges(
    first: number,
    last: number,
  ): Promise<Result<readonly CommittedChange[], ConfigurationError>> {
    const read = await this.readHead()
    if (read.err) return read
    const named = read.val.changeIds.filter(({ revision }) => revision >= first && revision <= last)
    if (named.length === last - first + 1) return this.#readChanges(named)
    return Err(
      malformed(
        `The configuration head does not list all revisions from ${String(first)} to ${String(last)}`,
      ),
    )
  }

  /** Returns the last 256 changes, newest last. Reads only the bodies that are not cached. */
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
    if (read.val === undefined)
      return Err(malformed(`The body ${key} of a committed change is missing from the store`))
    return decodeChange(read.val.value).map((change) => ({ revision: named.revision, change }))
  }

  /**
   * Checks that the change can be applied at the head; otherwise all replicas would stay at the
   * revision before it.
   */
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
  // Snapshot revision 0 means the empty configuration, which is not stored.
  if (head.snapshotRevision <= Math.max(0, revision)) return false
  const isFar = head.revision - revision > MAX_BODIES_BEFORE_SNAPSHOT
  return revision < 0 || isFar || !namesAllSince(head, revision)
}
