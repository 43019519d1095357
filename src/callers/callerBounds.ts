/** Bounds of what callers may make the listeners of an instance hold. */

/** Bounds of one listener. */
export interface ListenerBounds {
  /** Connections at once. Beyond it, those that are needed least are closed. */
  readonly connections: number
  /** Requests of one connection that were read and whose answers were not fetched. */
  readonly requestsPerConnection: number
  /** Bytes of answers that one connection has not fetched, beyond which it is not read. */
  readonly answerBytesPerConnection: number
  /** Memory for heads, unread input and requests sent ahead, over all connections. */
  readonly inputBytes: number
  /** Time in which a connection must fetch some of what was sent, in milliseconds. */
  readonly fetchTimeoutMs: number
}

/** Bounds of all listeners that callers reach. */
export interface CallerBounds {
  readonly callers: ListenerBounds
  readonly directory: ListenerBounds
  readonly readiness: ListenerBounds
  readonly metrics: ListenerBounds
}

/** Part of the process's descriptors for each listener; the rest is for the store, peers and servers. */
const CALLER_SHARE = 0.55
const DIRECTORY_SHARE = 0.15
const READINESS_SHARE = 0.03
const METRICS_SHARE = 0.03
const MIN_CONNECTIONS = 8

/** Bounds that may be set; the other ones follow from the descriptors. */
export interface CallerBoundOverrides {
  readonly connections?: number | undefined
  readonly requestsPerConnection?: number | undefined
  readonly answerBytesPerConnection?: number | undefined
  readonly inputBytes?: number | undefined
  readonly fetchTimeoutMs?: number | undefined
}

/** Descriptors that are assumed where the settings state none; those of the smallest machines. */
export const DEFAULT_DESCRIPTORS = 4096
/** Above what callers that send requests ahead have open at once. */
const REQUESTS_PER_CONNECTION = 128
const ANSWER_BYTES_PER_CONNECTION = 1024 * 1024
const INPUT_BYTES = 32 * 1024 * 1024
/** Longer than the deadline of any request, so that its caller has given up before. */
const FETCH_TIMEOUT_MS = 30_000
/** Readiness checks, look-ups and metrics are answered at once, with few bytes. */
const SIMPLE_REQUESTS_PER_CONNECTION = 16
const SIMPLE_ANSWER_BYTES_PER_CONNECTION = 64 * 1024
const SIMPLE_INPUT_BYTES = 4 * 1024 * 1024
/** A page of metrics is large, and nobody needs two at once. */
const METRICS_REQUESTS_PER_CONNECTION = 1

/** @param descriptors limit on the descriptors of the process */
export function callerBoundsOf(
  descriptors: number,
  overrides: CallerBoundOverrides = {},
): CallerBounds {
  const share = (part: number): number => Math.max(MIN_CONNECTIONS, Math.floor(descriptors * part))
  const callers: ListenerBounds = {
    connections: overrides.connections ?? share(CALLER_SHARE),
    requestsPerConnection: overrides.requestsPerConnection ?? REQUESTS_PER_CONNECTION,
    answerBytesPerConnection: overrides.answerBytesPerConnection ?? ANSWER_BYTES_PER_CONNECTION,
    inputBytes: overrides.inputBytes ?? INPUT_BYTES,
    fetchTimeoutMs: overrides.fetchTimeoutMs ?? FETCH_TIMEOUT_MS,
  }
  const simple = (part: number): ListenerBounds => ({
    ...callers,
    connections: share(part),
    requestsPerConnection: SIMPLE_REQUESTS_PER_CONNECTION,
    answerBytesPerConnection: SIMPLE_ANSWER_BYTES_PER_CONNECTION,
    inputBytes: SIMPLE_INPUT_BYTES,
  })
  return {
    callers,
    directory: simple(DIRECTORY_SHARE),
    readiness: simple(READINESS_SHARE),
    metrics: {
      ...simple(METRICS_SHARE),
      requestsPerConnection: METRICS_REQUESTS_PER_CONNECTION,
    },
  }
}

export const DEFAULT_CALLER_BOUNDS = callerBoundsOf(DEFAULT_DESCRIPTORS)
