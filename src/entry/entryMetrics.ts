/** Metrics of an entry instance in the text format of Prometheus. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { FailureKind } from './callerRequest.js'
import type { StatementKind } from './serverBeliefs.js'

/** Upper bounds of the histogram's buckets; cover the target latencies and deadlines of routes. */
const LATENCY_BUCKETS_MS = [25, 50, 100, 150, 200, 300, 500, 750, 1000, 1500, 2500, 5000, 10_000]

/** Values of the gauges, read whenever the metrics are fetched. */
export interface GaugeValues {
  readonly waiting: number
  readonly held: number
  readonly storeAgeMs: number
  readonly droppedLogLines: number
  readonly openedConnections: number
  readonly version: number
  readonly restrictedRoutes: number
  readonly bufferedBodyBytes: number
  readonly acceptedConnections: number
  readonly eventLoopTurns: number
}

/** Requests per second of tenants with a quota, at the instance that gives them out. */
export interface TenantRates {
  /** The number of tenants named is bounded. */
  readonly largest: readonly {
    readonly tenant: string
    readonly demand: number
    readonly granted: number
  }[]
  readonly otherDemand: number
  readonly otherGranted: number
}

/** Label of all tenants that are not named. */
const OTHER_TENANTS = 'other'

export class EntryMetrics {
  readonly #registry = new Registry()
  readonly #latency: Histogram<'route' | 'status'>
  readonly #failures: Counter<'kind'>
  readonly #statements: Counter<'kind'>

  constructor(
    readGauges: () => GaugeValues,
    readTenants: () => TenantRates | undefined = () => undefined,
  ) {
    const registers = [this.#registry]
    this.#latency = new Histogram({
      name: 'tamarackdrift_request_milliseconds',
      help: 'Time from the arrival of a request to its answer',
      labelNames: ['route', 'status'],
      buckets: LATENCY_BUCKETS_MS,
      registers,
    })
    this.#failures = new Counter({
      name: 'tamarackdrift_failed_requests_total',
      help: 'Requests that this instance answered itself, by reason',
      labelNames: ['kind'],
      registers,
    })
    this.#statements = new Counter({
      name: 'tamarackdrift_server_statements_total',
      help: 'Statements of backend servers in their answers, by kind',
      labelNames: ['kind'],
      registers,
    })
    const gauge = (field: keyof GaugeValues, name: string, help: string): void => {
      const created = new Gauge({
        name: `tamarackdrift_${name}`,
        help,
        collect() {
          this.set(readGauges()[field])
        },
        registers: [],
      })
      this.#registry.registerMetric(created)
    }
    this.#addTenantGauges(readTenants)
    gauge('waiting', 'waiting_requests', 'Requests that wait for a slot')
    gauge('held', 'held_slots', 'Slots in use by requests of this instance')
    gauge('storeAgeMs', 'store_contact_age_milliseconds', 'Age of store news')
    gauge('droppedLogLines', 'dropped_log_lines', 'Log lines dropped')
    gauge('openedConnections', 'opened_connections', 'Connections opened to backend servers')
    gauge('acceptedConnections', 'accepted_connections', 'Connections accepted from callers')
    gauge('eventLoopTurns', 'event_loop_turns', 'Turns of the event loop since the start')
    gauge('bufferedBodyBytes', 'buffered_body_bytes', 'Memory reserved for bodies of requests')
    gauge('version', 'configuration_version', 'Configuration in force')
    gauge(
      'restrictedRoutes',
      'restricted_routes',
      'Routes handled more strictly than configured, because of a setting that is not known',
    )
  }

  #addTenantGauges(readTenants: () => TenantRates | undefined): void {
    const rates = new Gauge({
      name: 'tamarackdrift_tenant_requests_per_second',
      help: 'Requests of tenants with a quota at the instance that gives it out, asked for and granted',
      labelNames: ['tenant', 'state'],
      collect() {
        // A tenant that is not among the largest any more must not keep its last value.
        this.reset()
        const tenants = readTenants()
        if (tenants === undefined) return
        const { largest, otherDemand, otherGranted } = tenants
        const others = { tenant: OTHER_TENANTS, demand: otherDemand, granted: otherGranted }
        for (const { tenant, demand, granted } of [...largest, others]) {
          this.set({ tenant, state: 'asked' }, demand)
          this.set({ tenant, state: 'granted' }, granted)
        }
      },
      registers: [],
    })
    this.#registry.registerMetric(rates)
  }

  /** Records an answer to a caller. */
  answered(route: string, status: number, durationMs: number): void {
    this.#latency.observe({ route, status: String(status) }, durationMs)
  }

  /** Counts a request that this instance answered itself. */
  failed(kind: FailureKind): void {
    this.#failures.inc({ kind })
  }

  /** Counts a statement of a backend server. */
  stated(kind: StatementKind): void {
    this.#statements.inc({ kind })
  }

  /** Returns all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.#registry.metrics()
  }
}
