/** Service time statistics per request class, from recent completions. */

const WINDOW_SIZE = 64
/** Durations beyond this multiple of the 90th percentile are outside the spread of a class. */
const LATE_P90_FACTOR = 1.4
const MIN_SAMPLES = 5
/** Callers choose the paths that define classes, so the number of classes must be limited. */
const MAX_CLASSES = 1000

class SampleWindow {
  readonly #samples: number[] = []
  #next = 0
  #samplesSinceRefresh = 0
  #median: number | undefined
  #p90: number | undefined

  add(value: number): void {
    this.#samples[this.#next] = value
    this.#next = (this.#next + 1) % WINDOW_SIZE
    this.#samplesSinceRefresh += 1
    // Sorting 64 numbers at every completion costs noticeable CPU time.
    if (this.#samples.length < 16 || this.#samplesSinceRefresh >= 8) this.#refresh()
  }

  get median(): number | undefined {
    return this.#samples.length < MIN_SAMPLES ? undefined : this.#median
  }

  /** 90th percentile. */
  get p90(): number | undefined {
    return this.#samples.length < MIN_SAMPLES ? undefined : this.#p90
  }

  #refresh(): void {
    const sorted = [...this.#samples].sort((left, right) => left - right)
    this.#median = sorted[Math.floor(sorted.length / 2)]
    this.#p90 = sorted[Math.floor(sorted.length * 0.9)]
    this.#samplesSinceRefresh = 0
  }
}

/** Median and 90th percentile per class and per service, and the mean slot time of the service. */
export class ServiceTimeStats {
  readonly #classes = new Map<string, SampleWindow>()
  readonly #service = new SampleWindow()
  #meanMs: number | undefined

  /** Adds the service time of a completed request. */
  add(requestClass: string, durationMs: number): void {
    this.#service.add(durationMs)
    this.#meanMs =
      this.#meanMs === undefined ? durationMs : this.#meanMs + (durationMs - this.#meanMs) / 100
    let window = this.#classes.get(requestClass)
    if (window === undefined) {
      this.#evictOldest()
      window = new SampleWindow()
      this.#classes.set(requestClass, window)
    }
    window.add(durationMs)
  }

  /** Median of the class, otherwise of the service; `undefined` with too few completions. */
  medianMs(requestClass: string): number | undefined {
    return this.#classes.get(requestClass)?.median ?? this.#service.median
  }

  /**
   * Duration after which a request of the class is late: at least `factor` medians, and well
   * above the 90th percentile, so that classes with a wide spread cause no false positives.
   */
  lateThresholdMs(requestClass: string, factor: number): number | undefined {
    const window = this.#classes.get(requestClass)
    const samples = window?.median === undefined ? this.#service : window
    if (samples.median === undefined) return undefined
    return Math.max(factor * samples.median, LATE_P90_FACTOR * (samples.p90 ?? 0), 1)
  }

  /** Median over all classes; `undefined` with too few completions. */
  serviceMedianMs(): number | undefined {
    return this.#service.median
  }

  /** Moving mean of the time that a request holds a slot; 0 before the first completion. */
  meanMs(): number {
    return this.#meanMs ?? 0
  }

  #evictOldest(): void {
    if (this.#classes.size < MAX_CLASSES) return
    const oldest = this.#classes.keys().next()
    if (oldest.done !== true) this.#classes.delete(oldest.value)
  }
}
