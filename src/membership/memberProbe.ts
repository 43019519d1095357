/** Failure detection by direct probes of members and indirect ones through other members. */
import type { Clock } from '../common/clock.js'
import { MemberHealth, MemberState } from './memberRecord.js'
import type { Member } from './memberRecord.js'
import type { MemberTable, Suspicion } from './memberTable.js'
import type { MembershipPeers } from './membershipPeers.js'
import { INDIRECT_PROBE_TIMEOUT_MS, PingOutcome } from './membershipPeers.js'
import type { ProbeAnswer } from './membershipMessages.js'
import { sample } from './peerSelection.js'

/** Options of {@link MemberProbe}. */
export interface MemberProbeOptions {
  /** Uniform in [0, 1). */
  readonly random: () => number
  /** Identifiers of the members to probe in turn. */
  readonly watchedMembers: () => readonly string[]
}

/** Number of watched members that are probed per round, which is once a second. */
const WATCHED_MEMBERS_PER_ROUND = 2
/** A direct and an indirect probe take less than this; otherwise this process itself was paused. */
const MAX_PROBE_DURATION_MS = 3 * INDIRECT_PROBE_TIMEOUT_MS

/** Probes members and marks those that cannot be reached as suspected or failed. */
export class MemberProbe {
  readonly #table: MemberTable
  readonly #peers: MembershipPeers
  readonly #clock: Clock
  readonly #options: MemberProbeOptions
  #nextWatchedIndex = 0

  constructor(
    table: MemberTable,
    peers: MembershipPeers,
    clock: Clock,
    options: MemberProbeOptions,
  ) {
    this.#table = table
    this.#peers = peers
    this.#clock = clock
    this.#options = options
  }

  /** Probes the next watched members in turn; returns the new suspicions. */
  async probeWatched(): Promise<readonly Suspicion[]> {
    const watched = this.#options.watchedMembers()
    const members = watched.length === 0 ? [] : this.#nextWatchedMembers(watched)
    const suspicions = await Promise.all(
      members.map(async (memberId) => {
        const startedAtMs = this.#clock()
        return (await this.#isReachable(memberId))
          ? undefined
          : this.handleProbeFailure(memberId, startedAtMs)
      }),
    )
    return suspicions.filter((suspicion) => suspicion !== undefined)
  }

  /**
   * Handles a failed direct probe: probes the member indirectly and suspects it if that fails too.
   *
   * @param startedAtMs time at which the direct probe was sent, in milliseconds since the epoch
   * @returns the suspicion, or `undefined` if there is no new one
   */
  async handleProbeFailure(memberId: string, startedAtMs: number): Promise<Suspicion | undefined> {
    const member = this.#table.find(memberId)
    if (member === undefined || member.state === MemberState.Left) return undefined
    if (member.health === MemberHealth.Suspected) await this.#failIfRefused(member)
    if (member.health !== MemberHealth.Alive) return undefined
    const isAlive = await this.#isReachableByHelpers(member)
    if (isAlive) return undefined
    const nowMs = this.#clock()
    if (nowMs - startedAtMs > MAX_PROBE_DURATION_MS) return undefined
    const suspicion = this.#table.suspect(memberId, nowMs)
    if (suspicion !== undefined) await this.#failIfRefused(suspicion)
    return suspicion
  }

  /** Fails a suspected member at once if its address refuses connections: no process is left to refute it. */
  async #failIfRefused(suspicion: Suspicion): Promise<void> {
    const outcome = await this.#ping(suspicion.memberId)
    if (outcome === PingOutcome.Refused) this.#table.fail(suspicion, this.#clock())
  }

  /** Probes a member directly on behalf of a peer. */
  async answer(memberId: string): Promise<ProbeAnswer> {
    if (this.#table.find(memberId) === undefined) return {}
    return { isAlive: await this.#isReachable(memberId) }
  }

  async #isReachable(memberId: string): Promise<boolean> {
    return (await this.#ping(memberId)) === PingOutcome.Answered
  }

  async #ping(memberId: string): Promise<PingOutcome> {
    const member = this.#table.find(memberId)
    if (member === undefined) return PingOutcome.Unresponsive
    if (memberId === this.#table.self().memberId) return PingOutcome.Answered
    const result = await this.#peers.ping(member.internalAddress)
    if (result.outcome !== PingOutcome.Answered) return result.outcome
    const { answer } = result
    if (answer.memberId !== memberId) return PingOutcome.Unresponsive
    this.#table.confirmAlive(memberId, answer.incarnation, this.#clock())
    return PingOutcome.Answered
  }

  #nextWatchedMembers(watched: readonly string[]): readonly string[] {
    const count = Math.min(WATCHED_MEMBERS_PER_ROUND, watched.length)
    const start = this.#nextWatchedIndex % watched.length
    this.#nextWatchedIndex = start + count
    return [...watched, ...watched].slice(start, start + count)
  }

  /** Helpers that don't answer count as failed probes, since their whole region may be down. */
  async #isReachableByHelpers(member: Member): Promise<boolean> {
    const helpers = this.#chooseHelpers(member)
    if (helpers.length === 0) return this.#isReachable(member.memberId)
    const answers = await Promise.all(
      helpers.map(({ internalAddress }) => this.#peers.probe(internalAddress, member.memberId)),
    )
    return answers.some((answer) => answer?.isAlive === true)
  }

  /** Picks a healthy peer in the region of the member and one in the own region, if there are any. */
  #chooseHelpers(member: Member): readonly Member[] {
    const self = this.#table.self()
    const healthy = this.#table
      .members()
      .filter(
        ({ memberId, health }) =>
          memberId !== self.memberId &&
          memberId !== member.memberId &&
          health === MemberHealth.Alive,
      )
    const regions = new Set([member.region, self.region])
    return [...regions].flatMap((region) =>
      sample(
        healthy.filter((peer) => peer.region === region),
        1,
        this.#options.random,
      ),
    )
  }
}
