/** How an HTTP exchange with another process ended, independent of the client. */

/** Header with its name as received. */
export type HeaderPair = readonly [name: string, value: string]

/** How an exchange ended. */
export enum ExchangeKind {
  /** A complete answer that belongs to this exchange. */
  Answered = 'answered',
  /** No connection was established, so no byte of the request left. */
  NotConnected = 'notConnected',
  /** Anything else: the other side may have executed the request. */
  Broken = 'broken',
}

/** Why there is no usable answer. */
export enum BreakReason {
  Refused = 'connectionRefused',
  Reset = 'reset',
  TimedOut = 'timedOut',
  Truncated = 'truncated',
  Crossed = 'crossedAnswer',
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
}

/** End of an exchange. */
export type ExchangeResult =
  | HttpAnswer
  | { readonly kind: ExchangeKind.NotConnected; readonly reason: BreakReason }
  | { readonly kind: ExchangeKind.Broken; readonly reason: BreakReason }

/** Headers that concern one connection only or are set anew by every sender; lower case. */
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
export function headerOf(headers: readonly HeaderPair[], name: string): string | undefined {
  return headers.find(([given]) => given.toLowerCase() === name)?.[1]
}

/** Returns the pairs of a flat list of names and values. */
export function pairsOf(rawHeaders: readonly string[]): HeaderPair[] {
  const pairs: HeaderPair[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    pairs.push([rawHeaders[index] ?? '', rawHeaders[index + 1] ?? ''])
  }
  return pairs
}
