/**
 * Interface of the platform's key-value store. A call succeeds, or fails with
 * one of the kinds of {@link StoreErrorKind}.
 */
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'

/** Kinds of failures of a store call; they differ in whether a write took effect. */
export enum StoreErrorKind {
  /** The key has another version than expected; nothing was written. */
  Conflict = 'storeConflict',
  /** The call had no effect: it was not sent, or the store refused it. */
  Failed = 'storeFailed',
  /** The answer was lost; the write may have taken effect. */
  Unknown = 'storeUnknown',
}

/** Failure of a store call. */
export class StoreError extends SteeringError<StoreErrorKind> {}

/** A key with its value and version. */
export interface StoredValue {
  readonly key: string
  /** UTF-8 text of at most 1 MiB. */
  readonly value: string
  /**
   * Increases with each write to the store; {@link KeyValueStore.compareAndSwap} uses 0 for an
   * absent key.
   */
  readonly version: number
}

/** A lease; the store deletes the keys written with it when it expires. */
export interface Lease {
  readonly leaseId: string
  /** Time to live in milliseconds, counted by the store from the grant or the last renewal. */
  readonly timeToLiveMs: number
}

/** Options of a store call. */
export interface StoreCallOptions {
  /**
   * Time after which the call ends as failed or unknown, in milliseconds; for a watch, the time for
   * which the store waits.
   */
  readonly timeoutMs: number
  readonly signal?: AbortSignal
}

/** Client of the platform's key-value store. No method rejects. */
export interface KeyValueStore {
  /** Returns the value, or `undefined` when the key is absent. */
  get(key: string, options: StoreCallOptions): Promise<Result<StoredValue | undefined, StoreError>>
  /** Returns the values whose key starts with `prefix`, in key order. */
  list(
    prefix: string,
    options: StoreCallOptions,
  ): Promise<Result<readonly StoredValue[], StoreError>>
  /**
   * Writes `value` if the key's version is `expectedVersion`; 0 means that the key is absent.
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
  grantLease(timeToLiveMs: number, options: StoreCallOptions): Promise<Result<Lease, StoreError>>
  /** Renews a lease; fails with {@link StoreErrorKind.Failed} if it has expired. */
  renewLease(leaseId: string, options: StoreCallOptions): Promise<Result<Lease, StoreError>>
  /**
   * Waits until the key's version is above `afterVersion`. The whole wait is one call to the store.
   * @returns the value, or `undefined` if nothing changed within `options.timeoutMs`
   */
  watch(
    key: string,
    afterVersion: number,
    options: StoreCallOptions,
  ): Promise<Result<StoredValue | undefined, StoreError>>
}
