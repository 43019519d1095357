/** Ideal single FIFO queue over all slots, computed from the same arrivals and service times. */
import type { Arrival, Workload } from './dispatchWorkload.js'
import {
  WARM_UP_MS,
  arrivalsAt,
  finishTime,
  isSlowAt,
  slowWorkers,
  uniformSource,
} from './dispatchWorkload.js'

/** How the ideal queue chooses among free slots. */
export enum IdealKnowledge {
  /** At random. */
  Blind = 'blind',
  /** Prefers workers that are not slow. */
  KnowsSlowWorker = 'knowsSlowWorker',
}

interface Slot {
  readonly worker: number
  freeAtMs: number
}

/** Returns the latencies of short requests after the warm-up in milliseconds, without overhead. */
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
    // Busy slots rank after all free ones, in the order in which they become free.
    const rank = slot.freeAtMs <= atMs ? (isAvoided ? 2 : 0) + random() : 10 + slot.freeAtMs - atMs
    if (rank < bestRank) {
      best = slot
      bestRank = rank
    }
  }
  if (best === undefined) throw new Error('workload without slots')
  return best
}
