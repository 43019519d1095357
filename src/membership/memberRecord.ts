/** Records of the system's own daemons and read access to them. */

/** Kind of a daemon. */
export enum MemberRole {
  Lookup = 'lookup',
  Gateway = 'gateway',
  Control = 'control',
}

/** State that a member declares for itself. It never moves back within an incarnation. */
export enum MemberState {
  Live = 'live',
  Leaving = 'leaving',
  Left = 'left',
}

/** Health of a member as seen by this process. */
export enum MemberHealth {
  Alive = 'alive',
  /** Probes failed, and the member has not refuted the suspicion yet. */
  Suspected = 'suspected',
  Failed = 'failed',
}

/** What a member publishes about itself. */
export interface MemberRecord {
  /** Stable over restarts, for example `sicilia-a-1/gateway`. */
  readonly memberId: string
  readonly role: MemberRole
  /** Random 64 bits as 16 hexadecimal digits, new at each process start. */
  readonly incarnation: string
  /** Start of the process in milliseconds since the epoch; orders incarnations of one member. */
  readonly startedAtMs: number
  /** Increases with each change of the record within an incarnation. */
  readonly version: number
  readonly state: MemberState
  readonly region: string
  readonly zone: string
  readonly site: string
  /** `host:port` for callers; empty for control daemons. */
  readonly callerAddress: string
  /** `host:port` of the internal JSON-RPC port. */
  readonly internalAddress: string
}

/** A member's record and its health as seen by this process. */
export interface Member extends MemberRecord {
  readonly health: MemberHealth
}

/** Read access to the members as seen by this process, which is one of them. */
export interface MembershipView {
  /** Returns the record of this process. */
  self(): MemberRecord
  /** Returns the members that have neither left nor failed, this process included. */
  members(): readonly Member[]
  find(memberId: string): Member | undefined
  /**
   * Returns the largest number of live and leaving gateways in the region within the last minute.
   * Budgets divided by it stay within their total while processes disagree about the members.
   */
  largestGatewayCount(region: string, nowMs: number): number
  /** Calls `listener` after each change; returns a function that ends the subscription. */
  subscribe(listener: () => void): () => void
}

/** Returns the gateways of a region that accept new work and are neither suspected nor failed. */
export function aliveGateways(members: readonly Member[], region: string): Member[] {
  return members.filter(
    (member) =>
      member.role === MemberRole.Gateway &&
      member.region === region &&
      member.state === MemberState.Live &&
      member.health === MemberHealth.Alive,
  )
}
