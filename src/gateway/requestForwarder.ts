/** Forwards requests to the gateway that owns the operation, or to a gateway of another region. */
import type { Clock } from '../common/clock.js'
import { Outcome } from '../common/headers.js'
import type { Logger } from '../common/logger.js'
import type { RpcClient } from '../common/rpc.js'
import { RpcErrorKind } from '../common/rpc.js'
import type { Configuration } from '../configuration/view.js'
import type { Member, MembershipView } from '../membership/memberRecord.js'
import type { OperationIdentifier } from '../operations/operationPrefix.js'
import { maySend } from './deadline.js'
import type { GatewayAnswer, GatewayRequest } from './gatewayRequest.js'
import {
  decodeAnswer,
  encodeRequest,
  RUN_DELEGATED_METHOD,
  RUN_OWNED_METHOD,
} from './forwardCodec.js'
import type { LinkBudget, LinkUse } from './linkBudget.js'
import { RefusalKind, refuse } from './refusals.js'
import type { RegionRouting } from './regionRouting.js'
import type { RetryBudget } from './retryBudget.js'

/** Gateways of other regions that are tried for one request. */
const MAX_CANDIDATES = 2

/** Dependencies of {@link RequestForwarder}. */
export interface RequestForwarderDependencies {
  readonly clock: Clock
  readonly rpc: RpcClient
  readonly membership: MembershipView
  readonly routing: RegionRouting
  readonly linkBudget: LinkBudget
  readonly retryBudget: RetryBudget
  readonly log: Logger
}

/** Parameters of {@link RequestForwarder.toRegion}. */
export interface Delegation {
  readonly request: GatewayRequest
  readonly configuration: Configuration
  readonly regions: readonly string[]
  readonly reason: string
  /** Number of times the request was forwarded before. */
  readonly hops: number
  readonly signal: AbortSignal
}

enum TransferKind {
  Answered = 'answered',
  NotSent = 'notSent',
  Broken = 'broken',
}

type Transfer =
  | { readonly kind: TransferKind.Answered; readonly answer: GatewayAnswer }
  | { readonly kind: TransferKind.NotSent | TransferKind.Broken; readonly problem: string }

/** Forwards requests over the internal RPC. */
export class RequestForwarder {
  readonly #dependencies: RequestForwarderDependencies

  constructor(dependencies: RequestForwarderDependencies) {
    this.#dependencies = dependencies
  }

