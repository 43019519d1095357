/** Task that keeps this instance's record in the store, bound to a lease. */
import { sleep } from '../common/clock.js'
import type { EntryLog } from './entryLog.js'
import type { InstanceRecord } from './instanceRecord.js'
import type { MetadataStore } from './metadataStore.js'

/** Prefix of the records in the store. */
export const INSTANCE_PREFIX = 'tamarackdrift/instances/'
/**
 * Life of the lease in milliseconds. Callers must not be sent to an instance that ended
 * some seconds ago, and three renewals must fit in.
 */
const LEASE_MS = 5000
const RENEWAL_MS = 1600
const RETRY_PAUSE_MS = 600

/** Registers, renews, and registers anew when the lease has ended. */
export class InstanceRegistration {
  readonly #store: MetadataStore
  readonly #record: InstanceRecord
  readonly #log: EntryLog
  readonly #abort = new AbortController()
  #leaseId: number | undefined

  constructor(store: MetadataStore, record: InstanceRecord, log: EntryLog) {
    this.#store = store
    this.#record = record
    this.#log = log
  }

  /** Runs until {@link stop}. */
  async run(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const isRegistered =
        this.#leaseId === undefined ? await this.#register() : await this.#renew()
      await sleep(isRegistered ? RENEWAL_MS : RETRY_PAUSE_MS, this.#abort.signal)
    }
  }

  /** Ends the lease, so that the others forget this instance at once. */
  async stop(): Promise<void> {
    this.#abort.abort()
    if (this.#leaseId === undefined) return
    const ended = await this.#store.endLease(this.#leaseId)
    if (ended.err) this.#log.event('leaseNotEnded', { reason: ended.val.message })
  }

  async #register(): Promise<boolean> {
    const lease = await this.#store.grantLease(LEASE_MS)
    if (lease.err) return this.#failed('grant', lease.val.message)
    const key = `${INSTANCE_PREFIX}${this.#record.name}`
    const put = await this.#store.put(key, Buffer.from(JSON.stringify(this.#record)), lease.val)
    if (put.err) return this.#failed('put', put.val.message)
    if (!put.val) return false
    this.#leaseId = lease.val
    this.#log.event('registered', { leaseId: lease.val })
    return true
  }

  async #renew(): Promise<boolean> {
    const renewed = await this.#store.renewLease(this.#leaseId ?? 0)
    if (renewed.err) return this.#failed('renew', renewed.val.message)
    if (!renewed.val) this.#leaseId = undefined
    return renewed.val
  }

  #failed(call: string, reason: string): boolean {
    this.#log.event('registrationFailed', { call, reason })
    return false
  }
}
