/** The configuration document and the records that change it. */

/** A region with its availability zones. */
export interface RegionRecord {
  readonly name: string
  readonly zones: readonly string[]
}

/** Bandwidth from one region to another; each direction is a record of its own. */
export interface LinkRecord {
  readonly from: string
  readonly to: string
  readonly bitsPerSecond: number
}

/** A place that client blocks are steered to; its entry instances name it in their settings. */
export interface SiteRecord {
  readonly name: string
  readonly region: string
  readonly zone: string
}

/** A backend server. */
export interface WorkerRecord {
  readonly workerId: string
  /** Grows when another instance takes over the identifier. */
  readonly generation: number
  /** `host:port` */
  readonly address: string
  readonly region: string
  readonly zone: string
  /** Requests that it executes at the same time. */
  readonly slots: number
}

/** A service of the operator. */
export interface ServiceRecord {
  readonly name: string
  /** Order in refusal: 1 is refused last. */
  readonly priority: number
  /** Methods that may be repeated; others need an operation identifier for a retry. */
  readonly idempotentMethods: readonly string[]
  readonly workers: readonly WorkerRecord[]
  /** Requests that may wait at one gateway. */
  readonly maxQueued: number
  /** Default timeout of a request in milliseconds. */
  readonly defaultTimeoutMs: number
  readonly maxRequestBytes: number
  readonly maxResponseBytes: number
  /** Expected size of an answer in bytes, for link use in plans. */
  readonly typicalResponseBytes: number
  /** Share of a link that the service gets under contention, relative to other services. */
  readonly linkWeight: number
}

/** Where the callers of a region are served, as shares that sum to 1. Absent: in their own region. */
export interface SteeringRecord {
  readonly service: string
  readonly clientRegion: string
  readonly shares: Readonly<Record<string, number>>
}

/** State of a shift. */
export enum ShiftState {
  Running = 'running',
  Paused = 'paused',
  Reversing = 'reversing',
  Finished = 'finished',
}

/** A gradual move of a service's callers between regions. */
export interface ShiftRecord {
  readonly shiftId: string
  readonly service: string
  readonly from: string
  readonly to: string
  /** Largest share of the traffic of `from` that may move, 0 to 1. */
  readonly capShare: number
  /** Share that is moved now, 0 to `capShare`. */
  readonly currentShare: number
  /** Largest increase per step. */
  readonly stepShare: number
  /** Shortest time between steps in milliseconds. */
  readonly stepIntervalMs: number
  readonly state: ShiftState
  /** Number of steps taken; a step is committed as this number plus one. */
  readonly step: number
  /** Measured rate of the service's callers in `from` when the shift was planned, requests per second. */
  readonly plannedRate: number
  /** Reason of the present pause, for operators. */
  readonly pauseReason?: string
}

/** An operator's intent that a backend server leaves. */
export interface LeavingRecord {
  readonly workerId: string
  readonly generation: number
}

/** A range of client addresses that is steered as one. */
export interface ClientBlock {
  /** CIDR notation, IPv4 or IPv6 (at most /64). */
  readonly cidr: string
  readonly site: string
  /** Traffic of the block relative to others. */
  readonly weight: number
}

/** Kinds of change records. */
export enum RecordKind {
  PutRegion = 'putRegion',
  PutLink = 'putLink',
  PutSite = 'putSite',
  PutService = 'putService',
  RemoveService = 'removeService',
  PutSteering = 'putSteering',
  RemoveSteering = 'removeSteering',
  PutShift = 'putShift',
  RemoveShift = 'removeShift',
  MarkLeaving = 'markLeaving',
  ClearLeaving = 'clearLeaving',
  PutBlocks = 'putBlocks',
  RemoveBlocks = 'removeBlocks',
}

/** One record of a change. All records of a change take effect in one revision or not at all. */
export type ConfigurationRecord =
  | { readonly kind: RecordKind.PutRegion; readonly region: RegionRecord }
  | { readonly kind: RecordKind.PutLink; readonly link: LinkRecord }
  | { readonly kind: RecordKind.PutSite; readonly site: SiteRecord }
  | { readonly kind: RecordKind.PutService; readonly service: ServiceRecord }
  | { readonly kind: RecordKind.RemoveService; readonly service: string }
  | { readonly kind: RecordKind.PutSteering; readonly steering: SteeringRecord }
  | {
      readonly kind: RecordKind.RemoveSteering
      readonly service: string
      readonly clientRegion: string
    }
  | { readonly kind: RecordKind.PutShift; readonly shift: ShiftRecord }
  | { readonly kind: RecordKind.RemoveShift; readonly shiftId: string }
  | { readonly kind: RecordKind.MarkLeaving; readonly leaving: LeavingRecord }
  | { readonly kind: RecordKind.ClearLeaving; readonly workerId: string }
  | { readonly kind: RecordKind.PutBlocks; readonly blocks: readonly ClientBlock[] }
  | { readonly kind: RecordKind.RemoveBlocks; readonly cidrs: readonly string[] }

/** A change as committed: its records become one revision. */
export interface ConfigurationChange {
  /** Chosen by the writer, unique; settles a commit whose answer was lost. */
  readonly changeId: string
  readonly operator: string
  /** Milliseconds since the epoch, for the history only. */
  readonly createdAtMs: number
  /** One line for the history. */
  readonly summary: string
  readonly records: readonly ConfigurationRecord[]
}

/** Everything of the configuration but the blocks, which are in a `BlockTable`. */
export interface ConfigurationDocument {
  readonly regions: ReadonlyMap<string, RegionRecord>
  /** Keyed by `<from>><to>`; see {@link linkKey}. */
  readonly links: ReadonlyMap<string, LinkRecord>
  readonly sites: ReadonlyMap<string, SiteRecord>
  readonly services: ReadonlyMap<string, ServiceRecord>
  /** Keyed by `<service>@<clientRegion>`; see {@link steeringKey}. */
  readonly steering: ReadonlyMap<string, SteeringRecord>
  readonly shifts: ReadonlyMap<string, ShiftRecord>
  /** Keyed by worker identifier. */
  readonly leaving: ReadonlyMap<string, LeavingRecord>
}

/** Key of a link in {@link ConfigurationDocument.links}. */
export function linkKey(from: string, to: string): string {
  return `${from}>${to}`
}

/** Key of a steering record in {@link ConfigurationDocument.steering}. */
export function steeringKey(service: string, clientRegion: string): string {
  return `${service}@${clientRegion}`
}
