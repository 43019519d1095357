import { expect } from 'chai'
import type { Route, RoutingConfiguration } from '../../entry/routingConfiguration.js'
import { Repeatability, RestrictionKind } from '../../entry/routingConfiguration.js'
import type { Tenant } from '../../tenants/tenant.js'
import { TenantDirectory } from '../../tenants/tenantDirectory.js'
import type { CheckOptions } from '../configurationCheck.js'
import { checkConfiguration } from '../configurationCheck.js'
import { findDifferences } from '../configurationDifferences.js'

const ROUTE: Route = {
  name: 'spend',
  host: 'coins.example',
  prefix: '/spend/',
  repeatability: Repeatability.AtMostOnce,
  timeoutMs: 1500,
  targetLatencyMs: 300,
  priority: 1,
  shares: [{ service: 'wallet', weight: 1 }],
  maxAttempts: 2,
  prefersRecentServer: false,
  homeRegions: [],
}
const OTHER_ROUTE: Route = { ...ROUTE, name: 'reveal', prefix: '/reveal/' }
const TENANT: Tenant = { name: 'acme', keys: ['key-of-acme'], homeRegions: [] }
const OPTIONS: CheckOptions = {
  regions: new Set(['nord', 'sud']),
  instances: 10,
  versionInForce: 6,
}

function configurationOf(
  changes: {
    readonly routes?: readonly Route[]
    readonly tenants?: readonly Tenant[]
    readonly version?: number
    readonly maxConnections?: number
    readonly headerTimeoutMs?: number
  } = {},
): RoutingConfiguration {
  const { routes = [ROUTE, OTHER_ROUTE], tenants = [TENANT] } = changes
  const { version = 7, maxConnections = 10, headerTimeoutMs = 3000 } = changes
  return {
    version,
    routes,
    services: new Map([['wallet', { name: 'wallet', maxConnections, coldRequestsPerSecond: 16 }]]),
    limits: { headerBytes: 16_384, bodyBytes: 0, headerTimeoutMs, idleTimeoutMs: 15_000 },
    tenants: new TenantDirectory(tenants),
  }
}

function check(configuration: RoutingConfiguration, options = OPTIONS): string[] {
  const rows = {
    routes: configuration.routes.map((_, index) => index + 1),
    services: new Map([['wallet', 1]]),
    tenants: new Map([['acme', 1]]),
  }
  return checkConfiguration({ configuration, rows }, options).map(
    ({ kind, table, row = '', name = '' }) => `${kind} ${table} ${row} ${name}`.trimEnd(),
  )
}

