/** Interface of the platform's store, as far as entry instances use it. */
import type { StoreError } from '../platform/keyValueStore.js'
import type { Result } from '../common/results.js'
import type { StoreRevision } from './storeRevision.js'

/** A stored item. */
export interface StoreItem {
  readonly key: string
  readonly value: Buffer
  readonly revision: StoreRevision
}

/** A write or removal of an item. */
export interface StoreEvent {
  readonly key: string
  readonly revision: StoreRevision
  /** `undefined`: removed. */
  readonly value: Buffer | undefined
}

/** All items below a prefix. */
export interface StoreListing {
  readonly items: readonly StoreItem[]
  /** Store revision at the first page; a watch from it misses no change. */
  readonly revision: StoreRevision
}

/**
 * Changes after a revision. If their revision is of another era than the one that was asked for,
 * they are incomplete: the store was restored in between.
 */
export interface StoreChanges {
  readonly events: readonly StoreEvent[]
  readonly revision: StoreRevision
}

/** Lease on keys; a restored store may give out its number again, to another writer. */
export interface StoreLease {
  readonly id: number
  /** Number of restores of the store before it granted the lease. */
  readonly era: number
}

/** Result of a watch from a revision whose history the store no longer has. */
export const HISTORY_COMPACTED = 'historyGone'

/** Linearizable key-value store with leases and watches by prefix. Methods never reject. */
export interface MetadataStore {
  /** Lists all items whose keys start with `prefix`. */
  list(prefix: string): Promise<Result<StoreListing, StoreError>>
  /** Waits up to `waitMs` for changes after `revision` of keys that start with `prefix`. */
  watch(
    prefix: string,
    revision: StoreRevision,
    waitMs: number,
  ): Promise<Result<StoreChanges | typeof HISTORY_COMPACTED, StoreError>>
  grantLease(timeToLiveMs: number): Promise<Result<StoreLease, StoreError>>
  /** Renews a lease; `false`: the lease has ended, or the store was restored since. */
  renewLease(lease: StoreLease): Promise<Result<boolean, StoreError>>
  /**
   * Writes a key bound to a lease; `false`: the lease has ended, or the store was restored since and
   * the key may be bound to the lease of another writer.
   */
  put(key: string, value: Buffer, lease: StoreLease): Promise<Result<boolean, StoreError>>
  /** Ends a lease, which removes its keys, unless the store was restored since. */
  endLease(lease: StoreLease): Promise<Result<void, StoreError>>
}
