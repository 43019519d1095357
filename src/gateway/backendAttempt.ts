/** One attempt to run a request on a backend server, and whether the request was executed. */
import type { ExchangeResult, HeaderPair } from '../common/exchange.js'
import { ExchangeKind, findHeader } from '../common/exchange.js'
import { NOT_STARTED_HEADER } from '../common/headers.js'

/** Parameters of one attempt. */
export interface BackendAttempt {
  /** `host:port` */
  readonly address: string
  /** Identifier of this attempt; the backend server echoes it. */
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

/** Sends single attempts to backend servers. */
export interface BackendClient {
  /** Never rejects. */
  attempt(attempt: BackendAttempt): Promise<ExchangeResult>
}

/** Whether a backend server executed the request of an attempt. */
export enum Execution {
  Ran = 'ran',
  NotRun = 'certainlyNot',
  MaybeRan = 'possible',
}

/** Derives from the result of an attempt whether the request was executed. */
export function classifyExecution(result: ExchangeResult): Execution {
  if (result.kind === ExchangeKind.NotConnected) return Execution.NotRun
  if (result.kind === ExchangeKind.Broken) return Execution.MaybeRan
  const refused = result.status === 503 && findHeader(result.headers, NOT_STARTED_HEADER) === 'true'
  return refused ? Execution.NotRun : Execution.Ran
}
