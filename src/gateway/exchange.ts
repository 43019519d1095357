/** A caller's request and its answer as the gateway's parts pass them on. */
import type { HeaderPair } from '../common/exchange.js'
import type { Outcome } from '../common/headers.js'
import type { OperationIdentifier } from '../operations/operationPrefix.js'
import type { Deadline } from './deadline.js'

/** A checked request of a caller. */
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
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal
}

/** The answer to a caller. */
export interface GatewayAnswer {
  readonly outcome: Outcome
  readonly status: number
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Reason for the decision log. */
  readonly reason: string
}

/** How a request came to this gateway; it limits where the request may go from here. */
export enum Arrival {
  /** From a caller: may be forwarded to its owner or to another region. */
  Caller = 'caller',
  /** From a gateway that does not own the operation: may only leave for another region. */
  ForwardedToOwner = 'forwardedToOwner',
  /** From a gateway of another region: runs here or is refused. */
  Delegated = 'delegated',
}
