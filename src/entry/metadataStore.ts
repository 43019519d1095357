/** What an entry instance needs of the platform's store, in our own terms. */
import type { StoreError } from '../platform/keyValueStore.js'
import type { Result } from '../common/results.js'

/** A stored item. */
export interface StoreItem {
  readonly key: string
  readonly value: Buffer
  readonly revision: number
}

/** An item as written, or its removal. */
export interface StoreEvent {
  readonly key: string
  readonly revision: number
  /** `undefined`: removed. */
  readonly value: Buffer | undefined
}

/** Complete listing of a prefix. */
export interface StoreListing {
  readonly items: readonly StoreItem[]
  /** Revision of the store when the first page was read; watches continue from here. */
  readonly revision: number
}

/** Changes after a revision. */
export interface StoreChanges {
  readonly events: readonly StoreEvent[]
  readonly revision: number
}

/** Returned by a watch whose history is gone. */
export const HISTORY_GONE = 'historyGone'

/** Linearizable store with watches by prefix and leases. No method rejects. */
export interface MetadataStore {
  /** Lists all items whose key starts with `prefix`. */
  list(prefix: string): Promise<Result<StoreListing, StoreError>>
  /** Waits up to `waitMs` for changes of any key after `revision`. */
  watch(
    prefix: string,
    revision: number,
    waitMs: number,
  ): Promise<Result<StoreChanges | typeof HISTORY_GONE, StoreError>>
  /** Grants a lease; returns its identifier. */
  grantLease(timeToLiveMs: number): Promise<Result<number, StoreError>>
  /** Renews a lease; `false`: it has ended. */
  renewLease(leaseId: number): Promise<Result<boolean, StoreError>>
  /** Writes a key that ends with the lease; `false`: the lease has ended. */
  put(key: string, value: Buffer, leaseId: number): Promise<Result<boolean, StoreError>>
  /** Ends a lease and removes its keys. */
  endLease(leaseId: number): Promise<Result<void, StoreError>>
}
