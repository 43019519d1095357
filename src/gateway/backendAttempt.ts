/** One attempt to run a request on a backend server, and what its end says about execution. */
import { NOT_STARTED_HEADER } from '../common/headers.js'
import type { HeaderPair } from './exchange.js'

/** How an attempt ended. */
export enum AttemptKind {
  /** A complete answer that belongs to this attempt. */
  Answered = 'answered',
  /** No connection was established, so no byte of the request left. */
  NotConnected = 'notConnected',
  /** Anything else: the backend server may have executed the request. */
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
export interface BackendAnswer {
  readonly kind: AttemptKind.Answered
  readonly status: number
  /** All headers as received. */
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
}

/** End of an attempt. */
export type AttemptResult =
  | BackendAnswer
  | { readonly kind: AttemptKind.NotConnected; readonly reason: BreakReason }
  | { readonly kind: AttemptKind.Broken; readonly reason: BreakReason }

/** An attempt to be made. */
export interface BackendCall {
  /** `host:port` */
  readonly address: string
  /** Identifier of this attempt, echoed by the backend server. */
  readonly attemptId: string
  readonly method: string
  readonly target: string
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Milliseconds since the epoch. */
  readonly deadlineMs: number
  readonly maxAnswerBytes: number
  readonly signal: AbortSignal
}

/** Makes attempts. */
export interface BackendCaller {
  /** Never rejects. */
  attempt(call: BackendCall): Promise<AttemptResult>
}

/** What an attempt says about the execution of its request. */
export enum Execution {
  Ran = 'ran',
  CertainlyNot = 'certainlyNot',
  Possible = 'possible',
}

/** Returns the value of a header, or `undefined`. */
export function headerOf(headers: readonly HeaderPair[], name: string): string | undefined {
  return headers.find(([given]) => given.toLowerCase() === name)?.[1]
}

/** Classifies the end of an attempt. */
export function classify(result: AttemptResult): Execution {
  if (result.kind === AttemptKind.NotConnected) return Execution.CertainlyNot
  if (result.kind === AttemptKind.Broken) return Execution.Possible
  const refused = result.status === 503 && headerOf(result.headers, NOT_STARTED_HEADER) === 'true'
  return refused ? Execution.CertainlyNot : Execution.Ran
}
