/** Processes a request in the gateway: admission, operation ledger, choice of region, execution. */
import type { Clock } from '../common/clock.js'
import { sleep } from '../common/clock.js'
import type { Logger } from '../common/logger.js'
import type { Metrics } from '../common/metrics.js'
import type { ServiceRecord } from '../configuration/document.js'
import type { Configuration, ConfigurationView } from '../configuration/view.js'
import type { MembershipView } from '../membership/memberRecord.js'
import type { LedgerDecision, OperationLedger } from '../operations/operationLedger.js'
import { contentFingerprint, LedgerDecisionKind } from '../operations/operationLedger.js'
import type { OperationIdentifier } from '../operations/operationPrefix.js'
import type { ArrivalMeter } from './arrivalMeter.js'
import type { GatewayAnswer, GatewayRequest } from './gatewayRequest.js'
import { RequestOrigin } from './gatewayRequest.js'
import type { LocalRunner } from './localRunner.js'
import type { RequestForwarder } from './requestForwarder.js'
import { RefusalKind, refuse } from './refusals.js'
import type { RegionRouting } from './regionRouting.js'

/** Maximum space that the ledger reserves for an answer of unknown size, in bytes. */
const MAX_RESERVED_ANSWER_BYTES = 64 * 1024

/** Dependencies of {@link RequestExecutor}. */
export interface RequestExecutorDependencies {
  readonly clock: Clock
  /** Clock of the ledger; never goes backwards. */
  readonly ledgerClock: Clock
  readonly configuration: ConfigurationView
  readonly membership: MembershipView
  readonly ledger: OperationLedger<GatewayAnswer>
  readonly routing: RegionRouting
  readonly forwarder: RequestForwarder
  readonly localRunner: LocalRunner
  readonly arrivals: ArrivalMeter
  readonly maxInFlight: number
  readonly log: Logger
  readonly metrics: Metrics
}

const HOPS_BY_ORIGIN: Readonly<Record<RequestOrigin, number>> = {
  [RequestOrigin.Caller]: 0,
  [RequestOrigin.ForwardedToOwner]: 1,
  [RequestOrigin.Delegated]: 2,
}

const LEDGER_REFUSALS: Readonly<
  Record<
    Exclude<
      LedgerDecisionKind,
      LedgerDecisionKind.Begin | LedgerDecisionKind.Join | LedgerDecisionKind.Stored
    >,
    RefusalKind
  >
> = {
  [LedgerDecisionKind.AnswerNotKept]: RefusalKind.AnswerNotKept,
  [LedgerDecisionKind.ContentDiffers]: RefusalKind.ContentDiffers,
  [LedgerDecisionKind.AcceptanceEnded]: RefusalKind.AcceptanceEnded,
  [LedgerDecisionKind.Expired]: RefusalKind.IdentifierExpired,
  [LedgerDecisionKind.Full]: RefusalKind.LedgerFull,
}

/** Executes the requests of callers and those that other gateways forward. */
export class RequestExecutor {
  readonly #dependencies: RequestExecutorDependencies
  #inFlight = 0
  #lastArrivalMs = Number.NEGATIVE_INFINITY
  #refusesNewRuns = false

  constructor(dependencies: RequestExecutorDependencies) {
    this.#dependencies = dependencies
  }

  /** Number of requests in flight, including forwarded ones. */
  get inFlight(): number {
    return this.#inFlight
  }

  /** Arrival time of the latest request, milliseconds since the epoch. */
  get lastArrivalMs(): number {
    return this.#lastArrivalMs
  }

  /**
   * Refuses every request that would start a new run from now on. Stored outcomes and
   * runs in flight stay available.
   */
  refuseNewRuns(): void {
    this.#refusesNewRuns = true
  }

