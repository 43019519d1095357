/** Selects the entry instances that the directory returns to a caller. */
import { hashText } from '../common/hashing.js'
import type { InstanceRecord } from './instanceRecord.js'
import type { InstanceTable } from './instanceTable.js'
import type { Route } from './routingConfiguration.js'

/** Addresses per answer: enough to tolerate failed instances, few enough to reuse connections. */
const MAX_ADDRESSES = 4
/** Weight of instances in the caller's availability zone; round trips between zones cost little. */
const SAME_ZONE_WEIGHT = 3

/** Directory query of a caller. */
export interface DirectoryQuery {
  readonly region: string
  readonly zone: string
  /**
   * Network address of the caller; equal addresses get equal answers while the membership is
   * unchanged.
   */
  readonly caller: string
  /** Routes of the requested host. */
  readonly routes: readonly Route[]
}

/**
 * Selects addresses of live instances in the caller's region, or if there are none, of
 * instances in other regions that may serve all routes of the host.
 * @param regions all regions
 * @returns `host:port` addresses, best first
 */
export function selectEntryAddresses(
  table: InstanceTable,
  query: DirectoryQuery,
  regions: readonly string[],
  nowMs: number,
): string[] {
  const local = table.liveInstances(query.region, nowMs)
  if (local.length > 0) return preferredAddresses(local, query)
  const allowedRegions = regions.filter(
    (region) =>
      region !== query.region &&
      query.routes.every(
        ({ homeRegions }) => homeRegions.length === 0 || homeRegions.includes(region),
      ),
  )
  return preferredAddresses(
    allowedRegions.flatMap((region) => table.liveInstances(region, nowMs)),
    query,
  )
}

function preferredAddresses(instances: readonly InstanceRecord[], query: DirectoryQuery): string[] {
  return instances
    .map((instance) => {
      const weight = instance.capacity * (instance.zone === query.zone ? SAME_ZONE_WEIGHT : 1)
      const uniform = (hashText(`${query.caller}\n${instance.name}`) + 0.5) / 2 ** 32
      return { address: instance.callerAddress, score: -Math.log(uniform) / weight }
    })
    .sort((left, right) => left.score - right.score)
    .slice(0, MAX_ADDRESSES)
    .map(({ address }) => address)
}