  /**
   * Forwards the request to the gateway that owns its operation. On any failure the
   * outcome is unknown, since the owner may have run the operation for an earlier attempt.
   */
  async toOwner(
    request: GatewayRequest,
    operation: OperationIdentifier,
    configuration: Configuration | undefined,
  ): Promise<GatewayAnswer> {
    const { grant } = operation
    const owner = this.#dependencies.membership.find(grant.gatewayId)
    this.#dependencies.log.decision('forwardToOwner', {
      requestId: request.requestId,
      service: request.service,
      owner: grant.gatewayId,
      reason: 'foreignOperation',
      known: owner !== undefined,
      revision: configuration?.revision,
    })
    if (owner === undefined) return refuse(RefusalKind.OwnerUnreachable, request.requestId)
    if (owner.incarnation !== grant.incarnation) {
      return refuse(RefusalKind.OwnerReplaced, request.requestId)
    }
    const linkUse = this.#linkUse(request, owner.region, configuration)
    if (linkUse !== undefined && !this.#takeBandwidth(linkUse, configuration)) {
      return refuse(RefusalKind.OwnerUnreachable, request.requestId, {
        detail: 'the bandwidth between the regions is used up',
      })
    }
    const wire = encodeRequest(request, 1, operation.text)
    const transfer = await this.#send(owner, RUN_OWNED_METHOD, wire, request, request.signal)
    if (transfer.kind !== TransferKind.Answered) {
      return refuse(RefusalKind.OwnerUnreachable, request.requestId, { detail: transfer.problem })
    }
    if (linkUse !== undefined)
      this.#dependencies.linkBudget.correctReservation(linkUse, transfer.answer.body.length)
    return transfer.answer
  }

  /** Runs a request in the first reachable region of `regions`. */
  async toRegion(delegation: Delegation): Promise<GatewayAnswer> {
    const { request, configuration } = delegation
    let maybeRan = false
    let refusal = RefusalKind.RegionUnreachable
    for (const member of this.#candidates(delegation)) {
      if (!maySend(request.deadline, this.#dependencies.clock())) {
        refusal = RefusalKind.DeadlineUnreachable
        break
      }
      const linkUse = this.#linkUse(request, member.region, configuration)
      if (linkUse !== undefined && !this.#takeBandwidth(linkUse, configuration)) {
        refusal = RefusalKind.LinkBudgetUsed
        break
      }
      const transfer = await this.#delegate(delegation, member)
      if (transfer.kind === TransferKind.Answered) {
        if (linkUse !== undefined)
          this.#dependencies.linkBudget.correctReservation(linkUse, transfer.answer.body.length)
        return correctOutcome(transfer.answer, maybeRan, request.requestId)
      }
      maybeRan ||= transfer.kind === TransferKind.Broken
      if (maybeRan && !this.#mayRetry(request, configuration)) break
    }
    return refuse(maybeRan ? RefusalKind.BrokenAnswer : refusal, request.requestId)
  }

  #candidates(delegation: Delegation): Member[] {
    return delegation.regions
      .flatMap((region) =>
        this.#dependencies.routing.gateways(region, delegation.request.requestId),
      )
      .slice(0, MAX_CANDIDATES)
  }

  async #delegate(delegation: Delegation, member: Member): Promise<Transfer> {
    const { request, configuration, signal } = delegation
    const wire = encodeRequest(request, delegation.hops + 1, '')
    const transfer = await this.#send(member, RUN_DELEGATED_METHOD, wire, request, signal)
    this.#dependencies.log.decision('delegate', {
      requestId: request.requestId,
      service: request.service,
      gateway: member.memberId,
      region: member.region,
      reason: delegation.reason,
      result: transfer.kind,
      revision: configuration.revision,
    })
    return transfer
  }

  #mayRetry(request: GatewayRequest, configuration: Configuration): boolean {
    const service = configuration.document.services.get(request.service)
    const idempotent = service?.idempotentMethods.includes(request.method) === true
    return idempotent && this.#dependencies.retryBudget.takeRetry(request.service)
  }

  #linkUse(
    request: GatewayRequest,
    region: string,
    configuration: Configuration | undefined,
  ): LinkUse | undefined {
    const from = this.#dependencies.membership.self().region
    if (region === from) return undefined
    const service = configuration?.document.services.get(request.service)
    return {
      from,
      to: region,
      service: request.service,
      requestBytes: request.body.length,
      expectedAnswerBytes: service?.typicalResponseBytes ?? 0,
    }
  }

  #takeBandwidth(use: LinkUse, configuration: Configuration | undefined): boolean {
    if (configuration === undefined) return false
    const nowMs = this.#dependencies.clock()
    const gatewayCount = this.#dependencies.membership.largestGatewayCount(use.from, nowMs)
    return this.#dependencies.linkBudget.take(configuration.document, use, gatewayCount, nowMs)
  }

  async #send(
    member: Member,
    method: string,
    params: unknown,
    request: GatewayRequest,
    signal: AbortSignal,
  ): Promise<Transfer> {
    const timeoutMs = Math.max(1, request.deadline.deadlineMs - this.#dependencies.clock())
    const timeoutSignal = AbortSignal.any([signal, AbortSignal.timeout(timeoutMs)])
    const answered = await this.#dependencies.rpc.call(member.internalAddress, method, params, {
      timeoutMs,
      signal: timeoutSignal,
    })
    if (answered.err) {
      const notSent = answered.val.kind === RpcErrorKind.NotSent
      const kind = notSent ? TransferKind.NotSent : TransferKind.Broken
      return { kind, problem: answered.val.kind }
    }
    const answer = decodeAnswer(answered.val)
    return answer === undefined
      ? { kind: TransferKind.Broken, problem: 'malformed answer' }
      : { kind: TransferKind.Answered, answer }
  }
}

/** A refusal by one gateway does not exclude that a gateway tried before has run the request. */
function correctOutcome(
  answer: GatewayAnswer,
  maybeRan: boolean,
  requestId: string,
): GatewayAnswer {
  return maybeRan && answer.outcome === Outcome.NotRun
    ? refuse(RefusalKind.BrokenAnswer, requestId)
    : answer
}
