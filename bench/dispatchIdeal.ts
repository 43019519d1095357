/** Ideal single queue over all slots, computed from the same arrivals and service times. */
import type { Arrival, Workload } from './dispatchWorkload.js'
import {
  WARM_UP_MS,
  arrivalsAt,
  finishTime,
  isSlowAt,
  slowWorkers,
  uniformSource,
} from './dispatchWorkload.js'

/** Which free slot the ideal takes. */
export enum IdealKnowledge {
  /** Any free slot. */
  Blind = 'blind',
  /** Knows which worker is slow and uses it last. */
  KnowsSlowWorker = 'knowsSlowWorker',
}

interface Slot {
  readonly worker: number
  freeAtMs: number
}

/** Returns the latencies of the short requests, without any overhead. */
export function idealLatencies(workload: Workload, knowledge: IdealKnowledge): number[] {
  const arrivals = allArrivals(workload)
  const slow = slowWorkers(workload)
  const random = uniformSource(workload.seed + 17)
  const slots: Slot[] = workload.slotsPerWorker.flatMap((count, worker) =>
    Array.from({ length: count }, () => ({ worker, freeAtMs: 0 })),
  )
  const latencies: number[] = []
  for (const arrival of arrivals) {
    const slot = choose(slots, arrival.atMs, slow, knowledge, random)
    const startMs = Math.max(arrival.atMs, slot.freeAtMs)
    slot.freeAtMs = finishTime(slow, slot.worker, startMs, arrival.workMs)
    if (!arrival.isLong && arrival.atMs >= WARM_UP_MS) latencies.push(slot.freeAtMs - arrival.atMs)
  }
  return latencies
}

function allArrivals(workload: Workload): Arrival[] {
  return Array.from({ length: workload.gateways }, (_, gateway) => arrivalsAt(workload, gateway))
    .flat()
    .sort((left, right) => left.atMs - right.atMs)
}

function choose(
  slots: readonly Slot[],
  atMs: number,
  slow: readonly number[],
  knowledge: IdealKnowledge,
  random: () => number,
): Slot {
  let best: Slot | undefined
  let bestRank = Number.POSITIVE_INFINITY
  for (const slot of slots) {
    const isAvoided =
      knowledge === IdealKnowledge.KnowsSlowWorker && isSlowAt(slow, slot.worker, atMs)
    // A busy slot ranks by the time it becomes free, behind every free one.
    const rank = slot.freeAtMs <= atMs ? (isAvoided ? 2 : 0) + random() : 10 + slot.freeAtMs - atMs
    if (rank < bestRank) {
      best = slot
      bestRank = rank
    }
  }
  if (best === undefined) throw new Error('The workload has no slots')
  return best
}
