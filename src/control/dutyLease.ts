/**
 * Lease that limits the periodic work to one control daemon at a time. It only avoids duplicate
 * work: correctness never depends on it.
 */
import type { KeyValueStore, StoreCallOptions } from '../platform/keyValueStore.js'

/** Result of {@link DutyLease.hold}. */
export enum DutyState {
  Held = 'held',
  HeldByOther = 'heldByOther',
  StoreUnavailable = 'storeUnavailable',
}

export interface DutyLeaseOptions {
  readonly key: string
  /** Identifies this process, incarnation included. */
  readonly ownerId: string
  readonly timeToLiveMs: number
  /** Timeout of each store call. */
  readonly timeoutMs: number
}

const RENEWALS_PER_LIFE = 3

export class DutyLease {
  readonly #store: KeyValueStore
  readonly #options: DutyLeaseOptions
  readonly #call: StoreCallOptions
  #leaseId: string | undefined
  #state = DutyState.HeldByOther
  #checkedAtMs = Number.NEGATIVE_INFINITY

  constructor(store: KeyValueStore, options: DutyLeaseOptions) {
    this.#store = store
    this.#options = options
    this.#call = { timeoutMs: options.timeoutMs }
  }

  /**
   * Renews or acquires the lease. Returns the last state without a store call until a third of
   * the time to live has passed, unless the store was unavailable.
   */
  async hold(nowMs: number): Promise<DutyState> {
    const isRecent = nowMs - this.#checkedAtMs < this.#options.timeToLiveMs / RENEWALS_PER_LIFE
    if (isRecent && this.#state !== DutyState.StoreUnavailable) return this.#state
    this.#checkedAtMs = nowMs
    this.#state = await this.#check()
    return this.#state
  }

  async #check(): Promise<DutyState> {
    if (this.#leaseId !== undefined) {
      const renewed = await this.#store.renewLease(this.#leaseId, this.#call)
      // A failed renewal does not tell whether the lease expired, so the key is read.
      if (renewed.ok && this.#state === DutyState.Held) return DutyState.Held
    }
    const found = await this.#store.get(this.#options.key, this.#call)
    if (found.err) return DutyState.StoreUnavailable
    if (found.val === undefined) return this.#acquire()
    const isOwn = this.#leaseId !== undefined && found.val.value === this.#valueOf(this.#leaseId)
    return isOwn ? DutyState.Held : DutyState.HeldByOther
  }

  async #acquire(): Promise<DutyState> {
    const lease = await this.#store.grantLease(this.#options.timeToLiveMs, this.#call)
    if (lease.err) return DutyState.StoreUnavailable
    this.#leaseId = lease.val.leaseId
    const value = this.#valueOf(lease.val.leaseId)
    const options = { ...this.#call, leaseId: lease.val.leaseId }
    const written = await this.#store.compareAndSwap(this.#options.key, value, 0, options)
    return written.ok ? DutyState.Held : DutyState.HeldByOther
  }

  #valueOf(leaseId: string): string {
    return `${this.#options.ownerId} ${leaseId}`
  }
}
