/** Keeps the replica up to date from the store and peers, and pushes new revisions to peers. */
import type { Clock } from '../common/clock.js'
import { sleep, systemClock } from '../common/clock.js'
import { createLogger } from '../common/logger.js'
import type { RpcClient, RpcMethodRegistry } from '../common/rpc.js'
import type { Member, MembershipView } from '../membership/memberRecord.js'
import type { VersionedHead } from './configurationHead.js'
import type { ConfigurationReplica } from './configurationReplica.js'
import type { ConfigurationRepository, ConfigurationUpdate } from './configurationRepository.js'
import { emptyConfiguration } from './documentBuilder.js'
import type { AnnounceMessage, ExchangeMessage } from './distributionMessages.js'
import { DistributionMethod, EXCHANGE_SCHEMA, REVISION_SCHEMA } from './distributionMessages.js'
import { DistributionMethods } from './distributionMethods.js'
import { HeadWatcher } from './headWatcher.js'
import { PeerCatchUp } from './peerCatchUp.js'
import { chooseExchangePeer, choosePushPeers, chooseStartupPeers } from './peerSelection.js'
import { estimateBytes } from './recentChanges.js'
import { StoreContact } from './storeContact.js'

/** Options of a distributor. The defaults suit daemons. */
export interface DistributorOptions {
  readonly clock?: Clock
  /** Returns random numbers in [0, 1). */
  readonly random?: () => number
  /** Interval of exchanges with a random peer in milliseconds. */
  readonly exchangeIntervalMs?: number
  /**
   * Time without contact to the store, direct or through peers, after which this process reads the
   * head itself, in milliseconds.
   */
  readonly staleAfterMs?: number
  /** Minimum time between such reads in milliseconds; up to half of it is added at random. */
  readonly headReadIntervalMs?: number
  /** Timeout of a short call to a peer in milliseconds. */
  readonly callTimeoutMs?: number
}

/**
 * Minimum time between pushes. With 3 peers per push it limits a burst of changes to 30 calls/s.
 */
const PUSH_INTERVAL_MS = 100
/**
 * Maximum size of the changes in a push. Peers fetch larger ones, so that each peer receives them
 * only once.
 */
const MAX_PUSH_BYTES = 8 * 1024

const DEFAULTS = {
  clock: systemClock,
  random: Math.random,
  exchangeIntervalMs: 1000,
  // Exchanges spread a store contact to half of 115 peers in about 2 s and to nearly all in 4 s.
  // With 2 s, half of the daemons would read the head themselves.
  staleAfterMs: 5000,
  headReadIntervalMs: 5000,
  callTimeoutMs: 1000,
} satisfies Required<DistributorOptions>

/** Distributes the configuration to and from this process. */
export class ConfigurationDistributor {
  readonly #replica: ConfigurationReplica
  readonly #repository: ConfigurationRepository
  readonly #membership: MembershipView
  readonly #rpc: RpcClient
  readonly #options: Required<DistributorOptions>
  readonly #storeContact = new StoreContact()
  readonly #stopController = new AbortController()
  readonly #catchUp: PeerCatchUp
  readonly #methods: DistributionMethods
  readonly #log = createLogger('configuration')
  readonly #tasks = new Set<Promise<void>>()
  #unsubscribe: () => void = () => undefined
  #pushedRevision = -1
  #isPushScheduled = false
  #lastPushMs = Number.NEGATIVE_INFINITY
  #nextHeadReadMs = Number.NEGATIVE_INFINITY

