/** Synchronizes member records between the daemons by gossip and by pushes of changes. */
import type { Clock } from '../common/clock.js'
import { sleep, systemClock } from '../common/clock.js'
import { messageOf } from '../common/errors.js'
import type { Logger } from '../common/logger.js'
import { createLogger } from '../common/logger.js'
import type { RpcClient, RpcMethodRegistry } from '../common/rpc.js'
import type { InstanceList } from '../platform/instanceList.js'
import { MemberProbe } from './memberProbe.js'
import type { MemberRecord } from './memberRecord.js'
import { MemberRole, MemberState } from './memberRecord.js'
import type { MemberTable } from './memberTable.js'
import type {
  ExchangeAnswer,
  ExchangePayloads,
  ExchangeRequest,
  ProbeRequest,
  PushRequest,
  RecordsRequest,
} from './membershipMessages.js'
import { MESSAGE_SCHEMAS, MembershipMethod } from './membershipMessages.js'
import { MembershipPeers } from './membershipPeers.js'
import type { PeerTarget } from './peerSelection.js'
import { PeerSelection } from './peerSelection.js'
import { recordsToRequest, recordsToSend } from './recordDifference.js'

/** Adds the state of another module to each exchange, in both directions. */
export interface ExchangePayloadProvider {
  /** Key of the payload, the same in all processes. */
  readonly name: string
  /** Returns what to send, as JSON of at most a few kilobytes, or `undefined` for nothing. */
  collect(nowMs: number): unknown
  /** Validates and merges the payload of a peer; may throw if the payload is malformed. */
  merge(payload: unknown, nowMs: number): void
}

/** Options of {@link MembershipExchange}. */
export interface MembershipExchangeOptions {
  readonly clock?: Clock
  /** Uniform in [0, 1). */
  readonly random?: () => number
  /** Time between two exchanges in milliseconds. */
  readonly intervalMs?: number
  /** Members that this process depends on; probed in turn, in addition to the random exchanges. */
  readonly watchedMembers?: () => readonly string[]
  readonly logger?: Logger
}

const EXCHANGE_INTERVAL_MS = 1000
/** Random fraction of the interval, so that processes started together do not stay in step. */
const JITTER_FRACTION = 0.1
/** Number of peers a change is pushed to; 3 reach about 94% of a region, exchanges reach the rest. */
const PUSH_FANOUT = 3
/** Attempts to reach a peer, as listed instances may be down; then the process starts without. */
const START_ATTEMPTS = 3
const SEED_READ_TIMEOUT_MS = 2000
const SEED_RETRY_INTERVAL_MS = 2000
/** A list of 460 instances is about 70 KB, so one read per minute costs 1.2 KB/s. */
const SEED_READ_INTERVAL_MS = 60_000

/**
 * Synchronizes a {@link MemberTable} with those of the other processes: an exchange with one
 * random peer a second, and immediate pushes of changes.
 */
export class MembershipExchange {
  readonly #table: MemberTable
  readonly #peers: MembershipPeers
  readonly #instanceList: InstanceList
  readonly #clock: Clock
  readonly #random: () => number
  readonly #intervalMs: number
  readonly #selection: PeerSelection
  readonly #probe: MemberProbe
  readonly #logger: Logger
  readonly #providers = new Map<string, ExchangePayloadProvider>()
  readonly #stopping = new AbortController()
  #backgroundTasks: Promise<unknown> = Promise.resolve()

