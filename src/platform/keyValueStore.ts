/**
 * The platform's key-value service in our own terms. Every call ends in one of
 * four ways: done, conflict, certainly failed, or unknown.
 */
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'

/** How a call to the store can fail. */
export enum StoreErrorKind {
  /** The compare-and-swap found another version; nothing was written. */
  Conflict = 'storeConflict',
  /** The call certainly had no effect (not sent, or refused). */
  Failed = 'storeFailed',
  /** The answer was lost; a write may have taken effect. */
  Unknown = 'storeUnknown',
}

/** Failure of a call to the store. */
export class StoreError extends SteeringError<StoreErrorKind> {}

/** A stored value. */
export interface StoredValue {
  readonly key: string
  /** UTF-8 text of at most one megabyte. */
  readonly value: string
  /** Grows with each write of the store; 0 stands for "absent" in {@link KeyValueStore.compareAndSwap}. */
  readonly version: number
}

/** A lease; keys written with it vanish when it expires. */
export interface Lease {
  readonly leaseId: string
  /** Time to live in milliseconds, counted by the store from grant or renewal. */
  readonly timeToLiveMs: number
}

/** Options of all calls. */
export interface StoreCallOptions {
  /** Time until the call counts as failed or unknown, in milliseconds. */
  readonly timeoutMs: number
  readonly signal?: AbortSignal
}

/** The platform's key-value service. No method rejects. */
export interface KeyValueStore {
  /** Returns the value, or `undefined` when the key is absent. */
  get(key: string, options: StoreCallOptions): Promise<Result<StoredValue | undefined, StoreError>>
  /** Returns the values whose key starts with `prefix`, in key order. */
  list(
    prefix: string,
    options: StoreCallOptions,
  ): Promise<Result<readonly StoredValue[], StoreError>>
  /**
   * Writes `value` if the key's version is `expectedVersion` (0: absent).
   * @returns the new version
   */
  compareAndSwap(
    key: string,
    value: string,
    expectedVersion: number,
    options: StoreCallOptions & { readonly leaseId?: string },
  ): Promise<Result<number, StoreError>>
  /** Deletes the key if its version is `expectedVersion`. */
  compareAndDelete(
    key: string,
    expectedVersion: number,
    options: StoreCallOptions,
  ): Promise<Result<void, StoreError>>
  /** Grants a lease. */
  grantLease(timeToLiveMs: number, options: StoreCallOptions): Promise<Result<Lease, StoreError>>
  /** Renews a lease; `Failed` if it has expired. */
  renewLease(leaseId: string, options: StoreCallOptions): Promise<Result<Lease, StoreError>>
  /**
   * Waits until the key's version is above `afterVersion`. Counts as one call while it waits.
   * @returns the value, or `undefined` when nothing changed within `options.timeoutMs`
   */
  watch(
    key: string,
    afterVersion: number,
    options: StoreCallOptions,
  ): Promise<Result<StoredValue | undefined, StoreError>>
}
