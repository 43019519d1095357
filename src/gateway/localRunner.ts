/**
 * Runs a request on the backend servers of this region: acquires a slot, makes an attempt,
 * retries where allowed.
 */
import type { Clock } from '../common/clock.js'
import { LEAVING_HEADER, Outcome } from '../common/headers.js'
import type { Logger } from '../common/logger.js'
import type { Metrics } from '../common/metrics.js'
import type { ServiceRecord } from '../configuration/document.js'
import type { SlotError, SlotGrant, SlotRequest, SlotSource } from '../slots/slotSource.js'
import { SlotErrorKind, SlotUse } from '../slots/slotSource.js'
import type { ExchangeResult, HttpAnswer } from '../common/exchange.js'
import { ExchangeFailureReason, ExchangeKind, findHeader } from '../common/exchange.js'
import type { BackendClient } from './backendAttempt.js'
import { classifyExecution, Execution } from './backendAttempt.js'
import { maySend } from './deadline.js'
import type { GatewayAnswer, GatewayRequest } from './gatewayRequest.js'
import { endToEndAnswerHeaders } from './headerRules.js'
import type { HedgeSource } from './hedgedAttempt.js'
import { runHedged } from './hedgedAttempt.js'
import { RefusalKind, refuse } from './refusals.js'
import type { RetryBudget } from './retryBudget.js'

/** Attempts per request; with more, the caller would switch to another entry instance too late. */
const MAX_ATTEMPTS = 4

/** Called with each answer of a backend server; `isLeaving` is taken from the answer's headers. */
export type AnswerListener = (workerId: string, isLeaving: boolean) => void

/** Dependencies of {@link LocalRunner}. */
export interface LocalRunnerDependencies {
  readonly clock: Clock
  readonly slots: SlotSource
  /** Without it, requests are not hedged. */
  readonly hedges?: HedgeSource
  readonly backend: BackendClient
  readonly retryBudget: RetryBudget
  readonly log: Logger
  readonly metrics: Metrics
  readonly onAnswer: AnswerListener
}

/** A request with the configuration that applies to it. */
export interface LocalTask {
  readonly request: GatewayRequest
  readonly service: ServiceRecord
  readonly revision: number
  /** Aborted when the request is cancelled. */
  readonly signal: AbortSignal
}

interface Progress {
  attempts: number
  /** True once an attempt may have been executed; from then on the outcome can't be "not run". */
  maybeRan: boolean
  /** Why the last attempt got no answer. */
  lastFailure: RefusalKind
  readonly excludedWorkers: Set<string>
}

/** Runs requests on the backend servers for which a {@link SlotSource} grants slots. */
export class LocalRunner {
  readonly #dependencies: LocalRunnerDependencies

  constructor(dependencies: LocalRunnerDependencies) {
    this.#dependencies = dependencies
  }

  /** Never rejects. */
  async run(task: LocalTask): Promise<GatewayAnswer> {
    const progress: Progress = {
      attempts: 0,
      maybeRan: false,
      lastFailure: RefusalKind.NoBackendServer,
      excludedWorkers: new Set(),
    }
    this.#dependencies.retryBudget.recordRequest(task.service.name)
    for (;;) {
      const grant = await this.#acquire(task, progress)
      if (grant.err)
        return this.#refuse(task, progress, slotRefusal(grant.val, progress), grant.val)
      const refusal = this.#checkBeforeSending(task)
      if (refusal !== undefined) {
        grant.val.release(SlotUse.Unused, 0, this.#dependencies.clock())
        return this.#refuse(task, progress, refusal)
      }
      const result = await this.#attemptOnceOrHedged(task, grant.val, progress)
      const execution = classifyExecution(result)
      if (result.kind === ExchangeKind.Answered && execution === Execution.Ran) {
        return toGatewayAnswer(result, task.request.method)
      }
      progress.lastFailure = failureKind(result)
      progress.excludedWorkers.add(grant.val.workerId)
      if (!this.#mayRetry(task, progress, execution)) {
        return this.#refuse(task, progress, progress.lastFailure)
      }
    }
  }

  async #acquire(task: LocalTask, progress: Progress): ReturnType<SlotSource['acquire']> {
    const startedAtMs = this.#dependencies.clock()
    const grant = await this.#dependencies.slots.acquire(slotRequest(task, progress), startedAtMs)
    this.#dependencies.metrics.timing(
      'gateway.slot_wait',
      this.#dependencies.clock() - startedAtMs,
      {
        service: task.service.name,
      },
    )
    return grant
  }

  /** While waiting for a slot, the process may be paused or the caller may disconnect. */
  #checkBeforeSending(task: LocalTask): RefusalKind | undefined {
    if (task.signal.aborted) return RefusalKind.Cancelled
    const inTime = maySend(task.request.deadline, this.#dependencies.clock())
    return inTime ? undefined : RefusalKind.DeadlineUnreachable
  }

  #attemptOnceOrHedged(
    task: LocalTask,
    grant: SlotGrant,
    progress: Progress,
  ): Promise<ExchangeResult> {
    const { hedges, clock } = this.#dependencies
    const isIdempotent = task.service.idempotentMethods.includes(task.request.method)
    if (hedges === undefined || !isIdempotent) {
      return this.#attempt(task, grant, progress, task.signal)
    }
    return runHedged({
      hedges,
      clock,
      request: slotRequest(task, progress),
      grant,
      attempt: (granted, signal) => this.#attempt(task, granted, progress, signal),
    })
  }

  async #attempt(
    task: LocalTask,
    grant: SlotGrant,
    progress: Progress,
    signal: AbortSignal,
  ): Promise<ExchangeResult> {
    const { request } = task
    progress.attempts += 1
    const attemptId = `${request.requestId}.${String(progress.attempts)}`
    const sentAtMs = this.#dependencies.clock()
    const result = await this.#dependencies.backend.attempt({
      address: grant.address,
      attemptId,
      method: request.method,
      target: request.target,
      headers: request.headers,
      body: request.body,
      deadlineMs: request.deadline.deadlineMs,
      maxAnswerBytes: task.service.maxResponseBytes,
      signal,
    })
    const nowMs = this.#dependencies.clock()
    grant.release(slotUse(result), nowMs - sentAtMs, nowMs)
    // With two hedged attempts, the cancelled one may have run even if the other was shed.
    progress.maybeRan ||= classifyExecution(result) === Execution.MaybeRan
    if (result.kind === ExchangeKind.Answered) {
      const isLeaving = findHeader(result.headers, LEAVING_HEADER) === 'true'
      this.#dependencies.onAnswer(grant.workerId, isLeaving)
    }
    this.#dependencies.log.decision('attempt', {
      requestId: request.requestId,
      attempt: progress.attempts,
      service: task.service.name,
      worker: grant.workerId,
      reason: grant.reason,
      result: result.kind === ExchangeKind.Answered ? result.status : result.reason,
      execution: classifyExecution(result),
      revision: task.revision,
      durationMs: nowMs - sentAtMs,
    })
    return result
  }

  #mayRetry(task: LocalTask, progress: Progress, execution: Execution): boolean {
    const { request, service } = task
    if (task.signal.aborted || progress.attempts >= MAX_ATTEMPTS) return false
    const isSafeToRetry =
      execution === Execution.NotRun || service.idempotentMethods.includes(request.method)
    if (!isSafeToRetry || !maySend(request.deadline, this.#dependencies.clock())) return false
    return this.#dependencies.retryBudget.takeRetry(service.name)
  }

  #refuse(
    task: LocalTask,
    progress: Progress,
    kind: RefusalKind,
    slotError?: SlotError,
  ): GatewayAnswer {
    const { requestId } = task.request
    const reportedKind = progress.maybeRan ? unknownKind(kind) : kind
    this.#dependencies.metrics.increment('gateway.refusals', 1, { kind: reportedKind })
    if (reportedKind !== kind || slotError === undefined) return refuse(reportedKind, requestId)
    return refuse(kind, requestId, { retryAfterMs: slotError.retryAfterMs })
  }
}

