/**
 * Decides which items of a restored store are not believed yet. Until their writers have written
 * again, a store that came back from a copy holds items as they were some seconds ago, or none; what
 * is known of the time in between stays in force meanwhile.
 */
import type { StoreRevision } from './storeRevision.js'
import { eraOf } from './storeRevision.js'

/** State of a key at one revision; `value` is base64, and `null` if the item was removed. */
export interface ItemState {
  readonly revision: StoreRevision
  readonly value: string | null
  /** Value before the removal, if it is known. */
  readonly removedValue?: string | null
}

/** Numbers that grow with each write of an item, most significant first. */
export type ContentOrder = readonly number[]

/** What the mirror needs to know of the items' writers. */
export interface ItemWriters {
  /** Order of an item's value by its content; `undefined` if the content states none. */
  contentOrder(key: string, value: string): ContentOrder | undefined
  /** Time after a restore in which the writer of a missing or older item writes again, in ms. */
  rewriteMs(key: string, isMissing: boolean): number
}

/** Writers of items without an order, which are believed as the store has them. */
export const UNKNOWN_WRITERS: ItemWriters = {
  contentOrder: () => undefined,
  rewriteMs: () => 0,
}

interface HeldItem {
  /** State in the store, which replaces the known one at the end. */
  readonly stored: ItemState
  readonly untilMs: number
}

/** Keys for which the state known from before a restore is believed instead of the stored one. */
export class HeldItems {
  readonly #held = new Map<string, HeldItem>()
  readonly #writers: ItemWriters

  constructor(writers: ItemWriters) {
    this.#writers = writers
  }

  get size(): number {
    return this.#held.size
  }

  /** State of a held key in the store. */
  stored(key: string): ItemState | undefined {
    return this.#held.get(key)?.stored
  }

  /**
   * Whether the store has an older state of the key than the one known from an earlier era.
   * @param isListed whether the state was listed, so that it may be from the copy; otherwise it was
   * written since the restore
   */
  isOlder(key: string, known: ItemState, stored: ItemState, isListed: boolean): boolean {
    if (eraOf(known.revision) === eraOf(stored.revision) || known.value === stored.value)
      return false
    if (stored.value === null) return isListed
    const isRemoved = known.value === null
    const knownOrder = this.#orderOf(key, known.value ?? known.removedValue)
    const storedOrder = this.#orderOf(key, stored.value)
    if (knownOrder === undefined || storedOrder === undefined) return isListed
    const difference = compareOrders(storedOrder, knownOrder)
    return difference < 0 || (difference === 0 && (isListed || isRemoved))
  }

  /** Holds a key until its writer must have written again. */
  hold(key: string, stored: ItemState, nowMs: number): void {
    const untilMs = nowMs + this.#writers.rewriteMs(key, stored.value === null)
    const earlier = this.#held.get(key)?.untilMs ?? untilMs
    this.#held.set(key, { stored, untilMs: Math.min(earlier, untilMs) })
  }

  release(key: string): void {
    this.#held.delete(key)
  }

  /** Removes and returns the keys whose writers have not written again in time. */
  takeDue(nowMs: number): [key: string, stored: ItemState][] {
    const due = [...this.#held].filter(([, { untilMs }]) => untilMs <= nowMs)
    for (const [key] of due) this.#held.delete(key)
    return due.map(([key, { stored }]) => [key, stored])
  }

  #orderOf(key: string, value: string | null | undefined): ContentOrder | undefined {
    return value === null || value === undefined
      ? undefined
      : this.#writers.contentOrder(key, value)
  }
}

function compareOrders(left: ContentOrder, right: ContentOrder): number {
  const differing = left.findIndex((value, index) => value !== right[index])
  return differing < 0 ? 0 : (left[differing] ?? 0) - (right[differing] ?? 0)
}