describe('checkConfiguration', () => {
  // Guards against findings that an operator learns to skip.
  it('finds nothing in a sound configuration', () => {
    const homes = { homeRegions: ['nord'] }
    const routes = [{ ...ROUTE, ...homes }, OTHER_ROUTE, { ...ROUTE, name: 'x', host: 'a.example' }]
    const tenants = [
      { ...TENANT, homeRegions: ['nord', 'sud'], quota: { requestsPerSecond: 0.2, burst: 5 } },
    ]
    expect(check(configurationOf({ routes, tenants }))).to.deep.equal([])
  })

  const routeCases: Readonly<Record<string, { changes: Partial<Route>; expected: string }>> = {
    'the host and prefix of an earlier one': {
      changes: { prefix: '/spend/' },
      expected: 'neverMatches routes 2 reveal',
    },
    'the name of an earlier one': {
      changes: { name: 'spend' },
      expected: 'contradictory routes 2 spend',
    },
    'a port in its host': {
      changes: { host: 'coins.example:80' },
      expected: 'neverMatches routes 2 reveal',
    },
    'a query in its prefix': {
      changes: { prefix: '/reveal?a=1/' },
      expected: 'neverMatches routes 2 reveal',
    },
    'a space in its prefix': {
      changes: { prefix: '/re veal/' },
      expected: 'neverMatches routes 2 reveal',
    },
    'an unknown kind': {
      changes: { restriction: { kind: RestrictionKind.SingleSend, reason: 'unknown kind' } },
      expected: 'restricted routes 2 reveal',
    },
    'no part with a weight': { changes: { shares: [] }, expected: 'neverMatches routes 2 reveal' },
    'a target latency above its timeout': {
      changes: { targetLatencyMs: 1501 },
      expected: 'contradictory routes 2 reveal',
    },
    'no timeout': {
      changes: { timeoutMs: 0, targetLatencyMs: 0 },
      expected: 'contradictory routes 2 reveal',
    },
    'an unknown region': {
      changes: { homeRegions: ['nord', 'est'] },
      expected: 'unknownRegion routes 2 reveal',
    },
  }
  for (const [name, { changes, expected }] of Object.entries(routeCases)) {
    it(`finds a route with ${name}`, () => {
      const routes = [ROUTE, { ...OTHER_ROUTE, ...changes }]
      expect(check(configurationOf({ routes }))).to.deep.equal([expected])
    })
  }

  const tenantCases: Readonly<Record<string, { changes: Partial<Tenant>; kind: string }>> = {
    'without keys': { changes: { keys: [] }, kind: 'neverMatches' },
    'with a key that no head holds': { changes: { keys: ['cl\u00e9'] }, kind: 'neverMatches' },
    'whose homes exclude those of a route': {
      changes: { homeRegions: ['sud'] },
      kind: 'neverMatches',
    },
    'with an unknown region': { changes: { homeRegions: ['nord', 'est'] }, kind: 'unknownRegion' },
    'with a quota below one request': {
      changes: { quota: { requestsPerSecond: 0.9, burst: 0.9 } },
      kind: 'contradictory',
    },
  }
  for (const [name, { changes, kind }] of Object.entries(tenantCases)) {
    it(`finds a tenant ${name}`, () => {
      const routes = [{ ...ROUTE, homeRegions: ['nord'] }]
      const configuration = configurationOf({ routes, tenants: [{ ...TENANT, ...changes }] })
      expect(check(configuration)).to.deep.equal([`${kind} tenants 1 acme`])
    })
  }

  it('finds a table of tenants that closes all routes', () => {
    expect(check(configurationOf({ tenants: [] }))).to.deep.equal(['neverMatches tenants'])
    const open = { ...ROUTE, allowsAnonymous: true }
    expect(check(configurationOf({ routes: [open], tenants: [] }))).to.deep.equal([])
  })

  it('finds fewer connections than instances, a limit of 0, and a version that is not newer', () => {
    const expected = [
      'ignored configuration',
      'contradictory services 1 wallet',
      'contradictory limits',
    ]
    const configuration = configurationOf({ version: 6, maxConnections: 9, headerTimeoutMs: 0 })
    expect(check(configuration)).to.deep.equal(expected)
    expect(check(configuration, {})).to.deep.equal(['contradictory limits'])
  })
})

describe('findDifferences', () => {
  it('lists what is added, removed and changed, with keys as fingerprints', () => {
    const before = configurationOf({
      tenants: [TENANT, { ...TENANT, name: 'gone', keys: ['key-of-gone'] }],
    })
    const after = configurationOf({
      routes: [
        { ...ROUTE, timeoutMs: 900 },
        { ...OTHER_ROUTE, name: 'theme' },
      ],
      tenants: [{ ...TENANT, keys: ['key-of-acme', 'second'], homeRegions: ['nord'] }],
      headerTimeoutMs: 2000,
    })
    const lines = findDifferences(before, after).flatMap(({ table, name, change, fields }) => [
      `${change} ${table} ${name}`,
      ...fields.map(({ field, from, to }) => `${field}: ${String(from)} -> ${String(to)}`),
    ])
    expect(lines).to.deep.equal([
      'changed routes spend',
      'timeout (ms): 1500 -> 900',
      'removed routes reveal',
      'added routes theme',
      'changed tenants acme',
      'home regions:  -> nord',
      // printf second | sha256sum
      'keys added:  -> 16367aac',
      'removed tenants gone',
      'changed limits limits',
      'time for headers (ms): 3000 -> 2000',
    ])
    expect(findDifferences(after, after)).to.deep.equal([])
  })

  it('shows that callers need a key, even if there are no tenants', () => {
    const closed = configurationOf({ tenants: [] })
    const { version, routes, services, limits } = closed
    const [difference] = findDifferences({ version, routes, services, limits }, closed)
    expect(difference?.fields).to.deep.equal([
      { field: 'callers need a key', from: false, to: true },
    ])
  })
})