  constructor(
    table: MemberTable,
    rpc: RpcClient,
    instanceList: InstanceList,
    options: MembershipExchangeOptions = {},
  ) {
    this.#table = table
    this.#peers = new MembershipPeers(rpc)
    this.#instanceList = instanceList
    this.#clock = options.clock ?? systemClock
    this.#random = options.random ?? Math.random
    this.#intervalMs = options.intervalMs ?? EXCHANGE_INTERVAL_MS
    this.#logger = options.logger ?? createLogger('membership')
    this.#selection = new PeerSelection(table, this.#random)
    this.#probe = new MemberProbe(table, this.#peers, this.#clock, {
      random: this.#random,
      watchedMembers: options.watchedMembers ?? (() => []),
    })
  }

  /** Adds the payload of another module to the exchanges. */
  addPayloadProvider(provider: ExchangePayloadProvider): void {
    this.#providers.set(provider.name, provider)
  }

  /** Registers the methods that peers call. */
  registerMethods(registry: RpcMethodRegistry): void {
    registry.addMethod(
      MembershipMethod.Exchange,
      MESSAGE_SCHEMAS[MembershipMethod.Exchange],
      (request: ExchangeRequest) => Promise.resolve(this.#handleExchange(request)),
    )
    registry.addMethod(
      MembershipMethod.Records,
      MESSAGE_SCHEMAS[MembershipMethod.Records],
      (request: RecordsRequest) => {
        this.#table.merge(request.records, this.#clock())
        return Promise.resolve({ records: this.#table.records(request.wanted) })
      },
    )
    registry.addMethod(
      MembershipMethod.Push,
      MESSAGE_SCHEMAS[MembershipMethod.Push],
      (request: PushRequest) => {
        this.#handlePush(request)
        return Promise.resolve({})
      },
    )
    registry.addMethod(
      MembershipMethod.Probe,
      MESSAGE_SCHEMAS[MembershipMethod.Probe],
      ({ memberId }: ProbeRequest) => this.#probe.answer(memberId),
    )
    registry.addMethod(MembershipMethod.Ping, MESSAGE_SCHEMAS[MembershipMethod.Ping], () => {
      const { memberId, incarnation } = this.#table.self()
      return Promise.resolve({ memberId, incarnation })
    })
  }

  /** Reads the seeds, exchanges records with up to three peers, then continues in the background. */
  async start(): Promise<void> {
    const hasSeeds = await this.#readSeeds()
    for (
      let attempt = 0;
      attempt < START_ATTEMPTS && this.#table.members().length === 1;
      attempt++
    ) {
      const targets = this.#selection.seedPeers(PUSH_FANOUT)
      await Promise.all(targets.map((target) => this.#exchangeWith(target)))
    }
    this.#backgroundTasks = Promise.all([
      this.#exchangePeriodically(),
      this.#readSeedsPeriodically(hasSeeds),
    ])
  }

  /** Ends the background work, then tells peers of the region that this process has left. */
  async stop(): Promise<void> {
    if (this.#stopping.signal.aborted) return
    this.#stopping.abort()
    await this.#backgroundTasks
    this.#table.declareState(MemberState.Left, this.#clock())
    await this.#push(this.#selection.sameRegionPeers(PUSH_FANOUT), [this.#table.self()], true)
  }

  /** Declares this process leaving and pushes its record; resolves once every push succeeded or failed. */
  async announceLeaving(): Promise<void> {
    this.#table.declareState(MemberState.Leaving, this.#clock())
    const record = this.#table.self()
    const sameRegion = this.#selection
      .sameRegionPeers(Number.POSITIVE_INFINITY)
      .filter(({ role }) => role !== MemberRole.Control)
    await Promise.all([
      this.#push(sameRegion, [record], false),
      this.#push(this.#selection.otherRegionPeers(PUSH_FANOUT), [record], true),
    ])
  }

  /**
   * Exchanges records with a peer of each other region, and tells further ones of this process. Few
   * of the periodic exchanges leave the region, and until one does, other regions know the
   * predecessor of this process.
   */
  async #joinOtherRegions(): Promise<void> {
    const targets = this.#selection.otherRegionSeeds(PUSH_FANOUT)
    await Promise.all([
      this.#push(targets.flat(), [this.#table.self()], true),
      ...targets.flatMap((ofRegion) =>
        ofRegion.slice(0, 1).map((target) => this.#exchangeWith(target)),
      ),
    ])
  }

  async #exchangePeriodically(): Promise<void> {
    while (
      await this.#sleepUnlessStopping(
        this.#intervalMs * (1 + JITTER_FRACTION * (2 * this.#random() - 1)),
      )
    ) {
      this.#table.tick(this.#clock())
      const target = this.#selection.next()
      await Promise.all([
        target === undefined ? undefined : this.#exchangeWith(target),
        this.#probe.probeWatched().then((suspicions) => this.#pushChanges([], suspicions)),
      ])
    }
  }

  async #readSeedsPeriodically(hasSeeds: boolean): Promise<void> {
    let hasRead = hasSeeds
    if (hasRead) await this.#joinOtherRegions()
    while (
      await this.#sleepUnlessStopping(
        (hasRead ? SEED_READ_INTERVAL_MS : SEED_RETRY_INTERVAL_MS) * (0.5 + this.#random()),
      )
    ) {
      const isRead = await this.#readSeeds()
      if (isRead && !hasRead) await this.#joinOtherRegions()
      hasRead ||= isRead
    }
  }

  /** Waits for `delayMs` milliseconds; returns false if this process is stopping. */
  async #sleepUnlessStopping(delayMs: number): Promise<boolean> {
    await sleep(delayMs, this.#stopping.signal)
    return !this.#stopping.signal.aborted
  }

  async #readSeeds(): Promise<boolean> {
    const list = await this.#instanceList.read(SEED_READ_TIMEOUT_MS)
    if (list.err) {
      this.#logger.event('instance-list-unavailable', { kind: list.val.kind })
      return false
    }
    this.#selection.replaceSeeds(list.val)
    return true
  }

  async #exchangeWith(target: PeerTarget): Promise<void> {
    const startedAtMs = this.#clock()
    const answer = await this.#peers.exchange(target.address, {
      record: this.#table.self(),
      digests: this.#table.digests(),
      suspicions: this.#table.suspicions(),
      payloads: this.#collectPayloads(startedAtMs),
    })
    if (answer !== undefined) await this.#mergeAnswer(target.address, answer)
    if (answer?.record.memberId === target.memberId) return
    const suspicion = await this.#probe.handleProbeFailure(target.memberId, startedAtMs)
    if (suspicion !== undefined) {
      this.#logger.event('member-suspected', { memberId: suspicion.memberId })
      await this.#pushChanges([], [suspicion])
    }
  }

  async #mergeAnswer(address: string, answer: ExchangeAnswer): Promise<void> {
    const nowMs = this.#clock()
    this.#table.merge([answer.record], nowMs)
    this.#table.confirmAlive(answer.record.memberId, answer.record.incarnation, nowMs)
    this.#mergeSuspicions(answer.suspicions)
    this.#mergePayloads(answer.payloads, nowMs)
    const records = recordsToSend(this.#table, answer.versions)
    const wanted = recordsToRequest(this.#table, answer.versions)
    if (records.length + wanted.length === 0) return
    const transfer = await this.#peers.records(address, { records, wanted })
    if (transfer !== undefined) this.#table.merge(transfer.records, this.#clock())
  }

  #handleExchange(request: ExchangeRequest): ExchangeAnswer {
    const nowMs = this.#clock()
    this.#table.merge([request.record], nowMs)
    this.#mergeSuspicions(request.suspicions)
    this.#mergePayloads(request.payloads, nowMs)
    const own = this.#table.digests()
    const regions = new Set([...Object.keys(own), ...Object.keys(request.digests)])
    const versions = Object.fromEntries(
      [...regions]
        .filter((region) => own[region] !== request.digests[region])
        .map((region) => [region, this.#table.versions(region)]),
    )
    return {
      record: this.#table.self(),
      versions,
      suspicions: this.#table.suspicions(),
      payloads: this.#collectPayloads(nowMs),
    }
  }

  #handlePush(request: PushRequest): void {
    const records = this.#table.merge(request.records, this.#clock())
    const suspicions = this.#mergeSuspicions(request.suspicions)
    if (request.relay) void this.#pushChanges(records, suspicions)
  }

  /** Merges suspicions; refutes one of this process at once and returns the other new ones. */
  #mergeSuspicions(received: ExchangeRequest['suspicions']): ExchangeRequest['suspicions'] {
    const changed = this.#table.mergeSuspicions(received, this.#clock())
    const self = this.#table.self()
    const others = changed.filter(({ memberId }) => memberId !== self.memberId)
    if (others.length < changed.length) {
      this.#logger.event('suspicion-refuted', { version: self.version })
      void this.#pushChanges([self], [])
    }
    return others
  }

  async #pushChanges(
    records: readonly MemberRecord[],
    suspicions: ExchangeRequest['suspicions'],
  ): Promise<void> {
    if (records.length + suspicions.length === 0 || this.#stopping.signal.aborted) return
    await this.#push(this.#selection.sameRegionPeers(PUSH_FANOUT), records, true, suspicions)
  }

  async #push(
    targets: readonly PeerTarget[],
    records: readonly MemberRecord[],
    relay: boolean,
    suspicions: ExchangeRequest['suspicions'] = [],
  ): Promise<void> {
    const request = { records, suspicions, relay }
    await Promise.all(targets.map(({ address }) => this.#peers.push(address, request)))
  }

  #collectPayloads(nowMs: number): ExchangePayloads {
    const entries = [...this.#providers.values()].map(
      (provider) => [provider.name, provider.collect(nowMs)] as const,
    )
    return Object.fromEntries(entries.filter(([, payload]) => payload !== undefined))
  }

  #mergePayloads(payloads: ExchangePayloads, nowMs: number): void {
    for (const [name, payload] of Object.entries(payloads)) {
      try {
        this.#providers.get(name)?.merge(payload, nowMs)
      } catch (error) {
        this.#logger.event('payload-refused', { name, reason: messageOf(error) })
      }
    }
  }
}
