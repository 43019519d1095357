/** Records that two processes have to send each other when their digests differ. */
import { compareIncarnations, isLaterState } from './memberOrder.js'
import type { MemberRecord } from './memberRecord.js'
import type { MemberTable, RecordVersion } from './memberTable.js'

type VersionsByRegion = Readonly<Record<string, readonly RecordVersion[]>>

/** Returns the own records that are newer than the peer's or missing there, in the given regions. */
export function recordsToSend(table: MemberTable, peerVersions: VersionsByRegion): MemberRecord[] {
  return Object.entries(peerVersions).flatMap(([region, versions]) => {
    const peerVersionByMember = new Map(versions.map((version) => [version.memberId, version]))
    const ids = table
      .versions(region)
      .filter((own) => isNewer(own, peerVersionByMember.get(own.memberId)))
      .map(({ memberId }) => memberId)
    return [...table.records(ids)]
  })
}

/** Returns the member identifiers of the peer's records that are newer than the own or missing here. */
export function recordsToRequest(table: MemberTable, peerVersions: VersionsByRegion): string[] {
  return Object.values(peerVersions)
    .flat()
    .filter((version) => isNewer(version, table.find(version.memberId)))
    .map(({ memberId }) => memberId)
}

/** Tells whether merging the first record would change a table that holds the second. */
function isNewer(candidate: RecordVersion, existing: RecordVersion | undefined): boolean {
  if (existing === undefined) return true
  const order = compareIncarnations(candidate, existing)
  if (order !== 0) return order > 0
  return candidate.version > existing.version || isLaterState(candidate.state, existing.state)
}