/** Key of a request in the statistics: service, method and the first two path segments. */
export function requestClass(service: string, request: GatewayRequest): string {
  const path = request.target.split('?', 1)[0] ?? ''
  return `${service} ${request.method} ${path.split('/').slice(0, 3).join('/')}`
}

function slotRequest(task: LocalTask, progress: Progress): SlotRequest {
  const { request, service, signal } = task
  return {
    requestId: request.requestId,
    service: service.name,
    requestClass: requestClass(service.name, request),
    deadlineMs: request.deadline.sendByMs,
    excludedWorkers: progress.excludedWorkers,
    signal,
  }
}

function toGatewayAnswer(answer: HttpAnswer, method: string): GatewayAnswer {
  const length = findHeader(answer.headers, 'content-length')
  const headers = endToEndAnswerHeaders(answer.headers)
  // An answer to HEAD has a Content-Length but no body.
  if (method === 'HEAD' && length !== undefined) headers.push(['content-length', length])
  return {
    outcome: Outcome.Ran,
    status: answer.status,
    headers,
    body: answer.body,
    ...(answer.isDelimitedByClose === true ? { isDelimitedByClose: true } : {}),
    reason: 'answered',
  }
}

const SLOT_REFUSALS: Readonly<Record<SlotErrorKind, RefusalKind>> = {
  [SlotErrorKind.QueueFull]: RefusalKind.QueueFull,
  [SlotErrorKind.DeadlineUnreachable]: RefusalKind.DeadlineUnreachable,
  [SlotErrorKind.NoBackendServer]: RefusalKind.NoBackendServer,
  [SlotErrorKind.Cancelled]: RefusalKind.Cancelled,
}

/** If no backend server is left after an attempt, the failure of that attempt is reported. */
function slotRefusal(error: SlotError, progress: Progress): RefusalKind {
  return error.kind === SlotErrorKind.NoBackendServer
    ? progress.lastFailure
    : SLOT_REFUSALS[error.kind]
}

function failureKind(result: ExchangeResult): RefusalKind {
  if (result.kind === ExchangeKind.Answered) return RefusalKind.BackendRefused
  if (result.kind === ExchangeKind.NotConnected) {
    return result.reason === ExchangeFailureReason.Cancelled
      ? RefusalKind.Cancelled
      : RefusalKind.BackendUnreachable
  }
  return result.reason === ExchangeFailureReason.TimedOut
    ? RefusalKind.DeadlinePassed
    : RefusalKind.BrokenAnswer
}

/** Kind with outcome "unknown", reported when an earlier attempt may have run. */
function unknownKind(kind: RefusalKind): RefusalKind {
  return kind === RefusalKind.DeadlinePassed || kind === RefusalKind.DeadlineUnreachable
    ? RefusalKind.DeadlinePassed
    : RefusalKind.BrokenAnswer
}

function slotUse(result: ExchangeResult): SlotUse {
  if (result.kind === ExchangeKind.Answered) {
    return classifyExecution(result) === Execution.Ran ? SlotUse.Completed : SlotUse.Shed
  }
  return result.reason === ExchangeFailureReason.Cancelled ? SlotUse.Cancelled : SlotUse.Failed
}
