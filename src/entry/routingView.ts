/** Routing configuration in force at this instance; only later versions replace it. */
import type { Route, RoutingConfiguration } from './routingConfiguration.js'
import { RouteIndex } from './routingConfiguration.js'
import { TrafficSplit } from './trafficSplit.js'

/** A configuration with an index of its routes. */
export interface IndexedConfiguration extends RoutingConfiguration {
  readonly index: RouteIndex
}

/** Holds the current routing configuration. */
export class RoutingView {
  readonly split = new TrafficSplit()
  #current: IndexedConfiguration | undefined

  get current(): IndexedConfiguration | undefined {
    return this.#current
  }

  /** Replaces the configuration if the version is later; returns whether it was replaced. */
  accept(configuration: RoutingConfiguration): boolean {
    if (this.#current !== undefined && configuration.version <= this.#current.version) return false
    this.#current = { ...configuration, index: new RouteIndex(configuration.routes) }
    this.split.retain(configuration.routes)
    return true
  }

  /** Routes that are handled more strictly than configured. */
  get restrictedRoutes(): readonly Route[] {
    return this.#current?.routes.filter(({ restriction }) => restriction !== undefined) ?? []
  }

  /** Target latency of a route, in milliseconds. */
  targetLatencyMs(route: string): number | undefined {
    return this.#current?.index.findByName(route)?.targetLatencyMs
  }
}
