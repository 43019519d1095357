/** Serves callers' requests: selects a route, acquires a slot, sends, and retries if permitted. */
import type { Clock } from '../common/clock.js'
import type { HeaderPair } from '../common/exchange.js'
import type { BackendServerRegistry, KnownBackendServer } from './backendServerRegistry.js'
import { CallerPatience } from './callerPatience.js'
import type { CallerAnswer, CallerRequest } from './callerRequest.js'
import { FailureKind, failureAnswer } from './callerRequest.js'
import type { ConnectionPool } from './connectionPool.js'
import type { Departure } from './departure.js'
import type { EntryLog } from './entryLog.js'
import type { EntryMetrics } from './entryMetrics.js'
import type { InstanceTable } from './instanceTable.js'
import { SlotUse } from './peerMessages.js'
import type { RoutingView } from './routingView.js'
import type { Route } from './routingConfiguration.js'
import { Repeatability } from './routingConfiguration.js'
import { NEXT_BY_KIND, USE_BY_KIND, answerOf } from './sendOutcomes.js'
import type { SendOutcome, ServerHeaders } from './serverExchange.js'
import { SendKind } from './serverExchange.js'
import type { SharedRetryBudget } from './sharedRetryBudget.js'
import type { SlotClient, SlotGrant } from './slotClient.js'

/** Time reserved for the answer to reach the caller. */
const WAY_BACK_MS = 4
/** A request with less time left is not sent any more. */
const MIN_SEND_MS = 20
/** Grants of unusable backend servers after which the request is refused. */
const MAX_STALE_GRANTS = 4
/** Retry-After when the time until a slot is free can't be estimated. */
const DEFAULT_RETRY_AFTER_MS = 150
/** Retry-After of an instance that is shutting down; another instance can serve at once. */
const LEAVING_RETRY_AFTER_MS = 10

export interface RequestRunnerParts {
  readonly clock: Clock
  readonly log: EntryLog
  readonly metrics: EntryMetrics
  readonly routing: RoutingView
  readonly registry: BackendServerRegistry
  readonly table: InstanceTable
  readonly slots: SlotClient
  readonly pool: ConnectionPool
  readonly budget: SharedRetryBudget
  readonly headers: ServerHeaders
  readonly regionOfZone: (zone: string) => string | undefined
  /** Time since the last contact of this instance or a peer with the store, in milliseconds. */
  readonly storeAgeMs: () => number
}

/** State of one request across its sends. */
interface Run {
  readonly request: CallerRequest
  readonly route: Route
  readonly service: string
  readonly deadlineAtMs: number
  readonly targetAtMs: number
  readonly isReturn: boolean
  /** Identifiers of backend servers that the request is not sent to again. */
  readonly tried: string[]
  sends: number
  /** Whether an earlier send may have run the request. */
  mayHaveRun: boolean
}

type SlotResult =
  | { readonly grant: SlotGrant }
  | { readonly reason: string; readonly retryAfterMs: number; readonly coordinator: string }

/** Stateless across requests, except for the caller timeouts seen per route. */
export class RequestRunner {
  readonly #parts: RequestRunnerParts
  readonly #patience = new CallerPatience()

  constructor(parts: RequestRunnerParts) {
    this.#parts = parts
  }

