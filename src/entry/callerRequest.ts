/** A caller's request and the answer to it, independent of the HTTP server. */
import type { HeaderPair } from '../common/exchange.js'

/** Names of the headers that callers use, in lower case. */
export interface CallerHeaders {
  readonly requestId: string
  /** Milliseconds that the caller waits. */
  readonly patience: string
  /** Cookie whose value is the object of the request. */
  readonly objectCookie: string
  /** Headers that only this system sets; they are dropped from callers' requests. */
  readonly reserved: ReadonlySet<string>
}

/** A request that was read completely. */
export interface CallerRequest {
  readonly requestId: string
  /** Upper case. */
  readonly method: string
  readonly host: string
  /** Path and query as received. */
  readonly target: string
  /** End-to-end headers that go on to the backend server. */
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Object that the request concerns; empty: none. */
  readonly object: string
  /** How long the caller waits, in milliseconds from the arrival; `undefined`: not stated. */
  readonly patienceMs: number | undefined
  /** Steady time of arrival in milliseconds. */
  readonly arrivedAtMs: number
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal
}

/** Answer to a caller. */
export interface CallerAnswer {
  readonly status: number
  readonly statusText?: string
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Whether the body's end is known only from the end of the connection. */
  readonly isDelimitedByClose?: boolean
}

/** Why a request has no answer of a backend server. */
export enum FailureKind {
  /** This instance has not seen a configuration yet. */
  NoConfiguration = 'noConfiguration',
  NoRoute = 'noRoute',
  /** No slot in useful time; not run. */
  NoSlot = 'noSlot',
  /** The instance is ending and can't finish the request; not run. */
  Leaving = 'leaving',
  /** Sends failed without having run, and no further one is allowed. */
  NotRun = 'notRun',
  /** It may have run; the answer is lost. */
  AnswerLost = 'answerLost',
  /** The route's or the caller's time is up after the request was sent. */
  TimedOut = 'timedOut',
  /** The caller left; nobody reads the answer. */
  Abandoned = 'abandoned',
}

const STATUS_BY_FAILURE: Readonly<Record<FailureKind, number>> = {
  [FailureKind.NoConfiguration]: 503,
  [FailureKind.NoRoute]: 404,
  [FailureKind.NoSlot]: 503,
  [FailureKind.Leaving]: 503,
  [FailureKind.NotRun]: 503,
  [FailureKind.AnswerLost]: 502,
  [FailureKind.TimedOut]: 504,
  [FailureKind.Abandoned]: 503,
}

const REMEDY_BY_FAILURE: Readonly<Record<FailureKind, string>> = {
  [FailureKind.NoConfiguration]: 'this instance has just started; ask another one or repeat',
  [FailureKind.NoRoute]: 'check host and path against the configured routes',
  [FailureKind.NoSlot]: 'not run; repeat after the stated time',
  [FailureKind.Leaving]: 'not run; ask another instance',
  [FailureKind.NotRun]: 'not run; repeat after the stated time',
  [FailureKind.AnswerLost]: 'it may have run; repeat only what may run twice',
  [FailureKind.TimedOut]: 'it may have run; repeat only what may run twice',
  [FailureKind.Abandoned]: 'the caller left before the answer',
}

/**
 * Creates an answer of our own.
 * @param retryAfterMs time after which the caller should come back; 0: not stated
 */
export function failureAnswer(kind: FailureKind, retryAfterMs: number): CallerAnswer {
  const headers: HeaderPair[] = [['Content-Type', 'text/plain']]
  if (retryAfterMs > 0) headers.push(['Retry-After', (retryAfterMs / 1000).toFixed(3)])
  const status = STATUS_BY_FAILURE[kind]
  return { status, headers, body: Buffer.from(`${kind}: ${REMEDY_BY_FAILURE[kind]}\n`) }
}
