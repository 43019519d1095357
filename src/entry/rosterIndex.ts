/** Index of the rosters in the store; the store reader of each region writes one. */
import type { ContentOrder } from './heldItems.js'
import type { InstanceRecord } from './instanceRecord.js'
import { parseInstanceRecord } from './instanceRecord.js'
import type { StoreRevision } from './storeRevision.js'
import { eraOf } from './storeRevision.js'

/** Instances of a region, as one of them wrote them to the store. */
export interface Roster {
  readonly records: readonly InstanceRecord[]
  /** Number of restores of the store before the roster was written, if the writer stated it. */
  readonly storeEra: number | undefined
}

interface IndexedRoster {
  readonly revision: StoreRevision
  readonly records: readonly InstanceRecord[]
}

/** Effect of a changed roster. */
export interface RosterChange {
  /** Instances listed in any roster, each with its latest record. */
  readonly listed: readonly InstanceRecord[]
  /** Names of instances that are no longer listed in any roster. */
  readonly expired: readonly string[]
}

/** Combines all rosters. */
export class RosterIndex {
  readonly #rosters = new Map<string, IndexedRoster>()
  #names = new Set<string>()

  /** Whether a roster other than the one under `key` lists the instance. */
  isListedElsewhere(name: string, key: string): boolean {
    return [...this.#rosters].some(
      ([other, { records }]) => other !== key && records.some((record) => record.name === name),
    )
  }

  /**
   * Applies a written or removed roster.
   * @param records `undefined`: removed, unreadable or outdated
   */
  apply(
    key: string,
    records: readonly InstanceRecord[] | undefined,
    revision: StoreRevision,
  ): RosterChange {
    if (records === undefined) this.#rosters.delete(key)
    else this.#rosters.set(key, { revision, records })
    const latest = new Map<string, InstanceRecord>()
    const ordered = [...this.#rosters.values()].sort(
      (left, right) => left.revision - right.revision,
    )
    // The roster of a former reader may list an earlier start; later revisions take precedence.
    for (const roster of ordered) {
      for (const record of roster.records) latest.set(record.name, record)
    }
    const expired = [...this.#names].filter((name) => !latest.has(name))
    this.#names = new Set(latest.keys())
    return { listed: [...latest.values()], expired }
  }
}

/**
 * Each record states the era, because earlier releases read a roster as a list of records and ignore
 * fields that they don't know.
 */
export function encodeRoster(records: readonly InstanceRecord[], storeEra: number): string {
  return JSON.stringify(records.map((record) => ({ ...record, storeEra })))
}

/**
 * Whether a roster that the store has at a revision was written before the store was restored. It is
 * from the copy then, and may list instances that have left since.
 */
export function isOutdated({ storeEra }: Roster, revision: StoreRevision): boolean {
  return storeEra !== undefined && storeEra < eraOf(revision)
}

/** Parses a stored roster; returns `undefined` if it is malformed. */
export function parseRoster(value: Buffer): Roster | undefined {
  let parsed: unknown
  try {
    parsed = JSON.parse(value.toString('utf8'))
  } catch {
    // The caller logs the unreadable roster.
    return undefined
  }
  if (!Array.isArray(parsed)) return undefined
  const records = parsed.map(parseInstanceRecord)
  if (!records.every((record) => record !== undefined)) return undefined
  const { storeEra } = (parsed[0] ?? {}) as { readonly storeEra?: unknown }
  return { records, storeEra: typeof storeEra === 'number' ? storeEra : undefined }
}

/** Order of the rosters under one key: by the era of the store in which they were written. */
export function rosterOrder(value: Buffer): ContentOrder | undefined {
  const storeEra = parseRoster(value)?.storeEra
  return storeEra === undefined ? undefined : [storeEra]
}
