/** What entry instances know of each other. */

/** One start of an entry instance. */
export interface InstanceRecord {
  /** Unique name of the machine. */
  readonly name: string
  /** Random identifier of this start. */
  readonly incarnation: string
  readonly region: string
  readonly zone: string
  /** `host:port` for callers. */
  readonly callerAddress: string
  /** `host:port` for other instances. */
  readonly peerAddress: string
  /** Relative size by processor and link; above 0. */
  readonly capacity: number
}

/** Reads a record from JSON that another process wrote; `undefined` if it is none. */
export function parseInstanceRecord(value: unknown): InstanceRecord | undefined {
  if (typeof value !== 'object' || value === null) return undefined
  const fields = value as Record<string, unknown>
  const texts = ['name', 'incarnation', 'region', 'zone', 'callerAddress', 'peerAddress']
  if (texts.some((field) => typeof fields[field] !== 'string')) return undefined
  if (typeof fields.capacity !== 'number' || !(fields.capacity > 0)) return undefined
  return value as InstanceRecord
}
