/** Records which instances were disturbed when, since time limits don't apply to disturbed ones. */

/** Time after a disturbance until time limits apply again, as in deployments of the platform. */
const STABILITY_MS = 4000

interface Span {
  readonly fromMs: number
  toMs: number
  /** Whether it is a graceful shutdown, which must not cut requests in flight. */
  readonly isPlanned: boolean
}

/** Disturbances of one soak test; times in milliseconds since its start. */
export class DisturbanceLog {
  readonly #spans = new Map<string, Span[]>()
  readonly #startOf: (instance: string) => string

  /** @param startOf returns an identifier of the instance's current process */
  constructor(startOf: (instance: string) => string) {
    this.#startOf = startOf
  }

  startOf(instance: string): string {
    return this.#startOf(instance)
  }

  /** Records the start of a disturbance. @returns a function that records its end */
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

  /** Whether the instance was undisturbed at `atMs` and for {@link STABILITY_MS} before. */
  isInTouch(instance: string, atMs: number): boolean {
    const spans = this.#spans.get(instance) ?? []
    return !spans.some(({ fromMs, toMs }) => fromMs <= atMs && toMs + STABILITY_MS >= atMs)
  }

  /** Whether the process is shutting down gracefully and nothing else disturbed it. */
  isOnlyLeaving(instance: string, start: string, atMs: number): boolean {
    const near = (this.#spans.get(instance) ?? []).filter(
      ({ fromMs, toMs }) => fromMs <= atMs && toMs + STABILITY_MS >= atMs,
    )
    const isSameStart = this.#startOf(instance) === start
    return isSameStart && near.length > 0 && near.every(({ isPlanned }) => isPlanned)
  }
}
