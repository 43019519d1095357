/** Ideal single FIFO queue over all slots, computed from the same arrivals and service times. */
import type { Arrival, Workload } from './dispatchWorkload.js'
import {
  WARM_UP_MS,
  generateArrivals,
  finishTime,
  isSlowAt,
  chooseSlowWorkers,
  createUniformRandom,
} from './dispatchWorkload.js'

/** How the ideal queue chooses among free slots. */
export enum IdealSlotChoice {
  /** At random. */
  Random = 'blind',
  /** Prefers workers that are not slow. */
  AvoidsSlowWorker = 'knowsSlowWorker',
}

interface Slot {
  readonly worker: number
  freeAtMs: number
}

/** Returns the latencies of short requests after the warm-up in milliseconds, without overhead. */
export function computeIdealLatencies(workload: Workload, slotChoice: IdealSlotChoice): number[] {
  const arrivals = mergeArrivals(workload)
  const slowWorkers = chooseSlowWorkers(workload)
  const random = createUniformRandom(workload.seed + 17)
  const slots: Slot[] = workload.slotsPerWorker.flatMap((count, worker) =>
    Array.from({ length: count }, () => ({ worker, freeAtMs: 0 })),
  )
  const latencies: number[] = []
  for (const arrival of arrivals) {
    const slot = chooseSlot(slots, arrival.atMs, slowWorkers, slotChoice, random)
    const startMs = Math.max(arrival.atMs, slot.freeAtMs)
    slot.freeAtMs = finishTime(slowWorkers, slot.worker, startMs, arrival.workMs)
    if (!arrival.isLong && arrival.atMs >= WARM_UP_MS) latencies.push(slot.freeAtMs - arrival.atMs)
  }
  return latencies
}

function mergeArrivals(workload: Workload): Arrival[] {
  return Array.from({ length: workload.gateways }, (_, gateway) =>
    generateArrivals(workload, gateway),
  )
    .flat()
    .sort((left, right) => left.atMs - right.atMs)
}

function chooseSlot(
  slots: readonly Slot[],
  atMs: number,
  slowWorkers: readonly number[],
  slotChoice: IdealSlotChoice,
  random: () => number,
): Slot {
  let best: Slot | undefined
  let bestRank = Number.POSITIVE_INFINITY
  for (const slot of slots) {
    const isAvoided =
      slotChoice === IdealSlotChoice.AvoidsSlowWorker && isSlowAt(slowWorkers, slot.worker, atMs)
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
