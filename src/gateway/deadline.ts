/** Deadlines of requests and the latest time at which they may be sent to a backend server. */

/** A request's time limits, all in milliseconds since the epoch. */
export interface Deadline {
  readonly arrivedAtMs: number
  readonly deadlineMs: number
  /** Latest time at which the request may be sent to a backend server. */
  readonly sendByMs: number
}

/** Maximum clock margin as a fraction of the timeout, so that short timeouts stay usable. */
const MAX_MARGIN_FRACTION = 0.25

/** Creates the deadline of a request; `clockSkewMs` is subtracted from the time for sending it. */
export function createDeadline(
  arrivedAtMs: number,
  timeoutMs: number,
  clockSkewMs: number,
): Deadline {
  const marginMs = Math.min(clockSkewMs, timeoutMs * MAX_MARGIN_FRACTION)
  const deadlineMs = arrivedAtMs + timeoutMs
  return { arrivedAtMs, deadlineMs, sendByMs: deadlineMs - marginMs }
}

/** Returns whether the request may still be sent to a backend server. */
export function maySend(deadline: Deadline, nowMs: number): boolean {
  return nowMs <= deadline.sendByMs
}

/**
 * Parses a timeout header.
 * @returns the timeout in ms, at most `maxMs`; `defaultMs` without a header; `undefined` if malformed
 */
export function parseTimeout(
  header: string | undefined,
  defaultMs: number,
  maxMs: number,
): number | undefined {
  if (header === undefined) return Math.min(defaultMs, maxMs)
  if (!/^[1-9][0-9]{0,8}$/.test(header)) return undefined
  return Math.min(Number(header), maxMs)
}
