/** The configuration that a process holds; it only ever moves to higher revisions. */
import { createLogger } from '../common/logger.js'
import type { CommittedChange } from './configurationChange.js'
import type { ConfigurationError } from './configurationErrors.js'
import { applyChanges } from './documentBuilder.js'
import { RecentChanges } from './recentChanges.js'
import type { Configuration, ConfigurationView } from './view.js'

/** What an offer of changes led to. */
export interface OfferOutcome {
  /** Whether the replica moved to a higher revision. */
  readonly advanced: boolean
  /** Whether changes between the replica's revision and the offered ones are missing. */
  readonly hasGap: boolean
  /** Why the next change could not be applied. */
  readonly error: ConfigurationError | undefined
}

/** Changes that wait for an earlier one; a longer gap is filled by fetching all of them. */
const MAX_WAITING_CHANGES = 256

/**
 * Holds the highest revision that arrived from any source. Changes are taken
 * in order without gaps; repeated and older ones are ignored.
 */
export class ConfigurationReplica implements ConfigurationView {
  readonly #log = createLogger('configuration')
  readonly #listeners = new Set<(configuration: Configuration) => void>()
  readonly #waiting = new Map<number, CommittedChange>()
  readonly #recent = new RecentChanges()
  #current: Configuration | undefined

  current(): Configuration | undefined {
    return this.#current
  }

  /** The held revision, or -1 before the first one arrived. */
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
   * Takes a whole configuration, and the changes that follow it, if that leads
   * to a higher revision.
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
    // Kept changes would not reach up to the new revision.
    this.#recent.clear()
    this.#recent.add(changes.filter(({ revision }) => revision <= result.revision))
    this.#advance(result, source)
    this.#applyWaiting(source)
    return true
  }

  /**
   * Takes the changes that follow the held revision; later ones wait until
   * the gap before them is filled.
   * @param source where they came from, for the log
   */
  offerChanges(changes: readonly CommittedChange[], source: string): OfferOutcome {
    const before = this.revision
    for (const committed of changes) {
      const isNear = committed.revision <= before + MAX_WAITING_CHANGES
      if (committed.revision > before && isNear) this.#waiting.set(committed.revision, committed)
    }
    const error = this.#applyWaiting(source)
    const highestOffered = Math.max(-1, ...changes.map(({ revision }) => revision))
    return {
      advanced: this.revision > before,
      hasGap: highestOffered > this.revision && error === undefined,
      error,
    }
  }

  /** Returns the changes after `revision`, or `undefined` if they are not all kept. */
  changesSince(revision: number): readonly CommittedChange[] | undefined {
    return revision >= this.revision ? [] : this.#recent.since(revision, this.revision)
  }

  #applyWaiting(source: string): ConfigurationError | undefined {
    const base = this.#current
    if (base === undefined) return undefined
    const next: CommittedChange[] = []
    let committed = this.#waiting.get(base.revision + 1)
    while (committed !== undefined) {
      next.push(committed)
      committed = this.#waiting.get(committed.revision + 1)
    }
    const { configuration, error } =
      next.length === 0 ? { configuration: base, error: undefined } : applyChanges(base, next)
    if (error !== undefined) this.#logFailure(configuration.revision + 1, source, error)
    this.#recent.add(next.filter(({ revision }) => revision <= configuration.revision))
    if (configuration.revision > base.revision) this.#advance(configuration, source)
    return error
  }

  #advance(configuration: Configuration, source: string): void {
    this.#current = configuration
    for (const revision of [...this.#waiting.keys()]) {
      if (revision <= configuration.revision) this.#waiting.delete(revision)
    }
    this.#log.event('revisionTaken', {
      revision: configuration.revision,
      source,
      blocks: configuration.blocks.size,
    })
    for (const listener of [...this.#listeners]) listener(configuration)
  }

  #logFailure(revision: number, source: string, error: ConfigurationError): void {
    // A change that can't be applied here may be a newer program's; a later offer is tried again.
    this.#waiting.delete(revision)
    this.#log.event('changeNotApplied', {
      revision,
      source,
      kind: error.kind,
      message: error.message,
    })
  }
}
