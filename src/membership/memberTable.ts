/** Table of the members with their latest records and their health. */
import { GatewayCountsByRegion } from './gatewayCountHistory.js'
import { compareIncarnations, digestRecords, isSameRecord, mergeRecords } from './memberOrder.js'
import type { Member, MemberRecord, MembershipView } from './memberRecord.js'
import { MemberHealth, MemberState } from './memberRecord.js'

/** A suspected member counts as failed without a refutation within this time, in milliseconds. */
export const SUSPICION_TIMEOUT_MS = 3000
/** Failed and left members are removed from the table after this time, in milliseconds. */
export const MEMBER_RETENTION_MS = 600_000
/** A longer gap between two calls of `tick` means that this process was paused, in milliseconds. */
const PAUSE_THRESHOLD_MS = 3000

/** Suspected failure of a member; refuted by a record with a newer version or incarnation. */
export interface Suspicion {
  readonly memberId: string
  readonly incarnation: string
  readonly version: number
}

/** Identity, version and state of a record, as compared between two processes. */
export interface RecordVersion {
  readonly memberId: string
  readonly incarnation: string
  readonly startedAtMs: number
  readonly version: number
  readonly state: MemberState
}

interface TableEntry {
  record: MemberRecord
  health: MemberHealth
  /** Time of the last change in milliseconds since the epoch; timeouts are counted from it. */
  changedAtMs: number
}

/** Addresses of a daemon, determined once its servers listen. */
export interface MemberAddresses {
  readonly callerAddress: string
  readonly internalAddress: string
}

/** {@link MembershipView} into which the records and suspicions of peers are merged. */
export class MemberTable implements MembershipView {
  #self: MemberRecord
  readonly #entries = new Map<string, TableEntry>()
  readonly #listeners = new Set<() => void>()
  readonly #gatewayCounts = new GatewayCountsByRegion()
  #members: readonly Member[] | undefined
  #digests: Readonly<Record<string, string>> | undefined
  #lastTickMs: number | undefined

  constructor(self: MemberRecord) {
    this.#self = self
    this.#gatewayCounts.record(this.members(), self.startedAtMs)
  }

  self(): MemberRecord {
    return this.#self
  }

