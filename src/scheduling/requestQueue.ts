/** Queue of the requests that wait for a slot of one service. */
import type { SlotRequestDetails } from '../entry/peerMessages.js'
import type { Waiter } from './waiter.js'

/** Waiters that differ only in their target, in the order of it. */
interface WaiterGroup {
  readonly route: string
  readonly priority: number
  readonly isReturn: boolean
  readonly waiters: Waiter[]
}

/** Part of a group that is being merged with parts of others. */
interface GroupRange {
  readonly group: WaiterGroup
  next: number
  readonly end: number
}

/** Waiters of one group that are either all in time or all late, in the order of their targets. */
export interface QueuePart {
  readonly route: string
  readonly priority: number
  readonly isReturn: boolean
  readonly isLate: boolean
}

/** Numbers of the waiters of one group. */
export interface GroupCount {
  readonly route: string
  readonly priority: number
  readonly late: number
  readonly inTime: number
}

/** Place in the order of service; the first number that differs decides, and the lower goes first. */
export type ServiceRank = readonly number[]

/** Expected duration of a route's requests, in milliseconds. */
type ServiceTimeOf = (route: string) => number

/**
 * Waiters in groups by route, priority and whether they are retries. Within a group the waiters
 * that can't meet their target any more come first, so lateness needs no new sorting.
 */
export class RequestQueue {
  readonly #waiters = new Map<string, Waiter>()
  readonly #groups = new Map<string, WaiterGroup>()

  get length(): number {
    return this.#waiters.size
  }

  add(waiter: Waiter): void {
    this.#waiters.set(waiter.key, waiter)
    const { waiters } = this.#groupOf(waiter)
    waiters.splice(firstIndexAfter(waiters, waiter.targetAtMs), 0, waiter)
  }

  remove(key: string): Waiter | undefined {
    const waiter = this.#waiters.get(key)
    if (waiter === undefined) return undefined
    this.#waiters.delete(key)
    const { waiters } = this.#groupOf(waiter)
    const index = waiters.indexOf(waiter, firstIndexFrom(waiters, waiter.targetAtMs))
    waiters.splice(index, 1)
    if (waiters.length === 0) this.#groups.delete(groupKey(waiter))
    return waiter
  }

  has(key: string): boolean {
    return this.#waiters.has(key)
  }

  all(): Waiter[] {
    return [...this.#waiters.values()]
  }

  /**
   * First waiters in the order of service: those that can still meet their target first, then by
   * priority, then retries before first attempts, then by target.
   */
  first(count: number, serviceMsOf: ServiceTimeOf, nowMs: number): Waiter[] {
    const inTime: GroupRange[] = []
    const late: GroupRange[] = []
    for (const group of this.#groups.values()) {
      const firstInTime = firstIndexFrom(group.waiters, nowMs + serviceMsOf(group.route))
      inTime.push({ group, next: firstInTime, end: group.waiters.length })
      late.push({ group, next: 0, end: firstInTime })
    }
    const first = merge(inTime, count)
    return [...first, ...merge(late, count - first.length)]
  }

  /** First waiters by their ranks, which must not decrease within a part. */
  firstBy(
    count: number,
    rankOf: (waiter: Waiter, part: QueuePart) => ServiceRank,
    serviceMsOf: ServiceTimeOf,
    nowMs: number,
  ): Waiter[] {
    const heads: RankedHead[] = []
    const addPart = (group: WaiterGroup, isLate: boolean, next: number, end: number): void => {
      const first = group.waiters[next]
      if (first === undefined || next >= end) return
      const { route, priority, isReturn } = group
      const part = { route, priority, isReturn, isLate }
      heads.push({ group, next, end, part, rank: rankOf(first, part) })
    }
    for (const group of this.#groups.values()) {
      const firstInTime = firstIndexFrom(group.waiters, nowMs + serviceMsOf(group.route))
      addPart(group, false, firstInTime, group.waiters.length)
      addPart(group, true, 0, firstInTime)
    }
    const merged: Waiter[] = []
    while (merged.length < count) {
      let best: RankedHead | undefined
      for (const head of heads) {
        if (head.next < head.end && (best === undefined || isRankedBefore(head.rank, best.rank)))
          best = head
      }
      const waiter = best?.group.waiters[best.next]
      if (best === undefined || waiter === undefined) break
      merged.push(waiter)
      best.next += 1
      const following = best.group.waiters[best.next]
      if (best.next < best.end && following !== undefined) best.rank = rankOf(following, best.part)
    }
    return merged
  }

  /** Number of waiters with this priority or a more urgent one. */
  countUpTo(priority: number): number {
    let count = 0
    for (const group of this.#groups.values()) {
      if (group.priority <= priority) count += group.waiters.length
    }
    return count
  }

  /** Counts of the waiters by group. */
  counts(serviceMsOf: ServiceTimeOf, nowMs: number): GroupCount[] {
    return [...this.#groups.values()].map(({ route, priority, waiters }) => {
      const late = firstIndexFrom(waiters, nowMs + serviceMsOf(route))
      return { route, priority, late, inTime: waiters.length - late }
    })
  }

