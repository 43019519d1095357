/** Serves callers' requests: selects a route, acquires a slot, sends, and resends if permitted. */
import type { Clock } from '../common/clock.js'
import type { HeaderPair } from '../common/exchange.js'
import { encodeFieldValue } from '../common/fieldValue.js'
import type { BackendServerRegistry, RegisteredBackendServer } from './backendServerRegistry.js'
import { CallerTimeouts } from './callerTimeouts.js'
import type { CallerAnswer, CallerRequest, CredentialHeaders } from './callerRequest.js'
import { FailureKind, failureAnswer } from './callerRequest.js'
import type { ConnectionPool } from './connectionPool.js'
import type { Shutdown } from './shutdown.js'
import { waitForDecision } from './decisionWait.js'
import type { EntryLog } from './entryLog.js'
import type { EntryMetrics } from './entryMetrics.js'
import type { InstanceTable } from './instanceTable.js'
import { SlotOutcome } from './peerMessages.js'
import type { ServerBeliefs } from './serverBeliefs.js'
import type { RoutingView } from './routingView.js'
import type { Route } from './routingConfiguration.js'
import { Repeatability, RestrictionKind } from './routingConfiguration.js'
import { NEXT_STEP_BY_OUTCOME, SLOT_OUTCOME_BY_SEND_OUTCOME, answerOf } from './sendOutcomes.js'
import type { PooledOutcome, SendOutcome, ServerHeaders } from './serverExchange.js'
import { OutcomeKind } from './serverExchange.js'
import type { ServerStatement } from './serverStatement.js'
import type { SharedRetryBudget } from './sharedRetryBudget.js'
import type { LocalSlotRequest, SlotClient, SlotGrant } from './slotClient.js'
import { CallerKind, CredentialKind, authenticate } from '../tenants/authentication.js'
import { keyFingerprint } from '../tenants/keyFingerprint.js'
import type { Tenant } from '../tenants/tenant.js'
import type { TenantDirectory } from '../tenants/tenantDirectory.js'
import { allowedRegions, effectivePriority } from '../tenants/tenantPolicy.js'
import { QuotaRefusal } from '../quotas/quotaMessages.js'
import type { TenantQuotas } from '../quotas/tenantQuotas.js'
import { objectIdentity } from '../placement/objectPlacement.js'

/** Time reserved for the answer to reach the caller. */
const CALLER_LATENCY_MARGIN_MS = 4
/** A request with less time left is not sent any more. */
const MIN_TIME_TO_SEND_MS = 20
/** Grants of unusable backend servers after which the request is refused. */
const MAX_STALE_GRANTS = 4
/** Retry-After when the time until a slot is free can't be estimated. */
const DEFAULT_RETRY_AFTER_MS = 150
/** Retry-After of an instance that is shutting down; another instance can serve at once. */
const LEAVING_RETRY_AFTER_MS = 10

export interface RequestRunnerDependencies {
  readonly clock: Clock
  readonly log: EntryLog
  readonly metrics: EntryMetrics
  readonly routing: RoutingView
  readonly registry: BackendServerRegistry
  readonly beliefs: ServerBeliefs
  readonly table: InstanceTable
  readonly slots: SlotClient
  readonly pool: ConnectionPool
  readonly budget: SharedRetryBudget
  readonly headers: ServerHeaders
  readonly credentials: CredentialHeaders
  readonly quotas: Pick<TenantQuotas, 'request' | 'giveBack'>
  readonly regionOfZone: (zone: string) => string | undefined
  /** Time since the last contact of this instance or a peer with the store, in milliseconds. */
  readonly storeAgeMs: () => number
}

/** State of one request across its sends. */
interface RequestState {
  readonly request: CallerRequest
  readonly route: Route
  readonly service: string
  /** Set if the caller identified itself as one. */
  readonly tenant: Tenant | undefined
  readonly priority: number
  /** Regions that may serve the request; empty: all. */
  readonly regions: readonly string[]
  /** Headers that are passed on; those that state the caller's identity are the system's. */
  readonly headers: readonly HeaderPair[]
  readonly deadlineAtMs: number
  readonly targetAtMs: number
  readonly isReturn: boolean
  /** Identifiers of backend servers that the request is not sent to again. */
  readonly excludedServers: string[]
  sendCount: number
  /** Whether an earlier send may have run the request. */
  mayHaveRun: boolean
}

