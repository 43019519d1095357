/** Live gateways per region, ordered per client. */
import { hashText } from '../common/hashing.js'
import type { Member, MembershipView } from '../membership/memberRecord.js'
import { MemberHealth, MemberRole, MemberState } from '../membership/memberRecord.js'
import { orderHash } from '../shift/blockOrder.js'

interface Candidate {
  readonly member: Member
  readonly hash: number
}

/** Entries of an answer. */
export const MAX_ENTRIES = 3
/** Callers depend on a named gateway for about the time that they cache an answer. */
const NAMED_WINDOW_MS = 10_000

/** Chooses the entry instances of a region for a client. */
export class GatewayDirectory {
  readonly #members: MembershipView
  /** Time at which each gateway was last named first, milliseconds since the epoch. */
  readonly #namedAtMs = new Map<string, number>()
  #byRegion: ReadonlyMap<string, readonly Candidate[]> | undefined

  constructor(members: MembershipView) {
    this.#members = members
    members.subscribe(() => {
      this.#byRegion = undefined
    })
  }

  /** Tells whether a region has a gateway that can be named. */
  hasGateway(region: string): boolean {
    return this.#candidates(region).length > 0
  }

  /** Tells whether any region has a gateway that can be named. */
  hasAnyGateway(): boolean {
    this.#byRegion ??= groupCandidates(this.#members.members())
    return this.#byRegion.size > 0
  }

  /** Notes which gateway an answer names first, because its callers depend on it now. */
  noteNamed(memberId: string, nowMs: number): void {
    this.#namedAtMs.set(memberId, nowMs)
  }

  /** Gateways that were named lately, in whichever region, then the others of `region`. */
  watchedIds(region: string, nowMs: number): readonly string[] {
    for (const [memberId, namedAtMs] of this.#namedAtMs) {
      if (nowMs - namedAtMs > NAMED_WINDOW_MS) this.#namedAtMs.delete(memberId)
    }
    return [...new Set([...this.#namedAtMs.keys(), ...this.gatewayIds(region)])]
  }

  /** Member identifiers of the gateways of a region that can be named. */
  gatewayIds(region: string): readonly string[] {
    return this.#candidates(region).map(({ member }) => member.memberId)
  }

  /**
   * Returns up to {@link MAX_ENTRIES} gateways, best first: those of the site, then the others of
   * the region, in rendezvous order so that a client keeps its gateway. The last one is from
   * another availability zone than the first, if there is any.
   */
  entriesFor(region: string, site: string | undefined, clientHash: number): readonly Member[] {
    const ordered = this.#candidates(region)
      .map(({ member, hash }) => ({
        member,
        isOfSite: member.site === site,
        score: orderHash(clientHash, hash),
      }))
      .sort(
        (left, right) => Number(right.isOfSite) - Number(left.isOfSite) || right.score - left.score,
      )
      .map(({ member }) => member)
    const first = ordered.slice(0, MAX_ENTRIES - 1)
    const rest = ordered.slice(MAX_ENTRIES - 1)
    const last = rest.find(({ zone }) => zone !== first[0]?.zone) ?? rest[0]
    return last === undefined ? first : [...first, last]
  }

  #candidates(region: string): readonly Candidate[] {
    this.#byRegion ??= groupCandidates(this.#members.members())
    return this.#byRegion.get(region) ?? []
  }
}

/** Suspected gateways count only where no other is left. */
function groupCandidates(members: readonly Member[]): ReadonlyMap<string, readonly Candidate[]> {
  const gateways = members.filter(
    ({ role, state }) => role === MemberRole.Gateway && state === MemberState.Live,
  )
  const regions = new Set(gateways.map(({ region }) => region))
  return new Map(
    [...regions].map((region) => {
      const own = gateways.filter((member) => member.region === region)
      const alive = own.filter(({ health }) => health === MemberHealth.Alive)
      const named = alive.length > 0 ? alive : own
      return [region, named.map((member) => ({ member, hash: hashText(member.memberId) }))]
    }),
  )
}
