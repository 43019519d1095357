/**
 * Schedule of a load that knows all arrivals and durations in advance: an upper mark for policies,
 * which know neither. Work is divisible here, and goes to the more urgent kinds first, and to the
 * shortest requests of a kind.
 */
import type { KindLoadOptions, KindLoadResult, SimulatedArrival } from './kindSimulation.js'

/** Fraction of the credit for an answer after the target. */
const LATE_CREDIT_FRACTION = 0.4
const STEP_MS = 20

/** Credit for an answer in time; a lower number is a higher priority. */
export function creditOf({ kind }: SimulatedArrival): number {
  return 1 / (1 + kind.priority)
}

/** Credit earned, as a fraction of all credit. */
export function earnedCredit({ arrivals, kinds }: KindLoadResult): number {
  let earned = 0
  let owed = 0
  for (const [route, { requests, inTime, late }] of kinds) {
    const arrival = arrivals.find(({ kind }) => kind.route === route)
    if (arrival === undefined) continue
    earned += creditOf(arrival) * (inTime + late * LATE_CREDIT_FRACTION)
    owed += creditOf(arrival) * requests
  }
  return earned / owed
}

/** Credit that the ideal schedule earns, as a fraction of all credit. */
export function idealCredit(
  arrivals: readonly SimulatedArrival[],
  options: KindLoadOptions,
): number {
  const free = freeSlotTimes(options)
  const ordered = arrivals
    .map((arrival) => ({ arrival, workMs: arrival.kind.work.cachedMs * arrival.factor }))
    .sort(
      (left, right) =>
        left.arrival.kind.priority - right.arrival.kind.priority || left.workMs - right.workMs,
    )
  let earned = 0
  let owed = 0
  const rest = ordered.filter(({ arrival, workMs }) => {
    owed += creditOf(arrival)
    if (!place(free, arrival.arrivedAtMs, workMs, arrival.kind.targetMs)) return true
    earned += creditOf(arrival)
    return false
  })
  for (const { arrival, workMs } of rest) {
    const { deadlineMs, timeoutMs } = arrival.kind
    if (workMs > timeoutMs) continue
    if (place(free, arrival.arrivedAtMs, workMs, deadlineMs))
      earned += creditOf(arrival) * LATE_CREDIT_FRACTION
  }
  return earned / owed
}

/** Slot time of all servers by step; a slow server's counts as less. */
function freeSlotTimes(options: KindLoadOptions): Float64Array {
  const { servers, slots, seconds, kinds, paceOf, isShedding } = options
  const endMs = seconds * 1000 + Math.max(...kinds.map(({ deadlineMs }) => deadlineMs))
  return Float64Array.from({ length: Math.ceil(endMs / STEP_MS) }, (_, step) => {
    const second = (step * STEP_MS) / 1000
    let slotMs = 0
    for (let server = 0; server < servers; server += 1) {
      if (isShedding?.(server, second) === true) continue
      slotMs += (slots * STEP_MS) / (paceOf?.(server, second) ?? 1)
    }
    return slotMs
  })
}

/** Takes slot time within the limit after the arrival, as early as possible; all of it or none. */
function place(free: Float64Array, arrivedAtMs: number, workMs: number, limitMs: number): boolean {
  const first = Math.ceil(arrivedAtMs / STEP_MS)
  const end = Math.min(free.length, Math.floor((arrivedAtMs + limitMs) / STEP_MS))
  let leftMs = workMs
  const taken: { readonly step: number; readonly ms: number }[] = []
  for (let step = first; step < end && leftMs > 0; step += 1) {
    const ms = Math.min(free[step] ?? 0, STEP_MS, leftMs)
    if (ms <= 0) continue
    taken.push({ step, ms })
    leftMs -= ms
  }
  if (leftMs > 0) return false
  for (const { step, ms } of taken) free[step] = (free[step] ?? 0) - ms
  return true
}
