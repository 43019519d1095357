/** Differences between two versions of a configuration; keys appear as fingerprints only. */
import type {
  CallerLimits,
  Route,
  RoutingConfiguration,
  ServiceSettings,
} from '../entry/routingConfiguration.js'
import type { Tenant } from '../tenants/tenant.js'
import { ConfigurationTable } from './finding.js'
import { keyFingerprint } from '../tenants/keyFingerprint.js'

export enum ChangeKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

/** `null` stands for a value that is not set. */
export type FieldValue = string | number | boolean | readonly string[] | null

export interface FieldChange {
  /** With its unit, if it has one. */
  readonly field: string
  readonly from: FieldValue
  readonly to: FieldValue
}

export interface Difference {
  readonly table: ConfigurationTable
  readonly name: string
  readonly change: ChangeKind
  /** Empty unless the entry is changed. */
  readonly fields: readonly FieldChange[]
}

type FieldReaders<Entry> = Readonly<Record<string, (entry: Entry) => FieldValue>>

const ROUTE_FIELDS: FieldReaders<Route> = {
  host: ({ host }) => host,
  prefix: ({ prefix }) => prefix,
  repeatability: ({ repeatability }) => repeatability,
  'timeout (ms)': ({ timeoutMs }) => timeoutMs,
  'target latency (ms)': ({ targetLatencyMs }) => targetLatencyMs,
  priority: ({ priority }) => priority,
  services: ({ shares }) => shares.map(({ service, weight }) => `${service}:${weight}`),
  'attempts at most': ({ maxAttempts }) => maxAttempts,
  'prefers the recent server': ({ prefersRecentServer }) => prefersRecentServer,
  'home regions': ({ homeRegions }) => homeRegions,
  'allows callers without a key': ({ allowsAnonymous = false }) => allowsAnonymous,
  restriction: (route) => route.restriction?.kind ?? null,
}

const SERVICE_FIELDS: FieldReaders<ServiceSettings> = {
  'connections of a server': ({ maxConnections }) => maxConnections,
  'requests/s of a cold server': ({ coldRequestsPerSecond }) => coldRequestsPerSecond,
}

const TENANT_FIELDS: FieldReaders<Tenant> = {
  priority: ({ priority }) => priority ?? null,
  'quota (requests/s)': ({ quota }) => quota?.requestsPerSecond ?? null,
  'burst (requests)': ({ quota }) => quota?.burst ?? null,
  'home regions': ({ homeRegions }) => homeRegions,
}

const LIMIT_FIELDS: FieldReaders<CallerLimits> = {
  'size of headers (bytes)': ({ headerBytes }) => headerBytes,
  'size of a body (bytes)': ({ bodyBytes }) => bodyBytes,
  'time for headers (ms)': ({ headerTimeoutMs }) => headerTimeoutMs,
  'idle time (ms)': ({ idleTimeoutMs }) => idleTimeoutMs,
}

export function findDifferences(
  before: RoutingConfiguration,
  after: RoutingConfiguration,
): Difference[] {
  const { Routes, Services, Tenants, Limits } = ConfigurationTable
  const limits = changedFields(LIMIT_FIELDS, before.limits, after.limits)
  return [
    ...compare(Routes, byName(before.routes), byName(after.routes), (from, to) =>
      changedFields(ROUTE_FIELDS, from, to),
    ),
    ...compare(Services, before.services, after.services, (from, to) =>
      changedFields(SERVICE_FIELDS, from, to),
    ),
    ...compareAccess(before, after),
    ...compare(Tenants, tenantsOf(before), tenantsOf(after), (from, to) => [
      ...changedFields(TENANT_FIELDS, from, to),
      ...changedKeys(from, to),
    ]),
    ...(limits.length === 0
      ? []
      : [{ table: Limits, name: 'limits', change: ChangeKind.Changed, fields: limits }]),
  ]
}

/** The table of tenants decides, even if it is empty, whether callers need a key. */
function compareAccess(before: RoutingConfiguration, after: RoutingConfiguration): Difference[] {
  const from = before.tenants !== undefined
  const to = after.tenants !== undefined
  if (from === to) return []
  const fields = [{ field: 'callers need a key', from, to }]
  const { Configuration } = ConfigurationTable
  return [{ table: Configuration, name: 'access', change: ChangeKind.Changed, fields }]
}

function compare<Entry>(
  table: ConfigurationTable,
  before: ReadonlyMap<string, Entry>,
  after: ReadonlyMap<string, Entry>,
  fieldsOf: (from: Entry, to: Entry) => readonly FieldChange[],
): Difference[] {
  const differences: Difference[] = []
  for (const [name, from] of before) {
    const to = after.get(name)
    const fields = to === undefined ? [] : fieldsOf(from, to)
    if (to === undefined) differences.push({ table, name, change: ChangeKind.Removed, fields })
    else if (fields.length > 0)
      differences.push({ table, name, change: ChangeKind.Changed, fields })
  }
  for (const name of after.keys()) {
    if (!before.has(name)) differences.push({ table, name, change: ChangeKind.Added, fields: [] })
  }
  return differences
}

function changedFields<Entry>(
  readers: FieldReaders<Entry>,
  before: Entry,
  after: Entry,
): FieldChange[] {
  return Object.entries(readers)
    .map(([field, read]) => ({ field, from: read(before), to: read(after) }))
    .filter(({ from, to }) => JSON.stringify(from) !== JSON.stringify(to))
}

function changedKeys(before: Tenant, after: Tenant): FieldChange[] {
  const missingIn = (keys: readonly string[], others: readonly string[]): string[] => {
    const known = new Set(others)
    return keys.filter((key) => !known.has(key)).map(keyFingerprint)
  }
  const added = missingIn(after.keys, before.keys)
  const removed = missingIn(before.keys, after.keys)
  return [
    ...(removed.length === 0 ? [] : [{ field: 'keys removed', from: removed, to: [] }]),
    ...(added.length === 0 ? [] : [{ field: 'keys added', from: [], to: added }]),
  ]
}

/** The first entry of a name counts, as in the index of routes. */
function byName<Entry extends { readonly name: string }>(
  entries: Iterable<Entry>,
): ReadonlyMap<string, Entry> {
  const found = new Map<string, Entry>()
  for (const entry of entries) if (!found.has(entry.name)) found.set(entry.name, entry)
  return found
}

function tenantsOf({ tenants }: RoutingConfiguration): ReadonlyMap<string, Tenant> {
  return byName(tenants?.tenants ?? [])
}
