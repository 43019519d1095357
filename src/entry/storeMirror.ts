/** Copy of the store's items that this instance needs, from the store itself or from a peer. */
import type { NewsItem } from './peerMessages.js'

/** Told of each item that changed. `value` is base64; `undefined`: removed. */
export type MirrorListener = (key: string, value: string | undefined, revision: number) => void

interface MirroredItem {
  readonly revision: number
  readonly value: string | null
}

/**
 * Removals are remembered so that an older copy of an item from a slower peer does not
 * bring it back. This many are kept; peers lag by seconds, not by thousands of changes.
 */
const MAX_REMEMBERED_REMOVALS = 5000

/** Only ever moves forward: an item is replaced only by a later revision of it. */
export class StoreMirror {
  readonly #items = new Map<string, MirroredItem>()
  readonly #removals: string[] = []
  readonly #listener: MirrorListener
  #revision = 0

  constructor(listener: MirrorListener) {
    this.#listener = listener
  }

  /** Revision of the store up to which everything is known; 0: nothing yet. */
  get revision(): number {
    return this.#revision
  }

  /** Applies changes that follow the known revision; returns those that were new. */
  applyChanges(items: readonly NewsItem[], revision: number): NewsItem[] {
    const applied = items.filter((item) => this.#apply(item))
    this.#revision = Math.max(this.#revision, revision)
    return applied
  }

  /** Applies everything that existed at `revision`; items that it lacks are gone. */
  applyComplete(items: readonly NewsItem[], revision: number): NewsItem[] {
    const listed = new Set(items.map(({ key }) => key))
    const missing = [...this.#items]
      .filter(([key, item]) => item.value !== null && item.revision <= revision && !listed.has(key))
      .map(([key]): NewsItem => ({ key, revision, value: null }))
    return this.applyChanges([...items, ...missing], revision)
  }

  /** Everything that exists. */
  items(): NewsItem[] {
    return [...this.#items]
      .filter(([, item]) => item.value !== null)
      .map(([key, { revision, value }]) => ({ key, revision, value }))
  }

  #apply({ key, revision, value }: NewsItem): boolean {
    const known = this.#items.get(key)
    if (known !== undefined && known.revision >= revision) return false
    if (known === undefined && value === null) return false
    this.#items.set(key, { revision, value })
    if (value === null) this.#rememberRemoval(key)
    if (known?.value !== value) this.#listener(key, value ?? undefined, revision)
    return true
  }

  #rememberRemoval(key: string): void {
    this.#removals.push(key)
    if (this.#removals.length <= MAX_REMEMBERED_REMOVALS) return
    const oldest = this.#removals.shift()
    if (oldest !== undefined && this.#items.get(oldest)?.value === null) this.#items.delete(oldest)
  }
}
