/** Load of regions as the aggregation reports it. */

/** Load of one service in one region. */
export interface ServiceLoad {
  readonly region: string
  readonly service: string
  /** Requests per second that arrive for the service in this region, moved ones included. */
  readonly requestsPerSecond: number
  /** Requests per second of callers whose home is this region, wherever they are served. */
  readonly homeRequestsPerSecond: number
  /** Requests being executed. */
  readonly inFlight: number
  /** Slots of live backend servers. */
  readonly slots: number
  /** Mean time that a request holds a slot, in milliseconds. */
  readonly meanServiceMs: number
  /** Time of the oldest measurement in it, milliseconds since the epoch. */
  readonly measuredAtMs: number
}

/** Read access to the latest known loads. */
export interface RegionLoadView {
  /** Returns the load, however old it is, or `undefined` if it was never reported. */
  load(region: string, service: string): ServiceLoad | undefined
  /** Returns all known loads. */
  all(): readonly ServiceLoad[]
}

/** Loads older than this count as missing for new moves, in milliseconds. */
export const LOAD_MAX_AGE_MS = 3000

/** Requests per second that the slots can carry, or 0 if nothing is known. */
export function capacityOf(load: ServiceLoad): number {
  return load.meanServiceMs <= 0 ? 0 : (load.slots * 1000) / load.meanServiceMs
}
