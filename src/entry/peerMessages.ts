/** Messages between entry instances, sent as one JSON object per line. */
import type { QuotaMessage } from '../quotas/quotaMessages.js'
import type { InstanceRecord } from './instanceRecord.js'
import type { LoadReport } from './loadReport.js'
import type { LeavingServer } from './serverBeliefs.js'
import type { ConnectionUse } from './serverExchange.js'
import type { ServerStatement } from './serverStatement.js'

/** Wire values are one letter because each request causes three messages. */
export enum PeerMessageKind {
  /** First message of a link. */
  Hello = 'h',
  /** Heartbeat with the age of the sender's last contact with the store. */
  Heartbeat = 'b',
  /** The sender is shutting down. */
  Leaving = 'l',
  /** Requests a slot from the coordinator of a service. */
  SlotRequest = 'a',
  /** Cancels a slot request. */
  CancelSlotRequest = 'c',
  /** Grants a slot. */
  Grant = 'g',
  /** Refuses a slot request. */
  Refuse = 'r',
  /** Releases a slot and reports how its request ended. */
  ReleaseSlot = 'd',
  /** Reports the slots that the sender holds to a coordinator that may not know them. */
  HeldSlots = 'o',
  /** Changes of the store. */
  StoreUpdate = 'n',
  /** Requests the changes of the store that the sender missed. */
  StoreRequest = 'q',
  /** Demand and capacity of a service in the sender's region. */
  Demand = 'm',
  /** Passes the remote share of a service on to its successor as coordinator in the same region. */
  RemoteShare = 's',
  /** Slots that the sender's region lends to the receiver's region. */
  LendSlots = 'e',
  /** Limits that backend servers of a service stated to the sender's region. */
  StatedLimits = 't',
  /** Backend servers that stated in an answer that they are leaving. */
  ServersLeaving = 'v',
}

export interface HelloMessage {
  readonly kind: PeerMessageKind.Hello
  readonly record: InstanceRecord
  /** Other instances of one region in the sender's table; empty if the receiver knows as many. */
  readonly known: readonly InstanceRecord[]
  /** Number of other instances of the sender's region in its table. */
  readonly knownCount?: number
  /** Store revision up to which the sender's copy is complete; 0 if it has none. */
  readonly revision: number
  /**
   * Revision of the latest change in the sender's copy. Senders that state it request the changes
   * that they miss; to others, of an earlier release, a full copy is sent.
   */
  readonly latestChange?: number
}

export interface HeartbeatMessage {
  readonly kind: PeerMessageKind.Heartbeat
  /** Time since the store last answered the sender itself, in milliseconds; -1 if never. */
  readonly storeAgeMs: number
  readonly revision: number
  readonly latestChange?: number
  /** Longest time until the next message on this link, in milliseconds. */
  readonly nextInMs: number
}

export interface LeavingMessage {
  readonly kind: PeerMessageKind.Leaving
  readonly incarnation: string
}

/** Properties of a request that the coordinator's decision depends on. */
export interface SlotRequestDetails {
  /** Unique within the sending instance. */
  readonly askId: number
  readonly service: string
  readonly route: string
  /** Object that the request concerns; empty if none. */
  readonly object: string
  readonly priority: number
  /** Time until the route's target latency is exceeded, in milliseconds; may be negative. */
  readonly targetInMs: number
  /** Time until the deadline, in milliseconds. */
  readonly deadlineInMs: number
  /** Whether the caller retries after a refusal. */
  readonly isReturn: boolean
  readonly excludedServers: readonly string[]
  /** Regions that may run the request; empty for all. */
  readonly regions: readonly string[]
  /**
   * Time for which the caller waits in total, in milliseconds; longer than the deadline where the
   * route limits a single attempt. `undefined`: until the deadline.
   */
  readonly callerLeftMs?: number | undefined
  /** Whether an attempt that was cut may be repeated; `undefined`: unknown, taken as no. */
  readonly isRepeatable?: boolean | undefined
}

export interface SlotRequestMessage {
  readonly kind: PeerMessageKind.SlotRequest
  readonly ask: SlotRequestDetails
}

export interface CancelSlotRequestMessage {
  readonly kind: PeerMessageKind.CancelSlotRequest
  readonly service: string
  readonly askId: number
}

export interface GrantMessage {
  readonly kind: PeerMessageKind.Grant
  readonly askId: number
  readonly serverId: string
  /** Whether instances lost connections to servers of the service; left out if not. */
  readonly mayConnectionsBeLost?: boolean
}

