/** Problems of tenants: those that nobody can be, and homes and quotas that allow nothing. */
import { findUnsendableCharacter, isToken } from '../common/fieldValue.js'
import type { Route } from '../entry/routingConfiguration.js'
import { keyFingerprint } from '../tenants/keyFingerprint.js'
import type { Tenant } from '../tenants/tenant.js'
import type { CheckOptions } from './configurationCheck.js'
import type { EntryProblem, Finding } from './finding.js'
import { ConfigurationTable, FindingKind } from './finding.js'
import type { InspectedConfiguration } from './inspection.js'
import { listNames, unknownHomes } from './regions.js'

interface TenantContext {
  readonly routes: readonly Route[]
  readonly options: CheckOptions
}

type TenantCheck = (tenant: Tenant, context: TenantContext) => EntryProblem | undefined

const TENANT_CHECKS: readonly TenantCheck[] = [
  unsendableName,
  withoutKeys,
  unstatableKeys,
  excludedFromRoutes,
  ({ homeRegions }, { options }) => unknownHomes(homeRegions, options.regions),
  quotaBelowOneRequest,
]

export function findTenantProblems(
  { configuration: { routes, tenants: directory }, rows }: InspectedConfiguration,
  options: CheckOptions,
): Finding[] {
  if (directory === undefined) return []
  const tenants = [...directory.tenants]
  const isClosed = tenants.length === 0 && !routes.some((route) => route.allowsAnonymous === true)
  const findings = tenants.flatMap((tenant) =>
    TENANT_CHECKS.flatMap((check) => {
      const problem = check(tenant, { routes, options })
      if (problem === undefined) return []
      const row = rows.tenants.get(tenant.name)
      const place = { table: ConfigurationTable.Tenants, name: tenant.name }
      return [{ ...problem, ...place, ...(row === undefined ? {} : { row }) }]
    }),
  )
  return isClosed ? [...findings, CLOSED_TO_ALL] : findings
}

const CLOSED_TO_ALL: Finding = {
  kind: FindingKind.NeverMatches,
  table: ConfigurationTable.Tenants,
  problem: 'there are no tenants, and no route allows callers without a key, so all are refused',
  remedy: 'add tenants, leave the table out, or let a route allow anonymous callers',
}

function unsendableName({ name }: Tenant): EntryProblem | undefined {
  const character = findUnsendableCharacter(name)
  if (character === undefined) return undefined
  return {
    kind: FindingKind.Restricted,
    problem: `the name ${JSON.stringify(name)} has the character ${character} where the head of a request can't hold it, so requests of the tenant are refused`,
    remedy:
      'use a name without control characters, without spaces at its ends, and of whole characters',
  }
}

function unstatableKeys({ keys }: Tenant): EntryProblem | undefined {
  const unstatable = keys.filter((key) => !isToken(key)).map(keyFingerprint)
  if (unstatable.length === 0) return undefined
  return {
    kind: FindingKind.NeverMatches,
    problem: `keys have characters other than visible ASCII, so no caller can state them; their fingerprints: ${listNames(unstatable)}`,
    remedy: 'use keys of visible ASCII characters, without spaces',
  }
}

function withoutKeys({ keys }: Tenant): EntryProblem | undefined {
  if (keys.length > 0) return undefined
  return {
    kind: FindingKind.NeverMatches,
    problem: 'the tenant has no keys, so no caller can be it',
    remedy: 'add a key, or remove the tenant',
  }
}

function excludedFromRoutes(
  { homeRegions }: Tenant,
  { routes }: TenantContext,
): EntryProblem | undefined {
  if (homeRegions.length === 0) return undefined
  const homes = new Set(homeRegions)
  const excluded = routes.filter(
    (route) => route.homeRegions.length > 0 && !route.homeRegions.some((home) => homes.has(home)),
  )
  if (excluded.length === 0) return undefined
  const names = listNames(excluded.map(({ name }) => name))
  return {
    kind: FindingKind.NeverMatches,
    problem: `its home regions (${listNames(homeRegions)}) are none of those of these routes, so its requests for them are refused: ${names}`,
    remedy: 'let the tenant and each of the routes share a home region',
  }
}

/** A quota with a burst of 1 or more lets single requests through, however low its rate is. */
function quotaBelowOneRequest({ quota }: Tenant): EntryProblem | undefined {
  if (quota === undefined || quota.requestsPerSecond >= 1 || quota.burst >= 1) return undefined
  return {
    kind: FindingKind.Contradictory,
    problem: `the quota, ${quota.requestsPerSecond} requests/s and a burst of ${quota.burst}, is below one request in any second`,
    remedy: 'set the rate or the burst to 1 or more, or remove both for no limit',
  }
}
