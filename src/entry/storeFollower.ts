/** Keeps the mirror up to date from the store while this instance is a store reader. */
import { sleep } from '../common/clock.js'
import type { Clock } from '../common/clock.js'
import { messageOf, stackOf } from '../common/errors.js'
import type { EntryLog } from './entryLog.js'
import type { MetadataStore, StoreItem } from './metadataStore.js'
import { HISTORY_COMPACTED } from './metadataStore.js'
import type { StoreUpdateItem, StoreUpdateMessage } from './peerMessages.js'
import { PeerMessageKind } from './peerMessages.js'
import type { StoreContact } from './storeContact.js'
import type { StoreMirror } from './storeMirror.js'
import type { StoreRevision } from './storeRevision.js'
import { eraOf, revisionFields } from './storeRevision.js'
import type { StoreUpdate } from './storeUpdateBatch.js'
import { StoreUpdateBatch } from './storeUpdateBatch.js'

/** Pause after a failed call, in ms; a second of outage costs the first reader two calls. */
const RETRY_PAUSE_MS = 500
/** Longest pause of the other readers, in ms; their pause doubles with each failed call. */
const MAX_RETRY_PAUSE_MS = 2000
/**
 * Time for which a starting instance waits for store updates from a seed instead of listing the
 * store, in milliseconds; several times the one-way latency between regions.
 */
const SEED_WAIT_MS = 400
/**
 * Delay of a repeated listing per position in the reader order, in milliseconds. All readers need one
 * at the same time, when the store was restored or lost its history, and one of them suffices.
 */
const RELISTING_DELAY_MS = 100
/** Interval at which an instance that does not read checks whether it must, in milliseconds. */
const IDLE_CHECK_INTERVAL_MS = 200

export interface StoreFollowerDependencies {
  readonly store: MetadataStore
  readonly prefixes: readonly string[]
  readonly mirror: StoreMirror
  readonly contact: StoreContact
  readonly clock: Clock
  readonly log: EntryLog
  /** Position of this instance in the reader order of its region. */
  readonly readerPosition: () => number
  /** Whether seeds are configured and this instance is none of them. */
  readonly hasSeeds: boolean
  /** Sends store updates to the peers of the region. */
  readonly publish: (update: StoreUpdateMessage) => void
}

/** Lists and watches the store; recovers from outages, lost history and dead connections. */
export class StoreFollower {
  readonly #dependencies: StoreFollowerDependencies
  readonly #abort = new AbortController()
  readonly #batch = new StoreUpdateBatch()
  #publishTimer: NodeJS.Timeout | undefined
  #needsListing = false
  /** Whether the history was gone in the last watch. */
  #isHistoryGone = false
  #isFailing = false
  #isReading = false
  /** Consecutive failed calls. */
  #consecutiveFailures = 0

  constructor(dependencies: StoreFollowerDependencies) {
    this.#dependencies = dependencies
  }

