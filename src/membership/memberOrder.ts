/** Order of the records of one member: by incarnation, then by version; the state never moves back. */
import { hashText64 } from '../common/hashing.js'
import type { MemberRecord } from './memberRecord.js'
import { MemberState } from './memberRecord.js'

const STATE_RANK: Readonly<Record<MemberState, number>> = {
  [MemberState.Live]: 0,
  [MemberState.Leaving]: 1,
  [MemberState.Left]: 2,
}

/** Tells whether a state comes later in an incarnation (live, leaving, left) than another one. */
export function isLaterState(state: MemberState, other: MemberState): boolean {
  return STATE_RANK[state] > STATE_RANK[other]
}

/** Negative if `left` belongs to an older incarnation than `right`, 0 if both are the same. */
export function compareIncarnations(
  left: Pick<MemberRecord, 'startedAtMs' | 'incarnation'>,
  right: Pick<MemberRecord, 'startedAtMs' | 'incarnation'>,
): number {
  if (left.startedAtMs !== right.startedAtMs) return left.startedAtMs - right.startedAtMs
  if (left.incarnation === right.incarnation) return 0
  // Start times are rarely equal; any order works if all processes use the same.
  return left.incarnation < right.incarnation ? -1 : 1
}

/**
 * Merges two records of the same member. Within an incarnation the state never
 * moves back, even if the record with the earlier state has the higher version.
 */
export function mergeRecords(current: MemberRecord, received: MemberRecord): MemberRecord {
  const order = compareIncarnations(received, current)
  if (order !== 0) return order > 0 ? received : current
  const newer = received.version > current.version ? received : current
  const state = isLaterState(received.state, current.state) ? received.state : current.state
  return newer.state === state ? newer : { ...newer, state }
}

/** Compares incarnation, start time, version and state of two records of the same member. */
export function isSameRecord(left: MemberRecord, right: MemberRecord): boolean {
  return (
    left.incarnation === right.incarnation &&
    left.startedAtMs === right.startedAtMs &&
    left.version === right.version &&
    left.state === right.state
  )
}

/** Returns a 64-bit digest of records as 16 hexadecimal digits, independent of their order. */
export function digestRecords(records: readonly MemberRecord[]): string {
  const lines = records.map(
    ({ memberId, incarnation, startedAtMs, version, state }) =>
      `${memberId} ${incarnation} ${String(startedAtMs)} ${String(version)} ${state}`,
  )
  return hashText64(lines.sort().join('\n'))
}
