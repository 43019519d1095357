/** Usual service times per class of requests, from recent completions. */

const WINDOW = 64
/** A time this much above the upper decile counts as outside the usual spread. */
const DECILE_FACTOR = 1.4
const MIN_SAMPLES = 5
/** Classes kept; paths come from callers, so their number has no natural bound. */
const MAX_CLASSES = 1000

class SampleWindow {
  readonly #samples: number[] = []
  #next = 0
  #sinceMedian = 0
  #median: number | undefined
  #upperDecile: number | undefined

  add(value: number): void {
    this.#samples[this.#next] = value
    this.#next = (this.#next + 1) % WINDOW
    this.#sinceMedian += 1
    // Sorting 64 numbers at each completion would show in the processor time.
    if (this.#samples.length < 16 || this.#sinceMedian >= 8) this.#refresh()
  }

  get median(): number | undefined {
    return this.#samples.length < MIN_SAMPLES ? undefined : this.#median
  }

  /** 90% of the samples are below. */
  get upperDecile(): number | undefined {
    return this.#samples.length < MIN_SAMPLES ? undefined : this.#upperDecile
  }

  #refresh(): void {
    const sorted = [...this.#samples].sort((left, right) => left - right)
    this.#median = sorted[Math.floor(sorted.length / 2)]
    this.#upperDecile = sorted[Math.floor(sorted.length * 0.9)]
    this.#sinceMedian = 0
  }
}

/** Medians per class and for the whole service, and the mean slot time of the service. */
export class ClassEstimates {
  readonly #classes = new Map<string, SampleWindow>()
  readonly #service = new SampleWindow()
  #meanMs: number | undefined

  /** Adds a completed request. */
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

  /** Usual time of the class, else of the service; `undefined` with too few completions. */
  usualMs(requestClass: string): number | undefined {
    return this.#classes.get(requestClass)?.median ?? this.#service.median
  }

  /**
   * Time after which a request of the class is late: `factor` usual times, and
   * clearly more than nine of ten requests take, because classes differ in spread.
   */
  lateMs(requestClass: string, factor: number): number | undefined {
    const window = this.#classes.get(requestClass)
    const samples = window?.median === undefined ? this.#service : window
    if (samples.median === undefined) return undefined
    return Math.max(factor * samples.median, DECILE_FACTOR * (samples.upperDecile ?? 0), 1)
  }

  /** Usual time over all classes; `undefined` with too few completions. */
  serviceUsualMs(): number | undefined {
    return this.#service.median
  }

  /** Mean time that a request holds a slot; 0 before the first completion. */
  meanMs(): number {
    return this.#meanMs ?? 0
  }

  #evictOldest(): void {
    if (this.#classes.size < MAX_CLASSES) return
    const oldest = this.#classes.keys().next()
    if (oldest.done !== true) this.#classes.delete(oldest.value)
  }
}
