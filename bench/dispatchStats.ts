/** Statistics of the dispatch bench, computed from its request records. */
import type { RequestRecord } from './dispatchGateway.js'
import { WARM_UP_MS } from './dispatchWorkload.js'

/**
 * Statistics of one policy, for one round or over all rounds. Times are in milliseconds; fields
 * that end in `Share` are fractions from 0 to 1.
 */
export interface PolicyStats {
  readonly shortRequests: number
  readonly p50: number
  readonly p99: number
  readonly p999: number
  readonly headOfLineMean: number
  readonly headOfLineP99: number
  readonly refusedShare: number
  readonly retriedShare: number
  readonly hedgedShare: number
  readonly hedgeWonShare: number
  readonly beyondShare: number
}

/** Returns the given quantile of values in ascending order, or NaN if there are none. */
export function quantile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? Number.NaN
}

/** Returns a sorted copy. */
export function sortAscending(values: readonly number[]): number[] {
  return Float64Array.from(values).sort() as unknown as number[]
}

/** Returns the latencies of served short requests that arrived after the warm-up. */
export function shortLatencies(records: readonly RequestRecord[]): number[] {
  return records
    .filter((record) => !record.isLong && record.served && record.atMs >= WARM_UP_MS)
    .map((record) => record.latencyMs)
}

/**
 * Computes the statistics of all requests that arrived after the warm-up; `slotsOf` returns the
 * number of slots of a worker.
 */
export function computePolicyStats(
  records: readonly RequestRecord[],
  slotsOf: (worker: string) => number,
): PolicyStats {
  const counted = records.filter((record) => record.atMs >= WARM_UP_MS)
  const latencies = sortAscending(shortLatencies(counted))
  const blockingTimes = sortAscending(headOfLineBlocking(records, slotsOf))
  const fractionOf = (matches: (record: RequestRecord) => boolean): number =>
    counted.filter(matches).length / Math.max(1, counted.length)
  return {
    shortRequests: latencies.length,
    p50: quantile(latencies, 0.5),
    p99: quantile(latencies, 0.99),
    p999: quantile(latencies, 0.999),
    headOfLineMean:
      blockingTimes.reduce((sum, value) => sum + value, 0) / Math.max(1, blockingTimes.length),
    headOfLineP99: quantile(blockingTimes, 0.99),
    refusedShare: fractionOf((record) => !record.served),
    retriedShare: fractionOf((record) => record.attempts > 1),
    hedgedShare: fractionOf((record) => record.hedges > 0),
    hedgeWonShare: fractionOf((record) => record.hedgeWon),
    beyondShare: fractionOf((record) => record.beyondSlots),
  }
}

/**
 * Returns the head-of-line blocking of each short request in milliseconds: the time between its
 * arrival and its start, weighted by the fraction of its worker's slots that long requests
 * occupied.
 */
function headOfLineBlocking(
  records: readonly RequestRecord[],
  slotsOf: (worker: string) => number,
): number[] {
  const longByWorker = new Map<string, RequestRecord[]>()
  for (const record of records) {
    if (!record.isLong || !record.served) continue
    const longRecords = longByWorker.get(record.worker) ?? []
    longRecords.push(record)
    longByWorker.set(record.worker, longRecords)
  }
  const blockingTimes: number[] = []
  for (const record of records) {
    if (record.isLong || !record.served || record.atMs < WARM_UP_MS) continue
    let overlapSumMs = 0
    for (const long of longByWorker.get(record.worker) ?? []) {
      const overlapMs =
        Math.min(record.startedMs, long.endedMs) - Math.max(record.atMs, long.startedMs)
      if (overlapMs > 0) overlapSumMs += overlapMs
    }
    blockingTimes.push(overlapSumMs / slotsOf(record.worker))
  }
  return blockingTimes
}

/** Returns the median, minimum and maximum. */
export function medianAndRange(values: readonly number[]): {
  readonly median: number
  readonly low: number
  readonly high: number
} {
  const sorted = sortAscending(values)
  return {
    median: quantile(sorted, 0.5),
    low: sorted[0] ?? Number.NaN,
    high: sorted[sorted.length - 1] ?? Number.NaN,
  }
}
