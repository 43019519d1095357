/** Remote procedure calls between the system's daemons, independent of the transport. */
import type { Schema } from 'joi'
import type { ErrorDetails } from './errors.js'
import { SteeringError } from './errors.js'
import type { Result } from './results.js'

/** Ways in which a call between processes can fail. */
export enum RpcErrorKind {
  /** The connection was never established, so the other side has not seen the call. */
  NotSent = 'rpcNotSent',
  /** No answer in time; the other side may have acted. */
  TimedOut = 'rpcTimedOut',
  /** The connection broke or the answer was malformed; the other side may have acted. */
  Broken = 'rpcBroken',
  /** The other side answered with an error; `details.remote` holds it. */
  Remote = 'rpcRemote',
}

/** Details of a failure besides its kind. */
export interface RpcErrorCause {
  readonly remote?: ErrorDetails
  readonly statusCode?: number
  readonly isRefused?: boolean
}

/** Failure of a call between processes. */
export class RpcError extends SteeringError<RpcErrorKind> {
  /** The other side's typed error, for kind `Remote`. */
  readonly remote: ErrorDetails | undefined
  /** HTTP status of the answer, for kind `Broken` with an answer other than 200. */
  readonly statusCode: number | undefined
  /** True if the address refused the connection: its host is up, but no process listens. */
  readonly isRefused: boolean

  constructor(kind: RpcErrorKind, problem: string, remedy: string, cause: RpcErrorCause = {}) {
    const { remote } = cause
    super(kind, problem, remedy, remote === undefined ? undefined : { remote })
    this.remote = remote
    this.statusCode = cause.statusCode
    this.isRefused = cause.isRefused === true
  }
}

/** Options of one call. */
export interface CallOptions {
  /** Time until the call counts as failed, in milliseconds. */
  readonly timeoutMs: number
  /** Aborts the call; the other side sees its connection close. */
  readonly signal?: AbortSignal
}

/** Calls methods of other processes. */
export interface RpcClient {
  /** Calls `method` at `address` (`host:port`). Never rejects. */
  call(
    address: string,
    method: string,
    params: unknown,
    options: CallOptions,
  ): Promise<Result<unknown, RpcError>>
}

/** Context of a call that is passed to the method. */
export interface CallContext {
  /** Aborted when the calling process closes the connection before the answer. */
  readonly signal: AbortSignal
}

/** Handles calls of a method with validated parameters; throws {@link SteeringError} for typed failures. */
export type RpcMethod = (params: never, context: CallContext) => Promise<unknown>

/** Registry of the methods that modules serve to their peers. */
export interface RpcMethodRegistry {
  /** Adds a method; its parameters must match `schema`. */
  addMethod(name: string, schema: Schema, method: RpcMethod): void
}
