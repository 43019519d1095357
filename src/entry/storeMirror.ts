/** Local copy of the store items that this instance needs, updated from the store or from peers. */
import type { ItemState, ItemWriters } from './heldItems.js'
import { HeldItems, UNKNOWN_WRITERS } from './heldItems.js'
import type { StoreUpdateItem } from './peerMessages.js'
import type { StoreRevision } from './storeRevision.js'
import { eraOf } from './storeRevision.js'

/** Called for each changed item. `value` is base64; `undefined`: removed. */
export type MirrorListener = (
  key: string,
  value: string | undefined,
  revision: StoreRevision,
) => void

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

export interface StoreMirrorOptions {
  readonly writers?: ItemWriters
  /** Called before the first changes of a restored store are applied. */
  readonly onRestored?: (nowMs: number) => void
}

/**
 * Mirror of store items; an item is only ever replaced by a later revision of it. After a restore of
 * the store, what is known of an item stays until the store has something newer, see {@link HeldItems}.
 */
export class StoreMirror {
  readonly #items = new Map<string, ItemState>()
  readonly #held: HeldItems
  readonly #tombstones: string[] = []
  readonly #listener: MirrorListener
  readonly #onRestored: ((nowMs: number) => void) | undefined
  #revision = 0
  #latestChange = 0
  /** Revision since which all removals are known. */
  #removalsKnownSince = 0
  #pendingRanges: AppliedRange[] = []

  constructor(listener: MirrorListener, options: StoreMirrorOptions = {}) {
    this.#listener = listener
    this.#onRestored = options.onRestored
    this.#held = new HeldItems(options.writers ?? UNKNOWN_WRITERS)
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
    nowMs: number,
    since = this.#revision,
  ): StoreUpdateItem[] {
    if (eraOf(revision) < eraOf(this.#revision)) return []
    if (this.#revision > 0 && eraOf(revision) > eraOf(this.#revision)) this.#onRestored?.(nowMs)
    // Changes since an earlier era include the listing of the restored store.
    const isListed = eraOf(since) < eraOf(revision)
    const applied = items.filter((item) => this.#apply(item, isListed, nowMs))
    this.#pendingRanges.push({ since, revision })
    this.#advance()
    return applied
  }

  /** Applies all items that existed at `revision`, and removes mirrored items that are missing. */
  applySnapshot(
    items: readonly StoreUpdateItem[],
    revision: StoreRevision,
    nowMs: number,
  ): StoreUpdateItem[] {
    const listed = new Set(items.map(({ key }) => key))
    const missing = [...this.#items.keys()]
      .filter((key) => !listed.has(key) && this.#existsAt(key, revision))
      .map((key): StoreUpdateItem => ({ key, revision, value: null }))
    if (this.#revision === 0) this.#removalsKnownSince = revision
    return this.applyChanges([...items, ...missing], revision, nowMs)
  }

  /** Number of items for which the state from before a restore is believed. */
  get heldCount(): number {
    return this.#held.size
  }

  /** Believes the store where writers have not written again in time after a restore. */
  releaseHeld(nowMs: number): string[] {
    const due = this.#held.takeDue(nowMs)
    for (const [key, stored] of due) this.#set(key, stored)
    return due.map(([key]) => key)
  }

  /**
   * Changes after a revision, with removals; `undefined` if not all removals since are known, so
   * that only a full copy helps.
   */
  changesSince(revision: number): StoreUpdateItem[] | undefined {
    if (revision < this.#removalsKnownSince) return undefined
    return this.#itemsWhere((_item, latest) => latest.revision > revision)
  }

  /** All existing items. */
  items(): StoreUpdateItem[] {
    return this.#itemsWhere(({ value }, latest) => value !== null || latest.value !== null)
  }

  /** A held item comes as it is known and then as it is stored, for a receiver that knows neither. */
  #itemsWhere(isWanted: (item: ItemState, latest: ItemState) => boolean): StoreUpdateItem[] {
    return [...this.#items].flatMap(([key, item]) => {
      const stored = this.#held.stored(key)
      if (!isWanted(item, stored ?? item)) return []
      const states = stored === undefined ? [item] : [item, stored]
      return states.map(({ revision, value }) => ({ key, revision, value }))
    })
  }

  #existsAt(key: string, revision: StoreRevision): boolean {
    const latest = this.#held.stored(key) ?? this.#items.get(key)
    return latest !== undefined && latest.value !== null && latest.revision <= revision
  }

  #apply({ key, revision, value }: StoreUpdateItem, isListed: boolean, nowMs: number): boolean {
    const known = this.#items.get(key)
    const latest = this.#held.stored(key) ?? known
    if (latest !== undefined && latest.revision >= revision) return false
    this.#latestChange = Math.max(this.#latestChange, revision)
    const state = { revision, value }
    if (known !== undefined && this.#held.isOlder(key, known, state, isListed)) {
      this.#held.hold(key, state, nowMs)
    } else {
      this.#held.release(key)
      this.#set(key, state)
    }
    return true
  }

  #set(key: string, { revision, value }: ItemState): void {
    const known = this.#items.get(key)
    const knownValue = known?.value ?? null
    const removedValue = value === null ? (knownValue ?? known?.removedValue ?? null) : null
    this.#items.set(
      key,
      removedValue === null ? { revision, value } : { revision, value, removedValue },
    )
    if (value === null) this.#addTombstone(key)
    // A removal of an item that was never seen is kept, in case an older copy of it comes later.
    if (knownValue !== value) this.#listener(key, value ?? undefined, revision)
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
