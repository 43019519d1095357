/** What an answer shows of its backend server, beside its load. */

export interface ServerStatement {
  /** Requests per second that the server takes from all instances together. */
  readonly limitPerSecond?: number
  /** Whether the server is about to end and wants no new requests. */
  readonly isLeaving?: boolean
  /** Time for which the server wants no request from this instance, in milliseconds. */
  readonly retryAfterMs?: number
  /** Time for which no request should be sent to it, because of what it sent, in milliseconds. */
  readonly avoidForMs?: number
  /** Names of the statements that could not be read, and so change nothing. */
  readonly unreadable?: readonly string[]
}
