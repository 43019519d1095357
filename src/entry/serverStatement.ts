/** What a backend server states of itself in an answer, beside its load. */

export interface ServerStatement {
  /** Requests per second that the server takes from all instances together. */
  readonly limitPerSecond?: number
  /** Whether the server is about to end and wants no new requests. */
  readonly isLeaving?: boolean
  /** Time for which the server wants no request from this instance, in milliseconds. */
  readonly retryAfterMs?: number
  /** Names of the statements that could not be read, and so change nothing. */
  readonly unreadable?: readonly string[]
}
