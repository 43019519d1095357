import { expect } from 'chai'
import fc from 'fast-check'
import { RequestQueue } from '../requestQueue.js'
import type { Waiter } from '../waiter.js'

const SERVICE_MS: Readonly<Record<string, number>> = { fast: 50, slow: 400 }

interface WaiterFields {
  readonly route: string
  readonly priority: number
  readonly isReturn: boolean
  readonly targetAtMs: number
}

function waiterOf(fields: WaiterFields, index: number): Waiter {
  const { route, priority, isReturn, targetAtMs } = fields
  return {
    key: `instance/${index}`,
    request: {
      askId: index,
      service: 'service',
      route,
      object: '',
      priority,
      targetInMs: targetAtMs,
      deadlineInMs: 5000,
      isReturn,
      excludedServers: [],
      regions: [],
    },
    zone: 'zone',
    arrivedAtMs: 0,
    targetAtMs,
    deadlineAtMs: 5000,
    onGranted: () => undefined,
    onRefused: () => undefined,
  }
}

const serviceMsOf = (route: string): number => SERVICE_MS[route] ?? 0
const isLate = ({ request, targetAtMs }: Waiter, nowMs: number): boolean =>
  targetAtMs - serviceMsOf(request.route) < nowMs

/** The order of service by one plain sort. */
function sorted(waiters: readonly Waiter[], nowMs: number): Waiter[] {
  return [...waiters].sort(
    (left, right) =>
      Number(isLate(left, nowMs)) - Number(isLate(right, nowMs)) ||
      left.request.priority - right.request.priority ||
      Number(right.request.isReturn) - Number(left.request.isReturn) ||
      left.targetAtMs - right.targetAtMs,
  )
}

/** What the order depends on; waiters that agree in it may be served in any order. */
function rankOf(waiter: Waiter): string {
  const { priority, isReturn } = waiter.request
  return `${priority}/${isReturn}/${waiter.targetAtMs}`
}

describe('RequestQueue', () => {
  const fields = fc.record({
    route: fc.constantFrom('fast', 'slow'),
    priority: fc.integer({ min: 0, max: 2 }),
    isReturn: fc.boolean(),
    targetAtMs: fc.integer({ min: 0, max: 1000 }),
  })

  // Guards against a queue whose kept order differs from the order of service, in which lateness
  // changes with time, and waiters leave from the middle.
  it('serves and counts like a queue that is sorted at each use', () => {
    fc.assert(
      fc.property(
        fc.array(fields, { maxLength: 60 }),
        fc.array(fc.nat(59), { maxLength: 30 }),
        fc.integer({ min: 0, max: 1200 }),
        fc.integer({ min: 1, max: 60 }),
        (given, removed, nowMs, count) => {
          const queue = new RequestQueue()
          const waiters = given.map(waiterOf)
          for (const waiter of waiters) queue.add(waiter)
          for (const index of removed) queue.remove(`instance/${index}`)
          const left = waiters.filter(({ key }) => queue.has(key))
          expect(left).to.have.length(queue.length)
          const expected = sorted(left, nowMs).slice(0, count)
          const first = queue.first(count, serviceMsOf, nowMs)
          expect(first.map(rankOf)).to.deep.equal(expected.map(rankOf))
          expect(new Set(first).size).to.equal(first.length)
          const late = left.filter((waiter) => isLate(waiter, nowMs)).length
          const inTime = left.filter(
            (waiter) => !isLate(waiter, nowMs) && waiter.request.priority <= 1,
          ).length
          const request = waiterOf(
            { route: 'fast', priority: 1, isReturn: false, targetAtMs: 0 },
            99,
          ).request
          expect(queue.countAhead(request, serviceMsOf, nowMs)).to.deep.equal({ inTime, late })
        },
      ),
      { seed: 41, numRuns: 300 },
    )
  })
})
