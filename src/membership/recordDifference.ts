/** Records that two processes have to send each other when their digests differ. */
import { compareIncarnations, isFurtherState } from './memberOrder.js'
import type { MemberRecord } from './memberRecord.js'
import type { MemberTable, RecordVersion } from './memberTable.js'

type VersionsByRegion = Readonly<Record<string, readonly RecordVersion[]>>

/** Returns the own records that are newer than the peer's or missing there, in the given regions. */
export function recordsToGive(table: MemberTable, theirs: VersionsByRegion): MemberRecord[] {
  return Object.entries(theirs).flatMap(([region, versions]) => {
    const byMember = new Map(versions.map((version) => [version.memberId, version]))
    const ids = table
      .versions(region)
      .filter((own) => isNews(own, byMember.get(own.memberId)))
      .map(({ memberId }) => memberId)
    return [...table.records(ids)]
  })
}

/** Returns the member identifiers of the peer's records that are newer than the own or missing here. */
export function recordsToWant(table: MemberTable, theirs: VersionsByRegion): string[] {
  return Object.values(theirs)
    .flat()
    .filter((version) => isNews(version, table.find(version.memberId)))
    .map(({ memberId }) => memberId)
}

/** Tells whether merging the first record would change a table that holds the second. */
function isNews(given: RecordVersion, known: RecordVersion | undefined): boolean {
  if (known === undefined) return true
  const order = compareIncarnations(given, known)
  if (order !== 0) return order > 0
  return given.version > known.version || isFurtherState(given.state, known.state)
}
