/** Index of the rosters in the store; the store reader of each region writes one. */
import type { InstanceRecord } from './instanceRecord.js'
import { parseInstanceRecord } from './instanceRecord.js'

interface Roster {
  readonly revision: number
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
  readonly #rosters = new Map<string, Roster>()
  #names = new Set<string>()

  /** Whether a roster other than the one under `key` lists the instance. */
  isListedElsewhere(name: string, key: string): boolean {
    return [...this.#rosters].some(
      ([other, { records }]) => other !== key && records.some((record) => record.name === name),
    )
  }

  /**
   * Applies a written or removed roster.
   * @param records `undefined`: removed or unreadable
   */
  apply(
    key: string,
    records: readonly InstanceRecord[] | undefined,
    revision: number,
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

/** Parses a stored roster; returns `undefined` if it is malformed. */
export function parseRoster(value: Buffer): readonly InstanceRecord[] | undefined {
  let parsed: unknown
  try {
    parsed = JSON.parse(value.toString('utf8'))
  } catch {
    // The caller logs the unreadable roster.
    return undefined
  }
  if (!Array.isArray(parsed)) return undefined
  const records = parsed.map(parseInstanceRecord)
  return records.every((record) => record !== undefined) ? records : undefined
}
