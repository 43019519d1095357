/** Client of the control daemons that tries them one after the other until one answers. */
import type { ErrorDetails } from '../common/errors.js'
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { RpcClient, RpcError } from '../common/rpc.js'
import { RpcErrorKind } from '../common/rpc.js'

/** Kinds of errors that the client itself reports. */
export enum ControlClientErrorKind {
  /** No server accepted the call; nothing was changed. */
  Unavailable = 'controlUnavailable',
  /** A server may have executed the call, and no other server could tell whether it did. */
  OutcomeUnknown = 'outcomeUnknown',
}

/** Result of a call and the server that returned it. */
export interface ControlAnswer {
  readonly value: unknown
  /** `host:port` of the server that answered. */
  readonly server: string
}

/** Error of a call as it is shown to the operator. */
export interface ControlFailure {
  readonly error: ErrorDetails
  /** An earlier server may have executed the call, but its answer was lost. */
  readonly afterLostAnswer: boolean
}

/**
 * Whether a call changes the configuration. All calls can be repeated: plans and commands have
 * identifiers.
 */
export enum CallEffect {
  Reads = 'reads',
  Changes = 'changes',
}

const INTERNAL_KIND = 'internal'
/** Kinds of errors after which another daemon may be able to serve the call. */
const RETRYABLE_KINDS = new Set(['controlNotReady', INTERNAL_KIND])
const ALREADY_CONFIRMED_KIND = 'planAlreadyConfirmed'
const UNAUTHORIZED_STATUS = 401

/** Calls the methods that control daemons offer to operators. */
export class ControlClient {
  readonly #rpc: RpcClient
  readonly #servers: readonly string[]
  readonly #timeoutMs: number

  /** @param servers `host:port`, tried in this order */
  constructor(rpc: RpcClient, servers: readonly string[], timeoutMs: number) {
    this.#rpc = rpc
    this.#servers = servers
    this.#timeoutMs = timeoutMs
  }

  /** Calls a method on each server until one answers. The promise never rejects. */
  async call(
    method: string,
    params: unknown,
    effect: CallEffect,
  ): Promise<Result<ControlAnswer, ControlFailure>> {
    const problems: string[] = []
    let afterLostAnswer = false
    let lastRemoteError: ErrorDetails | undefined
    for (const server of this.#servers) {
      const answer = await this.#rpc.call(server, method, params, { timeoutMs: this.#timeoutMs })
      if (answer.ok) return Ok({ value: answer.val, server })
      const { remote } = answer.val
      if (remote !== undefined && !RETRYABLE_KINDS.has(remote.kind)) {
        return Err({
          error: errorAfterLostAnswer(remote, afterLostAnswer, problems),
          afterLostAnswer,
        })
      }
      lastRemoteError = remote ?? lastRemoteError
      afterLostAnswer ||= effect === CallEffect.Changes && mayHaveExecuted(answer.val)
      problems.push(answer.val.message)
    }
    if (afterLostAnswer) return Err({ error: outcomeUnknown(problems), afterLostAnswer })
    return Err({ error: lastRemoteError ?? unavailable(problems), afterLostAnswer })
  }
}

/**
 * If an earlier answer was lost, an error of another server does not tell whether the call was
 * executed.
 */
function errorAfterLostAnswer(
  remote: ErrorDetails,
  afterLostAnswer: boolean,
  problems: readonly string[],
): ErrorDetails {
  if (!afterLostAnswer || remote.kind === ALREADY_CONFIRMED_KIND) return remote
  return outcomeUnknown([...problems, remote.message])
}

function mayHaveExecuted(error: RpcError): boolean {
  if (error.remote?.kind === INTERNAL_KIND) return true
  if (error.statusCode === UNAUTHORIZED_STATUS) return false
  return error.kind === RpcErrorKind.TimedOut || error.kind === RpcErrorKind.Broken
}

function unavailable(problems: readonly string[]): ErrorDetails {
  return new SteeringError(
    ControlClientErrorKind.Unavailable,
    `No control daemon accepted the call: ${problems.join(' | ')}`,
    'check --servers and --operator-token, and that a control daemon is running',
  ).toDetails()
}

function outcomeUnknown(problems: readonly string[]): ErrorDetails {
  return new SteeringError(
    ControlClientErrorKind.OutcomeUnknown,
    `The call may have been carried out: ${problems.join(' | ')}`,
    'repeat the same command (with the same --change-id, if it has one); it is carried out at most once',
  ).toDetails()
}
