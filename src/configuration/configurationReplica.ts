/** The copy of the configuration in this process. Its revision never decreases. */
import { createLogger } from '../common/logger.js'
import type { CommittedChange } from './configurationChange.js'
import type { ConfigurationError } from './configurationErrors.js'
import { applyChanges } from './documentBuilder.js'
import { RecentChanges } from './recentChanges.js'
import type { Configuration, ConfigurationView } from './view.js'

/** Result of {@link ConfigurationReplica.offerChanges}. */
export interface OfferResult {
  /** Whether the revision of the replica increased. */
  readonly advanced: boolean
  /** Whether changes between the replica's revision and the offered changes are missing. */
  readonly hasGap: boolean
  /** Reason why the next change could not be applied. */
  readonly error: ConfigurationError | undefined
}

/**
 * Maximum distance from the current revision at which changes wait for an earlier one. Changes
 * beyond it are fetched later.
 */
const MAX_PENDING_CHANGES = 256

/**
 * Holds the highest revision received from any source. Changes are applied in order and
 * without gaps; duplicates and older changes are ignored.
 */
export class ConfigurationReplica implements ConfigurationView {
  readonly #log = createLogger('configuration')
  readonly #listeners = new Set<(configuration: Configuration) => void>()
  readonly #pendingChanges = new Map<number, CommittedChange>()
  readonly #recentChanges = new RecentChanges()
  #current: Configuration | undefined

  current(): Configuration | undefined {
    return this.#current
  }

  /** The current revision, or -1 before the first configuration. */
  get revision(): number {
    return this.#current?.revision ?? -1
  }

  subscribe(listener: (configuration: Configuration) => void): () => void {
    this.#listeners.add(listener)
    return () => {
      this.#listeners.delete(listener)
    }
  }

  /**
   * Replaces the configuration by a complete one with the changes that follow it, if that
   * increases the revision.
   * @param source where the configuration came from, for the log
   * @returns whether the revision increased
   */
  offerSnapshot(
    configuration: Configuration,
    source: string,
    changes: readonly CommittedChange[] = [],
  ): boolean {
    const applied = applyChanges(configuration, changes)
    const { configuration: result, error } = applied
    if (error !== undefined) this.#logFailure(result.revision + 1, source, error)
    if (result.revision <= this.revision) return false
    // The retained changes do not reach up to the new revision.
    this.#recentChanges.clear()
    this.#recentChanges.add(changes.filter(({ revision }) => revision <= result.revision))
    this.#advance(result, source)
    this.#applyPending(source)
    return true
  }

  /**
   * Applies the changes that follow the current revision; later ones wait until the gap
   * before them is filled.
   * @param source where the changes came from, for the log
   */
  offerChanges(changes: readonly CommittedChange[], source: string): OfferResult {
    const previousRevision = this.revision
    for (const committed of changes) {
      const isWithinLimit = committed.revision <= previousRevision + MAX_PENDING_CHANGES
      if (committed.revision > previousRevision && isWithinLimit)
        this.#pendingChanges.set(committed.revision, committed)
    }
    const error = this.#applyPending(source)
    const highestOffered = Math.max(-1, ...changes.map(({ revision }) => revision))
    return {
      advanced: this.revision > previousRevision,
      hasGap: highestOffered > this.revision && error === undefined,
      error,
    }
  }

  /** Returns the changes after `revision`, or `undefined` if not all of them are retained. */
  changesSince(revision: number): readonly CommittedChange[] | undefined {
    return revision >= this.revision ? [] : this.#recentChanges.since(revision, this.revision)
  }

  #applyPending(source: string): ConfigurationError | undefined {
    const base = this.#current
    if (base === undefined) return undefined
    const applicable: CommittedChange[] = []
    let committed = this.#pendingChanges.get(base.revision + 1)
    while (committed !== undefined) {
      applicable.push(committed)
      committed = this.#pendingChanges.get(committed.revision + 1)
    }
    const { configuration, error } =
      applicable.length === 0
        ? { configuration: base, error: undefined }
        : applyChanges(base, applicable)
    if (error !== undefined) this.#logFailure(configuration.revision + 1, source, error)
    this.#recentChanges.add(applicable.filter(({ revision }) => revision <= configuration.revision))
    if (configuration.revision > base.revision) this.#advance(configuration, source)
    return error
  }

  #advance(configuration: Configuration, source: string): void {
    this.#current = configuration
    for (const revision of [...this.#pendingChanges.keys()]) {
      if (revision <= configuration.revision) this.#pendingChanges.delete(revision)
    }
    this.#log.event('revisionTaken', {
      revision: configuration.revision,
      source,
      blocks: configuration.blocks.size,
    })
    for (const listener of [...this.#listeners]) listener(configuration)
  }

  #logFailure(revision: number, source: string, error: ConfigurationError): void {
    // The change may come from a newer version of the program. Removing it lets a later offer be
    // tried again.
    this.#pendingChanges.delete(revision)
    this.#log.event('changeNotApplied', {
      revision,
      source,
      kind: error.kind,
      message: error.message,
    })
  }
}
