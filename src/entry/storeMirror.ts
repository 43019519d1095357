/** Local copy of the store items that this instance needs, updated from the store or from peers. */
import type { StoreUpdateItem } from './peerMessages.js'
import type { StoreRevision } from './storeRevision.js'
import { eraOf } from './storeRevision.js'

/** Called for each changed item. `value` is base64; `undefined`: removed. */
export type MirrorListener = (
  key: string,
  value: string | undefined,
  revision: StoreRevision,
) => void

interface MirroredItem {
  readonly revision: StoreRevision
  readonly value: string | null
}

/**
 * Number of tombstones kept, so that an older copy of an item from a slower peer does not
 * restore a removed item. Peers lag by seconds, not by thousands of changes.
 */
const MAX_TOMBSTONES = 5000

/** Ranges of changes kept beyond a gap; more only cost a larger request. */
const MAX_PENDING_RANGES = 64

/** Changes that were applied although earlier ones were missing. */
interface AppliedRange {
  readonly since: number
  readonly revision: number
}

/** Mirror of store items; an item is only ever replaced by a later revision of it. */
export class StoreMirror {
  readonly #items = new Map<string, MirroredItem>()
  readonly #tombstones: string[] = []
  readonly #listener: MirrorListener
  #revision = 0
  #latestChange = 0
  /** Revision since which all removals are known. */
  #removalsKnownSince = 0
  #pendingRanges: AppliedRange[] = []

  constructor(listener: MirrorListener) {
    this.#listener = listener
  }

  /** Store revision up to which all changes are applied; 0: none yet. */
  get revision(): number {
    return this.#revision
  }

  /** Revision of the latest change; later revisions changed no item that is mirrored. */
  get latestChange(): number {
    return this.#latestChange
  }

  /**
   * Applies changes and returns those that were newer than the mirrored items. The revision stays
   * behind a gap, so that the missing changes can still be requested. Changes of an earlier era are
   * ignored, because the store has lost them.
   * @param since revision that the changes follow without a gap
   */
  applyChanges(
    items: readonly StoreUpdateItem[],
    revision: StoreRevision,
    since = this.#revision,
  ): StoreUpdateItem[] {
    if (eraOf(revision) < eraOf(this.#revision)) return []
    const applied = items.filter((item) => this.#apply(item))
    this.#pendingRanges.push({ since, revision })
    this.#advance()
    return applied
  }

  /** Applies all items that existed at `revision`, and removes mirrored items that are missing. */
  applySnapshot(items: readonly StoreUpdateItem[], revision: StoreRevision): StoreUpdateItem[] {
    const listed = new Set(items.map(({ key }) => key))
    const missing = [...this.#items]
      .filter(([key, item]) => item.value !== null && item.revision <= revision && !listed.has(key))
      .map(([key]): StoreUpdateItem => ({ key, revision, value: null }))
    if (this.#revision === 0) this.#removalsKnownSince = revision
    return this.applyChanges([...items, ...missing], revision)
  }

  /**
   * Changes after a revision, with removals; `undefined` if not all removals since are known, so
   * that only a full copy helps.
   */
  changesSince(revision: number): StoreUpdateItem[] | undefined {
    if (revision < this.#removalsKnownSince) return undefined
    return [...this.#items]
      .filter(([, item]) => item.revision > revision)
      .map(([key, item]) => ({ key, ...item }))
  }

  /** All existing items. */
  items(): StoreUpdateItem[] {
    return [...this.#items]
      .filter(([, item]) => item.value !== null)
      .map(([key, { revision, value }]) => ({ key, revision, value }))
  }

  #apply({ key, revision, value }: StoreUpdateItem): boolean {
    const existing = this.#items.get(key)
    if (existing !== undefined && existing.revision >= revision) return false
    this.#items.set(key, { revision, value })
    this.#latestChange = Math.max(this.#latestChange, revision)
    if (value === null) this.#addTombstone(key)
    // A removal of an item that was never seen is kept, in case an older copy of it comes later.
    if ((existing?.value ?? null) !== value) this.#listener(key, value ?? undefined, revision)
    return true
  }

  #addTombstone(key: string): void {
    this.#tombstones.push(key)
    if (this.#tombstones.length <= MAX_TOMBSTONES) return
    const oldest = this.#tombstones.shift()
    const item = oldest === undefined ? undefined : this.#items.get(oldest)
    if (oldest === undefined || item?.value !== null) return
    this.#items.delete(oldest)
    this.#removalsKnownSince = Math.max(this.#removalsKnownSince, item.revision)
  }

  /** Moves the revision over all ranges that follow it without a gap. */
  #advance(): void {
    let isAdvancing = true
    while (isAdvancing) {
      const reached = this.#pendingRanges.filter(({ since }) => since <= this.#revision)
      this.#pendingRanges = this.#pendingRanges.filter(({ since }) => since > this.#revision)
      const next = Math.max(this.#revision, ...reached.map(({ revision }) => revision))
      isAdvancing = next > this.#revision
      this.#revision = next
    }
    this.#pendingRanges = this.#pendingRanges.slice(-MAX_PENDING_RANGES)
  }
}
