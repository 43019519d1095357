/** Requests of callers and their answers, as the modules of the gateway exchange them. */
import type { HeaderPair } from '../common/exchange.js'
import type { Outcome } from '../common/headers.js'
import type { OperationIdentifier } from '../operations/operationPrefix.js'
import type { Deadline } from './deadline.js'

/** A validated request of a caller. */
export interface GatewayRequest {
  readonly requestId: string
  readonly service: string
  /** Upper case. */
  readonly method: string
  /** Path and query as received. */
  readonly target: string
  /** End-to-end headers only. */
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  readonly operation: OperationIdentifier | undefined
  readonly deadline: Deadline
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal
}

/** The answer to a caller. */
export interface GatewayAnswer {
  readonly outcome: Outcome
  readonly status: number
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Whether the body may be truncated, so that it must not get a length. */
  readonly isDelimitedByClose?: boolean
  /** Reason for the decision log. */
  readonly reason: string
}

/** Where a request came from; limits where it may be forwarded. */
export enum RequestOrigin {
  /** From a caller: may be forwarded to the operation's owner or to another region. */
  Caller = 'caller',
  /** From a gateway that does not own the operation: may be forwarded to another region only. */
  ForwardedToOwner = 'forwardedToOwner',
  /** From a gateway of another region: is run here or refused. */
  Delegated = 'delegated',
}
