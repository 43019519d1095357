/** Checks a decoded configuration for entries without effect and for values that contradict. */
import type { InspectedConfiguration } from './inspection.js'
import type { Finding } from './finding.js'
import { ConfigurationTable, FindingKind } from './finding.js'
import { findLimitProblems } from './limitProblems.js'
import { findRouteProblems } from './routeProblems.js'
import { findTenantProblems } from './tenantProblems.js'

/** What is known about the deployment; each check runs only if its facts are given. */
export interface CheckOptions {
  /** All regions of the deployment. */
  readonly regions?: ReadonlySet<string>
  /** Number of entry instances. */
  readonly instances?: number
  /** Version of the configuration in force. */
  readonly versionInForce?: number
}

type Check = (inspected: InspectedConfiguration, options: CheckOptions) => Finding[]

const CHECKS: readonly Check[] = [
  findVersionProblems,
  findRouteProblems,
  findTenantProblems,
  findLimitProblems,
]

export function checkConfiguration(
  inspected: InspectedConfiguration,
  options: CheckOptions,
): Finding[] {
  return CHECKS.flatMap((check) => check(inspected, options))
}

function findVersionProblems(
  { configuration: { version } }: InspectedConfiguration,
  { versionInForce }: CheckOptions,
): Finding[] {
  if (versionInForce === undefined || version > versionInForce) return []
  return [
    {
      kind: FindingKind.Ignored,
      table: ConfigurationTable.Configuration,
      problem: `version ${version} is not above version ${versionInForce}, which is in force`,
      remedy: `set version to a number above ${versionInForce}`,
    },
  ]
}
