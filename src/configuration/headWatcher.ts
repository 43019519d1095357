/** Holds a watch on the store's head while this process is one of its region's watchers. */
import type { Clock } from '../common/clock.js'
import { sleep } from '../common/clock.js'
import { createLogger } from '../common/logger.js'
import type { MembershipView } from '../membership/memberRecord.js'
import type { VersionedHead } from './configurationHead.js'
import type { ConfigurationRepository } from './configurationRepository.js'
import { isWatcher } from './peerSelection.js'
import type { StoreContact } from './storeContact.js'

/** Time of one waiting call. Longer waits save calls, shorter ones detect a dead connection sooner. */
const WATCH_MS = 10_000
/** Pause after a failed call, times 0.5 to 1.5. */
const FAILURE_PAUSE_MS = 500

/** What a watcher works with. */
export interface HeadWatcherContext {
  readonly repository: ConfigurationRepository
  readonly membership: MembershipView
  readonly contact: StoreContact
  readonly clock: Clock
  readonly random: () => number
  /** Takes a head as read from the store. */
  readonly takeHead: (head: VersionedHead) => Promise<void>
}

/** One task that watches, or waits until it has to. */
export class HeadWatcher {
  readonly #context: HeadWatcherContext
  readonly #log = createLogger('configuration')

  constructor(context: HeadWatcherContext) {
    this.#context = context
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let afterVersion = 0
    while (!signal.aborted) {
      if (!isWatcher(this.#context.membership)) {
        await this.#untilMembershipChanges(signal)
        continue
      }
      const head = await this.#watch(afterVersion, signal)
      if (head === undefined) continue
      await this.#context.takeHead(head)
      afterVersion = head.storeVersion
    }
  }

  async #watch(afterVersion: number, signal: AbortSignal): Promise<VersionedHead | undefined> {
    const { repository, membership, contact, clock, random } = this.#context
    const ended = new AbortController()
    const unsubscribe = membership.subscribe(() => {
      if (!isWatcher(membership)) ended.abort()
    })
    const either = AbortSignal.any([signal, ended.signal])
    const watched = await repository.watchHead(afterVersion, WATCH_MS, either)
    unsubscribe()
    contact.setWatching(watched.ok, clock())
    if (watched.ok) {
      contact.note(clock())
      return watched.val
    }
    if (!either.aborted) {
      this.#log.event('watchFailed', { message: watched.val.message })
      await sleep(FAILURE_PAUSE_MS * (0.5 + random()), signal)
    }
    return undefined
  }

  async #untilMembershipChanges(signal: AbortSignal): Promise<void> {
    const { membership, contact, clock } = this.#context
    contact.setWatching(false, clock())
    const changed = new AbortController()
    const unsubscribe = membership.subscribe(() => {
      changed.abort()
    })
    // A view may judge members by time without a notification, hence the bound.
    await sleep(1000, AbortSignal.any([signal, changed.signal]))
    unsubscribe()
  }
}
