/** Which instances were disturbed when; decides whether bounds in time hold for them. */

/** Time after a disturbance until bounds in time hold again, in ms; as the platform's deployments state. */
const STABILITY_MS = 4000

interface Span {
  readonly fromMs: number
  toMs: number
  /** Signal to end: planned work, which excuses nothing about requests in flight. */
  readonly isPlanned: boolean
}

/** Record of one run. Times in milliseconds since its start. */
export class DisturbanceLog {
  readonly #spans = new Map<string, Span[]>()
  readonly #startOf: (instance: string) => string

  /** @param startOf identifies the present start of an instance */
  constructor(startOf: (instance: string) => string) {
    this.#startOf = startOf
  }

  startOf(instance: string): string {
    return this.#startOf(instance)
  }

  /** Begins a disturbance. @returns a function that ends it */
  begin(instances: readonly string[], atMs: number, isPlanned = false): (atMs: number) => void {
    const spans = instances.map((instance) => {
      const span: Span = { fromMs: atMs, toMs: Number.POSITIVE_INFINITY, isPlanned }
      this.#spans.set(instance, [...(this.#spans.get(instance) ?? []), span])
      return span
    })
    return (endMs) => {
      for (const span of spans) span.toMs = endMs
    }
  }

  /** Whether the instance was undisturbed for the stability time before `atMs`. */
  isInTouch(instance: string, atMs: number): boolean {
    const spans = this.#spans.get(instance) ?? []
    return !spans.some(({ fromMs, toMs }) => fromMs <= atMs && toMs + STABILITY_MS >= atMs)
  }

  /** Whether the instance is in planned work, of the same start, and nothing else disturbed it. */
  isOnlyLeaving(instance: string, start: string, atMs: number): boolean {
    const near = (this.#spans.get(instance) ?? []).filter(
      ({ fromMs, toMs }) => fromMs <= atMs && toMs + STABILITY_MS >= atMs,
    )
    const isSameStart = this.#startOf(instance) === start
    return isSameStart && near.length > 0 && near.every(({ isPlanned }) => isPlanned)
  }
}