  /**
   * Returns the answer to the caller; never rejects.
   * @param departure set while the process is shutting down
   */
  async run(request: CallerRequest, departure?: Departure): Promise<CallerAnswer> {
    const { routing, metrics, clock } = this.#parts
    const configuration = routing.current
    if (configuration === undefined) {
      return this.#fail(request, undefined, FailureKind.NoConfiguration, DEFAULT_RETRY_AFTER_MS)
    }
    const route = configuration.index.find(request.host, request.target)
    if (route === undefined) return this.#fail(request, undefined, FailureKind.NoRoute, 0)
    const run = this.#begin(request, route)
    if (departure?.mayTake(run.deadlineAtMs, request.arrivedAtMs) === false) {
      return this.#fail(request, run, FailureKind.Leaving, LEAVING_RETRY_AFTER_MS)
    }
    this.#parts.budget.recordRequest(
      run.service,
      this.#parts.table.countForBudgets(),
      request.arrivedAtMs,
    )
    const answer = await this.#serve(run)
    metrics.answered(route.name, answer.status, clock() - request.arrivedAtMs)
    return answer
  }

  #begin(request: CallerRequest, route: Route): Run {
    const patienceMs = Math.min(request.patienceMs ?? route.timeoutMs, route.timeoutMs)
    const waitedMs = this.#patience.waitedMs(route.name, request.patienceMs)
    return {
      request,
      route,
      service: this.#parts.routing.split.next(route),
      deadlineAtMs: request.arrivedAtMs + patienceMs,
      targetAtMs: request.arrivedAtMs + route.targetLatencyMs - waitedMs - WAY_BACK_MS,
      isReturn: waitedMs > 0,
      tried: [],
      sends: 0,
      mayHaveRun: false,
    }
  }

  async #serve(run: Run): Promise<CallerAnswer> {
    const { clock } = this.#parts
    let lost: SendOutcome | undefined
    for (;;) {
      if (run.request.signal.aborted) return this.#fail(run.request, run, FailureKind.Abandoned, 0)
      const slot = await this.#acquire(run)
      if (!('grant' in slot)) return this.#turnedAway(run, slot, lost)
      const server = this.#parts.registry.find(slot.grant.serverId)
      if (server === undefined || !this.#parts.registry.isUsable(server.id)) {
        // The coordinator does not know yet that the backend server is leaving.
        slot.grant.release(SlotUse.Abandoned, 0, null)
        run.tried.push(slot.grant.serverId)
        if (run.tried.length > MAX_STALE_GRANTS) {
          return this.#fail(run.request, run, FailureKind.NotRun, DEFAULT_RETRY_AFTER_MS)
        }
        continue
      }
      const outcome = await this.#send(run, slot.grant, server)
      const next = NEXT_BY_KIND[outcome.kind](run.route.repeatability, outcome)
      if (next.isFinal) return this.#end(run, outcome, next.failure)
      lost = next.mayHaveRun ? outcome : lost
      run.mayHaveRun ||= next.mayHaveRun
      const nowMs = clock()
      if (!this.#mayRepeat(run, nowMs)) return this.#giveUp(run, outcome)
    }
  }

  #acquire(run: Run): Promise<SlotResult> {
    const { request, route } = run
    return new Promise((resolve) => {
      let withdraw: () => void = () => undefined
      const leave = (): void => {
        withdraw()
        finish({ reason: 'caller disconnected', retryAfterMs: 0, coordinator: '' })
      }
      const timer = setTimeout(
        () => {
          withdraw()
          finish({ reason: 'no slot before the deadline', retryAfterMs: 0, coordinator: '' })
        },
        Math.max(0, run.deadlineAtMs - this.#parts.clock() - MIN_SEND_MS),
      )
      const finish = (result: SlotResult): void => {
        clearTimeout(timer)
        request.signal.removeEventListener('abort', leave)
        resolve(result)
      }
      request.signal.addEventListener('abort', leave, { once: true })
      withdraw = this.#parts.slots.acquire(
        {
          service: run.service,
          route: route.name,
          object: route.prefersRecentServer ? request.object : '',
          priority: route.priority,
          targetAtMs: run.targetAtMs,
          deadlineAtMs: run.deadlineAtMs,
          isReturn: run.isReturn,
          excludedServers: run.tried,
          regions: route.homeRegions,
        },
        {
          granted: (grant) => {
            finish({ grant })
          },
          refused: (reason, retryAfterMs, coordinator) => {
            finish({ reason, retryAfterMs, coordinator })
          },
        },
      )
    })
  }

  async #send(run: Run, grant: SlotGrant, server: KnownBackendServer): Promise<SendOutcome> {
    const { pool, clock, headers, regionOfZone, table, log, routing } = this.#parts
    const nowMs = clock()
    const leftMs = run.deadlineAtMs - nowMs
    const isRemote = regionOfZone(server.zone) !== table.self.region
    const isRepeatable = run.route.repeatability === Repeatability.Idempotent
    run.sends += 1
    run.tried.push(server.id)
    const outcome = await new Promise<SendOutcome>((resolve) => {
      const sent: HeaderPair[] = [
        ...run.request.headers,
        [headers.deadline, String(Math.max(1, Math.floor(leftMs - WAY_BACK_MS)))],
        [headers.expectedServer, server.id],
      ]
      const leave = (): void => {
        // A non-idempotent request continues, because aborting it could leave it half done.
        if (isRepeatable) giveUp(SendKind.Abandoned)
      }
      const finish = (result: SendOutcome): void => {
        clearTimeout(timer)
        run.request.signal.removeEventListener('abort', leave)
        resolve(result)
      }
      const { requestId, method, target, body } = run.request
      const giveUp = pool.send(
        `${server.id}@${server.address}#${server.startedAtMs}`,
        server.address,
        isRemote,
        { requestId, method, target, headers: sent, body, isRepeatable },
        (result) => {
          finish(result)
        },
      )
      const timer = setTimeout(
        () => {
          giveUp(SendKind.TimedOut)
        },
        Math.max(1, leftMs),
      )
      run.request.signal.addEventListener('abort', leave, { once: true })
    })
    const durationMs = outcome.kind === SendKind.Unreachable ? -1 : Math.round(outcome.durationMs)
    grant.release(USE_BY_KIND[outcome.kind](outcome.answer), durationMs, outcome.report)
    log.decision(run.request.requestId, 'sent', {
      route: run.route.name,
      version: routing.current?.version,
      server: server.id,
      region: regionOfZone(server.zone),
      object: run.request.object,
      coordinator: grant.coordinator,
      send: run.sends,
      waitedMs: Math.round(nowMs - run.request.arrivedAtMs),
      patienceMs: run.request.patienceMs,
      leftMs: Math.round(leftMs),
      outcome: outcome.kind,
      status: outcome.answer?.status,
      durationMs: Math.round(outcome.durationMs),
      ...(outcome.detail === '' ? {} : { detail: outcome.detail }),
      ...(outcome.isReused ? {} : { newConnection: true }),
    })
    return outcome
  }

  #mayRepeat(run: Run, nowMs: number): boolean {
    const isAllowed = !run.mayHaveRun || run.route.repeatability === Repeatability.Idempotent
    if (!isAllowed || run.sends >= run.route.maxAttempts) return false
    if (run.deadlineAtMs - nowMs < MIN_SEND_MS) return false
    return this.#parts.budget.take(run.service, this.#parts.table.countForBudgets(), nowMs)
  }

  #turnedAway(
    run: Run,
    slot: Extract<SlotResult, { reason: string }>,
    lost: SendOutcome | undefined,
  ): CallerAnswer {
    if (run.request.signal.aborted) return this.#fail(run.request, run, FailureKind.Abandoned, 0)
    if (lost !== undefined) return this.#giveUp(run, lost)
    const { reason, retryAfterMs, coordinator } = slot
    const detail = { reason, coordinator, retryAfterMs }
    return this.#fail(run.request, run, FailureKind.NoSlot, retryAfterMs, detail)
  }

  /** Answers a request that is not retried, according to what may have run. */
  #giveUp(run: Run, outcome: SendOutcome): CallerAnswer {
    if (outcome.kind === SendKind.Answered && outcome.answer !== undefined) {
      return answerOf(outcome.answer, this.#parts.headers)
    }
    if (run.mayHaveRun) return this.#fail(run.request, run, FailureKind.AnswerLost, 0)
    return this.#fail(run.request, run, FailureKind.NotRun, DEFAULT_RETRY_AFTER_MS)
  }

  #end(run: Run, outcome: SendOutcome, failure: FailureKind | undefined): CallerAnswer {
    if (failure === undefined && outcome.answer !== undefined) {
      return answerOf(outcome.answer, this.#parts.headers)
    }
    return this.#fail(run.request, run, failure ?? FailureKind.AnswerLost, 0)
  }

  #fail(
    request: CallerRequest,
    run: Run | undefined,
    kind: FailureKind,
    retryAfterMs: number,
    detail: Readonly<Record<string, string | number>> = {},
  ): CallerAnswer {
    const { log, metrics, clock, routing } = this.#parts
    metrics.failed(kind)
    log.decision(request.requestId, 'failed', {
      kind,
      host: request.host,
      route: run?.route.name,
      service: run?.service,
      version: routing.current?.version,
      isReturn: run?.isReturn,
      patienceMs: request.patienceMs,
      sends: run?.sends,
      targetInMs: run === undefined ? undefined : Math.round(run.targetAtMs - clock()),
      heldMs: Math.round(clock() - request.arrivedAtMs),
      storeAgeMs: this.#parts.storeAgeMs(),
      ...(retryAfterMs > 0 ? { retryAfterMs } : {}),
      ...detail,
    })
    return failureAnswer(kind, retryAfterMs)
  }
}
