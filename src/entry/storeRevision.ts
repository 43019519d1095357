/** Orders the changes of the store, also across restores of the store from a copy. */

/**
 * Revision of the store, together with the era in which it was counted. A restored store counts on
 * from the revision of its copy, so the counter alone orders changes only within an era.
 */
export type StoreRevision = number

const REVISIONS_PER_ERA = 2 ** 40
/** Last era whose revisions are exact as numbers. */
export const MAX_ERA = 2 ** 13 - 1

/**
 * @param era number of restores of the store
 * @param counter revision as the store counts it
 */
export function storeRevision(era: number, counter: number): StoreRevision {
  return era * REVISIONS_PER_ERA + counter
}

/** Number of restores of the store before the revision. */
export function eraOf(revision: StoreRevision): number {
  return Math.floor(revision / REVISIONS_PER_ERA)
}

/** Revision as the store counts it. */
export function counterOf(revision: StoreRevision): number {
  return revision % REVISIONS_PER_ERA
}

/** Fields of a log line; the era is left out as long as the store has not been restored. */
export function revisionFields(revision: StoreRevision): { era?: number; revision: number } {
  const era = eraOf(revision)
  return { ...(era === 0 ? {} : { era }), revision: counterOf(revision) }
}
