/** Which entry instances a caller is told to use. */
import { hashText } from '../common/hashing.js'
import type { InstanceRecord } from './instanceRecord.js'
import type { InstanceTable } from './instanceTable.js'
import type { Route } from './routingConfiguration.js'

/** Instances named in one answer: enough to survive losses, few enough for kept connections. */
const MAX_NAMED = 4
/** Preference for instances in the caller's availability zone; a way between zones costs little. */
const SAME_ZONE_WEIGHT = 3

/** Question of a caller. */
export interface DirectoryQuestion {
  readonly region: string
  readonly zone: string
  /** Network address of the caller; the same one gets the same answer while nothing changes. */
  readonly caller: string
  /** Routes of the host that it asks for. */
  readonly routes: readonly Route[]
}

/**
 * Chooses addresses of live instances in the caller's region. Without any there,
 * instances of other regions that may take all routes of the host.
 */
export function entriesFor(
  table: InstanceTable,
  question: DirectoryQuestion,
  regions: readonly string[],
  nowMs: number,
): string[] {
  const near = table.live(question.region, nowMs)
  if (near.length > 0) return chosen(near, question)
  const allowed = regions.filter(
    (region) =>
      region !== question.region &&
      question.routes.every(
        ({ homeRegions }) => homeRegions.length === 0 || homeRegions.includes(region),
      ),
  )
  return chosen(
    allowed.flatMap((region) => table.live(region, nowMs)),
    question,
  )
}

function chosen(instances: readonly InstanceRecord[], question: DirectoryQuestion): string[] {
  return instances
    .map((instance) => {
      const weight = instance.capacity * (instance.zone === question.zone ? SAME_ZONE_WEIGHT : 1)
      const uniform = (hashText(`${question.caller}\n${instance.name}`) + 0.5) / 2 ** 32
      return { address: instance.callerAddress, score: -Math.log(uniform) / weight }
    })
    .sort((left, right) => left.score - right.score)
    .slice(0, MAX_NAMED)
    .map(({ address }) => address)
}
