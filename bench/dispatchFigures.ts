/** Statistics of the dispatch bench, computed from its request records. */
import type { RequestRecord } from './dispatchGateway.js'
import { WARM_UP_MS } from './dispatchWorkload.js'

/**
 * Statistics of one policy, for one round or over all rounds. Times are in milliseconds; fields that
 * end in `Share` are fractions from 0 to 1.
 */
export interface PolicyFigures {
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
export function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN
}

/** Returns a sorted copy. */
export function ascending(values: readonly number[]): number[] {
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
export function figuresOf(
  records: readonly RequestRecord[],
  slotsOf: (worker: string) => number,
): PolicyFigures {
  const counted = records.filter((record) => record.atMs >= WARM_UP_MS)
  const latencies = ascending(shortLatencies(counted))
  const blocked = ascending(headOfLine(records, slotsOf))
  const share = (matches: (record: RequestRecord) => boolean): number =>
    counted.filter(matches).length / Math.max(1, counted.length)
  return {
    shortRequests: latencies.length,
    p50: quantile(latencies, 0.5),
    p99: quantile(latencies, 0.99),
    p999: quantile(latencies, 0.999),
    headOfLineMean: blocked.reduce((sum, value) => sum + value, 0) / Math.max(1, blocked.length),
    headOfLineP99: quantile(blocked, 0.99),
    refusedShare: share((record) => !record.served),
    retriedShare: share((record) => record.attempts > 1),
    hedgedShare: share((record) => record.hedges > 0),
    hedgeWonShare: share((record) => record.hedgeWon),
    beyondShare: share((record) => record.beyondSlots),
  }
}

/**
 * Returns the head-of-line blocking of each short request in milliseconds: the time between its
 * arrival and its start, weighted by the fraction of its worker's slots that long requests occupied.
 */
function headOfLine(
  records: readonly RequestRecord[],
  slotsOf: (worker: string) => number,
): number[] {
  const longByWorker = new Map<string, RequestRecord[]>()
  for (const record of records) {
    if (!record.isLong || !record.served) continue
    const list = longByWorker.get(record.worker) ?? []
    list.push(record)
    longByWorker.set(record.worker, list)
  }
  const blocked: number[] = []
  for (const record of records) {
    if (record.isLong || !record.served || record.atMs < WARM_UP_MS) continue
    let sum = 0
    for (const long of longByWorker.get(record.worker) ?? []) {
      const overlap =
        Math.min(record.startedMs, long.endedMs) - Math.max(record.atMs, long.startedMs)
      if (overlap > 0) sum += overlap
    }
    blocked.push(sum / slotsOf(record.worker))
  }
  return blocked
}

/** Returns the median, minimum and maximum. */
export function spread(values: readonly number[]): {
  readonly median: number
  readonly low: number
  readonly high: number
} {
  const sorted = ascending(values)
  return {
    median: quantile(sorted, 0.5),
    low: sorted[0] ?? Number.NaN,
    high: sorted[sorted.length - 1] ?? Number.NaN,
  }
}
