/** Calls control daemons one after the other until one answers. */
import type { ErrorDetails } from '../common/errors.js'
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { RpcCaller, RpcError } from '../common/rpc.js'
import { RpcErrorKind } from '../common/rpc.js'

/** Kinds of errors of the client itself. */
export enum ControlClientErrorKind {
  /** No server took the call; nothing was changed. */
  Unavailable = 'controlUnavailable',
  /** A server may have carried out the call, and no other one could settle it. */
  OutcomeUnknown = 'outcomeUnknown',
}

/** An answer, and whether an earlier server may have carried out the call already. */
export interface ControlAnswer {
  readonly value: unknown
  readonly server: string
}

/** A failed call as an operator sees it. */
export interface ControlFailure {
  readonly error: ErrorDetails
  /** An earlier server of the list got the call and its answer was lost. */
  readonly afterLostAnswer: boolean
}

/** Whether a method changes anything. All of them can be repeated: plans and commands carry identifiers. */
export enum CallEffect {
  Reads = 'reads',
  Changes = 'changes',
}

/** Tells that the daemon asked can't serve this call now, but another one may. */
const INTERNAL_KIND = 'internal'
const TRY_NEXT_KINDS = new Set(['controlNotReady', INTERNAL_KIND])
const ALREADY_CONFIRMED_KIND = 'planAlreadyConfirmed'
const UNAUTHORIZED_STATUS = 401

/** Client of the operators' methods. */
export class ControlClient {
  readonly #rpc: RpcCaller
  readonly #servers: readonly string[]
  readonly #timeoutMs: number

  /** @param servers `host:port`, tried in this order */
  constructor(rpc: RpcCaller, servers: readonly string[], timeoutMs: number) {
    this.#rpc = rpc
    this.#servers = servers
    this.#timeoutMs = timeoutMs
  }

  /** Calls a method. Never rejects. */
  async call(
    method: string,
    params: unknown,
    effect: CallEffect,
  ): Promise<Result<ControlAnswer, ControlFailure>> {
    const problems: string[] = []
    let afterLostAnswer = false
    let refusal: ErrorDetails | undefined
    for (const server of this.#servers) {
      const answer = await this.#rpc.call(server, method, params, { timeoutMs: this.#timeoutMs })
      if (answer.ok) return Ok({ value: answer.val, server })
      const { remote } = answer.val
      if (remote !== undefined && !TRY_NEXT_KINDS.has(remote.kind)) {
        return Err({ error: settled(remote, afterLostAnswer, problems), afterLostAnswer })
      }
      refusal = remote ?? refusal
      afterLostAnswer ||= effect === CallEffect.Changes && mayHaveActed(answer.val)
      problems.push(answer.val.message)
    }
    if (afterLostAnswer) return Err({ error: outcomeUnknown(problems), afterLostAnswer })
    return Err({ error: refusal ?? unavailable(problems), afterLostAnswer })
  }
}

/** A refusal by one server does not settle what another one did whose answer was lost. */
function settled(
  remote: ErrorDetails,
  afterLostAnswer: boolean,
  problems: readonly string[],
): ErrorDetails {
  if (!afterLostAnswer || remote.kind === ALREADY_CONFIRMED_KIND) return remote
  return outcomeUnknown([...problems, remote.message])
}

function mayHaveActed(error: RpcError): boolean {
  if (error.remote?.kind === INTERNAL_KIND) return true
  if (error.statusCode === UNAUTHORIZED_STATUS) return false
  return error.kind === RpcErrorKind.TimedOut || error.kind === RpcErrorKind.Broken
}

function unavailable(problems: readonly string[]): ErrorDetails {
  return new SteeringError(
    ControlClientErrorKind.Unavailable,
    `No control daemon took the call: ${problems.join(' | ')}`,
    'check --servers and --operator-token, and that a control daemon runs',
  ).toDetails()
}

function outcomeUnknown(problems: readonly string[]): ErrorDetails {
  return new SteeringError(
    ControlClientErrorKind.OutcomeUnknown,
    `The call may have been carried out: ${problems.join(' | ')}`,
    'repeat the same command (with the same --change-id, if it has one); it is carried out at most once',
  ).toDetails()
}
