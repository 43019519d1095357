/** Load of regions as reported by the load aggregation. */

/** Load of one service in one region. */
export interface ServiceLoad {
  readonly region: string
  readonly service: string
  /** Requests per second that arrive in this region, including those of other home regions. */
  readonly requestsPerSecond: number
  /** Requests per second of callers whose home region this is, wherever they are served. */
  readonly homeRequestsPerSecond: number
  /** Number of requests that are being executed. */
  readonly inFlight: number
  /** Number of slots of live backend servers. */
  readonly slots: number
  /** Mean time that a request holds a slot, in milliseconds. */
  readonly meanServiceMs: number
  /** Time of the oldest measurement in the sums, milliseconds since the epoch. */
  readonly measuredAtMs: number
}

/** Read access to the latest reported loads. */
export interface RegionLoadView {
  /** Returns the latest load, whatever its age, or `undefined` if none was ever reported. */
  load(region: string, service: string): ServiceLoad | undefined
  /** Returns the latest load of every reported region and service. */
  all(): readonly ServiceLoad[]
}

/** Older loads are ignored in decisions that move callers to a region. */
export const LOAD_MAX_AGE_MS = 3000

/** Requests per second that the slots can serve, or 0 without a measured service time. */
export function capacityOf(load: ServiceLoad): number {
  return load.meanServiceMs <= 0 ? 0 : (load.slots * 1000) / load.meanServiceMs
}