/** Why a request got no token of its tenant's quota. */
interface TokenRefusal {
  readonly kind: FailureKind
  readonly retryAfterMs: number
}

const FAILURE_BY_QUOTA_REFUSAL: Readonly<Record<QuotaRefusal, FailureKind>> = {
  [QuotaRefusal.OverLimit]: FailureKind.OverQuota,
  [QuotaRefusal.Undecided]: FailureKind.QuotaUndecided,
}

type SlotResult =
  | { readonly grant: SlotGrant }
  | { readonly reason: string; readonly retryAfterMs: number; readonly coordinator: string }

/** Stateless across requests, except for the caller timeouts seen per route. */
export class RequestRunner {
  readonly #dependencies: RequestRunnerDependencies
  readonly #callerTimeouts = new CallerTimeouts()

  constructor(dependencies: RequestRunnerDependencies) {
    this.#dependencies = dependencies
  }

  /**
   * Returns the answer to the caller; never rejects.
   * @param shutdown set while the process is shutting down
   */
  async run(request: CallerRequest, shutdown?: Shutdown): Promise<CallerAnswer> {
    const { routing, metrics, clock } = this.#dependencies
    const configuration = routing.current
    if (configuration === undefined) {
      return this.#fail(request, undefined, FailureKind.NoConfiguration, DEFAULT_RETRY_AFTER_MS)
    }
    const route = configuration.index.find(request.host, request.target)
    if (route === undefined) return this.#fail(request, undefined, FailureKind.NoRoute, 0)
    if (route.restriction?.kind === RestrictionKind.NotServed) {
      return this.#fail(request, undefined, FailureKind.RouteNotServed, 0)
    }
    const { tenants } = configuration
    const credentials = this.#dependencies.credentials.read(request.headers)
    const caller = authenticate(credentials, tenants, route.allowsAnonymous === true)
    if (caller.kind === CallerKind.Rejected) {
      const detail = {
        route: route.name,
        reason: caller.reason,
        ...(credentials.kind === CredentialKind.Key
          ? { keyFingerprint: keyFingerprint(credentials.key) }
          : {}),
      }
      return this.#fail(request, undefined, FailureKind.UnknownKey, 0, detail)
    }
    const tenant = caller.kind === CallerKind.Tenant ? caller.tenant : undefined
    const regions = allowedRegions(route.homeRegions, tenant)
    if (regions === undefined) {
      const detail = { route: route.name, tenant: tenant?.name ?? '' }
      return this.#fail(request, undefined, FailureKind.NoHome, 0, detail)
    }
    const headers = this.#forwardedHeaders(request, tenants, tenant)
    if (headers === undefined) {
      const detail = { route: route.name, tenant: tenant?.name ?? '' }
      return this.#fail(request, undefined, FailureKind.TenantNotServed, 0, detail)
    }
    const state = this.#createState(request, route, { tenant, regions, headers })
    if (shutdown?.mayAccept(state.deadlineAtMs, request.arrivedAtMs) === false) {
      return this.#fail(request, state, FailureKind.Leaving, LEAVING_RETRY_AFTER_MS)
    }
    const decision = this.#acquireToken(state)
    const refusal = decision === undefined ? undefined : await decision
    if (refusal !== undefined) {
      return this.#fail(request, state, refusal.kind, refusal.retryAfterMs)
    }
    this.#dependencies.budget.recordRequest(
      state.service,
      this.#dependencies.table.countForBudgets(),
      request.arrivedAtMs,
    )
    const answer = await this.#serve(state)
    if (tenant !== undefined && state.sendCount === 0) {
      this.#dependencies.quotas.giveBack(tenant.name, clock())
    }
    metrics.answered(route.name, answer.status, clock() - request.arrivedAtMs)
    return answer
  }

  /**
   * The key is for this system alone; the name of its tenant is for the backend servers.
   * @returns `undefined` if the name can't be sent
   */
  #forwardedHeaders(
    { headers }: CallerRequest,
    tenants: TenantDirectory | undefined,
    tenant: Tenant | undefined,
  ): readonly HeaderPair[] | undefined {
    if (tenants === undefined) return headers
    const { credentials, headers: names } = this.#dependencies
    const others = headers.filter(([name]) => name.toLowerCase() !== credentials.name)
    if (tenant === undefined) return others
    const name = encodeFieldValue(tenant.name)
    return name === undefined ? undefined : [...others, [names.tenant, name]]
  }

  #createState(
    request: CallerRequest,
    route: Route,
    caller: Pick<RequestState, 'tenant' | 'regions' | 'headers'>,
  ): RequestState {
    const callerTimeoutMs = Math.min(request.callerTimeoutMs ?? route.timeoutMs, route.timeoutMs)
    const waitedMs = this.#callerTimeouts.waitedMs(route.name, request.callerTimeoutMs)
    return {
      request,
      route,
      service: this.#dependencies.routing.split.next(route),
      ...caller,
      priority: effectivePriority(route.priority, caller.tenant),
      deadlineAtMs: request.arrivedAtMs + callerTimeoutMs,
      targetAtMs: request.arrivedAtMs + route.targetLatencyMs - waitedMs - CALLER_LATENCY_MARGIN_MS,
      isReturn: waitedMs > 0,
      excludedServers: [],
      sendCount: 0,
      mayHaveRun: false,
    }
  }

  /** Takes a token of the tenant's quota; returns why the request is refused if there is none. */
  #acquireToken(state: RequestState): Promise<TokenRefusal | undefined> | undefined {
    const { tenant, request } = state
    if (tenant?.quota === undefined) return undefined
    const { quotas, clock } = this.#dependencies
    return waitForDecision<TokenRefusal | undefined>({
      signal: request.signal,
      timeoutMs: this.#timeToSendMs(state),
      ifAborted: { kind: FailureKind.Abandoned, retryAfterMs: 0 },
      ifTimedOut: { kind: FailureKind.QuotaUndecided, retryAfterMs: 0 },
      ask: (decide) => {
        const listener = {
          onAllowed: () => {
            decide(undefined)
          },
          onRefused: (reason: QuotaRefusal, retryAfterMs: number) => {
            decide({ kind: FAILURE_BY_QUOTA_REFUSAL[reason], retryAfterMs })
          },
        }
        return quotas.request(tenant.name, listener, clock())
      },
    })
  }

  async #serve(state: RequestState): Promise<CallerAnswer> {
    const { clock } = this.#dependencies
    let uncertainOutcome: SendOutcome | undefined
    for (;;) {
      if (state.request.signal.aborted)
        return this.#fail(state.request, state, FailureKind.Abandoned, 0)
      const slot = await this.#acquireSlot(state)
      if (!('grant' in slot)) return this.#handleRefusal(state, slot, uncertainOutcome)
      const server = this.#dependencies.registry.find(slot.grant.serverId)
      const unusable = this.#unusableStatement(server, clock())
      if (server === undefined || unusable !== undefined) {
        // The coordinator does not know yet that the server takes nothing from this instance.
        slot.grant.release(SlotOutcome.Abandoned, 0, null, unusable)
        state.excludedServers.push(slot.grant.serverId)
        if (state.excludedServers.length > MAX_STALE_GRANTS) {
          return this.#fail(state.request, state, FailureKind.NotRun, DEFAULT_RETRY_AFTER_MS)
        }
        continue
      }
      if (state.deadlineAtMs - clock() < MIN_TIME_TO_SEND_MS / 2) {
        // The grant was read before the timer of the deadline fired, as after a pause.
        slot.grant.release(SlotOutcome.Abandoned, 0, null)
        const late = { reason: 'granted too late', retryAfterMs: 0, coordinator: '' }
        return this.#handleRefusal(state, late, uncertainOutcome)
      }
      const outcome = await this.#send(state, slot.grant, server)
      const next = NEXT_STEP_BY_OUTCOME[outcome.kind](state.route.repeatability, outcome)
      if (next.isFinal) return this.#finish(state, outcome, next.failure)
      uncertainOutcome = next.mayHaveRun ? outcome : uncertainOutcome
      state.mayHaveRun ||= next.mayHaveRun
      const nowMs = clock()
      if (!this.#mayResend(state, nowMs)) return this.#finishWithoutResend(state, outcome)
    }
  }

  /** Why a server must not get a request of this instance; `undefined` if it may. */
  #unusableStatement(
    server: RegisteredBackendServer | undefined,
    nowMs: number,
  ): ServerStatement | undefined {
    const { registry, beliefs } = this.#dependencies
    if (server === undefined || !registry.isUsable(server.id)) return { isLeaving: true }
    const retryAfterMs = beliefs.turnedAwayForMs(server, nowMs)
    return retryAfterMs > 0 ? { retryAfterMs } : undefined
  }

  #acquireSlot(state: RequestState): Promise<SlotResult> {
    const { request, route } = state
    return waitForDecision<SlotResult>({
      signal: request.signal,
      timeoutMs: this.#timeToSendMs(state),
      ifAborted: { reason: 'caller disconnected', retryAfterMs: 0, coordinator: '' },
      ifTimedOut: { reason: 'no slot before the deadline', retryAfterMs: 0, coordinator: '' },
      ask: (decide) =>
        this.#dependencies.slots.acquire(
          {
            service: state.service,
            route: route.name,
            object: route.prefersRecentServer ? objectIdentity(route.name, request.object) : '',
            priority: state.priority,
            targetAtMs: state.targetAtMs,
            deadlineAtMs: state.deadlineAtMs,
            isReturn: state.isReturn,
            excludedServers: state.excludedServers,
            regions: state.regions,
            ...this.#costDetails(state),
          },
          {
            onGranted: (grant) => {
              decide({ grant })
            },
            onRefused: (reason, retryAfterMs, coordinator) => {
              decide({ reason, retryAfterMs, coordinator })
            },
          },
        ),
    })
  }

  /** Time in which the request must be sent, in milliseconds. */
  #timeToSendMs({ deadlineAtMs }: RequestState): number {
    return deadlineAtMs - this.#dependencies.clock() - MIN_TIME_TO_SEND_MS
  }

  /** Details that only the policy for tenants weighs; other deployments don't send them. */
  #costDetails({
    request,
    route,
  }: RequestState): Pick<LocalSlotRequest, 'callerLeftMs' | 'isRepeatable'> {
    const { clock, routing } = this.#dependencies
    if (routing.current?.tenants === undefined) return {}
    return {
      callerLeftMs: callerLeftMs(request, clock()),
      isRepeatable: route.repeatability === Repeatability.Idempotent,
    }
  }

  async #send(
    state: RequestState,
    grant: SlotGrant,
    server: RegisteredBackendServer,
  ): Promise<PooledOutcome> {
    const { pool, clock, headers, regionOfZone, table, log, routing } = this.#dependencies
    const nowMs = clock()
    const leftMs = state.deadlineAtMs - nowMs
    const isRemote = regionOfZone(server.zone) !== table.self.region
    const isIdempotent = state.route.repeatability === Repeatability.Idempotent
    state.sendCount += 1
    state.excludedServers.push(server.id)
    const outcome = await new Promise<PooledOutcome>((resolve) => {
      const sentHeaders: HeaderPair[] = [
        ...state.headers,
        [headers.deadline, String(Math.max(1, Math.floor(leftMs - CALLER_LATENCY_MARGIN_MS)))],
        [headers.expectedServer, server.id],
      ]
      const onAbort = (): void => {
        // A non-idempotent request continues, because aborting it could leave it half done.
        if (isIdempotent) abortSend(OutcomeKind.Abandoned)
      }
      const finish = (result: PooledOutcome): void => {
        clearTimeout(timer)
        state.request.signal.removeEventListener('abort', onAbort)
        resolve(result)
      }
      const { requestId, method, target, body } = state.request
      const abortSend = pool.send(
        `${server.id}@${server.address}#${server.startedAtMs}`,
        server.address,
        isRemote,
        {
          requestId,
          method,
          target,
          headers: sentHeaders,
          body,
          isIdempotent,
          mayConnectionsBeLost: grant.mayConnectionsBeLost,
        },
        (result) => {
          finish(result)
        },
      )
      const timer = setTimeout(
        () => {
          abortSend(OutcomeKind.TimedOut)
        },
        Math.max(1, leftMs),
      )
      state.request.signal.addEventListener('abort', onAbort, { once: true })
    })
    // Only a success is certain to be the server's if it states nothing.
    const isSuccess = outcome.kind === OutcomeKind.Answered && (outcome.answer?.status ?? 0) < 300
    if (isSuccess || outcome.statement !== undefined)
      this.#dependencies.beliefs.record(server, outcome.statement, clock())
    const durationMs =
      outcome.kind === OutcomeKind.Unreachable ? -1 : Math.round(outcome.durationMs)
    grant.release(
      SLOT_OUTCOME_BY_SEND_OUTCOME[outcome.kind](outcome.answer),
      durationMs,
      outcome.report,
      outcome.statement,
      outcome.connection,
    )
    log.decision(state.request.requestId, 'sent', {
      route: state.route.name,
      tenant: state.tenant?.name,
      version: routing.current?.version,
      server: server.id,
      region: regionOfZone(server.zone),
      object: state.request.object,
      coordinator: grant.coordinator,
      send: state.sendCount,
      waitedMs: Math.round(nowMs - state.request.arrivedAtMs),
      patienceMs: state.request.callerTimeoutMs,
      leftMs: Math.round(leftMs),
      outcome: outcome.kind,
      status: outcome.answer?.status,
      limitPerSecond: outcome.statement?.limitPerSecond,
      isLeaving: outcome.statement?.isLeaving,
      retryAfterMs: outcome.statement?.retryAfterMs,
      unreadable: outcome.statement?.unreadable,
      durationMs: Math.round(outcome.durationMs),
      ...(outcome.detail === '' ? {} : { detail: outcome.detail }),
      ...(outcome.isReused ? {} : { newConnection: true }),
    })
    return outcome
  }

  #mayResend(state: RequestState, nowMs: number): boolean {
    const isAllowed = !state.mayHaveRun || state.route.repeatability === Repeatability.Idempotent
    if (!isAllowed || state.sendCount >= state.route.maxAttempts) return false
    if (state.deadlineAtMs - nowMs < MIN_TIME_TO_SEND_MS) return false
    return this.#dependencies.budget.take(
      state.service,
      this.#dependencies.table.countForBudgets(),
      nowMs,
    )
  }

  #handleRefusal(
    state: RequestState,
    slot: Extract<SlotResult, { reason: string }>,
    uncertainOutcome: SendOutcome | undefined,
  ): CallerAnswer {
    if (state.request.signal.aborted)
      return this.#fail(state.request, state, FailureKind.Abandoned, 0)
    if (uncertainOutcome !== undefined) return this.#finishWithoutResend(state, uncertainOutcome)
    const { reason, retryAfterMs, coordinator } = slot
    const detail = { reason, coordinator, retryAfterMs }
    return this.#fail(state.request, state, FailureKind.NoSlot, retryAfterMs, detail)
  }

  /** Answers a request that is not sent again, by whether an earlier send may have run it. */
  #finishWithoutResend(state: RequestState, outcome: SendOutcome): CallerAnswer {
    if (outcome.kind === OutcomeKind.Answered && outcome.answer !== undefined) {
      return answerOf(outcome.answer, this.#dependencies.headers)
    }
    if (state.mayHaveRun) return this.#fail(state.request, state, FailureKind.AnswerLost, 0)
    return this.#fail(state.request, state, FailureKind.NotRun, DEFAULT_RETRY_AFTER_MS)
  }

  #finish(
    state: RequestState,
    outcome: SendOutcome,
    failure: FailureKind | undefined,
  ): CallerAnswer {
    if (failure === undefined && outcome.answer !== undefined) {
      return answerOf(outcome.answer, this.#dependencies.headers)
    }
    return this.#fail(state.request, state, failure ?? FailureKind.AnswerLost, 0)
  }

  #fail(
    request: CallerRequest,
    state: RequestState | undefined,
    kind: FailureKind,
    retryAfterMs: number,
    detail: Readonly<Record<string, string | number>> = {},
  ): CallerAnswer {
    const { log, metrics, clock, routing } = this.#dependencies
    metrics.failed(kind)
    log.decision(request.requestId, 'failed', {
      kind,
      host: request.host,
      route: state?.route.name,
      tenant: state?.tenant?.name,
      service: state?.service,
      version: routing.current?.version,
      isReturn: state?.isReturn,
      patienceMs: request.callerTimeoutMs,
      sends: state?.sendCount,
      targetInMs: state === undefined ? undefined : Math.round(state.targetAtMs - clock()),
      heldMs: Math.round(clock() - request.arrivedAtMs),
      storeAgeMs: this.#dependencies.storeAgeMs(),
      ...(retryAfterMs > 0 ? { retryAfterMs } : {}),
      ...detail,
    })
    return failureAnswer(kind, retryAfterMs)
  }
}

/** Time that the caller still waits, in milliseconds; `undefined` if it states none. */
function callerLeftMs(
  { callerTimeoutMs, arrivedAtMs }: CallerRequest,
  nowMs: number,
): number | undefined {
  return callerTimeoutMs === undefined
    ? undefined
    : Math.round(callerTimeoutMs - (nowMs - arrivedAtMs))
}
