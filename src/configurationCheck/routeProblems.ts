/** Problems of routes: those that no request can match, and values that contradict. */
import type { Route } from '../entry/routingConfiguration.js'
import { RouteIndex } from '../entry/routingConfiguration.js'
import type { CheckOptions } from './configurationCheck.js'
import type { EntryProblem, Finding } from './finding.js'
import { ConfigurationTable, FindingKind } from './finding.js'
import type { InspectedConfiguration } from './inspection.js'
import { unknownHomes } from './regions.js'

interface RouteContext {
  readonly index: RouteIndex
  readonly options: CheckOptions
}

type RouteCheck = (route: Route, context: RouteContext) => EntryProblem | undefined

/** Characters that a path in a request can't hold; a question mark ends it. */
const NOT_IN_PATHS = /[^\x21-\x7e]|[?#]/

const ROUTE_CHECKS: readonly RouteCheck[] = [
  hiddenPrefix,
  hiddenName,
  impossibleHost,
  impossiblePrefix,
  restriction,
  withoutService,
  latencyAboveTimeout,
  withoutTime,
  ({ homeRegions }, { options }) => unknownHomes(homeRegions, options.regions),
]

export function findRouteProblems(
  { configuration, rows }: InspectedConfiguration,
  options: CheckOptions,
): Finding[] {
  const context = { index: new RouteIndex(configuration.routes), options }
  return configuration.routes.flatMap((route, position) =>
    ROUTE_CHECKS.flatMap((check) => {
      const problem = check(route, context)
      if (problem === undefined) return []
      const row = rows.routes[position]
      const place = { table: ConfigurationTable.Routes, name: route.name }
      return [{ ...problem, ...place, ...(row === undefined ? {} : { row }) }]
    }),
  )
}

function hiddenPrefix(route: Route, { index }: RouteContext): EntryProblem | undefined {
  const first = index
    .routesOfHost(route.host)
    .find(({ host, prefix }) => host === route.host && prefix === route.prefix)
  if (first === undefined || first === route) return undefined
  return {
    kind: FindingKind.NeverMatches,
    problem: `route ${first.name} has the same host and prefix, ${route.host}${route.prefix}, and comes first`,
    remedy: 'remove one of the two, or change its prefix',
  }
}

/** Instances name a route to each other by its name. */
function hiddenName(route: Route, { index }: RouteContext): EntryProblem | undefined {
  if (index.findByName(route.name) === route) return undefined
  return {
    kind: FindingKind.Contradictory,
    problem: 'an earlier route has the same name, and its settings are used for both in part',
    remedy: 'give each route its own name',
  }
}

function impossibleHost({ host }: Route, { index }: RouteContext): EntryProblem | undefined {
  if (index.routesOfHost(host).some((route) => route.host === host)) return undefined
  return {
    kind: FindingKind.NeverMatches,
    problem: `host ${host} has a port, but requests are matched without theirs`,
    remedy: 'leave the port out',
  }
}

function impossiblePrefix({ prefix }: Route): EntryProblem | undefined {
  if (!NOT_IN_PATHS.test(prefix)) return undefined
  return {
    kind: FindingKind.NeverMatches,
    problem: `prefix ${JSON.stringify(prefix)} has a character that the path of a request can't have`,
    remedy: 'write the prefix as it is in the request, percent-encoded and without a query',
  }
}

function restriction(route: Route): EntryProblem | undefined {
  if (route.restriction === undefined) return undefined
  return {
    kind: FindingKind.Restricted,
    problem: `${route.restriction.reason}; the route is handled as ${route.restriction.kind}`,
    remedy: 'use a value that this version knows, or update the entry instances first',
  }
}

function withoutService(route: Route): EntryProblem | undefined {
  if (route.shares.length > 0 || route.restriction !== undefined) return undefined
  return {
    kind: FindingKind.NeverMatches,
    problem: 'all parts of the split have weight 0, so each request is refused',
    remedy: 'give one part a weight above 0',
  }
}

function latencyAboveTimeout({ targetLatencyMs, timeoutMs }: Route): EntryProblem | undefined {
  if (targetLatencyMs <= timeoutMs) return undefined
  return {
    kind: FindingKind.Contradictory,
    problem: `the target latency, ${targetLatencyMs} ms, is above the timeout, ${timeoutMs} ms`,
    remedy: 'lower the target latency or raise the timeout',
  }
}

function withoutTime({ timeoutMs }: Route): EntryProblem | undefined {
  if (timeoutMs > 0) return undefined
  return {
    kind: FindingKind.Contradictory,
    problem: 'the timeout is 0, so each request is late on arrival',
    remedy: 'set a timeout above 0',
  }
}
