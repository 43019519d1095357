/** Joins changes of the store that follow each other closely into one message to the peers. */
import type { StoreUpdateItem, StoreUpdateMessage } from './peerMessages.js'

/**
 * Time between two messages, in milliseconds. When servers register one after the other, a message
 * for each of them to each peer of a large region would fill the link of the store reader.
 */
const MIN_INTERVAL_MS = 100

export type StoreUpdate = Omit<StoreUpdateMessage, 'kind'>

/** A single change is sent at once; those that follow it wait for the interval to pass. */
export class StoreUpdateBatch {
  #pending: StoreUpdate[] = []
  #sentAtMs = Number.NEGATIVE_INFINITY

  add(update: StoreUpdate): void {
    const last = this.#pending.at(-1)
    const canJoin = last !== undefined && !last.isComplete && !update.isComplete
    if (canJoin) this.#pending.splice(-1, 1, join(last, update))
    else this.#pending.push(update)
  }

  /** Time until the batch is due, in milliseconds; `undefined` if it is empty. */
  dueInMs(nowMs: number): number | undefined {
    if (this.#pending.length === 0) return undefined
    return Math.max(0, this.#sentAtMs + MIN_INTERVAL_MS - nowMs)
  }

  /** Removes and returns the updates, in order. */
  take(nowMs: number): readonly StoreUpdate[] {
    const pending = this.#pending
    this.#pending = []
    if (pending.length > 0) this.#sentAtMs = nowMs
    return pending
  }
}

/** Only the latest change of an item is kept. */
function join(earlier: StoreUpdate, later: StoreUpdate): StoreUpdate {
  const items = new Map<string, StoreUpdateItem>()
  for (const item of [...earlier.items, ...later.items]) items.set(item.key, item)
  return { ...earlier, items: [...items.values()], revision: later.revision }
}
