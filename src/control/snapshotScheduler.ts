/** Writes configuration snapshots often enough that a starting daemon has to apply few changes. */
import type { Logger } from '../common/logger.js'
import type { Result } from '../common/results.js'
import type { SteeringError } from '../common/errors.js'
import type { Configuration, ConfigurationView } from '../configuration/view.js'
import type { ChangeLog } from './changeLog.js'

/** Writes a snapshot unless the head refers to a newer one. @returns whether it was written */
export type SnapshotWriter = (
  configuration: Configuration,
) => Promise<Result<boolean, SteeringError>>

export interface SnapshotSchedulerDependencies {
  readonly changeLog: ChangeLog
  readonly configuration: ConfigurationView
  readonly write: SnapshotWriter
  readonly logger: Logger
}

/**
 * Revisions between snapshots; below the limit of 128, so that a failed attempt can be repeated in
 * time.
 */
export const REVISIONS_PER_SNAPSHOT = 96

/**
 * Writes snapshots when they are due. Writing one twice is harmless, so correctness needs no lease.
 */
export class SnapshotScheduler {
  readonly #dependencies: SnapshotSchedulerDependencies
  #snapshotRevision: number | undefined

  constructor(dependencies: SnapshotSchedulerDependencies) {
    this.#dependencies = dependencies
  }

  /**
   * Writes a snapshot if one is due; makes no store call otherwise.
   *
   * @returns whether it was written
   */
  async writeIfDue(): Promise<boolean> {
    const { configuration, changeLog, write, logger } = this.#dependencies
    const current = configuration.current()
    if (current === undefined || !this.#isDue(current.revision)) return false
    const head = await changeLog.head()
    if (head.err) return false
    // Another daemon may have written a snapshot since the last check.
    this.#snapshotRevision = head.val.snapshotRevision
    if (!this.#isDue(current.revision)) return false
    const written = await write(current)
    if (written.ok) this.#snapshotRevision = current.revision
    logger.event('snapshot', {
      revision: current.revision,
      outcome: written.ok ? 'written' : written.val.kind,
    })
    return written.ok
  }

  #isDue(revision: number): boolean {
    return revision - (this.#snapshotRevision ?? 0) >= REVISIONS_PER_SNAPSHOT
  }
}
