/**
 * Writes the roster of a region's instances to the store, bound to a lease; runs at the store
 * reader of the region. One key per region instead of one per instance saves lease renewals.
 */
import type { Clock } from '../common/clock.js'
import { sleep } from '../common/clock.js'
import type { EntryLog } from './entryLog.js'
import type { InstanceRecord } from './instanceRecord.js'
import type { MetadataStore, StoreLease } from './metadataStore.js'
import { encodeRoster } from './rosterIndex.js'

/** Key prefix of the rosters, followed by the region and the name of the writer. */
export const ROSTER_PREFIX = 'tamarackdrift/rosters/'
/**
 * Lease duration in milliseconds. Three renewals must fit into it, but callers must not be
 * directed for long to an instance that has ended.
 */
const LEASE_DURATION_MS = 5000
const RENEWAL_INTERVAL_MS = 1600
const RETRY_PAUSE_MS = 600
/** Interval of the check for changes, in milliseconds; batches the starts of several instances. */
const CHECK_INTERVAL_MS = 250
/** Interval of the check while another instance writes the roster, in milliseconds. */
const IDLE_CHECK_INTERVAL_MS = 1000

export interface RosterWriterDependencies {
  readonly store: MetadataStore
  readonly self: InstanceRecord
  readonly clock: Clock
  readonly log: EntryLog
  /** Number of restores of the store, as far as this instance knows. */
  readonly storeEra: () => number
  /** Whether this instance is a store reader of its region. */
  readonly isReader: () => boolean
  /** Called when the store answers. */
  readonly onAnswer: () => void
  /** Instances of the region with a working link, including this one unless it is leaving. */
  readonly members: () => readonly InstanceRecord[]
  /** Whether the roster of another instance lists this one. */
  readonly isListedElsewhere: () => boolean
}

/** Writes and renews the roster, and removes it once the roster of another instance replaces it. */
export class RosterWriter {
  readonly #dependencies: RosterWriterDependencies
  readonly #abort = new AbortController()
  #lease: StoreLease | undefined
  #writtenRoster = ''
  #renewedAtMs = 0

  constructor(dependencies: RosterWriterDependencies) {
    this.#dependencies = dependencies
  }

  /** Store key of the roster that an instance writes. */
  static keyOf({ region, name }: InstanceRecord): string {
    return `${ROSTER_PREFIX}${region}/${name}`
  }

  /** Runs until {@link stop}. */
  async run(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const isOk = await this.#update(this.#dependencies.clock())
      const checkMs = this.#dependencies.isReader() ? CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS
      await sleep(isOk ? checkMs : RETRY_PAUSE_MS, this.#abort.signal)
    }
  }

  /** Stops and ends the lease; another instance of the region should be the writer by then. */
  async stop(): Promise<void> {
    this.#abort.abort()
    await this.#endLease()
  }

  async #update(nowMs: number): Promise<boolean> {
    const { isReader, isListedElsewhere, members, storeEra } = this.#dependencies
    if (this.#lease !== undefined && this.#lease.era < storeEra()) this.#forgetLease()
    if (!isReader()) {
      if (this.#lease === undefined || !isListedElsewhere()) return true
      return this.#endLease()
    }
    const roster = [...members()].sort((left, right) => (left.name < right.name ? -1 : 1))
    if (this.#lease === undefined) return this.#register(roster)
    const isWritten = encodeRoster(roster, this.#lease.era) === this.#writtenRoster
    if (!isWritten) return this.#write(roster, this.#lease)
    return nowMs - this.#renewedAtMs < RENEWAL_INTERVAL_MS ? true : this.#renew(this.#lease)
  }

  async #register(records: readonly InstanceRecord[]): Promise<boolean> {
    const lease = await this.#dependencies.store.grantLease(LEASE_DURATION_MS)
    if (lease.err) return this.#logFailure('grant', lease.val.message)
    this.#renewedAtMs = this.#dependencies.clock()
    return this.#write(records, lease.val)
  }

  async #write(records: readonly InstanceRecord[], lease: StoreLease): Promise<boolean> {
    const { store, self, log } = this.#dependencies
    const roster = encodeRoster(records, lease.era)
    const put = await store.put(RosterWriter.keyOf(self), Buffer.from(roster), lease)
    if (put.err) return this.#logFailure('put', put.val.message)
    this.#lease = put.val ? lease : undefined
    this.#writtenRoster = put.val ? roster : ''
    this.#dependencies.onAnswer()
    if (put.val) log.event('rosterWritten', { leaseId: lease.id, bytes: roster.length })
    return put.val
  }

  async #renew(lease: StoreLease): Promise<boolean> {
    const renewed = await this.#dependencies.store.renewLease(lease)
    if (renewed.err) return this.#logFailure('renew', renewed.val.message)
    this.#dependencies.onAnswer()
    this.#renewedAtMs = this.#dependencies.clock()
    if (!renewed.val) this.#forgetLease()
    return renewed.val
  }

  async #endLease(): Promise<boolean> {
    if (this.#lease === undefined) return true
    const ended = await this.#dependencies.store.endLease(this.#lease)
    if (ended.err) return this.#logFailure('end', ended.val.message)
    this.#forgetLease()
    this.#dependencies.log.event('rosterGivenUp', {})
    return true
  }

  #forgetLease(): void {
    this.#lease = undefined
    this.#writtenRoster = ''
  }

  #logFailure(call: string, reason: string): boolean {
    this.#dependencies.log.event('rosterFailed', { call, reason })
    return false
  }
}