  /** Never rejects. */
  async execute(request: GatewayRequest, origin: RequestOrigin): Promise<GatewayAnswer> {
    this.#inFlight += 1
    const startedAtMs = this.#dependencies.clock()
    this.#lastArrivalMs = startedAtMs
    try {
      const answer = await this.#route(request, origin)
      this.#report(request, origin, answer, this.#dependencies.clock() - startedAtMs)
      return answer
    } catch (error) {
      this.#dependencies.log.event('executionFault', {
        requestId: request.requestId,
        problem: error instanceof Error ? (error.stack ?? error.message) : String(error),
      })
      return refuse(RefusalKind.InternalFault, request.requestId)
    } finally {
      this.#inFlight -= 1
    }
  }

  async #route(request: GatewayRequest, origin: RequestOrigin): Promise<GatewayAnswer> {
    const { operation } = request
    if (operation === undefined) return this.#run(request, origin, request.signal)
    if (operation.grant.service !== request.service) {
      return refuse(RefusalKind.ServiceDiffers, request.requestId)
    }
    const self = this.#dependencies.membership.self()
    const { gatewayId, incarnation } = operation.grant
    if (gatewayId === self.memberId && incarnation === self.incarnation) {
      return this.#runOwned(request, operation, origin)
    }
    if (origin !== RequestOrigin.Caller || gatewayId === self.memberId) {
      return refuse(RefusalKind.OwnerReplaced, request.requestId)
    }
    return this.#dependencies.forwarder.toOwner(
      request,
      operation,
      this.#dependencies.configuration.current(),
    )
  }

  async #runOwned(
    request: GatewayRequest,
    operation: OperationIdentifier,
    origin: RequestOrigin,
  ): Promise<GatewayAnswer> {
    const { ledger, ledgerClock } = this.#dependencies
    const decision = this.#begin(request, operation)
    if (decision.kind === LedgerDecisionKind.Stored) return decision.answer
    if (decision.kind === LedgerDecisionKind.Join) return this.#joinRun(request, decision.answer)
    if (decision.kind !== LedgerDecisionKind.Begin) {
      return refuse(LEDGER_REFUSALS[decision.kind], request.requestId)
    }
    let answer = refuse(RefusalKind.InternalFault, request.requestId)
    try {
      // The run continues when its caller disconnects: the caller may repeat the request to get
      // the outcome.
      answer = await this.#run(request, origin, new AbortController().signal)
      return answer
    } finally {
      ledger.finish(operation.text, answer, ledgerClock())
    }
  }

  #begin(request: GatewayRequest, operation: OperationIdentifier): LedgerDecision<GatewayAnswer> {
    const service = this.#service(request)
    const expected = service?.typicalResponseBytes ?? 0
    return this.#dependencies.ledger.begin(
      {
        identifier: operation.text,
        acceptUntilMs: operation.grant.acceptUntilMs,
        fingerprint: contentFingerprint(request.method, request.target, request.body),
        expectedBytes: Math.min(expected, MAX_RESERVED_ANSWER_BYTES),
        repeatable: service?.idempotentMethods.includes(request.method) === true,
      },
      this.#dependencies.ledgerClock(),
    )
  }

  /** Waits for the run in flight until the deadline of this request. */
  async #joinRun(request: GatewayRequest, running: Promise<GatewayAnswer>): Promise<GatewayAnswer> {
    const remainingMs = Math.max(0, request.deadline.deadlineMs - this.#dependencies.clock())
    const answered = new AbortController()
    const waitEnded = AbortSignal.any([answered.signal, request.signal])
    const timeout = sleep(remainingMs, waitEnded).then(() => undefined)
    const answer = await Promise.race([running, timeout])
    answered.abort()
    return answer ?? refuse(RefusalKind.DeadlinePassed, request.requestId)
  }

  async #run(
    request: GatewayRequest,
    origin: RequestOrigin,
    signal: AbortSignal,
  ): Promise<GatewayAnswer> {
    if (this.#refusesNewRuns) return refuse(RefusalKind.Leaving, request.requestId)
    const configuration = this.#dependencies.configuration.current()
    if (configuration === undefined) {
      return refuse(RefusalKind.NoConfiguration, request.requestId)
    }
    const service = configuration.document.services.get(request.service)
    if (service === undefined) return refuse(RefusalKind.ServiceUnknown, request.requestId)
    if (request.body.length > service.maxRequestBytes) {
      return refuse(RefusalKind.RequestTooLarge, request.requestId)
    }
    if (this.#inFlight > this.#dependencies.maxInFlight) {
      return refuse(RefusalKind.TooManyRequests, request.requestId)
    }
    return this.#forwardOrRun({ request, configuration, service, origin, signal })
  }

  async #forwardOrRun(run: {
    readonly request: GatewayRequest
    readonly configuration: Configuration
    readonly service: ServiceRecord
    readonly origin: RequestOrigin
    readonly signal: AbortSignal
  }): Promise<GatewayAnswer> {
    const { request, configuration, service, origin, signal } = run
    const { routing, forwarder, localRunner } = this.#dependencies
    // Delegated requests are not forwarded again, which prevents loops.
    if (origin !== RequestOrigin.Delegated) {
      const nowMs = this.#dependencies.clock()
      const { regions, reason } = routing.decide(configuration.document, service, request, nowMs)
      if (regions.length > 0) {
        const hops = HOPS_BY_ORIGIN[origin]
        return forwarder.toRegion({ request, configuration, regions, reason, hops, signal })
      }
    }
    const { arrivals, membership, clock } = this.#dependencies
    const homeRegion = request.operation?.grant.homeRegion ?? membership.self().region
    arrivals.record(service.name, homeRegion, clock())
    return localRunner.run({ request, service, revision: configuration.revision, signal })
  }

  #service(request: GatewayRequest): ServiceRecord | undefined {
    return this.#dependencies.configuration.current()?.document.services.get(request.service)
  }

  #report(
    request: GatewayRequest,
    origin: RequestOrigin,
    answer: GatewayAnswer,
    durationMs: number,
  ): void {
    const { metrics, log } = this.#dependencies
    const tags = { service: request.service, outcome: answer.outcome }
    metrics.timing('gateway.request', durationMs, tags)
    metrics.gauge('gateway.in_flight', this.#inFlight, {})
    if (answer.reason !== 'answered') {
      metrics.increment('gateway.refused', 1, { ...tags, kind: answer.reason })
    }
    log.decision('request', {
      requestId: request.requestId,
      service: request.service,
      arrival: origin,
      outcome: answer.outcome,
      status: answer.status,
      reason: answer.reason,
      operation: request.operation !== undefined,
      revision: this.#dependencies.configuration.current()?.revision,
      durationMs,
    })
  }
}
