/** Limits of services and callers with which nothing can be served. */
import type { CallerLimits } from '../entry/routingConfiguration.js'
import type { CheckOptions } from './configurationCheck.js'
import type { Finding } from './finding.js'
import { ConfigurationTable, FindingKind } from './finding.js'
import type { InspectedConfiguration } from './inspection.js'

export function findLimitProblems(
  inspected: InspectedConfiguration,
  options: CheckOptions,
): Finding[] {
  return [
    ...findServiceProblems(inspected, options),
    ...findCallerLimitProblems(inspected.configuration.limits),
  ]
}

function findServiceProblems(
  { configuration, rows }: InspectedConfiguration,
  { instances = 1 }: CheckOptions,
): Finding[] {
  return [...configuration.services.values()].flatMap(({ name, maxConnections }) => {
    if (maxConnections >= instances) return []
    const row = rows.services.get(name)
    return [
      {
        kind: FindingKind.Contradictory,
        table: ConfigurationTable.Services,
        name,
        ...(row === undefined ? {} : { row }),
        problem: `a server takes ${maxConnections} connections in total, less than one for each of ${instances} entry instances`,
        remedy: `allow at least ${instances} connections`,
      },
    ]
  })
}

/** With 0 in one of these, each request is refused. */
const NEEDED_LIMITS: readonly (readonly [keyof CallerLimits, string])[] = [
  ['headerBytes', 'size of headers'],
  ['headerTimeoutMs', 'time for headers'],
]

function findCallerLimitProblems(limits: CallerLimits): Finding[] {
  return NEEDED_LIMITS.filter(([field]) => limits[field] === 0).map(([, name]) => ({
    kind: FindingKind.Contradictory,
    table: ConfigurationTable.Limits,
    problem: `the limit on the ${name} is 0, so each request is refused`,
    remedy: 'set a limit above 0',
  }))
}
