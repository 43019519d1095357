/** Sample records and changes for tests. */
import type { ConfigurationChange, ConfigurationRecord, ServiceRecord } from '../document.js'
import { RecordKind } from '../document.js'

/** Returns a change with the given records. */
export function changeOf(
  changeId: string,
  ...records: readonly ConfigurationRecord[]
): ConfigurationChange {
  return { changeId, operator: 'ada', createdAtMs: 1, summary: `summary of ${changeId}`, records }
}

/** Two regions with one site each. */
export const REGIONS: readonly ConfigurationRecord[] = [
  { kind: RecordKind.PutRegion, region: { name: 'nyeri', zones: ['a', 'b'] } },
  { kind: RecordKind.PutRegion, region: { name: 'nakuru', zones: ['a'] } },
  { kind: RecordKind.PutSite, site: { name: 'nyeri-1', region: 'nyeri', zone: 'a' } },
  { kind: RecordKind.PutSite, site: { name: 'nakuru-1', region: 'nakuru', zone: 'a' } },
]

/** Returns a service with one worker of the given generation. */
export function serviceOf(generation: number, name = 'bookings'): ServiceRecord {
  return {
    name,
    priority: 1,
    idempotentMethods: ['GET'],
    workers: [
      {
        workerId: `${name}-w1`,
        generation,
        address: '127.0.0.1:9',
        region: 'nyeri',
        zone: 'a',
        slots: 4,
      },
    ],
    maxQueued: 100,
    defaultTimeoutMs: 1000,
    maxRequestBytes: 1000,
    maxResponseBytes: 1000,
    typicalResponseBytes: 100,
    linkWeight: 1,
  }
}

/** Returns a change that puts one block, whose address and weight are derived from `number`. */
export function blockChange(
  number: number,
  changeId = `block-${String(number)}`,
): ConfigurationChange {
  const cidr = `10.${String((number >> 8) & 255)}.${String(number & 255)}.0/24`
  const block = { cidr, site: 'nyeri-1', weight: number }
  return changeOf(changeId, { kind: RecordKind.PutBlocks, blocks: [block] })
}
