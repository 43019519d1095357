/** Watches the store's head while this process is one of the watchers of its region. */
import type { Clock } from '../common/clock.js'
import { sleep } from '../common/clock.js'
import { createLogger } from '../common/logger.js'
import type { MembershipView } from '../membership/memberRecord.js'
import type { VersionedHead } from './configurationHead.js'
import type { ConfigurationRepository } from './configurationRepository.js'
import { isWatcher } from './peerSelection.js'
import type { StoreContact } from './storeContact.js'

/** Timeout of one watch call. A longer one saves calls; a shorter one detects a dead connection sooner. */
const WATCH_MS = 10_000
/** Delay after a failed call, multiplied by a random factor of 0.5 to 1.5. */
const FAILURE_PAUSE_MS = 500

export interface HeadWatcherContext {
  readonly repository: ConfigurationRepository
  readonly membership: MembershipView
  readonly contact: StoreContact
  readonly clock: Clock
  readonly random: () => number
  /** Called with each head that a watch returned. */
  readonly takeHead: (head: VersionedHead) => Promise<void>
}

/** Alternates between watching the head and waiting until this process becomes a watcher. */
export class HeadWatcher {
  readonly #context: HeadWatcherContext
  readonly #log = createLogger('configuration')

  constructor(context: HeadWatcherContext) {
    this.#context = context
  }

  /** Runs until `signal` is aborted. */
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
    // The state of a member can change by time alone, without a notification.
    await sleep(1000, AbortSignal.any([signal, changed.signal]))
    unsubscribe()
  }
}
