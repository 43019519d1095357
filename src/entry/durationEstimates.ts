/** Request durations by route, by region and by whether the server has the object cached. */
import { MovingMean } from './movingMean.js'

/** Weight of a new sample; the estimate reflects about the last 30 requests. */
const DURATION_WEIGHT = 0.06
/**
 * Duration with a cached object relative to one without, until both have been observed.
 * The platform's operators state that a cached object takes about a third less.
 */
const CACHED_OBJECT_FACTOR = 0.7
/** Upper bound of a sample relative to the mean; stragglers run many times longer. */
const MAX_SAMPLE_FACTOR = 4

/** Moving means of durations, each created with its first sample. */
export class DurationEstimates {
  /** By route and region; the pair holds the means without and with a cached object. */
  readonly #means = new Map<string, Map<string, readonly [MovingMean, MovingMean]>>()
  readonly #defaults = new Map<string, number>()

  /** Sets the duration in milliseconds that is assumed until one was observed. */
  setDefault(route: string, durationMs: number): void {
    this.#defaults.set(route, durationMs)
  }

  add(route: string, region: string, isCached: boolean, durationMs: number): void {
    const mean = this.#meansOf(route, region)[isCached ? 1 : 0]
    const bound = (mean.value ?? this.expectedMs(route, region, isCached)) * MAX_SAMPLE_FACTOR
    mean.add(Math.min(durationMs, bound))
  }

  expectedMs(route: string, region: string, isCached: boolean): number {
    const pair = this.#means.get(route)?.get(region)
    const observed = pair?.[isCached ? 1 : 0].value
    if (observed !== undefined) return observed
    const other = pair?.[isCached ? 0 : 1].value
    if (other !== undefined) {
      return isCached ? other * CACHED_OBJECT_FACTOR : other / CACHED_OBJECT_FACTOR
    }
    return this.#defaults.get(route) ?? DEFAULT_DURATION_MS
  }

  #meansOf(route: string, region: string): readonly [MovingMean, MovingMean] {
    const regions = this.#means.get(route) ?? new Map<string, readonly [MovingMean, MovingMean]>()
    this.#means.set(route, regions)
    const existing = regions.get(region)
    if (existing !== undefined) return existing
    const created = [new MovingMean(DURATION_WEIGHT), new MovingMean(DURATION_WEIGHT)] as const
    regions.set(region, created)
    return created
  }
}

/** Duration assumed for a route without samples and target latency; a typical short request. */
export const DEFAULT_DURATION_MS = 200
