/** Customer whose callers identify themselves by keys. */

/** Limit of a tenant's requests, for the sum of all entry instances. */
export interface TenantQuota {
  /** Above 0. */
  readonly requestsPerSecond: number
  /** Requests that may come at once in addition; 0 or more. */
  readonly burst: number
}

/** One customer in one version of the configuration. */
export interface Tenant {
  readonly name: string
  readonly keys: readonly string[]
  /** Takes precedence over the route's priority; 0 is the highest. Not set: the route's holds. */
  readonly priority?: number
  /** Not set: no limit. */
  readonly quota?: TenantQuota
  /** Regions that may serve the tenant; empty: all. */
  readonly homeRegions: readonly string[]
}
