/**
 * Lease that limits the periodic work to one control daemon at a time. It only avoids duplicate
 * work: correctness never depends on it.
 */
import type { KeyValueStore, StoreCallOptions } from '../platform/keyValueStore.js'

/** Result of {@link LeaderLease.acquireOrRenew}. */
export enum LeaderLeaseState {
  Held = 'held',
  HeldByOther = 'heldByOther',
  StoreUnavailable = 'storeUnavailable',
}

export interface LeaderLeaseOptions {
  readonly key: string
  /** Identifies this process, incarnation included. */
  readonly ownerId: string
  readonly timeToLiveMs: number
  /** Timeout of each store call. */
  readonly timeoutMs: number
}

const RENEWALS_PER_TIME_TO_LIVE = 3

export class LeaderLease {
  readonly #store: KeyValueStore
  readonly #options: LeaderLeaseOptions
  readonly #callOptions: StoreCallOptions
  #leaseId: string | undefined
  #state = LeaderLeaseState.HeldByOther
  #checkedAtMs = Number.NEGATIVE_INFINITY

  constructor(store: KeyValueStore, options: LeaderLeaseOptions) {
    this.#store = store
    this.#options = options
    this.#callOptions = { timeoutMs: options.timeoutMs }
  }

  /**
   * Renews or acquires the lease. Returns the last state without a store call until a third of
   * the time to live has passed, unless the store was unavailable.
   */
  async acquireOrRenew(nowMs: number): Promise<LeaderLeaseState> {
    const isRecent =
      nowMs - this.#checkedAtMs < this.#options.timeToLiveMs / RENEWALS_PER_TIME_TO_LIVE
    if (isRecent && this.#state !== LeaderLeaseState.StoreUnavailable) return this.#state
    this.#checkedAtMs = nowMs
    this.#state = await this.#refresh()
    return this.#state
  }

  async #refresh(): Promise<LeaderLeaseState> {
    if (this.#leaseId !== undefined) {
      const renewed = await this.#store.renewLease(this.#leaseId, this.#callOptions)
      // A failed renewal does not tell whether the lease expired, so the key is read.
      if (renewed.ok && this.#state === LeaderLeaseState.Held) return LeaderLeaseState.Held
    }
    const stored = await this.#store.get(this.#options.key, this.#callOptions)
    if (stored.err) return LeaderLeaseState.StoreUnavailable
    if (stored.val === undefined) return this.#acquire()
    const isOwn = this.#leaseId !== undefined && stored.val.value === this.#valueOf(this.#leaseId)
    return isOwn ? LeaderLeaseState.Held : LeaderLeaseState.HeldByOther
  }

  async #acquire(): Promise<LeaderLeaseState> {
    const lease = await this.#store.grantLease(this.#options.timeToLiveMs, this.#callOptions)
    if (lease.err) return LeaderLeaseState.StoreUnavailable
    this.#leaseId = lease.val.leaseId
    const value = this.#valueOf(lease.val.leaseId)
    const options = { ...this.#callOptions, leaseId: lease.val.leaseId }
    const written = await this.#store.compareAndSwap(this.#options.key, value, 0, options)
    return written.ok ? LeaderLeaseState.Held : LeaderLeaseState.HeldByOther
  }

  #valueOf(leaseId: string): string {
    return `${this.#options.ownerId} ${leaseId}`
  }
}
