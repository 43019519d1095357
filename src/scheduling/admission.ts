/**
 * Admission control: decides at arrival whether a request is queued or refused.
 *
 * Under overload that lasts for seconds (a burst, a load peak, a lost zone),
 * requests that can't be answered in time are refused at once. A late answer is
 * of little use, so late requests get only spare capacity, and are queued only
 * as long as it suffices for them.
 */

/** Queue of a service as an arriving request finds it. */
export interface QueueState {
  /** Requests that are served before this one as long as it is in time. */
  readonly aheadInTime: number
  /** Late requests, which may be served before this one once it is late as well. */
  readonly aheadLate: number
  /** Requests per second that the usable slots complete. */
  readonly completionsPerSecond: number
  /** Requests per second that arrive. */
  readonly arrivalsPerSecond: number
}

/** Time requirements of a request, in milliseconds. */
export interface RequestNeed {
  readonly serviceMs: number
  readonly targetInMs: number
  readonly deadlineInMs: number
  readonly isReturn: boolean
}

export enum AdmissionKind {
  InTime = 'inTime',
  Late = 'late',
  Refused = 'refused',
}

export interface Admission {
  readonly kind: AdmissionKind
  /** Expected wait, in milliseconds. */
  readonly waitMs: number
}

/** Safety factor on the expected wait of a request in time; durations vary by about as much. */
const WAIT_SAFETY_FACTOR = 1.3
/**
 * Fraction of the capacity that late retries may count on even if arrivals use all of it:
 * refusing a retry again would waste the time that its caller has already waited.
 */
const RETRY_CAPACITY_FRACTION = 0.08
/** Fraction of the deadline that a late request may wait; estimates of long waits are uncertain. */
export const LATE_WAIT_FRACTION = 0.4

/** Estimates the wait of a request and decides whether to queue or to refuse it. */
export function admit(queue: QueueState, need: RequestNeed): Admission {
  const rate = Math.max(queue.completionsPerSecond, 1e-3)
  const waitMs = ((queue.aheadInTime + 1) * 1000) / rate
  if (waitMs * WAIT_SAFETY_FACTOR + need.serviceMs <= need.targetInMs) {
    return { kind: AdmissionKind.InTime, waitMs }
  }
  const spareRate = Math.max(
    rate - queue.arrivalsPerSecond,
    need.isReturn ? rate * RETRY_CAPACITY_FRACTION : 0,
  )
  if (spareRate <= 0) return { kind: AdmissionKind.Refused, waitMs }
  const lateWaitMs = waitMs + ((queue.aheadLate + 1) * 1000) / spareRate
  const maxWaitMs = Math.min(
    need.deadlineInMs - need.serviceMs * 1.5,
    need.deadlineInMs * LATE_WAIT_FRACTION,
  )
  const kind = lateWaitMs <= maxWaitMs ? AdmissionKind.Late : AdmissionKind.Refused
  return { kind, waitMs: lateWaitMs }
}

/** Upper bound of Retry-After as a fraction of the remaining time; callers ignore longer ones. */
const MAX_RETRY_AFTER_FRACTION = 1 / 3
const MIN_RETRY_AFTER_MS = 50

/**
 * Returns the time after which a refused caller should retry, in milliseconds: when the
 * current backlog is done, with jitter so that callers refused together do not retry
 * together, and early enough for the retry to meet the deadline.
 *
 * @param random uniform in [0, 1)
 */
export function retryAfterMs(waitMs: number, need: RequestNeed, random: number): number {
  const maxRetryAfterMs = Math.min(
    need.deadlineInMs * MAX_RETRY_AFTER_FRACTION,
    need.deadlineInMs - 2 * need.serviceMs,
  )
  const desiredMs = waitMs * (0.75 + 0.5 * random)
  return Math.round(Math.max(MIN_RETRY_AFTER_MS, Math.min(desiredMs, maxRetryAfterMs)))
}
