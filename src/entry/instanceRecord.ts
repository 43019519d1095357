/** Description of an entry instance, as instances exchange and store it. */

import { isConnectableAddress } from '../common/listen.js'

/** One start of an entry instance; serialised as JSON. */
export interface InstanceRecord {
  /** Unique name of the machine. */
  readonly name: string
  /** Random identifier of the start. */
  readonly incarnation: string
  readonly region: string
  readonly zone: string
  /** `host:port` for callers. */
  readonly callerAddress: string
  /** `host:port` for other instances. */
  readonly peerAddress: string
  /** Relative capacity, from processors and link bandwidth; above 0. */
  readonly capacity: number
}

/** Validates parsed JSON from another process; returns `undefined` if it is no instance record. */
export function parseInstanceRecord(value: unknown): InstanceRecord | undefined {
  if (typeof value !== 'object' || value === null) return undefined
  const fields = value as Record<string, unknown>
  const texts = ['name', 'incarnation', 'region', 'zone', 'callerAddress', 'peerAddress']
  if (texts.some((field) => typeof fields[field] !== 'string')) return undefined
  if (typeof fields.capacity !== 'number' || !(fields.capacity > 0)) return undefined
  const record = value as InstanceRecord
  const { name, incarnation, region, zone, callerAddress, peerAddress, capacity } = record
  if (![callerAddress, peerAddress].every(isConnectableAddress)) return undefined
  return { name, incarnation, region, zone, callerAddress, peerAddress, capacity }
}