  /** Runs until {@link stop}. */
  async run(): Promise<void> {
    const { contact, clock, readerPosition } = this.#dependencies
    while (!this.#abort.signal.aborted) {
      const shouldRead =
        !this.#isWaitingForSeeds(clock()) && contact.shouldRead(readerPosition(), clock())
      this.#setReading(shouldRead)
      if (!shouldRead) {
        await sleep(IDLE_CHECK_INTERVAL_MS, this.#abort.signal)
        continue
      }
      const isOk = await this.#read(readerPosition())
      this.#consecutiveFailures = isOk ? 0 : this.#consecutiveFailures + 1
      if (!isOk) await sleep(this.#retryPauseMs(readerPosition()), this.#abort.signal)
    }
  }

  stop(): void {
    this.#abort.abort()
    clearTimeout(this.#publishTimer)
    this.#publishBatch()
  }

  /** Whether this instance currently reads the store. */
  get isReading(): boolean {
    return this.#isReading
  }

  #retryPauseMs(position: number): number {
    if (position === 0) return RETRY_PAUSE_MS
    return Math.min(MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS * 2 ** (this.#consecutiveFailures - 1))
  }

  #isWaitingForSeeds(nowMs: number): boolean {
    const { hasSeeds, mirror, contact } = this.#dependencies
    return hasSeeds && mirror.revision === 0 && contact.uptimeMs(nowMs) < SEED_WAIT_MS
  }

  #setReading(isReading: boolean): void {
    if (isReading === this.#isReading) return
    this.#isReading = isReading
    const { log, contact, clock, readerPosition, mirror } = this.#dependencies
    const contactAgeMs = Math.round(contact.ageMs(clock()))
    log.event('storeReading', {
      isReading,
      place: readerPosition(),
      contactAgeMs,
      ...revisionFields(mirror.revision),
    })
  }

  /** An answer that can't be applied must not end the process; the call is repeated. */
  async #read(position: number): Promise<boolean> {
    try {
      if (this.#dependencies.mirror.revision === 0) return await this.#listAll()
      return await (this.#needsListing ? this.#listAgain(position) : this.#watch())
    } catch (error) {
      this.#dependencies.log.event('storeAnswerFailed', { error: stackOf(error) })
      return this.#recordFailure('read', messageOf(error))
    }
  }

  /** Lists the store, unless a peer's copy arrives first. */
  async #listAgain(position: number): Promise<boolean> {
    const { mirror } = this.#dependencies
    const { revision } = mirror
    await sleep(position * RELISTING_DELAY_MS, this.#abort.signal)
    if (mirror.revision === revision) return this.#listAll()
    this.#needsListing = false
    return true
  }

  async #listAll(): Promise<boolean> {
    const items: StoreItem[] = []
    const revisions: StoreRevision[] = []
    const { store, prefixes, log, clock } = this.#dependencies
    for (const listing of await Promise.all(prefixes.map((prefix) => store.list(prefix)))) {
      if (listing.err) return this.#recordFailure('list', listing.val.message)
      items.push(...listing.val.items)
      revisions.push(listing.val.revision)
    }
    const revision = Math.min(...revisions)
    if (eraOf(revision) !== eraOf(Math.max(...revisions))) {
      return this.#recordFailure('list', 'the store was restored from a copy between two listings')
    }
    const { mirror } = this.#dependencies
    const since = mirror.latestChange
    const listed = items.map(toUpdateItem)
    const isNewEra = eraOf(revision) > eraOf(mirror.revision)
    const applied = mirror.applySnapshot(listed, revision, clock())
    log.event('storeListed', {
      ...revisionFields(revision),
      items: items.length,
      applied: applied.length,
      held: mirror.heldCount,
      position: this.#dependencies.readerPosition(),
    })
    this.#needsListing = false
    this.#recordSuccess()
    // Removals before a first listing are not known here, but peers may hold the removed items.
    if (since === 0) this.#publish({ items: applied, revision, isComplete: true })
    // Peers compare the listing with what they know themselves of the time before the restore.
    else if (isNewEra) this.#publish({ items: listed, revision, isComplete: true })
    else this.#publish({ items: applied, revision, since, isComplete: false })
    return true
  }

  async #watch(): Promise<boolean> {
    const { store, mirror, contact } = this.#dependencies
    const watchedFrom = mirror.revision
    // After a failed call, the answer shows at once whether the store was restored meanwhile.
    const waitMs = this.#isFailing ? 0 : contact.watchMs
    const changes = await store.watch('', watchedFrom, waitMs)
    if (changes.err) return this.#recordFailure('watch', changes.val.message)
    if (changes.val === HISTORY_COMPACTED) {
      contact.recordAnswer(this.#dependencies.clock())
      this.#dependencies.log.event('storeHistoryGone', revisionFields(watchedFrom))
      this.#needsListing = true
      // Pauses if the listing did not help, so that listings do not follow one another.
      const isRepeated = this.#isHistoryGone
      this.#isHistoryGone = true
      return !isRepeated
    }
    this.#isHistoryGone = false
    const { events, revision } = changes.val
    if (eraOf(revision) !== eraOf(watchedFrom)) {
      contact.recordAnswer(this.#dependencies.clock())
      this.#dependencies.log.event('storeRestored', {
        fromEra: eraOf(watchedFrom),
        ...revisionFields(revision),
      })
      this.#needsListing = eraOf(revision) > eraOf(mirror.revision)
      return true
    }
    const wanted = events.filter(({ key }) =>
      this.#dependencies.prefixes.some((prefix) => key.startsWith(prefix)),
    )
    const since = mirror.latestChange
    const nowMs = this.#dependencies.clock()
    const applied = mirror.applyChanges(wanted.map(toUpdateItem), revision, nowMs, watchedFrom)
    this.#recordSuccess()
    this.#publish({ items: applied, revision, since, isComplete: false })
    return true
  }

  #recordSuccess(): void {
    const { contact, clock, log, mirror } = this.#dependencies
    contact.recordOwnContact(clock())
    if (this.#isFailing) log.event('storeRegained', revisionFields(mirror.revision))
    this.#isFailing = false
  }

  #publish(update: StoreUpdate): void {
    if (update.items.length === 0) return
    const { clock } = this.#dependencies
    this.#batch.add(update)
    const dueInMs = this.#batch.dueInMs(clock())
    if (dueInMs === 0) this.#publishBatch()
    else {
      this.#publishTimer ??= setTimeout(() => {
        this.#publishBatch()
      }, dueInMs)
    }
  }

  #publishBatch(): void {
    clearTimeout(this.#publishTimer)
    this.#publishTimer = undefined
    for (const update of this.#batch.take(this.#dependencies.clock())) {
      this.#dependencies.publish({ kind: PeerMessageKind.StoreUpdate, ...update })
    }
  }

  #recordFailure(call: string, reason: string): boolean {
    this.#dependencies.contact.recordFailure()
    if (!this.#isFailing) this.#dependencies.log.event('storeLost', { call, reason })
    this.#isFailing = true
    return false
  }
}

function toUpdateItem(item: {
  key: string
  revision: number
  value: Buffer | undefined
}): StoreUpdateItem {
  return { key: item.key, revision: item.revision, value: item.value?.toString('base64') ?? null }
}