  members(): readonly Member[] {
    this.#members ??= [
      { ...this.#self, health: MemberHealth.Alive },
      ...[...this.#entries.values()].filter(isPresent).map(toMember),
    ]
    return this.#members
  }

  /** Returns a member in any state, including failed and left ones until they are removed. */
  find(memberId: string): Member | undefined {
    if (memberId === this.#self.memberId) return { ...this.#self, health: MemberHealth.Alive }
    const entry = this.#entries.get(memberId)
    return entry === undefined ? undefined : toMember(entry)
  }

  largestGatewayCount(region: string, nowMs: number): number {
    return this.#gatewayCounts.largest(region, this.members(), nowMs)
  }

  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  /** Sets the addresses in the own record; to be called before the record is shared. */
  announceAddresses(addresses: MemberAddresses, nowMs: number): void {
    this.#replaceSelf({ ...this.#self, ...addresses }, nowMs)
  }

  /** Advances the state in the own record; an earlier state is ignored. */
  declareState(state: MemberState, nowMs: number): void {
    const updated = mergeRecords(this.#self, { ...this.#self, state })
    if (updated.state !== this.#self.state) this.#replaceSelf(updated, nowMs)
  }

  /** Merges records received from peers; returns those that changed the table. */
  merge(records: readonly MemberRecord[], nowMs: number): readonly MemberRecord[] {
    const changed = records.filter((record) => this.#mergeRecord(record, nowMs))
    if (changed.length > 0) this.#handleChange(nowMs)
    return changed
  }

  /**
   * Merges suspicions received from peers; one of this process is refuted by a newer own record.
   * @returns the suspicions that changed the table
   */
  mergeSuspicions(suspicions: readonly Suspicion[], nowMs: number): readonly Suspicion[] {
    return suspicions.filter((suspicion) =>
      suspicion.memberId === this.#self.memberId
        ? this.#refute(suspicion, nowMs)
        : this.#suspect(suspicion, nowMs),
    )
  }

  /** Suspects a member whose probes failed. Returns `undefined` if that changes nothing. */
  suspect(memberId: string, nowMs: number): Suspicion | undefined {
    const entry = this.#entries.get(memberId)
    if (entry === undefined) return undefined
    const suspicion = suspicionOf(entry)
    return this.#suspect(suspicion, nowMs) ? suspicion : undefined
  }

  /** Fails a suspected member before the suspicion timeout, once its process is seen to have ended. */
  fail(suspicion: Suspicion, nowMs: number): void {
    const entry = this.#entries.get(suspicion.memberId)
    const applies =
      entry?.health === MemberHealth.Suspected &&
      entry.record.incarnation === suspicion.incarnation &&
      entry.record.version <= suspicion.version
    if (!applies) return
    entry.health = MemberHealth.Failed
    entry.changedAtMs = nowMs
    this.#handleChange(nowMs)
  }

  /** Marks a member that answered this process directly as alive, in this process only. */
  confirmAlive(memberId: string, incarnation: string, nowMs: number): void {
    const entry = this.#entries.get(memberId)
    if (entry?.record.incarnation !== incarnation || entry.health === MemberHealth.Alive) return
    entry.health = MemberHealth.Alive
    entry.changedAtMs = nowMs
    this.#handleChange(nowMs)
  }

  /** Returns the suspicions of all suspected and failed members. */
  suspicions(): readonly Suspicion[] {
    return [...this.#entries.values()]
      .filter(
        ({ health, record }) => health !== MemberHealth.Alive && record.state !== MemberState.Left,
      )
      .map(suspicionOf)
  }

  /** Returns the failed members, which are still contacted from time to time. */
  failedMembers(): readonly Member[] {
    return [...this.#entries.values()]
      .filter(
        ({ health, record }) => health === MemberHealth.Failed && record.state !== MemberState.Left,
      )
      .map(toMember)
  }

  /** Fails members after the suspicion timeout and removes old entries. To be called once a second. */
  tick(nowMs: number): void {
    const wasPaused = nowMs - (this.#lastTickMs ?? nowMs) > PAUSE_THRESHOLD_MS
    this.#lastTickMs = nowMs
    let isChanged = false
    for (const [memberId, entry] of this.#entries) {
      if (entry.health === MemberHealth.Suspected) {
        // Refutations that arrived during the pause have not been processed yet.
        if (wasPaused) entry.changedAtMs = nowMs
        else if (nowMs - entry.changedAtMs >= SUSPICION_TIMEOUT_MS) {
          entry.health = MemberHealth.Failed
          entry.changedAtMs = nowMs
          isChanged = true
        }
      } else if (!isPresent(entry) && nowMs - entry.changedAtMs >= MEMBER_RETENTION_MS) {
        this.#entries.delete(memberId)
      }
    }
    if (isChanged) this.#handleChange(nowMs)
  }

  /** Returns a digest of the shared records by region. */
  digests(): Readonly<Record<string, string>> {
    this.#digests ??= this.#computeDigests()
    return this.#digests
  }

  #computeDigests(): Readonly<Record<string, string>> {
    const byRegion = new Map<string, MemberRecord[]>()
    for (const record of this.#sharedRecords()) {
      const records = byRegion.get(record.region) ?? []
      records.push(record)
      byRegion.set(record.region, records)
    }
    return Object.fromEntries(
      [...byRegion].map(([region, records]) => [region, digestRecords(records)]),
    )
  }

  /** Returns the versions of the shared records of a region. */
  versions(region: string): readonly RecordVersion[] {
    return this.#sharedRecords()
      .filter((record) => record.region === region)
      .map(({ memberId, incarnation, startedAtMs, version, state }) => ({
        memberId,
        incarnation,
        startedAtMs,
        version,
        state,
      }))
  }

  /** Returns the shared records with the given member identifiers; others are left out. */
  records(memberIds: readonly string[]): readonly MemberRecord[] {
    const wanted = new Set(memberIds)
    return this.#sharedRecords().filter(({ memberId }) => wanted.has(memberId))
  }

  /** Failed members are not shared, so that a peer that has removed them does not add them again. */
  #sharedRecords(): readonly MemberRecord[] {
    const others = [...this.#entries.values()].filter(
      ({ health }) => health !== MemberHealth.Failed,
    )
    return [this.#self, ...others.map(({ record }) => record)]
  }

  #mergeRecord(received: MemberRecord, nowMs: number): boolean {
    if (received.memberId === this.#self.memberId)
      return this.#supersedePredecessor(received, nowMs)
    const entry = this.#entries.get(received.memberId)
    if (entry === undefined) {
      this.#entries.set(received.memberId, {
        record: received,
        health: MemberHealth.Alive,
        changedAtMs: nowMs,
      })
      return true
    }
    const merged = mergeRecords(entry.record, received)
    if (isSameRecord(merged, entry.record)) return false
    if (merged.version > entry.record.version || compareIncarnations(merged, entry.record) !== 0) {
      entry.health = MemberHealth.Alive
    }
    entry.changedAtMs = nowMs
    entry.record = merged
    return true
  }

  /** Makes the own record newer than a received record with the same member identifier. */
  #supersedePredecessor(received: MemberRecord, nowMs: number): boolean {
    const order = compareIncarnations(received, this.#self)
    if (order < 0 || (order === 0 && received.version <= this.#self.version)) return false
    // The record of a predecessor whose clock was ahead would otherwise override the own one.
    const startedAtMs = order > 0 ? received.startedAtMs + 1 : this.#self.startedAtMs
    const version = Math.max(this.#self.version, received.version)
    this.#replaceSelf({ ...this.#self, startedAtMs, version }, nowMs)
    return true
  }

  #refute(suspicion: Suspicion, nowMs: number): boolean {
    if (suspicion.incarnation !== this.#self.incarnation) return false
    if (suspicion.version < this.#self.version) return false
    this.#replaceSelf({ ...this.#self, version: suspicion.version }, nowMs)
    return true
  }

  #suspect(suspicion: Suspicion, nowMs: number): boolean {
    const entry = this.#entries.get(suspicion.memberId)
    const applies =
      entry?.health === MemberHealth.Alive &&
      entry.record.state !== MemberState.Left &&
      entry.record.incarnation === suspicion.incarnation &&
      entry.record.version <= suspicion.version
    if (!applies) return false
    entry.health = MemberHealth.Suspected
    entry.changedAtMs = nowMs
    this.#handleChange(nowMs)
    return true
  }

  #replaceSelf(record: MemberRecord, nowMs: number): void {
    this.#self = { ...record, version: record.version + 1 }
    this.#handleChange(nowMs)
  }

  #handleChange(nowMs: number): void {
    this.#members = undefined
    this.#digests = undefined
    this.#gatewayCounts.record(this.members(), nowMs)
    for (const listener of this.#listeners) listener()
  }
}

function isPresent(entry: TableEntry): boolean {
  return entry.health !== MemberHealth.Failed && entry.record.state !== MemberState.Left
}

function toMember(entry: TableEntry): Member {
  return { ...entry.record, health: entry.health }
}

function suspicionOf({ record }: TableEntry): Suspicion {
  return { memberId: record.memberId, incarnation: record.incarnation, version: record.version }
}
