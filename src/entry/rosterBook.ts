/** Which instances the rosters in the store name; each region's reader of the store writes one. */
import type { InstanceRecord } from './instanceRecord.js'
import { parseInstanceRecord } from './instanceRecord.js'

interface Roster {
  readonly revision: number
  readonly records: readonly InstanceRecord[]
}

/** What a change of a roster means. */
export interface RosterChange {
  /** Instances that some roster names, each by its latest record. */
  readonly present: readonly InstanceRecord[]
  /** Names that were in a roster before and are in none now. */
  readonly lapsed: readonly string[]
}

/** Aggregate over all rosters. */
export class RosterBook {
  readonly #rosters = new Map<string, Roster>()
  #names = new Set<string>()

  /** Whether a roster other than that under `key` names the instance. */
  namesElsewhere(name: string, key: string): boolean {
    return [...this.#rosters].some(
      ([other, { records }]) => other !== key && records.some((record) => record.name === name),
    )
  }

  /**
   * Applies a written or removed roster.
   * @param records `undefined`: removed, or can't be read
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
    // A roster of a reader that is gone may hold an earlier start; later writes go first.
    for (const roster of ordered) {
      for (const record of roster.records) latest.set(record.name, record)
    }
    const lapsed = [...this.#names].filter((name) => !latest.has(name))
    this.#names = new Set(latest.keys())
    return { present: [...latest.values()], lapsed }
  }
}

/** Reads a roster that another process wrote; `undefined` if it is none. */
export function parseRoster(value: Buffer): readonly InstanceRecord[] | undefined {
  let parsed: unknown
  try {
    parsed = JSON.parse(value.toString('utf8'))
  } catch {
    // The caller logs that the roster can't be read.
    return undefined
  }
  if (!Array.isArray(parsed)) return undefined
  const records = parsed.map(parseInstanceRecord)
  return records.every((record) => record !== undefined) ? records : undefined
}
