/** Routing configuration of an entry instance: routes, services, tenants and limits; immutable. */
import type { TenantDirectory } from '../tenants/tenantDirectory.js'

/** Whether a request that may have run can be sent to another backend server. */
export enum Repeatability {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** Runs at most once. */
  AtMostOnce = 'atMostOnce',
}

/** How a route is handled that this version can't handle as configured. */
export enum RestrictionKind {
  /** Sent to one backend server and never sent again. */
  SingleSend = 'singleSend',
  /** Refused as not run, because it is unknown who may serve it. */
  NotServed = 'notServed',
}

/** Why a route is handled more strictly than configured. */
export interface RouteRestriction {
  readonly kind: RestrictionKind
  /** The setting that this version does not know, for the log. */
  readonly reason: string
}

/** Share of a route's requests that goes to one service. */
export interface ServiceShare {
  readonly service: string
  /** Relative to the sum of the route's weights; above 0. */
  readonly weight: number
}

/** A route: requests for one host below one path prefix. */
export interface Route {
  readonly name: string
  /** Lower case, without a port. */
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly repeatability: Repeatability
  /** Longest time for which a request of the route may be unanswered, in milliseconds. */
  readonly timeoutMs: number
  /** Time within which an answer is fully useful, in ms, from the caller's first attempt. */
  readonly targetLatencyMs: number
  /** 0 is the highest priority. */
  readonly priority: number
  /** Services of the route; at least one, unless the route is restricted to not being served. */
  readonly shares: readonly ServiceShare[]
  /** Maximum number of sends per request; at least 1. */
  readonly maxAttempts: number
  /** Whether a backend server that recently handled the same object answers faster. */
  readonly prefersRecentServer: boolean
  /** Regions that may serve the route; empty: all. */
  readonly homeRegions: readonly string[]
  /** Whether callers without a key are served where tenants are configured. */
  readonly allowsAnonymous?: boolean
  /** Set if the route has a setting that this version does not know. */
  readonly restriction?: RouteRestriction
}

/** Settings of a service, which apply to all its backend servers. */
export interface ServiceSettings {
  readonly name: string
  /** Connections that one backend server accepts from all entry instances in total. */
  readonly maxConnections: number
  /** Requests per second that a cold backend server can handle. */
  readonly coldRequestsPerSecond: number
}

/** Size limits and timeouts for callers. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One version of the configuration. */
export interface RoutingConfiguration {
  /** Increases with each accepted change. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, ServiceSettings>
  readonly limits: CallerLimits
  /** Set if callers identify themselves by keys. */
  readonly tenants?: TenantDirectory
}

/** Index of routes by host and longest prefix, and by name. */
export class RouteIndex {
  readonly #byHost = new Map<string, Route[]>()
  readonly #byName = new Map<string, Route>()

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const sameHost = this.#byHost.get(route.host) ?? []
      sameHost.push(route)
      if (!this.#byName.has(route.name)) this.#byName.set(route.name, route)
      this.#byHost.set(route.host, sameHost)
    }
    for (const sameHost of this.#byHost.values()) {
      sameHost.sort((left, right) => right.prefix.length - left.prefix.length)
    }
  }

  /**
   * Finds the route with the longest matching prefix.
   * @param target path with query, as received
   */
  find(host: string, target: string): Route | undefined {
    const path = target.split('?', 1)[0] ?? target
    return this.#byHost.get(normalizeHost(host))?.find((route) => path.startsWith(route.prefix))
  }

  /** Finds a route by its name; called with every slot request. */
  findByName(name: string): Route | undefined {
    return this.#byName.get(name)
  }

  /** All routes of a host. */
  routesOfHost(host: string): readonly Route[] {
    return this.#byHost.get(normalizeHost(host)) ?? []
  }
}

function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '')
}
