/** Messages between entry instances: one JSON array per line, the kind first. */
import type { InstanceRecord } from './instanceRecord.js'
import type { LoadReport } from './loadReport.js'

/** Kinds of messages. Short, because three of them accompany each request. */
export enum PeerMessageKind {
  /** First message of a link. */
  Hello = 'h',
  /** Sign of life, with the age of the sender's contact with the store. */
  Beat = 'b',
  /** The sender is leaving. */
  Leaving = 'l',
  /** Asks the coordinator of a service for a slot. */
  Ask = 'a',
  /** Withdraws an ask. */
  Cancel = 'c',
  /** Grants a slot. */
  Grant = 'g',
  /** Refuses an ask. */
  Refuse = 'r',
  /** Ends the use of a slot. */
  Done = 'd',
  /** Tells a new coordinator which slots the sender uses. */
  Adopt = 'o',
  /** Changes read from the store. */
  News = 'n',
  /** Demand and capacity of a service in the sender's region. */
  Demand = 'm',
  /** Tells the next coordinator in line of the same region how a service's requests are shared. */
  Share = 's',
  /** Slots that the sender's region lends to the receiver's region. */
  Lend = 'e',
}

export interface HelloMessage {
  readonly kind: PeerMessageKind.Hello
  readonly record: InstanceRecord
  /** Other instances that the sender knows. */
  readonly known: readonly InstanceRecord[]
  /** Revision of the store up to which the sender knows everything; 0: nothing yet. */
  readonly revision: number
}

export interface BeatMessage {
  readonly kind: PeerMessageKind.Beat
  /** Time since the sender or its source last heard from the store, in ms; -1: never. */
  readonly storeAgeMs: number
  readonly revision: number
  /** Time until the next message on this link at the latest, in milliseconds. */
  readonly nextInMs: number
}

export interface LeavingMessage {
  readonly kind: PeerMessageKind.Leaving
  readonly incarnation: string
}

/** What a coordinator needs to know of a request. */
export interface SlotAsk {
  /** Unique at the instance that asks. */
  readonly askId: number
  readonly service: string
  readonly route: string
  /** Empty: no object. */
  readonly object: string
  readonly priority: number
  /** Time until an answer loses most of its use, in milliseconds; may be negative. */
  readonly targetInMs: number
  /** Time until the request ends, in milliseconds. */
  readonly deadlineInMs: number
  readonly isReturn: boolean
  readonly excludedServers: readonly string[]
  /** Regions that may run it; empty: all. */
  readonly regions: readonly string[]
}

export interface AskMessage {
  readonly kind: PeerMessageKind.Ask
  readonly ask: SlotAsk
}

export interface CancelMessage {
  readonly kind: PeerMessageKind.Cancel
  readonly service: string
  readonly askId: number
}

export interface GrantMessage {
  readonly kind: PeerMessageKind.Grant
  readonly askId: number
  readonly serverId: string
}

export interface RefuseMessage {
  readonly kind: PeerMessageKind.Refuse
  readonly askId: number
  readonly reason: string
  readonly retryAfterMs: number
}

/** How the use of a slot ended. */
export enum SlotUse {
  Completed = 'c',
  /** The backend server answered with a failure of its own. */
  Failed = 'f',
  /** The backend server was full or not reachable; nothing ran. */
  NotRun = 'n',
  /** The connection broke or the answer was unusable. */
  Broken = 'b',
  /** The caller left or the time was up. */
  Abandoned = 'x',
}

export interface DoneMessage {
  readonly kind: PeerMessageKind.Done
  readonly service: string
  readonly askId: number
  readonly use: SlotUse
  readonly durationMs: number
  readonly report: LoadReport | null
}

/** Use of a slot that an instance tells a new coordinator. */
export interface AdoptedUse {
  readonly askId: number
  readonly serverId: string
  readonly route: string
  readonly forMs: number
}

export interface AdoptMessage {
  readonly kind: PeerMessageKind.Adopt
  readonly service: string
  readonly uses: readonly AdoptedUse[]
}

/** An item as the store holds it; without value: removed. */
export interface NewsItem {
  readonly key: string
  readonly revision: number
  /** Base64. */
  readonly value: string | null
}

export interface NewsMessage {
  readonly kind: PeerMessageKind.News
  readonly items: readonly NewsItem[]
  readonly revision: number
  /** Whether `items` is everything that exists at `revision`. */
  readonly isComplete: boolean
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

export interface ShareMessage {
  readonly kind: PeerMessageKind.Share
  readonly service: string
  /** Part of the requests that runs in other regions. */
  readonly share: number
  readonly neededSlots: number
}

/** Slots of one backend server for another region. */
export interface LentSlots {
  readonly serverId: string
  readonly slots: number
}

export interface LendMessage {
  readonly kind: PeerMessageKind.Lend
  readonly service: string
  readonly region: string
  readonly slots: readonly LentSlots[]
}

export type PeerMessage =
  | HelloMessage
  | BeatMessage
  | LeavingMessage
  | AskMessage
  | CancelMessage
  | GrantMessage
  | RefuseMessage
  | DoneMessage
  | AdoptMessage
  | NewsMessage
  | DemandMessage
  | ShareMessage
  | LendMessage
