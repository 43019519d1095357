/** Snapshots in the store. The head lists a snapshot only once all its parts are written. */
import type { Clock } from '../common/clock.js'
import { sleep } from '../common/clock.js'
import { hashText64 } from '../common/hashing.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { KeyValueStore } from '../platform/keyValueStore.js'
import { StoreErrorKind } from '../platform/keyValueStore.js'
import type { ConfigurationError } from './configurationErrors.js'
import { malformedError, storeUnavailableError } from './configurationErrors.js'
import type { SnapshotReference, VersionedHead } from './configurationHead.js'
import { HEAD_KEY, encodeHead, headWithSnapshot, snapshotPartKey } from './configurationHead.js'
import { packSnapshot, unpackSnapshot } from './configurationSnapshot.js'
import type { Configuration } from './view.js'

type HeadReader = () => Promise<Result<VersionedHead, ConfigurationError>>

/** Number of changes after which a control daemon writes the next snapshot. */
export const SNAPSHOT_INTERVAL = 128
const RETRY_DELAY_MS = 50

export function isSnapshotDue(head: VersionedHead): boolean {
  return head.revision - head.snapshotRevision >= SNAPSHOT_INTERVAL
}

/** Writes, reads and removes snapshots. */
export class SnapshotStore {
  readonly #store: KeyValueStore
  readonly #timeoutMs: number

  constructor(store: KeyValueStore, timeoutMs: number) {
    this.#store = store
    this.#timeoutMs = timeoutMs
  }

  /** Reads the latest snapshot. Parts are read one at a time. */
  async readLatest(head: VersionedHead): Promise<Result<Configuration, ConfigurationError>> {
    const reference = head.snapshots.at(-1)
    if (reference === undefined)
      return Err(malformedError('The configuration head lists no snapshot'))
    const parts: string[] = []
    for (const part of reference.partVersions.keys()) {
      const key = snapshotPartKey(reference.revision, reference.snapshotId, part)
      const read = await this.#store.get(key, { timeoutMs: this.#timeoutMs })
      if (read.err) return Err(storeUnavailableError(read.val.message))
      if (read.val === undefined) {
        return Err(
          storeUnavailableError(
            `The snapshot part ${key} was removed while the snapshot was being read`,
          ),
        )
      }
      parts.push(read.val.value)
    }
    if (contentHash(parts) !== reference.snapshotId) {
      return Err(
        malformedError(
          `The snapshot of revision ${String(reference.revision)} does not match its content hash`,
        ),
      )
    }
    return unpackSnapshot(parts)
  }

  /** Writes a snapshot and lists it in the head; see `ConfigurationRepository.writeSnapshot`. */
  async write(
    configuration: Configuration,
    readHead: HeadReader,
    deadlineMs: number,
    clock: Clock,
  ): Promise<Result<boolean, ConfigurationError>> {
    const initialHead = await readHead()
    if (initialHead.err) return initialHead
    if (initialHead.val.snapshotRevision >= configuration.revision) return Ok(false)
    const written = await this.#writeParts(configuration)
    if (written.err) return written
    while (clock() < deadlineMs) {
      const read = await readHead()
      if (read.ok) {
        if (isListed(read.val, written.val)) return Ok(true)
        if (read.val.snapshotRevision >= configuration.revision) return Ok(false)
        if (await this.#listInHead(read.val, written.val)) return Ok(true)
      }
      await sleep(RETRY_DELAY_MS)
    }
    return Err(
      storeUnavailableError(
        'The snapshot parts were written, but the snapshot could not be listed in the head before the deadline',
      ),
    )
  }

  async #writeParts(
    configuration: Configuration,
  ): Promise<Result<SnapshotReference, ConfigurationError>> {
    const parts = packSnapshot(configuration)
    const snapshotId = contentHash(parts)
    const partVersions: number[] = []
    for (const [part, text] of parts.entries()) {
      const key = snapshotPartKey(configuration.revision, snapshotId, part)
      const written = await this.#writePart(key, text)
      if (written.err) return written
      partVersions.push(written.val)
    }
    return Ok({ revision: configuration.revision, snapshotId, partVersions })
  }

  /**
   * Returns the store version of the part. Another writer may already have written the same part.
   */
  async #writePart(key: string, text: string): Promise<Result<number, ConfigurationError>> {
    const options = { timeoutMs: this.#timeoutMs }
    const written = await this.#store.compareAndSwap(key, text, 0, options)
    if (written.ok) return Ok(written.val)
    if (written.val.kind === StoreErrorKind.Failed)
      return Err(storeUnavailableError(written.val.message))
    const read = await this.#store.get(key, options)
    if (read.err) return Err(storeUnavailableError(read.val.message))
    return read.val?.value === text
      ? Ok(read.val.version)
      : Err(storeUnavailableError(`The snapshot part ${key} could not be written`))
  }

  async #listInHead(head: VersionedHead, snapshot: SnapshotReference): Promise<boolean> {
    const value = encodeHead(headWithSnapshot(head, snapshot))
    const options = { timeoutMs: this.#timeoutMs }
    const swapped = await this.#store.compareAndSwap(HEAD_KEY, value, head.storeVersion, options)
    if (swapped.err) return false
    for (const outdated of head.snapshots.slice(0, -1)) await this.#remove(outdated)
    return true
  }

  /**
   * Removes the parts of a snapshot. Errors are ignored, since parts that remain only take up
   * storage.
   */
  async #remove(snapshot: SnapshotReference): Promise<void> {
    for (const [part, version] of snapshot.partVersions.entries()) {
      const key = snapshotPartKey(snapshot.revision, snapshot.snapshotId, part)
      await this.#store.compareAndDelete(key, version, { timeoutMs: this.#timeoutMs })
    }
  }
}

function isListed(head: VersionedHead, snapshot: SnapshotReference): boolean {
  return head.snapshots.some(({ snapshotId, revision }) => {
    return snapshotId === snapshot.snapshotId && revision === snapshot.revision
  })
}

function contentHash(parts: readonly string[]): string {
  return hashText64(parts.map((part) => hashText64(part)).join(' '))
}
