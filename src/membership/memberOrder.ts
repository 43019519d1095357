/** Order of the records of one member: by incarnation, then by version; states only move forward. */
import { hashText64 } from '../common/hashing.js'
import type { MemberRecord } from './memberRecord.js'
import { MemberState } from './memberRecord.js'

const STATE_RANK: Readonly<Record<MemberState, number>> = {
  [MemberState.Live]: 0,
  [MemberState.Leaving]: 1,
  [MemberState.Left]: 2,
}

/** Tells whether a state comes after another one within an incarnation. */
export function isFurtherState(state: MemberState, than: MemberState): boolean {
  return STATE_RANK[state] > STATE_RANK[than]
}

/** Negative if `left` belongs to an older incarnation than `right`, 0 if both are the same. */
export function compareIncarnations(
  left: Pick<MemberRecord, 'startedAtMs' | 'incarnation'>,
  right: Pick<MemberRecord, 'startedAtMs' | 'incarnation'>,
): number {
  if (left.startedAtMs !== right.startedAtMs) return left.startedAtMs - right.startedAtMs
  if (left.incarnation === right.incarnation) return 0
  // Equal start times are a coincidence; any order serves that is the same everywhere.
  return left.incarnation < right.incarnation ? -1 : 1
}

/**
 * Returns the record that results from two of the same member. Within an
 * incarnation the state never goes back, whatever the versions say.
 */
export function latestRecord(known: MemberRecord, given: MemberRecord): MemberRecord {
  const order = compareIncarnations(given, known)
  if (order !== 0) return order > 0 ? given : known
  const newer = given.version > known.version ? given : known
  const state = isFurtherState(given.state, known.state) ? given.state : known.state
  return newer.state === state ? newer : { ...newer, state }
}

/** Tells whether a record says anything that another of the same member does not. */
export function sameRecord(left: MemberRecord, right: MemberRecord): boolean {
  return (
    left.incarnation === right.incarnation &&
    left.startedAtMs === right.startedAtMs &&
    left.version === right.version &&
    left.state === right.state
  )
}

/** Digest of records: 64 bits that do not depend on their order. */
export function digestRecords(records: readonly MemberRecord[]): string {
  const lines = records.map(
    ({ memberId, incarnation, startedAtMs, version, state }) =>
      `${memberId} ${incarnation} ${String(startedAtMs)} ${String(version)} ${state}`,
  )
  return hashText64(lines.sort().join('\n'))
}
