/** Types of the configuration document and of the records that change it. */

/** A region with its availability zones. */
export interface RegionRecord {
  readonly name: string
  readonly zones: readonly string[]
}

/** Bandwidth of a link from one region to another. Each direction has its own record. */
export interface LinkRecord {
  readonly from: string
  readonly to: string
  readonly bitsPerSecond: number
}

/**
 * A target that client blocks are steered to. Its entry instances refer to it by name in their
 * settings.
 */
export interface SiteRecord {
  readonly name: string
  readonly region: string
  readonly zone: string
}

/** A backend server of a service. */
export interface WorkerRecord {
  readonly workerId: string
  /** Increases when another instance takes over the identifier. */
  readonly generation: number
  /** `host:port` */
  readonly address: string
  readonly region: string
  readonly zone: string
  /** Maximum number of requests that it executes concurrently. */
  readonly slots: number
}

/** A service, with its backend servers and its limits. */
export interface ServiceRecord {
  readonly name: string
  /** Refusal order under overload: services with priority 1 are refused last. */
  readonly priority: number
  /**
   * Methods that may be retried as they are. A retry of any other needs an operation identifier.
   */
  readonly idempotentMethods: readonly string[]
  readonly workers: readonly WorkerRecord[]
  /** Maximum number of requests in the queue of one gateway. */
  readonly maxQueued: number
  /** Default timeout of a request in milliseconds. */
  readonly defaultTimeoutMs: number
  readonly maxRequestBytes: number
  readonly maxResponseBytes: number
  /** Expected size of an answer in bytes. Plans estimate link usage with it. */
  readonly typicalResponseBytes: number
  /**
   * Weight of the service, relative to others, when services compete for the bandwidth of a link.
   */
  readonly linkWeight: number
}

/**
 * Shares of traffic by region in which the callers of `clientRegion` are served; they sum to 1.
 * Without a record, callers are served in their own region.
 */
export interface SteeringRecord {
  readonly service: string
  readonly clientRegion: string
  readonly shares: Readonly<Record<string, number>>
}

export enum ShiftState {
  Running = 'running',
  Paused = 'paused',
  Reversing = 'reversing',
  Finished = 'finished',
}

/** A gradual move of a service's traffic from one region to another. */
export interface ShiftRecord {
  readonly shiftId: string
  readonly service: string
  readonly from: string
  readonly to: string
  /** Largest share of the traffic of `from` that may move, 0 to 1. */
  readonly capShare: number
  /** Share that is currently moved, 0 to `capShare`. */
  readonly currentShare: number
  /** Largest increase per step. */
  readonly stepShare: number
  /** Minimum time between steps in milliseconds. */
  readonly stepIntervalMs: number
  readonly state: ShiftState
  /** Number of completed steps. Committing a step increases it by one. */
  readonly step: number
  /**
   * Request rate of the service's callers in `from` when the shift was planned, requests per
   * second.
   */
  readonly plannedRate: number
  /** Reason for the current pause, shown to operators. */
  readonly pauseReason?: string
}

/** Mark of a backend server that an operator takes out of service. */
export interface LeavingRecord {
  readonly workerId: string
  readonly generation: number
}

/** A range of client addresses that is steered as a unit. */
export interface ClientBlock {
  /** CIDR notation, IPv4 or IPv6 (at most /64). */
  readonly cidr: string
  readonly site: string
  /** Traffic of the block relative to other blocks. */
  readonly weight: number
}

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

/** One record of a change. The records of a change are applied atomically, as one revision. */
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

/** A list of records that is committed as one revision. */
export interface ConfigurationChange {
  /**
   * Unique identifier chosen by the writer. It tells whether a commit whose answer was lost took
   * effect.
   */
  readonly changeId: string
  readonly operator: string
  /** Milliseconds since the epoch, used in the history only. */
  readonly createdAtMs: number
  /** One-line description, shown in the history. */
  readonly summary: string
  readonly records: readonly ConfigurationRecord[]
}

/** The configuration without its client blocks, which are stored in a `BlockTable`. */
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
