/** The configuration in force at this instance; it only moves forward. */
import type { RoutingConfiguration } from './routingConfiguration.js'
import { RouteIndex } from './routingConfiguration.js'
import { TrafficSplit } from './trafficSplit.js'

/** A configuration with its index. */
export interface IndexedConfiguration extends RoutingConfiguration {
  readonly index: RouteIndex
}

/** Holder of the present configuration. */
export class RoutingView {
  readonly split = new TrafficSplit()
  #current: IndexedConfiguration | undefined

  get current(): IndexedConfiguration | undefined {
    return this.#current
  }

  /** Takes a later version; returns false and keeps the present one otherwise. */
  accept(configuration: RoutingConfiguration): boolean {
    if (this.#current !== undefined && configuration.version <= this.#current.version) return false
    this.#current = { ...configuration, index: new RouteIndex(configuration.routes) }
    this.split.retain(configuration.routes)
    return true
  }

  /** Target latency of a route, in milliseconds. */
  targetLatencyMs(route: string): number | undefined {
    return this.#current?.index.named(route)?.targetLatencyMs
  }
}
