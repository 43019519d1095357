/** The routes, services and limits that an entry instance serves, as one immutable version. */

/** Whether a request may be sent to a second backend server after it may have run. */
export enum Repeatability {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** Runs at most once. */
  AtMostOnce = 'atMostOnce',
}

/** Part of a route's requests that goes to one service. */
export interface ServiceShare {
  readonly service: string
  /** Relative to the sum of the route's weights; above 0. */
  readonly weight: number
}

/** Requests of one host below one path. */
export interface Route {
  readonly name: string
  /** Lower case, without a port. */
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly repeatability: Repeatability
  /** Longest time that a request of the route may stay unanswered, in milliseconds. */
  readonly timeoutMs: number
  /** Time within which an answer is useful in full, counted from the caller's first attempt. */
  readonly targetLatencyMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** At least one. */
  readonly shares: readonly ServiceShare[]
  /** Backend servers that one request may be sent to; at least 1. */
  readonly maxAttempts: number
  /** Whether a backend server that recently handled the same object answers faster. */
  readonly prefersRecentServer: boolean
  /** Regions that may serve the route; empty: all. */
  readonly homeRegions: readonly string[]
}

/** What is known of all backend servers of a service. */
export interface ServiceSettings {
  readonly name: string
  /** Connections that one backend server accepts from all entry instances together. */
  readonly maxConnections: number
  /** Requests per second that a cold backend server bears. */
  readonly coldRequestsPerSecond: number
}

/** What a caller may send, and for how long it may be idle. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One accepted version. */
export interface RoutingConfiguration {
  /** Grows with each accepted change. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, ServiceSettings>
  readonly limits: CallerLimits
}

/** Index of a configuration's routes by host and longest prefix, and by name. */
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

  /** @param target path with query, as received */
  find(host: string, target: string): Route | undefined {
    const path = target.split('?', 1)[0] ?? target
    return this.#byHost.get(hostName(host))?.find((route) => path.startsWith(route.prefix))
  }

  /** Route by its name; asked for with every request for a slot. */
  named(name: string): Route | undefined {
    return this.#byName.get(name)
  }

  /** Routes of a host. */
  ofHost(host: string): readonly Route[] {
    return this.#byHost.get(hostName(host)) ?? []
  }
}

function hostName(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '')
}
