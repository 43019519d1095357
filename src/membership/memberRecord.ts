/** Records of the system's own processes and read access to them. */

/** What a daemon does. */
export enum MemberRole {
  Lookup = 'lookup',
  Gateway = 'gateway',
  Control = 'control',
}

/** State that a member declares of itself. It only moves forward within an incarnation. */
export enum MemberState {
  Live = 'live',
  Leaving = 'leaving',
  Left = 'left',
}

/** Judgement of this process about a member. */
export enum MemberHealth {
  Alive = 'alive',
  /** Probes fail; not refuted yet. */
  Suspected = 'suspected',
  Failed = 'failed',
}

/** A member's own record. */
export interface MemberRecord {
  /** Stable over restarts, for example `sicilia-a-1/gateway`. */
  readonly memberId: string
  readonly role: MemberRole
  /** Random 64 bits as 16 hexadecimal digits, new at each process start. */
  readonly incarnation: string
  /** Start of the process in milliseconds since the epoch; orders incarnations of one member. */
  readonly startedAtMs: number
  /** Grows with each change of the record within an incarnation. */
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

/** A record with this process's judgement. */
export interface Member extends MemberRecord {
  readonly health: MemberHealth
}

/** Read access to the members that this process knows, itself included. */
export interface MembershipView {
  /** Own record. */
  self(): MemberRecord
  /** All members that have not left or failed. */
  members(): readonly Member[]
  find(memberId: string): Member | undefined
  /**
   * Largest count of live gateways in the region within the last minute; budgets
   * divided by it stay under their sum while views of membership differ.
   */
  largestGatewayCount(region: string, nowMs: number): number
  /** Calls `listener` after each change; returns a function that ends the subscription. */
  subscribe(listener: () => void): () => void
}

/** Gateways of a region that take new work and that this process does not doubt. */
export function aliveGateways(members: readonly Member[], region: string): Member[] {
  return members.filter(
    (member) =>
      member.role === MemberRole.Gateway &&
      member.region === region &&
      member.state === MemberState.Live &&
      member.health === MemberHealth.Alive,
  )
}
