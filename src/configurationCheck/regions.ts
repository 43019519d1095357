/** Helpers for regions and lists of names in findings. */

/** A finding lists no more names than an operator reads. */
const MAX_NAMES = 6

/** Regions that the deployment does not have; none if its regions are not known. */
export function unknownRegions(
  homes: readonly string[],
  regions: ReadonlySet<string> | undefined,
): readonly string[] {
  return regions === undefined ? [] : homes.filter((home) => !regions.has(home))
}

export function listNames(names: readonly string[]): string {
  const omitted = names.length - MAX_NAMES
  const shown = names.slice(0, MAX_NAMES).join(', ')
  return omitted > 0 ? `${shown} and ${omitted} more` : shown
}
