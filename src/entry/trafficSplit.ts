/** Distributes the requests of a route over its services in proportion to their weights. */
import type { Route } from './routingConfiguration.js'

/**
 * Smooth weighted round robin per route. The share of each service is exact after every
 * full cycle, so that a short measurement shows the configured weights.
 */
export class TrafficSplit {
  readonly #credits = new Map<string, Map<string, number>>()

  /** Returns the service for the next request. */
  next(route: Route): string {
    const only = route.shares[0]
    if (only !== undefined && route.shares.length === 1) return only.service
    const credits = this.#credits.get(route.name) ?? new Map<string, number>()
    this.#credits.set(route.name, credits)
    const total = route.shares.reduce((sum, share) => sum + share.weight, 0)
    let best = ''
    let bestCredit = Number.NEGATIVE_INFINITY
    for (const share of route.shares) {
      const credit = (credits.get(share.service) ?? 0) + share.weight
      credits.set(share.service, credit)
      if (credit > bestCredit) {
        best = share.service
        bestCredit = credit
      }
    }
    credits.set(best, bestCredit - total)
    return best
  }

  /** Drops the state of routes that no longer exist. */
  retain(routes: readonly Route[]): void {
    const names = new Set(routes.map((route) => route.name))
    for (const name of this.#credits.keys()) if (!names.has(name)) this.#credits.delete(name)
  }
}
