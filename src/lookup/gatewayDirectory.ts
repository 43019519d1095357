/** Live gateways by region, ranked for each client. */
import { hashText } from '../common/hashing.js'
import type { Member, MembershipView } from '../membership/memberRecord.js'
import { MemberHealth, MemberRole, MemberState } from '../membership/memberRecord.js'
import { orderHash } from '../shift/blockOrder.js'

interface Candidate {
  readonly member: Member
  readonly hash: number
}

/** Maximum number of entry instances in a look-up answer. */
export const MAX_ENTRIES = 3
/** Callers depend on a gateway for about as long as they cache the answer that names it. */
const NAMED_WINDOW_MS = 10_000

/** Selects entry instances of a region for a client. */
export class GatewayDirectory {
  readonly #members: MembershipView
  /** Member identifier -> time at which an answer last named it first, ms since the epoch. */
  readonly #namedAtMs = new Map<string, number>()
  #byRegion: ReadonlyMap<string, readonly Candidate[]> | undefined

  constructor(members: MembershipView) {
    this.#members = members
    members.subscribe(() => {
      this.#byRegion = undefined
    })
  }

  /** Returns whether a region has a gateway that answers may name. */
  hasGateway(region: string): boolean {
    return this.#candidates(region).length > 0
  }

  /** Returns whether any region has a gateway that answers may name. */
  hasAnyGateway(): boolean {
    this.#byRegion ??= groupCandidates(this.#members.members())
    return this.#byRegion.size > 0
  }

  /** Records the gateway that an answer names first; its callers depend on it. */
  recordNamed(memberId: string, nowMs: number): void {
    this.#namedAtMs.set(memberId, nowMs)
  }

  /** Identifiers of the recently named gateways of any region, then of the others of `region`. */
  watchedIds(region: string, nowMs: number): readonly string[] {
    for (const [memberId, namedAtMs] of this.#namedAtMs) {
      if (nowMs - namedAtMs > NAMED_WINDOW_MS) this.#namedAtMs.delete(memberId)
    }
    return [...new Set([...this.#namedAtMs.keys(), ...this.gatewayIds(region)])]
  }

  /** Member identifiers of the gateways of a region that answers may name. */
  gatewayIds(region: string): readonly string[] {
    return this.#candidates(region).map(({ member }) => member.memberId)
  }

  /**
   * Returns up to {@link MAX_ENTRIES} gateways, best first: those of the site, then the others of
   * the region, each in rendezvous order, so that a client keeps its gateway when others join.
   * The last one is from another availability zone than the first, if possible.
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

/** Groups live gateways by region; suspected ones are used only in regions without others. */
function groupCandidates(members: readonly Member[]): ReadonlyMap<string, readonly Candidate[]> {
  const gateways = members.filter(
    ({ role, state }) => role === MemberRole.Gateway && state === MemberState.Live,
  )
  const regions = new Set(gateways.map(({ region }) => region))
  return new Map(
    [...regions].map((region) => {
      const ofRegion = gateways.filter((member) => member.region === region)
      const alive = ofRegion.filter(({ health }) => health === MemberHealth.Alive)
      const eligible = alive.length > 0 ? alive : ofRegion
      return [region, eligible.map((member) => ({ member, hash: hashText(member.memberId) }))]
    }),
  )
}