  constructor(
    replica: ConfigurationReplica,
    repository: ConfigurationRepository,
    membership: MembershipView,
    rpc: RpcClient,
    options: DistributorOptions = {},
  ) {
    this.#replica = replica
    this.#repository = repository
    this.#membership = membership
    this.#rpc = rpc
    this.#options = { ...DEFAULTS, ...options }
    this.#catchUp = new PeerCatchUp(replica, rpc, this.#stopController.signal)
    this.#methods = new DistributionMethods({
      replica,
      membership,
      exchange: (message) => this.#handleExchange(message),
      announce: (message) => {
        this.#handleAnnouncement(message)
      },
    })
  }

  /** Registers the RPC methods that peers call; see {@link DistributionMethod}. */
  registerMethods(registry: RpcMethodRegistry): void {
    this.#methods.register(registry)
  }

  /**
   * Loads the highest revision of the store and up to 3 peers, then keeps the replica up to
   * date. Resolves after the first attempt. If neither the store nor a peer answered, the
   * replica is still empty then, and attempts continue in the background.
   */
  async start(): Promise<void> {
    this.#unsubscribe = this.#replica.subscribe(() => {
      this.#schedulePush()
    })
    await this.#catchUpAtStart()
    this.#track(this.#exchangeLoop())
    const watcher = new HeadWatcher({
      repository: this.#repository,
      membership: this.#membership,
      contact: this.#storeContact,
      clock: this.#options.clock,
      random: this.#options.random,
      onHead: (head) => this.#applyHead(head),
    })
    this.#track(watcher.run(this.#stopController.signal))
  }

  /** Aborts pending calls and waits for all background tasks to end. */
  async stop(): Promise<void> {
    this.#stopController.abort()
    this.#unsubscribe()
    this.#methods.stop()
    await Promise.all(this.#tasks)
  }

  async #catchUpAtStart(): Promise<void> {
    const peers = chooseStartupPeers(this.#membership, this.#options.random)
    const [head, ...revisions] = await Promise.all([
      this.#repository.readHead(),
      ...peers.map((peer) => this.#exchange(peer)),
    ])
    const mostAdvanced = peers
      .map((peer, index) => ({ peer, revision: revisions[index] ?? -1 }))
      .sort((left, right) => right.revision - left.revision)[0]
    const peerRevision = mostAdvanced?.revision ?? -1
    if (head.ok) this.#storeContact.recordContact(this.#options.clock())
    // Fetching from a peer that has the store's revision saves calls to the store.
    if (
      mostAdvanced !== undefined &&
      peerRevision >= 0 &&
      (head.err || peerRevision >= head.val.revision)
    ) {
      await this.#catchUp.fetch(mostAdvanced.peer.internalAddress, peerRevision)
    }
    if (head.ok && this.#replica.revision < head.val.revision) await this.#applyHead(head.val)
    this.#log.event('started', {
      revision: this.#replica.revision,
      storeRevision: head.ok ? head.val.revision : null,
      peerRevision: mostAdvanced === undefined ? null : peerRevision,
      withoutStore: head.err,
      steers: this.#replica.revision >= 0,
    })
  }

  async #exchangeLoop(): Promise<void> {
    const { random, exchangeIntervalMs } = this.#options
    while (!this.#stopController.signal.aborted) {
      await sleep(exchangeIntervalMs * (0.9 + 0.2 * random()), this.#stopController.signal)
      const peer = chooseExchangePeer(this.#membership, random)
      if (peer !== undefined) await this.#exchangeAndFetch(peer)
      if (this.#isHeadReadDue(this.#options.clock())) this.#track(this.#readHeadDirectly())
    }
  }

  async #exchangeAndFetch(peer: Member): Promise<void> {
    const revision = await this.#exchange(peer)
    if (revision === undefined) return
    if (revision > this.#replica.revision) await this.#catchUp.fetch(peer.internalAddress, revision)
    else if (revision < this.#replica.revision) await this.#announce(peer, revision)
  }

  /** Returns the peer's revision, or `undefined` if it gave no valid answer. */
  async #exchange(peer: Member): Promise<number | undefined> {
    const message = this.#exchangeMessage()
    const answer = await this.#rpc.call(
      peer.internalAddress,
      DistributionMethod.Exchange,
      message,
      { timeoutMs: this.#options.callTimeoutMs, signal: this.#stopController.signal },
    )
    if (answer.err || EXCHANGE_SCHEMA.validate(answer.val).error !== undefined) return undefined
    const { revision, storeAgeMs } = answer.val as ExchangeMessage
    this.#recordPeerContact(revision, storeAgeMs)
    return revision
  }

  #handleExchange(message: ExchangeMessage): ExchangeMessage {
    this.#recordPeerContact(message.revision, message.storeAgeMs)
    return this.#exchangeMessage()
  }

  #exchangeMessage(): ExchangeMessage {
    const storeAgeMs = this.#storeContact.ageMs(this.#options.clock())
    return { revision: this.#replica.revision, storeAgeMs }
  }

  /**
   * Ignores the contact of a peer with an older revision, since it may predate this process's
   * revision.
   */
  #recordPeerContact(revision: number, storeAgeMs: number | null): void {
    if (revision < this.#replica.revision) return
    this.#storeContact.recordPeerContact(storeAgeMs, this.#options.clock())
  }

  #isHeadReadDue(nowMs: number): boolean {
    const ageMs = this.#storeContact.ageMs(nowMs) ?? Number.POSITIVE_INFINITY
    return ageMs > this.#options.staleAfterMs && nowMs >= this.#nextHeadReadMs
  }

  async #readHeadDirectly(): Promise<void> {
    const { clock, random, headReadIntervalMs } = this.#options
    this.#nextHeadReadMs = clock() + headReadIntervalMs * (1 + 0.5 * random())
    const head = await this.#repository.readHead()
    if (head.err) return
    this.#storeContact.recordContact(clock())
    await this.#applyHead(head.val)
  }

  async #applyHead(head: VersionedHead): Promise<void> {
    if (head.revision <= this.#replica.revision) return
    const update = await this.#repository.readSince(this.#replica.revision, head)
    if (update.ok) this.#applyUpdate(update.val)
    else this.#log.event('readFailed', { revision: head.revision, message: update.val.message })
  }

  #applyUpdate({ snapshot, changes }: ConfigurationUpdate): void {
    const base = snapshot ?? (this.#replica.revision < 0 ? emptyConfiguration() : undefined)
    if (base === undefined) this.#replica.offerChanges(changes, 'store')
    else this.#replica.offerSnapshot(base, 'store', changes)
  }

  #handleAnnouncement({ address, revision, changes }: AnnounceMessage): void {
    const isApplicable = revision > this.#replica.revision && this.#replica.revision >= 0
    const outcome = isApplicable ? this.#replica.offerChanges(changes, address) : undefined
    if (outcome?.error !== undefined || revision <= this.#replica.revision) return
    this.#track(this.#catchUp.fetch(address, revision))
  }

  #schedulePush(): void {
    if (this.#isPushScheduled) return
    this.#isPushScheduled = true
    const delayMs = Math.max(0, this.#lastPushMs + PUSH_INTERVAL_MS - this.#options.clock())
    this.#track(this.#push(delayMs))
  }

  async #push(delayMs: number): Promise<void> {
    await sleep(delayMs, this.#stopController.signal)
    this.#isPushScheduled = false
    if (this.#stopController.signal.aborted) return
    this.#lastPushMs = this.#options.clock()
    const previousRevision = this.#pushedRevision
    this.#pushedRevision = this.#replica.revision
    const targets = choosePushPeers(this.#membership, this.#options.random)
    await Promise.all(targets.map((peer) => this.#announce(peer, previousRevision)))
  }

  /** Announces the own revision, with the changes after `baseRevision` if they are small enough. */
  async #announce(peer: Member, baseRevision: number): Promise<void> {
    const newChanges = baseRevision < 0 ? [] : (this.#replica.changesSince(baseRevision) ?? [])
    const bytes = newChanges.reduce((sum, change) => sum + estimateBytes(change), 0)
    const message: AnnounceMessage = {
      address: this.#membership.self().internalAddress,
      revision: this.#replica.revision,
      changes: bytes <= MAX_PUSH_BYTES ? newChanges : [],
    }
    const options = { timeoutMs: this.#options.callTimeoutMs, signal: this.#stopController.signal }
    const method = DistributionMethod.Announce
    const answer = await this.#rpc.call(peer.internalAddress, method, message, options)
    if (answer.err || REVISION_SCHEMA.validate(answer.val).error !== undefined) return
    const { revision } = answer.val as { revision: number }
    if (revision > this.#replica.revision) await this.#catchUp.fetch(peer.internalAddress, revision)
  }

  #track(task: Promise<void>): void {
    const tracked = task.finally(() => this.#tasks.delete(tracked))
    this.#tasks.add(tracked)
  }
}
