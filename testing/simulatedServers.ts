/** Simulated backend servers: durations depend on the objects that a server has cached. */

/** Usual durations of a kind of request. */
export interface SimulatedWork {
  readonly cachedMs: number
  readonly uncachedMs: number
}

/** Servers of one service. */
export interface ServerModel extends SimulatedWork {
  /** Object cache size of a server. */
  readonly cacheSize: number
}

const STRAGGLER_FRACTION = 0.03
const STRAGGLER_FACTOR = 7

/** Duration of one request relative to the usual one; a few take many times longer. */
export function drawDurationFactor(
  random: () => number,
  stragglerFraction = STRAGGLER_FRACTION,
): number {
  const isStraggler = random() < stragglerFraction
  return isStraggler ? STRAGGLER_FACTOR : 0.85 + 0.3 * random()
}

/** Caches and running requests of all servers, by server id. */
export class SimulatedServers {
  readonly #model: ServerModel
  readonly #random: () => number
  readonly #caches = new Map<string, Set<string>>()
  readonly #running = new Map<string, number>()
  #peakConcurrency = 0
  #cacheMisses = 0

  /** @param random uniform in [0, 1) */
  constructor(model: ServerModel, random: () => number) {
    this.#model = model
    this.#random = random
  }

  /** Peak number of concurrent requests at one server. */
  get peakConcurrency(): number {
    return this.#peakConcurrency
  }

  /** Requests that ran at a server without their object in its cache. */
  get cacheMisses(): number {
    return this.#cacheMisses
  }

  /** Starts a request; returns its duration in milliseconds. */
  start(
    serverId: string,
    object: string,
    work: SimulatedWork = this.#model,
    factor = drawDurationFactor(this.#random),
  ): number {
    const cache = this.#caches.get(serverId) ?? new Set()
    this.#caches.set(serverId, cache)
    const isCached = cache.delete(object)
    cache.add(object)
    const [oldest] = cache
    if (cache.size > this.#model.cacheSize && oldest !== undefined) cache.delete(oldest)
    if (!isCached) this.#cacheMisses += 1
    const count = (this.#running.get(serverId) ?? 0) + 1
    this.#running.set(serverId, count)
    this.#peakConcurrency = Math.max(this.#peakConcurrency, count)
    return (isCached ? work.cachedMs : work.uncachedMs) * factor
  }

  end(serverId: string): void {
    this.#running.set(serverId, (this.#running.get(serverId) ?? 1) - 1)
  }
}
