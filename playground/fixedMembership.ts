/** Membership over a given list of members, for examples and benchmarks without gossip. */
import type { Member, MemberRecord, MembershipView } from '../src/membership/memberRecord.js'
import { MemberHealth, MemberRole, MemberState } from '../src/membership/memberRecord.js'

/** Returns the record of a live gateway in its first incarnation. */
export function createExampleMember(
  memberId: string,
  region: string,
  internalAddress: string,
): MemberRecord {
  return {
    memberId,
    role: MemberRole.Gateway,
    incarnation: '0000000000000001',
    startedAtMs: 0,
    version: 1,
    state: MemberState.Live,
    region,
    zone: `${region}-a`,
    site: `${region}-1`,
    callerAddress: '',
    internalAddress,
  }
}

/** Membership view over a list that may grow; reports every member as alive. */
export class FixedMembership implements MembershipView {
  readonly #self: MemberRecord
  readonly #members: readonly MemberRecord[]

  constructor(self: MemberRecord, members: readonly MemberRecord[]) {
    this.#self = self
    this.#members = members
  }

  self(): MemberRecord {
    return this.#self
  }

  members(): readonly Member[] {
    return this.#members.map((record) => ({ ...record, health: MemberHealth.Alive }))
  }

  find(memberId: string): Member | undefined {
    return this.members().find((member) => member.memberId === memberId)
  }

  largestGatewayCount(region: string): number {
    return this.#members.filter((member) => member.region === region).length
  }

  subscribe(): () => void {
    return () => undefined
  }
}
