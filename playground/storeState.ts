/** State of the store stand-in: versioned keys, leases and listeners of watches. */
import { randomUUID } from 'node:crypto'
import type { StoredValue } from '../src/platform/keyValueStore.js'

interface Entry extends StoredValue {
  readonly leaseId: string | undefined
}

interface LeaseEntry {
  readonly timeToLiveMs: number
  expiresAtMs: number
}

/** Size limit of a value, the same as on the platform. */
export const MAX_VALUE_BYTES = 1024 * 1024

/** Versioned keys and leases; reads, writes and renewals first remove what expired by `nowMs`. */
export class StoreState {
  readonly #entries = new Map<string, Entry>()
  readonly #leases = new Map<string, LeaseEntry>()
  readonly #listeners = new Map<string, Set<() => void>>()
  #lastVersion = 0

  get(key: string, nowMs: number): StoredValue | undefined {
    this.#expire(nowMs)
    const entry = this.#entries.get(key)
    return entry === undefined ? undefined : toStoredValue(entry)
  }

  list(prefix: string, nowMs: number): StoredValue[] {
    this.#expire(nowMs)
    return [...this.#entries.values()]
      .filter((entry) => entry.key.startsWith(prefix))
      .map(toStoredValue)
      .sort((left, right) => (left.key < right.key ? -1 : 1))
  }

  /** Returns the new version, or `undefined` on a version conflict or an unknown lease. */
  compareAndSwap(
    key: string,
    value: string,
    expectedVersion: number,
    nowMs: number,
    leaseId?: string,
  ): number | undefined {
    this.#expire(nowMs)
    if ((this.#entries.get(key)?.version ?? 0) !== expectedVersion) return undefined
    if (leaseId !== undefined && !this.#leases.has(leaseId)) return undefined
    const version = ++this.#lastVersion
    this.#entries.set(key, { key, value, version, leaseId })
    this.#notify(key)
    return version
  }

  compareAndDelete(key: string, expectedVersion: number, nowMs: number): boolean {
    this.#expire(nowMs)
    if (this.#entries.get(key)?.version !== expectedVersion) return false
    this.#entries.delete(key)
    return true
  }

  grantLease(timeToLiveMs: number, nowMs: number): string {
    const leaseId = randomUUID()
    this.#leases.set(leaseId, { timeToLiveMs, expiresAtMs: nowMs + timeToLiveMs })
    return leaseId
  }

  /** Returns the time to live, or `undefined` if the lease has expired. */
  renewLease(leaseId: string, nowMs: number): number | undefined {
    this.#expire(nowMs)
    const lease = this.#leases.get(leaseId)
    if (lease === undefined) return undefined
    lease.expiresAtMs = nowMs + lease.timeToLiveMs
    return lease.timeToLiveMs
  }

  /** Ends all leases and deletes their keys. */
  expireLeases(): void {
    for (const lease of this.#leases.values()) lease.expiresAtMs = Number.NEGATIVE_INFINITY
    this.#expire(0)
  }

  /** Calls `listener` after each write of `key`; returns a function that removes the listener. */
  onWrite(key: string, listener: () => void): () => void {
    const listeners = this.#listeners.get(key) ?? new Set()
    this.#listeners.set(key, listeners)
    listeners.add(listener)
    return () => {
      listeners.delete(listener)
      if (listeners.size === 0) this.#listeners.delete(key)
    }
  }

  #expire(nowMs: number): void {
    for (const [leaseId, lease] of this.#leases) {
      if (lease.expiresAtMs > nowMs) continue
      this.#leases.delete(leaseId)
      for (const entry of [...this.#entries.values()]) {
        if (entry.leaseId === leaseId) this.#entries.delete(entry.key)
      }
    }
  }

  #notify(key: string): void {
    for (const listener of [...(this.#listeners.get(key) ?? [])]) listener()
  }
}

function toStoredValue({ key, value, version }: Entry): StoredValue {
  return { key, value, version }
}
