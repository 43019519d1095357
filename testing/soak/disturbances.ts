/** Records which instances were disturbed when, since time limits don't apply to disturbed ones. */

/** Time after a disturbance until time limits apply again, as in deployments of the platform. */
const STABILITY_PERIOD_MS = 4000

interface Disturbance {
  readonly fromMs: number
  toMs: number
  /** Whether it is a graceful shutdown, which must not cut requests in flight. */
  readonly isGracefulShutdown: boolean
}

/** Disturbances of one soak test; times in milliseconds since its start. */
export class DisturbanceLog {
  readonly #disturbances = new Map<string, Disturbance[]>()
  readonly #startIdOf: (instance: string) => string

  /** @param startIdOf returns an identifier of the instance's current process */
  constructor(startIdOf: (instance: string) => string) {
    this.#startIdOf = startIdOf
  }

  startIdOf(instance: string): string {
    return this.#startIdOf(instance)
  }

  /** Records the start of a disturbance. @returns a function that records its end */
  begin(
    instances: readonly string[],
    atMs: number,
    isGracefulShutdown = false,
  ): (atMs: number) => void {
    const disturbances = instances.map((instance) => {
      const disturbance: Disturbance = {
        fromMs: atMs,
        toMs: Number.POSITIVE_INFINITY,
        isGracefulShutdown,
      }
      this.#disturbances.set(instance, [...(this.#disturbances.get(instance) ?? []), disturbance])
      return disturbance
    })
    return (endMs) => {
      for (const disturbance of disturbances) disturbance.toMs = endMs
    }
  }

  /** Whether the instance was undisturbed at `atMs` and for {@link STABILITY_PERIOD_MS} before. */
  isUndisturbed(instance: string, atMs: number): boolean {
    const disturbances = this.#disturbances.get(instance) ?? []
    return !disturbances.some(
      ({ fromMs, toMs }) => fromMs <= atMs && toMs + STABILITY_PERIOD_MS >= atMs,
    )
  }

  /** Whether the process is shutting down gracefully and nothing else disturbed it. */
  isOnlyShuttingDown(instance: string, startId: string, atMs: number): boolean {
    const recent = (this.#disturbances.get(instance) ?? []).filter(
      ({ fromMs, toMs }) => fromMs <= atMs && toMs + STABILITY_PERIOD_MS >= atMs,
    )
    const isSameStart = this.#startIdOf(instance) === startId
    return (
      isSameStart &&
      recent.length > 0 &&
      recent.every(({ isGracefulShutdown }) => isGracefulShutdown)
    )
  }
}
