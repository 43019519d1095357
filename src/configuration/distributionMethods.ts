/** RPC methods that a daemon serves to its peers for distributing the configuration. */
import type { RpcMethodRegistry } from '../common/rpc.js'
import type { MembershipView } from '../membership/memberRecord.js'
import type { CommittedChange } from './configurationChange.js'
import { ConfigurationError, ConfigurationErrorKind } from './configurationErrors.js'
import type { ConfigurationReplica } from './configurationReplica.js'
import type {
  AcknowledgedRevision,
  AnnounceMessage,
  ChangesAnswer,
  ExchangeMessage,
  SnapshotManifest,
} from './distributionMessages.js'
import {
  ANNOUNCE_SCHEMA,
  DistributionMethod,
  EXCHANGE_SCHEMA,
  NO_PARAMETERS_SCHEMA,
  PART_REQUEST_SCHEMA,
  REVISION_SCHEMA,
} from './distributionMessages.js'
import { estimateBytes } from './recentChanges.js'
import { SnapshotCache } from './snapshotCache.js'

export interface DistributionMethodsDependencies {
  readonly replica: ConfigurationReplica
  readonly membership: MembershipView
  readonly exchange: (message: ExchangeMessage) => ExchangeMessage
  readonly announce: (message: AnnounceMessage) => void
}

/**
 * Maximum estimated size of the changes in one answer. The peer requests the rest with its next
 * call.
 */
const MAX_ANSWER_BYTES = 1024 * 1024

/** Handlers of {@link DistributionMethod}. */
export class DistributionMethods {
  readonly #dependencies: DistributionMethodsDependencies
  readonly #snapshotCache = new SnapshotCache()

  constructor(dependencies: DistributionMethodsDependencies) {
    this.#dependencies = dependencies
  }

  register(registry: RpcMethodRegistry): void {
    const { replica, exchange, announce } = this.#dependencies
    registry.addMethod(DistributionMethod.Exchange, EXCHANGE_SCHEMA, (message: ExchangeMessage) =>
      Promise.resolve(exchange(message)),
    )
    registry.addMethod(DistributionMethod.Announce, ANNOUNCE_SCHEMA, (message: AnnounceMessage) => {
      announce(message)
      return Promise.resolve({ revision: replica.revision })
    })
    registry.addMethod(
      DistributionMethod.ChangesSince,
      REVISION_SCHEMA,
      ({ revision }: { revision: number }) => Promise.resolve(this.#changesSince(revision)),
    )
    registry.addMethod(
      DistributionMethod.SnapshotManifest,
      REVISION_SCHEMA,
      ({ revision }: { revision: number }) =>
        Promise.resolve().then(() => this.#snapshotManifest(revision)),
    )
    registry.addMethod(
      DistributionMethod.SnapshotPart,
      PART_REQUEST_SCHEMA,
      ({ revision, part }: { revision: number; part: number }) =>
        Promise.resolve().then(() => this.#snapshotPart(revision, part)),
    )
    registry.addMethod(DistributionMethod.AcknowledgedRevision, NO_PARAMETERS_SCHEMA, () =>
      Promise.resolve(this.#acknowledgedRevision()),
    )
  }

  /** Drops the cached snapshot. */
  stop(): void {
    this.#snapshotCache.clear()
  }

  #changesSince(revision: number): ChangesAnswer {
    const { replica } = this.#dependencies
    const changes = replica.changesSince(revision)
    return {
      revision: replica.revision,
      changes: changes === undefined ? null : limitTotalBytes(changes),
    }
  }

  #snapshotManifest(requestedRevision: number): SnapshotManifest {
    const { replica } = this.#dependencies
    const current = replica.current()
    if (current === undefined) throw snapshotNotHeldError('this process has no configuration yet')
    return this.#snapshotCache.getOrPack(
      current,
      this.#oldestUsableRevision(requestedRevision, current.revision),
    )
  }

  /**
   * Returns the oldest revision whose snapshot is useful to the peer: it is above the peer's
   * revision, at most 64 below the current one, and all changes after it are still retained.
   */
  #oldestUsableRevision(requestedRevision: number, currentRevision: number): number {
    let oldest = currentRevision
    while (oldest > requestedRevision + 1 && oldest > currentRevision - 64) {
      if (this.#dependencies.replica.changesSince(oldest - 1) === undefined) break
      oldest--
    }
    return oldest
  }

  #snapshotPart(revision: number, part: number): { text: string } {
    const text = this.#snapshotCache.part(revision, part)
    if (text === undefined)
      throw snapshotNotHeldError(`the snapshot of revision ${String(revision)} is no longer cached`)
    return { text }
  }

  #acknowledgedRevision(): AcknowledgedRevision {
    const { memberId, incarnation } = this.#dependencies.membership.self()
    return { memberId, incarnation, revision: this.#dependencies.replica.revision }
  }
}

function limitTotalBytes(changes: readonly CommittedChange[]): readonly CommittedChange[] {
  let bytes = 0
  let count = 0
  for (const change of changes) {
    bytes += estimateBytes(change)
    if (bytes > MAX_ANSWER_BYTES && count > 0) break
    count++
  }
  return changes.slice(0, count)
}

function snapshotNotHeldError(problem: string): ConfigurationError {
  return new ConfigurationError(
    ConfigurationErrorKind.NotHeld,
    `The snapshot cannot be served: ${problem}`,
    'request the snapshot manifest again, or request it from another member',
  )
}
