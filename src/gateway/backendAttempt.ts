/** One attempt to run a request on a backend server, and what its end says about execution. */
import type { ExchangeResult, HeaderPair } from '../common/exchange.js'
import { ExchangeKind, headerOf } from '../common/exchange.js'
import { NOT_STARTED_HEADER } from '../common/headers.js'

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
  attempt(call: BackendCall): Promise<ExchangeResult>
}

/** What an attempt says about the execution of its request. */
export enum Execution {
  Ran = 'ran',
  CertainlyNot = 'certainlyNot',
  Possible = 'possible',
}

/** Classifies the end of an attempt. */
export function classify(result: ExchangeResult): Execution {
  if (result.kind === ExchangeKind.NotConnected) return Execution.CertainlyNot
  if (result.kind === ExchangeKind.Broken) return Execution.Possible
  const refused = result.status === 503 && headerOf(result.headers, NOT_STARTED_HEADER) === 'true'
  return refused ? Execution.CertainlyNot : Execution.Ran
}
