/**
 * Load and service of each class of requests of one service: those of one route and priority.
 * From it follow the thresholds of admission, which class gets too little, and which too much.
 */
import { DecayingRate } from '../entry/movingMean.js'
import type { Waiter } from './waiter.js'

/** Time constant of the current rate; short enough to follow a burst. */
const CURRENT_WINDOW_MS = 1500
/** Time constant of the usual rate, to which a burst is expected to return. */
const USUAL_WINDOW_MS = 12_000
/** Time constant of the shares served; several times a usual wait. */
const SERVICE_WINDOW_MS = 8000
/** Requests per second below which a share is too uncertain to compare. */
const MIN_RATE_PER_SECOND = 3
/** Usual rate below which a class is forgotten; routes and customers come and go. */
const FORGOTTEN_RATE_PER_SECOND = 1e-6
/** A class may be served this much more often than a more urgent or an equal one. */
export const SHARE_TOLERANCE = 0.03
/** A class is served at least this fraction as often as all requests. */
export const SHARE_FLOOR = 0.25
/** Fraction below which a class is preferred; the share follows with a delay. */
const PREFERRED_BELOW = 0.32

interface ClassLoad {
  readonly route: string
  readonly priority: number
  readonly current: DecayingRate
  readonly usual: DecayingRate
  readonly offered: DecayingRate
  readonly served: DecayingRate
}

/** Work that arrives, as a fraction of the slots. */
export interface Utilization {
  readonly current: number
  readonly usual: number
}

/** Whether a class gets more or less than the others allow for. */
export enum ShareState {
  Even = 'even',
  /** Served more often than a more urgent class. */
  Above = 'above',
  /** Served more often than another class of its priority. */
  AboveEqual = 'aboveEqual',
  /** Served less often than the floor. */
  Below = 'below',
}

/** Classes of one service. */
export class ClassLoads {
  readonly #classes = new Map<string, ClassLoad>()

  recordArrival(waiter: Waiter, nowMs: number): void {
    const load = this.#loadOf(waiter, nowMs)
    load.current.add(1, nowMs)
    load.usual.add(1, nowMs)
    if (!waiter.request.isReturn) load.offered.add(1, nowMs)
  }

  recordStart(waiter: Waiter, nowMs: number): void {
    this.#loadOf(waiter, nowMs).served.add(1, nowMs)
  }

  /** Work of the classes that are chosen by their priority, relative to the slots. */
  utilization(
    isCounted: (priority: number) => boolean,
    holdMsOf: (route: string) => number,
    slots: number,
    nowMs: number,
  ): Utilization {
    let current = 0
    let usual = 0
    for (const load of this.#classes.values()) {
      if (!isCounted(load.priority)) continue
      const perSlot = holdMsOf(load.route) / 1000 / Math.max(1, slots)
      current += load.current.perSecond(nowMs) * perSlot
      usual += load.usual.perSecond(nowMs) * perSlot
    }
    return { current, usual }
  }

  /** Forgets classes without requests. */
  expire(nowMs: number): void {
    for (const [key, { usual }] of this.#classes) {
      if (usual.perSecond(nowMs) < FORGOTTEN_RATE_PER_SECOND) this.#classes.delete(key)
    }
  }

  /** State of every class's share, by {@link classOf}. */
  shareStates(nowMs: number): ReadonlyMap<string, ShareState> {
    const shares = [...this.#classes]
      .map(([key, { priority, offered, served }]) => ({
        key,
        priority,
        offered: offered.perSecond(nowMs),
        served: served.perSecond(nowMs),
      }))
      .filter(({ offered }) => offered >= MIN_RATE_PER_SECOND)
      .map((each) => ({ ...each, share: Math.min(1, each.served / each.offered) }))
      .sort((left, right) => left.priority - right.priority)
    const offered = shares.reduce((sum, each) => sum + each.offered, 0)
    const served = shares.reduce((sum, each) => sum + each.served, 0)
    const floor = (PREFERRED_BELOW * served) / Math.max(offered, 1e-9)
    const states = new Map<string, ShareState>()
    const leastByPriority = new Map<number, number>()
    for (const { priority, share } of shares) {
      leastByPriority.set(priority, Math.min(share, leastByPriority.get(priority) ?? 1))
    }
    let leastOfUrgent = Number.POSITIVE_INFINITY
    let leastOfEqual = Number.POSITIVE_INFINITY
    let previous = Number.NaN
    for (const { key, priority, share } of shares) {
      if (priority !== previous) leastOfUrgent = Math.min(leastOfUrgent, leastOfEqual)
      previous = priority
      leastOfEqual = leastByPriority.get(priority) ?? 1
      if (share < floor) states.set(key, ShareState.Below)
      else if (share > leastOfUrgent + SHARE_TOLERANCE) states.set(key, ShareState.Above)
      else if (share > leastOfEqual + SHARE_TOLERANCE) states.set(key, ShareState.AboveEqual)
    }
    return states
  }

  #loadOf({ request }: Waiter, nowMs: number): ClassLoad {
    const key = classOf(request)
    const existing = this.#classes.get(key)
    if (existing !== undefined) return existing
    const { route, priority } = request
    const created = {
      route,
      priority,
      current: new DecayingRate(CURRENT_WINDOW_MS, nowMs),
      usual: new DecayingRate(USUAL_WINDOW_MS, nowMs),
      offered: new DecayingRate(SERVICE_WINDOW_MS, nowMs),
      served: new DecayingRate(SERVICE_WINDOW_MS, nowMs),
    }
    this.#classes.set(key, created)
    return created
  }
}

/** Class of a request. */
export function classOf({
  route,
  priority,
}: Pick<Waiter['request'], 'route' | 'priority'>): string {
  return `${priority}/${route}`
}
