/** The deadline of a request and the last moment at which it may be sent. */

/** A request's time limits, all in milliseconds since the epoch. */
export interface Deadline {
  readonly arrivedAtMs: number
  readonly deadlineMs: number
  /** Nothing is sent to a backend server after this time. */
  readonly sendByMs: number
}

/** Largest part of a request's time that the clock margin may take; short timeouts stay usable. */
const MAX_MARGIN_SHARE = 0.25

/** Creates the deadline of a request that may take `timeoutMs` from its arrival. */
export function createDeadline(
  arrivedAtMs: number,
  timeoutMs: number,
  clockSkewMs: number,
): Deadline {
  const margin = Math.min(clockSkewMs, timeoutMs * MAX_MARGIN_SHARE)
  const deadlineMs = arrivedAtMs + timeoutMs
  return { arrivedAtMs, deadlineMs, sendByMs: deadlineMs - margin }
}

/** Tells whether a request may still be sent. */
export function maySend(deadline: Deadline, nowMs: number): boolean {
  return nowMs <= deadline.sendByMs
}

/**
 * Reads a timeout header.
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