export interface RefuseMessage {
  readonly kind: PeerMessageKind.Refuse
  readonly askId: number
  readonly reason: string
  readonly retryAfterMs: number
}

/** How the request that held a slot ended. */
export enum SlotOutcome {
  Completed = 'c',
  /** The backend server answered with a 5xx status. */
  Failed = 'f',
  /** The backend server was full or unreachable; the request did not run. */
  NotRun = 'n',
  /** The connection broke or the answer was invalid. */
  Broken = 'b',
  /** The caller disconnected or the request timed out. */
  Abandoned = 'x',
}

export interface ReleaseSlotMessage {
  readonly kind: PeerMessageKind.ReleaseSlot
  readonly service: string
  readonly askId: number
  readonly use: SlotOutcome
  readonly durationMs: number
  readonly report: LoadReport | null
  /** What the server stated in its answer; left out if nothing. */
  readonly stated?: ServerStatement
  /** What became of the connection; left out if nothing was sent, or it was closed as usual. */
  readonly connection?: ConnectionUse
}

/** Slot that an instance holds, as reported to a coordinator. */
export interface HeldSlotReport {
  readonly askId: number
  readonly serverId: string
  readonly route: string
  /** Time since the slot was granted, in milliseconds. */
  readonly forMs: number
}

export interface HeldSlotsMessage {
  readonly kind: PeerMessageKind.HeldSlots
  readonly service: string
  readonly uses: readonly HeldSlotReport[]
  /** Whether `uses` are all slots that the sender holds, so that any other has been released. */
  readonly isComplete?: boolean
}

/** Item of the store at one revision. */
export interface StoreUpdateItem {
  readonly key: string
  readonly revision: number
  /** Base64; `null` if the item was removed. */
  readonly value: string | null
}

export interface StoreUpdateMessage {
  readonly kind: PeerMessageKind.StoreUpdate
  readonly items: readonly StoreUpdateItem[]
  readonly revision: number
  /**
   * The changes follow this revision without a gap; a receiver whose copy ends before it missed
   * some. Not set in full copies and by earlier releases.
   */
  readonly since?: number
  /** Whether `items` holds all items of the store at `revision`, rather than changes. */
  readonly isComplete: boolean
  /** Compressed items, which replace `items`; only sent to peers that state `latestChange`. */
  readonly packed?: string
}

export interface StoreRequestMessage {
  readonly kind: PeerMessageKind.StoreRequest
  /** Revision up to which the sender's copy is complete; 0 if it has none. */
  readonly since: number
}

export interface DemandMessage {
  readonly kind: PeerMessageKind.Demand
  readonly service: string
  readonly region: string
  /** Slots that the region's requests need. */
  readonly neededSlots: number
  /** Slots of the region's own usable backend servers. */
  readonly slots: number
}

export interface RemoteShareMessage {
  readonly kind: PeerMessageKind.RemoteShare
  readonly service: string
  /** Share of the requests that runs in other regions, in 0..1. */
  readonly share: number
  readonly neededSlots: number
}

/** Slots of one backend server that another region may use. */
export interface LentSlots {
  readonly serverId: string
  readonly slots: number
}

export interface LendSlotsMessage {
  readonly kind: PeerMessageKind.LendSlots
  readonly service: string
  readonly region: string
  readonly slots: readonly LentSlots[]
}

/** Limit that a backend server stated. */
export interface StatedLimit {
  readonly serverId: string
  /** Requests per second; `null` if the server no longer states a limit. */
  readonly limitPerSecond: number | null
  readonly ageMs: number
}

export interface StatedLimitsMessage {
  readonly kind: PeerMessageKind.StatedLimits
  readonly service: string
  readonly limits: readonly StatedLimit[]
}

export interface ServersLeavingMessage {
  readonly kind: PeerMessageKind.ServersLeaving
  readonly servers: readonly LeavingServer[]
}

export type PeerMessage =
  | HelloMessage
  | HeartbeatMessage
  | LeavingMessage
  | SlotRequestMessage
  | CancelSlotRequestMessage
  | GrantMessage
  | RefuseMessage
  | ReleaseSlotMessage
  | HeldSlotsMessage
  | StoreUpdateMessage
  | StoreRequestMessage
  | DemandMessage
  | RemoteShareMessage
  | LendSlotsMessage
  | StatedLimitsMessage
  | ServersLeavingMessage
  | QuotaMessage
