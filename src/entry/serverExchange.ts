/** Requests to backend servers, answers, and what is certain about the outcome of a send. */
import type { HeaderPair } from '../common/exchange.js'
import type { LoadReport } from './loadReport.js'
import type { ServerStatement } from './serverStatement.js'

/** Request to a backend server. */
export interface ServerRequest {
  readonly requestId: string
  /** Upper case. */
  readonly method: string
  readonly target: string
  /** All headers except Content-Length. */
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Whether the request may run twice, and so may use a connection that was idle for long. */
  readonly isIdempotent: boolean
  /** Whether other instances lost connections to servers of the service a short time ago. */
  readonly mayConnectionsBeLost?: boolean
}

/** Complete answer of a backend server. */
export interface ServerAnswer {
  readonly status: number
  readonly statusText: string
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Whether only the end of the connection marks the end of the body, which may be truncated. */
  readonly isDelimitedByClose: boolean
}

export enum OutcomeKind {
  /** A complete answer to this request arrived. */
  Answered = 'answered',
  /** The server stated that it did not run the request. */
  Declined = 'declined',
  /** Another server now uses the address. */
  Misdirected = 'misdirected',
  /** No connection was established; nothing was sent. */
  Unreachable = 'unreachable',
  /** The connection broke or the answer was invalid; the request may have run. */
  Broken = 'broken',
  /** The deadline passed; the request may have run. */
  TimedOut = 'timedOut',
  /** The caller disconnected; the request may have run. */
  Abandoned = 'abandoned',
}

/** Outcome of sending a request to a backend server once. */
export interface SendOutcome {
  readonly kind: OutcomeKind
  /** Set if a complete answer to the request arrived. */
  readonly answer: ServerAnswer | undefined
  readonly report: LoadReport | null
  /** Set if an answer that is certain to belong to the request states something, or has no end. */
  readonly statement?: ServerStatement
  /** Time from the send to the end, in milliseconds. */
  readonly durationMs: number
  /** Reason of a failure, for the log; may be empty. */
  readonly detail: string
  /** Whether the connection had carried a request before. */
  readonly isReused: boolean
}

/** What became of the connection that carried a request. */
export interface ConnectionUse {
  /** Time for which it may carry another request that must run at most once; left out if closed. */
  readonly keptForMs?: number
  /** Whether the server had dropped it unnoticed, and reset it when the request arrived. */
  readonly isLost?: boolean
}

/** Outcome of a send through the pool. */
export interface PooledOutcome extends SendOutcome {
  readonly connection: ConnectionUse
}

/** Headers of the exchange with backend servers. */
export interface ServerHeaders {
  /** Response header that echoes the request identifier; lower case. */
  readonly requestId: string
  /** Response header that signs the body; lower case. */
  readonly signature: string
  /** Response header that states that the request did not run; lower case. */
  readonly notRun: string
  /** Request header with the identifier of the server that may run the request. */
  readonly expectedServer: string
  /** Request header with the time until the deadline, in milliseconds. */
  readonly deadline: string
  /** Request header with the name of the caller's tenant. */
  readonly tenant: string
  /** Parses the value of the `load` header; `null` if it is invalid. */
  readonly readLoad: (value: string) => LoadReport | null
  /** Response header with the server's load; lower case. */
  readonly load: string
  /** Whether a response header is a statement, which is not forwarded. @param name lower case */
  readonly isStatement: (name: string, status: number) => boolean
  /** Decodes the statements; `undefined` if there are none. */
  readonly readStatement: (
    headers: readonly HeaderPair[],
    status: number,
  ) => ServerStatement | undefined
}
