/** Helpers for regions and lists of names in findings. */
import type { EntryProblem } from './finding.js'
import { FindingKind } from './finding.js'

/** A finding lists no more names than an operator reads. */
const MAX_NAMES = 6

/** Finds home regions that the deployment does not have; nothing if its regions are not known. */
export function unknownHomes(
  homes: readonly string[],
  regions: ReadonlySet<string> | undefined,
): EntryProblem | undefined {
  const unknown = regions === undefined ? [] : homes.filter((home) => !regions.has(home))
  if (unknown.length === 0) return undefined
  return {
    kind: FindingKind.UnknownRegion,
    problem: `home regions that the deployment does not have: ${listNames(unknown)}`,
    remedy: 'correct the names of the regions, or remove them',
  }
}

export function listNames(names: readonly string[]): string {
  const omitted = names.length - MAX_NAMES
  const shown = names.slice(0, MAX_NAMES).join(', ')
  return omitted > 0 ? `${shown} and ${omitted} more` : shown
}
