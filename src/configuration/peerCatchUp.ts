/** Fetches missing changes from a peer, or a snapshot if the peer no longer retains them. */
import type { ObjectSchema } from 'joi'
import { createLogger } from '../common/logger.js'
import type { RpcClient } from '../common/rpc.js'
import type { ConfigurationReplica } from './configurationReplica.js'
import { unpackSnapshot } from './configurationSnapshot.js'
import type { ChangesAnswer, SnapshotManifest } from './distributionMessages.js'
import {
  CHANGES_ANSWER_SCHEMA,
  DistributionMethod,
  MANIFEST_SCHEMA,
  PART_ANSWER_SCHEMA,
} from './distributionMessages.js'

/** Timeout of a call that transfers up to 1 MB over a shared link. */
const TRANSFER_TIMEOUT_MS = 10_000
/**
 * Maximum number of fetches from one peer in a row. A fetch without progress ends the loop earlier.
 */
const MAX_FETCH_ROUNDS = 64

interface Source {
  readonly address: string
  readonly revision: number
}

/** Brings the replica up to the revision of a peer. Runs one catch-up at a time. */
export class PeerCatchUp {
  readonly #replica: ConfigurationReplica
  readonly #rpc: RpcClient
  readonly #signal: AbortSignal
  readonly #log = createLogger('configuration')
  #currentRun: Promise<void> | undefined
  #nextSource: Source | undefined

  constructor(replica: ConfigurationReplica, rpc: RpcClient, signal: AbortSignal) {
    this.#replica = replica
    this.#rpc = rpc
    this.#signal = signal
  }

  /**
   * Catches up to `revision` from the peer at `address`. A call during a running catch-up returns
   * the promise of that run, which then continues with the last source requested meanwhile.
   */
  fetch(address: string, revision: number): Promise<void> {
    if (this.#currentRun !== undefined) {
      this.#nextSource = { address, revision }
      return this.#currentRun
    }
    this.#currentRun = this.#run({ address, revision }).finally(() => {
      this.#currentRun = undefined
    })
    return this.#currentRun
  }

  async #run(initialSource: Source): Promise<void> {
    let source: Source | undefined = initialSource
    while (source !== undefined && !this.#signal.aborted) {
      this.#nextSource = undefined
      if (source.revision > this.#replica.revision) await this.#fetchFrom(source.address)
      source = this.#nextSource
    }
  }

  async #fetchFrom(address: string): Promise<void> {
    for (let round = 0; round < MAX_FETCH_ROUNDS; round++) {
      const revision = this.#replica.revision
      const peerRevision = revision < 0 ? undefined : await this.#fetchChanges(address, revision)
      if (peerRevision === undefined) {
        if (!(await this.#fetchSnapshot(address))) return
      } else if (this.#replica.revision >= peerRevision || this.#replica.revision === revision) {
        return
      }
    }
  }

  /** Returns the peer's revision, or `undefined` if a snapshot is needed. */
  async #fetchChanges(address: string, revision: number): Promise<number | undefined> {
    const method = DistributionMethod.ChangesSince
    const params = { revision }
    const answer = await this.#call<ChangesAnswer>(address, method, params, CHANGES_ANSWER_SCHEMA)
    if (answer === undefined) return revision
    if (answer.changes === null) return undefined
    this.#replica.offerChanges(answer.changes, address)
    return answer.revision
  }

  /** Returns whether the replica advanced. */
  async #fetchSnapshot(address: string): Promise<boolean> {
    const manifest = await this.#call<SnapshotManifest>(
      address,
      DistributionMethod.SnapshotManifest,
      { revision: this.#replica.revision },
      MANIFEST_SCHEMA,
    )
    if (manifest === undefined || manifest.revision <= this.#replica.revision) return false
    const parts: string[] = []
    for (let part = 0; part < manifest.parts; part++) {
      const answer = await this.#call<{ text: string }>(
        address,
        DistributionMethod.SnapshotPart,
        { revision: manifest.revision, part },
        PART_ANSWER_SCHEMA,
      )
      if (answer === undefined) return false
      parts.push(answer.text)
    }
    const unpacked = unpackSnapshot(parts)
    if (unpacked.err) {
      this.#logFailure(address, DistributionMethod.SnapshotPart, unpacked.val.message)
      return false
    }
    return this.#replica.offerSnapshot(unpacked.val, address)
  }

  async #call<Answer>(
    address: string,
    method: DistributionMethod,
    params: object,
    schema: ObjectSchema,
  ): Promise<Answer | undefined> {
    const options = { timeoutMs: TRANSFER_TIMEOUT_MS, signal: this.#signal }
    const answer = await this.#rpc.call(address, method, params, options)
    if (answer.err) {
      this.#logFailure(address, method, answer.val.message)
      return undefined
    }
    const checked = schema.validate(answer.val)
    if (checked.error === undefined) return answer.val as Answer
    this.#logFailure(address, method, checked.error.message)
    return undefined
  }

  #logFailure(address: string, method: DistributionMethod, message: string): void {
    this.#log.event('catchUpFailed', { address, method, message })
  }
}
