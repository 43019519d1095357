/** Outcome of an HTTP exchange with another process, independent of the HTTP client. */

/** Header with its name as received; both texts have one character for each byte. */
export type HeaderPair = readonly [name: string, value: string]

/** How far an exchange got. */
export enum ExchangeKind {
  /** A complete answer that belongs to this exchange. */
  Answered = 'answered',
  /** No connection was established, so no byte of the request was sent. */
  NotConnected = 'notConnected',
  /** The exchange failed on an established connection; the other side may have executed the request. */
  Broken = 'broken',
}

/** Reason why an exchange ended without a valid answer. */
export enum ExchangeFailureReason {
  Refused = 'connectionRefused',
  Reset = 'reset',
  TimedOut = 'timedOut',
  /** The connection closed before the end of the answer. */
  Truncated = 'truncated',
  /** The answer belongs to another request. */
  Mismatched = 'crossedAnswer',
  TooLarge = 'answerTooLarge',
  Malformed = 'malformedAnswer',
  Cancelled = 'cancelled',
}

/** A complete answer. */
export interface HttpAnswer {
  readonly kind: ExchangeKind.Answered
  readonly status: number
  /** All headers as received. */
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Whether only the end of the connection shows the end of the body, which may be truncated. */
  readonly isDelimitedByClose?: boolean
}

/** Outcome of an exchange. */
export type ExchangeResult =
  | HttpAnswer
  | { readonly kind: ExchangeKind.NotConnected; readonly reason: ExchangeFailureReason }
  | { readonly kind: ExchangeKind.Broken; readonly reason: ExchangeFailureReason }

/** Headers that are not forwarded: hop-by-hop, or set by every sender itself. In lower case. */
export const CONNECTION_HEADERS = [
  'connection',
  'content-length',
  'keep-alive',
  'proxy-connection',
  'trailer',
  'transfer-encoding',
  'upgrade',
] as const

/** Returns the value of a header by its lower-case name, or `undefined`. */
export function findHeader(headers: readonly HeaderPair[], name: string): string | undefined {
  return headers.find(([given]) => given.toLowerCase() === name)?.[1]
}

/** Converts a flat list of alternating names and values, as in `rawHeaders`, to pairs. */
export function toHeaderPairs(rawHeaders: readonly string[]): HeaderPair[] {
  const pairs: HeaderPair[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    pairs.push([rawHeaders[index] ?? '', rawHeaders[index + 1] ?? ''])
  }
  return pairs
}

/** Whether a status can end an exchange; Node.js reads and writes any three digits. */
export function isFinalStatus(status: number | undefined): status is number {
  return status !== undefined && status >= MIN_FINAL_STATUS && status <= MAX_STATUS
}

export const MIN_FINAL_STATUS = 200
export const MAX_STATUS = 599
