/** Watches the store's head while this process is one of the watchers of its region. */
import type { Clock } from '../common/clock.js'
import { sleep } from '../common/clock.js'
import { createLogger } from '../common/logger.js'
import type { MembershipView } from '../membership/memberRecord.js'
import type { VersionedHead } from './configurationHead.js'
import type { ConfigurationRepository } from './configurationRepository.js'
import { isWatcher } from './peerSelection.js'
import type { StoreContact } from './storeContact.js'

/**
 * Timeout of one watch call. A longer one saves calls; a shorter one detects a dead connection
 * sooner.
 */
const WATCH_TIMEOUT_MS = 10_000
/** Delay after a failed call, multiplied by a random factor of 0.5 to 1.5. */
const RETRY_DELAY_MS = 500

export interface HeadWatcherDependencies {
  readonly repository: ConfigurationRepository
  readonly membership: MembershipView
  readonly contact: StoreContact
  readonly clock: Clock
  readonly random: () => number
  /** Called with each head that a watch returned. */
  readonly onHead: (head: VersionedHead) => Promise<void>
}

/** Alternates between watching the head and waiting until this process becomes a watcher. */
export class HeadWatcher {
  readonly #dependencies: HeadWatcherDependencies
  readonly #log = createLogger('configuration')

  constructor(dependencies: HeadWatcherDependencies) {
    this.#dependencies = dependencies
  }

  /** Runs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    let afterVersion = 0
    while (!signal.aborted) {
      if (!isWatcher(this.#dependencies.membership)) {
        await this.#waitForMembershipChange(signal)
        continue
      }
      const head = await this.#watch(afterVersion, signal)
      if (head === undefined) continue
      await this.#dependencies.onHead(head)
      afterVersion = head.storeVersion
    }
  }

  async #watch(afterVersion: number, signal: AbortSignal): Promise<VersionedHead | undefined> {
    const { repository, membership, contact, clock, random } = this.#dependencies
    const watcherRoleEnded = new AbortController()
    const unsubscribe = membership.subscribe(() => {
      if (!isWatcher(membership)) watcherRoleEnded.abort()
    })
    const combinedSignal = AbortSignal.any([signal, watcherRoleEnded.signal])
    const result = await repository.watchHead(afterVersion, WATCH_TIMEOUT_MS, combinedSignal)
    unsubscribe()
    contact.setWatching(result.ok, clock())
    if (result.ok) {
      contact.recordContact(clock())
      return result.val
    }
    if (!combinedSignal.aborted) {
      this.#log.event('watchFailed', { message: result.val.message })
      await sleep(RETRY_DELAY_MS * (0.5 + random()), signal)
    }
    return undefined
  }

  async #waitForMembershipChange(signal: AbortSignal): Promise<void> {
    const { membership, contact, clock } = this.#dependencies
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
