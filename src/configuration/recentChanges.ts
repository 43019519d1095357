/** The latest changes, from which peers that are slightly behind catch up. */
import type { CommittedChange } from './configurationChange.js'

/** Maximum number of retained changes, the same as the head lists. */
export const MAX_RECENT_CHANGES = 256
/** Memory limit of the retained changes. A peer that is further behind fetches a snapshot. */
const MAX_RECENT_BYTES = 4 * 1024 * 1024

/** Bounded list of consecutive committed changes. */
export class RecentChanges {
  readonly #changes: { readonly committed: CommittedChange; readonly bytes: number }[] = []
  #bytes = 0

  /** Adds changes that directly follow the retained ones. */
  add(changes: readonly CommittedChange[]): void {
    for (const committed of changes) {
      const bytes = estimateBytes(committed)
      this.#changes.push({ committed, bytes })
      this.#bytes += bytes
    }
    while (this.#changes.length > MAX_RECENT_CHANGES || this.#bytes > MAX_RECENT_BYTES) {
      this.#bytes -= this.#changes.shift()?.bytes ?? 0
    }
  }

  clear(): void {
    this.#changes.length = 0
    this.#bytes = 0
  }

  /**
   * Returns the changes after `revision` up to `latest`, or `undefined` if not all of them are
   * retained.
   */
  since(revision: number, latest: number): readonly CommittedChange[] | undefined {
    const retained = this.#changes
      .map(({ committed }) => committed)
      .filter((committed) => committed.revision > revision)
    return retained[0]?.revision === revision + 1 && retained.at(-1)?.revision === latest
      ? retained
      : undefined
  }
}

/**
 * Estimates the encoded size of a change in bytes from its records, because encoding it would take
 * longer.
 */
export function estimateBytes({ change }: CommittedChange): number {
  let bytes = 200
  for (const record of change.records) {
    if ('blocks' in record) bytes += 64 * record.blocks.length
    else if ('cidrs' in record) bytes += 24 * record.cidrs.length
    else if ('service' in record && typeof record.service === 'object') {
      bytes += 300 + 160 * record.service.workers.length
    } else bytes += 300
  }
  return bytes
}