  /** Counts the waiters that are served before a request with this priority. */
  countAhead(
    request: SlotRequestDetails,
    serviceMsOf: ServiceTimeOf,
    nowMs: number,
  ): { readonly inTime: number; readonly late: number } {
    let inTime = 0
    let late = 0
    for (const { route, priority, waiters } of this.#groups.values()) {
      const lateCount = firstIndexFrom(waiters, nowMs + serviceMsOf(route))
      late += lateCount
      if (priority <= request.priority) inTime += waiters.length - lateCount
    }
    return { inTime, late }
  }

  #groupOf(waiter: Waiter): WaiterGroup {
    const { route, priority, isReturn } = waiter.request
    const key = groupKey(waiter)
    const existing = this.#groups.get(key)
    if (existing !== undefined) return existing
    const created = { route, priority, isReturn, waiters: [] }
    this.#groups.set(key, created)
    return created
  }
}

interface RankedHead extends GroupRange {
  readonly part: QueuePart
  rank: ServiceRank
}

function isRankedBefore(left: ServiceRank, right: ServiceRank): boolean {
  for (let index = 0; index < left.length; index += 1) {
    const difference = (left[index] ?? 0) - (right[index] ?? 0)
    if (difference !== 0) return difference < 0
  }
  return false
}

function groupKey({ request: { route, priority, isReturn } }: Waiter): string {
  return `${priority}/${isReturn}/${route}`
}

/** Takes up to `count` waiters from the ranges in the order of service. */
function merge(ranges: GroupRange[], count: number): Waiter[] {
  const merged: Waiter[] = []
  while (merged.length < count) {
    let best: GroupRange | undefined
    for (const range of ranges) {
      if (range.next >= range.end) continue
      if (best === undefined || isServedBefore(range, best)) best = range
    }
    const waiter = best?.group.waiters[best.next]
    if (best === undefined || waiter === undefined) break
    merged.push(waiter)
    best.next += 1
  }
  return merged
}

function isServedBefore(left: GroupRange, right: GroupRange): boolean {
  const byRank =
    left.group.priority - right.group.priority ||
    Number(right.group.isReturn) - Number(left.group.isReturn)
  if (byRank !== 0) return byRank < 0
  return targetAt(left) < targetAt(right)
}

function targetAt({ group, next }: GroupRange): number {
  return group.waiters[next]?.targetAtMs ?? Number.POSITIVE_INFINITY
}

/** Index of the first waiter whose target is not before the time. */
function firstIndexFrom(waiters: readonly Waiter[], targetAtMs: number): number {
  return lowerBound(waiters, (waiter) => waiter.targetAtMs >= targetAtMs)
}

/** Index of the first waiter whose target is after the time. */
function firstIndexAfter(waiters: readonly Waiter[], targetAtMs: number): number {
  return lowerBound(waiters, (waiter) => waiter.targetAtMs > targetAtMs)
}

function lowerBound(waiters: readonly Waiter[], isReached: (waiter: Waiter) => boolean): number {
  let low = 0
  let high = waiters.length
  while (low < high) {
    const middle = (low + high) >>> 1
    const waiter = waiters[middle]
    if (waiter !== undefined && isReached(waiter)) high = middle
    else low = middle + 1
  }
  return low
}
