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
import type { GatewayAnswer, GatewayRequest } from './exchange.js'
import { Arrival } from './exchange.js'
import type { LocalRunner } from './localRun.js'
import type { Forwarding } from './ownerForwarding.js'
import { RefusalKind, refuse } from './refusals.js'
import type { RegionRouting } from './regionRouting.js'

/** Maximum space that the ledger reserves for an answer of unknown size, in bytes. */
const MAX_RESERVED_BYTES = 64 * 1024

/** Dependencies of {@link RequestExecutor}. */
export interface RequestExecutorParts {
  readonly clock: Clock
  /** Clock of the ledger; never goes backwards. */
  readonly ledgerClock: Clock
  readonly configuration: ConfigurationView
  readonly membership: MembershipView
  readonly ledger: OperationLedger<GatewayAnswer>
  readonly routing: RegionRouting
  readonly forwarding: Forwarding
  readonly localRunner: LocalRunner
  readonly arrivals: ArrivalMeter
  readonly maxInFlight: number
  readonly log: Logger
  readonly metrics: Metrics
}

const HOPS: Readonly<Record<Arrival, number>> = {
  [Arrival.Caller]: 0,
  [Arrival.ForwardedToOwner]: 1,
  [Arrival.Delegated]: 2,
}

const FINAL_REFUSALS: Readonly<
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
  readonly #parts: RequestExecutorParts
  #inFlight = 0
  #lastArrivalMs = Number.NEGATIVE_INFINITY
  #refusesNew = false

  constructor(parts: RequestExecutorParts) {
    this.#parts = parts
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
  refuseNew(): void {
    this.#refusesNew = true
  }

  /** Never rejects. */
  async execute(request: GatewayRequest, arrival: Arrival): Promise<GatewayAnswer> {
    this.#inFlight += 1
    const startedAtMs = this.#parts.clock()
    this.#lastArrivalMs = startedAtMs
    try {
      const answer = await this.#route(request, arrival)
      this.#report(request, arrival, answer, this.#parts.clock() - startedAtMs)
      return answer
    } catch (error) {
      this.#parts.log.event('executionFault', {
        requestId: request.requestId,
        problem: error instanceof Error ? (error.stack ?? error.message) : String(error),
      })
      return refuse(RefusalKind.InternalFault, request.requestId)
    } finally {
      this.#inFlight -= 1
    }
  }

  async #route(request: GatewayRequest, arrival: Arrival): Promise<GatewayAnswer> {
    const { operation } = request
    if (operation === undefined) return this.#run(request, arrival, request.signal)
    if (operation.grant.service !== request.service) {
      return refuse(RefusalKind.ServiceDiffers, request.requestId)
    }
    const own = this.#parts.membership.self()
    const { gatewayId, incarnation } = operation.grant
    if (gatewayId === own.memberId && incarnation === own.incarnation) {
      return this.#runOwned(request, operation, arrival)
    }
    if (arrival !== Arrival.Caller || gatewayId === own.memberId) {
      return refuse(RefusalKind.OwnerReplaced, request.requestId)
    }
    return this.#parts.forwarding.toOwner(request, operation, this.#parts.configuration.current())
  }

  async #runOwned(
    request: GatewayRequest,
    operation: OperationIdentifier,
    arrival: Arrival,
  ): Promise<GatewayAnswer> {
    const { ledger, ledgerClock } = this.#parts
    const decision = this.#begin(request, operation)
    if (decision.kind === LedgerDecisionKind.Stored) return decision.answer
    if (decision.kind === LedgerDecisionKind.Join) return this.#join(request, decision.answer)
    if (decision.kind !== LedgerDecisionKind.Begin) {
      return refuse(FINAL_REFUSALS[decision.kind], request.requestId)
    }
    let answer = refuse(RefusalKind.InternalFault, request.requestId)
    try {
      // The run continues when its caller disconnects: the caller may repeat the request to get
      // the outcome.
      answer = await this.#run(request, arrival, new AbortController().signal)
      return answer
    } finally {
      ledger.finish(operation.text, answer, ledgerClock())
    }
  }

  #begin(request: GatewayRequest, operation: OperationIdentifier): LedgerDecision<GatewayAnswer> {
    const service = this.#service(request)
    const expected = service?.typicalResponseBytes ?? 0
    return this.#parts.ledger.begin(
      {
        identifier: operation.text,
        acceptUntilMs: operation.grant.acceptUntilMs,
        fingerprint: contentFingerprint(request.method, request.target, request.body),
        expectedBytes: Math.min(expected, MAX_RESERVED_BYTES),
        repeatable: service?.idempotentMethods.includes(request.method) === true,
      },
      this.#parts.ledgerClock(),
    )
  }

  /** Waits for the run in flight until the deadline of this request. */
  async #join(request: GatewayRequest, running: Promise<GatewayAnswer>): Promise<GatewayAnswer> {
    const remainingMs = Math.max(0, request.deadline.deadlineMs - this.#parts.clock())
    const waiting = new AbortController()
    const ended = AbortSignal.any([waiting.signal, request.signal])
    const late = sleep(remainingMs, ended).then(() => undefined)
    const answer = await Promise.race([running, late])
    waiting.abort()
    return answer ?? refuse(RefusalKind.DeadlinePassed, request.requestId)
  }

  async #run(
    request: GatewayRequest,
    arrival: Arrival,
    signal: AbortSignal,
  ): Promise<GatewayAnswer> {
    if (this.#refusesNew) return refuse(RefusalKind.Leaving, request.requestId)
    const configuration = this.#parts.configuration.current()
    if (configuration === undefined) {
      return refuse(RefusalKind.NoConfiguration, request.requestId)
    }
    const service = configuration.document.services.get(request.service)
    if (service === undefined) return refuse(RefusalKind.ServiceUnknown, request.requestId)
    if (request.body.length > service.maxRequestBytes) {
      return refuse(RefusalKind.RequestTooLarge, request.requestId)
    }
    if (this.#inFlight > this.#parts.maxInFlight) {
      return refuse(RefusalKind.TooManyRequests, request.requestId)
    }
    return this.#runSomewhere({ request, configuration, service, arrival, signal })
  }

  async #runSomewhere(run: {
    readonly request: GatewayRequest
    readonly configuration: Configuration
    readonly service: ServiceRecord
    readonly arrival: Arrival
    readonly signal: AbortSignal
  }): Promise<GatewayAnswer> {
    const { request, configuration, service, arrival, signal } = run
    const { routing, forwarding, localRunner } = this.#parts
    // Delegated requests are not forwarded again, which prevents loops.
    if (arrival !== Arrival.Delegated) {
      const nowMs = this.#parts.clock()
      const { regions, reason } = routing.decide(configuration.document, service, request, nowMs)
      if (regions.length > 0) {
        const hops = HOPS[arrival]
        return forwarding.toRegion({ request, configuration, regions, reason, hops, signal })
      }
    }
    const { arrivals, membership, clock } = this.#parts
    const homeRegion = request.operation?.grant.homeRegion ?? membership.self().region
    arrivals.note(service.name, homeRegion, clock())
    return localRunner.run({ request, service, revision: configuration.revision, signal })
  }

  #service(request: GatewayRequest): ServiceRecord | undefined {
    return this.#parts.configuration.current()?.document.services.get(request.service)
  }

  #report(
    request: GatewayRequest,
    arrival: Arrival,
    answer: GatewayAnswer,
    durationMs: number,
  ): void {
    const { metrics, log } = this.#parts
    const tags = { service: request.service, outcome: answer.outcome }
    metrics.timing('gateway.request', durationMs, tags)
    metrics.gauge('gateway.in_flight', this.#inFlight, {})
    if (answer.reason !== 'answered') {
      metrics.increment('gateway.refused', 1, { ...tags, kind: answer.reason })
    }
    log.decision('request', {
      requestId: request.requestId,
      service: request.service,
      arrival,
      outcome: answer.outcome,
      status: answer.status,
      reason: answer.reason,
      operation: request.operation !== undefined,
      revision: this.#parts.configuration.current()?.revision,
      durationMs,
    })
  }
}
