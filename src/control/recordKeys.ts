/** Keys of what configuration records write, to detect conflicts between changes. */
import type { ConfigurationRecord } from '../configuration/document.js'
import { RecordKind, linkKey, steeringKey } from '../configuration/document.js'

type KeysByKind = {
  readonly [Kind in RecordKind]: (
    record: Extract<ConfigurationRecord, { kind: Kind }>,
  ) => readonly string[]
}

const KEYS_BY_KIND: KeysByKind = {
  [RecordKind.PutRegion]: ({ region }) => [`region ${region.name}`],
  [RecordKind.PutLink]: ({ link }) => [`link ${linkKey(link.from, link.to)}`],
  [RecordKind.PutSite]: ({ site }) => [`site ${site.name}`],
  [RecordKind.PutService]: ({ service }) => [`service ${service.name}`],
  [RecordKind.RemoveService]: ({ service }) => [`service ${service}`],
  [RecordKind.PutSteering]: ({ steering }) => [
    `steering ${steeringKey(steering.service, steering.clientRegion)}`,
  ],
  [RecordKind.RemoveSteering]: ({ service, clientRegion }) => [
    `steering ${steeringKey(service, clientRegion)}`,
  ],
  // The first record of a shift also writes the steering key, so that two shifts of the same
  // callers conflict.
  [RecordKind.PutShift]: ({ shift }) => [
    `shift ${shift.shiftId}`,
    ...(shift.step === 0 ? [`steering ${steeringKey(shift.service, shift.from)}`] : []),
  ],
  [RecordKind.RemoveShift]: ({ shiftId }) => [`shift ${shiftId}`],
  [RecordKind.MarkLeaving]: ({ leaving }) => [`backend server ${leaving.workerId}`],
  [RecordKind.ClearLeaving]: ({ workerId }) => [`backend server ${workerId}`],
  [RecordKind.PutBlocks]: ({ blocks }) => blocks.map(({ cidr }) => `block ${cidr}`),
  [RecordKind.RemoveBlocks]: ({ cidrs }) => cidrs.map((cidr) => `block ${cidr}`),
}

/** Returns the distinct keys that the records write. */
export function keysOfRecords(records: readonly ConfigurationRecord[]): string[] {
  return [...new Set(records.flatMap(keysOfRecord))]
}

/** Returns the keys that both lists of records write. */
export function sharedKeys(
  left: readonly ConfigurationRecord[],
  right: readonly ConfigurationRecord[],
): string[] {
  const keys = new Set(keysOfRecords(left))
  return keysOfRecords(right).filter((key) => keys.has(key))
}

function keysOfRecord(record: ConfigurationRecord): readonly string[] {
  const keys = KEYS_BY_KIND[record.kind] as (record: ConfigurationRecord) => readonly string[]
  return keys(record)
}
