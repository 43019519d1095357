/** One request to a backend server and what is certain about its outcome. */
import type { HeaderPair } from '../common/exchange.js'
import type { LoadReport } from './loadReport.js'

/** Request as it goes on the wire. */
export interface ServerRequest {
  readonly requestId: string
  /** Upper case. */
  readonly method: string
  readonly target: string
  /** All headers but Content-Length. */
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Whether the request may be sent on a connection that has been idle for long. */
  readonly isRepeatable: boolean
}

/** Complete answer of a backend server. */
export interface ServerAnswer {
  readonly status: number
  readonly statusText: string
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Whether only the end of the connection tells where the body ends, so that it may be cut. */
  readonly isDelimitedByClose: boolean
}

/** What became of one send. */
export enum SendKind {
  /** A whole answer to this request. */
  Answered = 'answered',
  /** The server states that it did not run the request. */
  Declined = 'declined',
  /** Another server has the address. */
  Misdirected = 'misdirected',
  /** No connection; nothing was sent. */
  Unreachable = 'unreachable',
  /** The connection or the answer broke; the request may have run. */
  Broken = 'broken',
  /** The time was up; the request may have run. */
  TimedOut = 'timedOut',
  /** The caller left. */
  Abandoned = 'abandoned',
}

/** Outcome of one send. */
export interface SendOutcome {
  readonly kind: SendKind
  /** Present unless the kind is without an answer. */
  readonly answer: ServerAnswer | undefined
  readonly report: LoadReport | null
  /** Time from the send to the end, in milliseconds. */
  readonly durationMs: number
  readonly detail: string
  /** Whether the connection had served a request before. */
  readonly isReused: boolean
}

/** Names and meanings of the headers that backend servers use. */
export interface ServerHeaders {
  /** Echo of the request identifier; lower case. */
  readonly requestId: string
  /** Proof that the body is the server's; lower case. */
  readonly signature: string
  /** States that the request was not run; lower case. */
  readonly notRun: string
  /** Identifier that the server must have to run the request. */
  readonly expectedServer: string
  /** Milliseconds until the deadline. */
  readonly deadline: string
  readonly readLoad: (value: string) => LoadReport | null
  /** Header of the load; lower case. */
  readonly load: string
}
