/**
 * Decides where requests for an object run. A server keeps only some objects, so each run at a
 * server that does not have its object makes it forget another one.
 *
 * Answers the load of many objects beside few servers: when requests take whatever slot is free,
 * each object is forgotten before it is asked for again, most work takes several times as long, and
 * the queue that follows spreads the objects even further.
 */

/** A server that a request for an object may run at. */
export interface PlacementOption {
  /** Whether the server is expected to have the object. */
  readonly isHit: boolean
  /** Usual duration without the object, less that with it, in milliseconds. */
  readonly gainMs: number
  /** Objects that the server is known to have had, as a fraction of what it keeps; at most 1. */
  readonly fill: number
  /** Whether another server has the object and takes as many requests as it has slots for. */
  readonly isHeld: boolean
  /** Expected time until the answer, in milliseconds. */
  readonly answerInMs: number
  /** Time until the request's target latency is exceeded, in milliseconds. */
  readonly targetInMs: number
}

/**
 * Cold runs that follow from displacing an object: it is missed, run cold, and displaces the next
 * one. An object is copied to a second server once waiting for the first one costs more than this.
 */
const DISPLACED_RUNS = 6

/**
 * Adds to the cost of a server what later requests lose if the object is run there. A request that
 * meets its target only there runs there, whatever it displaces.
 */
export function placementCostMs(costMs: number, option: PlacementOption): number {
  const { isHit, gainMs, fill, isHeld, answerInMs, targetInMs } = option
  if (isHit) return costMs
  const runs = fill + (isHeld ? DISPLACED_RUNS : 0)
  const displacingMs = costMs + Math.max(0, gainMs) * runs
  if (answerInMs > targetInMs) return displacingMs
  return Math.min(displacingMs, Math.max(costMs, targetInMs))
}

/** Deviation of the measured share from the intended one from which objects do not decide. */
const OBJECT_SHARE_TOLERANCE = 0.06

/** Share of a service's requests that runs in other regions. */
export interface RegionalShare {
  readonly intended: number
  readonly measured: number
}

/**
 * Whether a request for an object runs in another region. The objects are divided by their hash
 * rather than request by request, so that each stays with the servers of one region.
 * @param position hash of the object, in 0..1
 */
export function isPlacedRemotely(position: number, { intended, measured }: RegionalShare): boolean {
  const deviation = measured - intended
  if (Math.abs(deviation) > OBJECT_SHARE_TOLERANCE) return deviation < 0
  return position < intended
}

/** Identity of an object: routes use the same values for objects of their own. */
export function objectIdentity(route: string, value: string): string {
  return value === '' ? '' : `${route}/${value}`
}
