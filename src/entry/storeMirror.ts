/** Local copy of the store items that this instance needs, updated from the store or from peers. */
import type { StoreUpdateItem } from './peerMessages.js'

/** Called for each changed item. `value` is base64; `undefined`: removed. */
export type MirrorListener = (key: string, value: string | undefined, revision: number) => void

interface MirroredItem {
  readonly revision: number
  readonly value: string | null
}

/**
 * Number of tombstones kept, so that an older copy of an item from a slower peer does not
 * restore a removed item. Peers lag by seconds, not by thousands of changes.
 */
const MAX_TOMBSTONES = 5000

/** Mirror of store items; an item is only ever replaced by a later revision of it. */
export class StoreMirror {
  readonly #items = new Map<string, MirroredItem>()
  readonly #tombstones: string[] = []
  readonly #listener: MirrorListener
  #revision = 0

  constructor(listener: MirrorListener) {
    this.#listener = listener
  }

  /** Store revision up to which all changes are applied; 0: none yet. */
  get revision(): number {
    return this.#revision
  }

  /** Applies changes and returns those that were newer than the mirrored items. */
  applyChanges(items: readonly StoreUpdateItem[], revision: number): StoreUpdateItem[] {
    const applied = items.filter((item) => this.#apply(item))
    this.#revision = Math.max(this.#revision, revision)
    return applied
  }

  /** Applies all items that existed at `revision`, and removes mirrored items that are missing. */
  applySnapshot(items: readonly StoreUpdateItem[], revision: number): StoreUpdateItem[] {
    const listed = new Set(items.map(({ key }) => key))
    const missing = [...this.#items]
      .filter(([key, item]) => item.value !== null && item.revision <= revision && !listed.has(key))
      .map(([key]): StoreUpdateItem => ({ key, revision, value: null }))
    return this.applyChanges([...items, ...missing], revision)
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
    if (existing === undefined && value === null) return false
    this.#items.set(key, { revision, value })
    if (value === null) this.#addTombstone(key)
    if (existing?.value !== value) this.#listener(key, value ?? undefined, revision)
    return true
  }

  #addTombstone(key: string): void {
    this.#tombstones.push(key)
    if (this.#tombstones.length <= MAX_TOMBSTONES) return
    const oldest = this.#tombstones.shift()
    if (oldest !== undefined && this.#items.get(oldest)?.value === null) this.#items.delete(oldest)
  }
}
