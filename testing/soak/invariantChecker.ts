/**
 * Checks invariants towards callers and operators, from observations of callers and backend
 * servers. Whether faults affected an observation is passed in with it.
 */

/** Values appear in reports. */
export enum Invariant {
  /** A non-idempotent request runs at most once. */
  RunsAtMostOnce = 'runsOnce',
  /** A non-idempotent request that was refused as not run neither ran nor runs later. */
  RefusedDoesNotRun = 'trueRefusal',
  /** A successful answer is complete and belongs to the request. */
  OwnAnswer = 'ownAnswer',
  /** A leaving backend server gets no requests after {@link InvariantLimits.drainMs}. */
  NoRequestsAfterDrain = 'leaving',
  /** A request runs only in its home regions. */
  HomeRegion = 'home',
  /** A process never returns to an older configuration. */
  NoConfigurationRollback = 'noRegression',
  /** An accepted configuration is in force after {@link InvariantLimits.applyMs}. */
  ConfigurationInForce = 'inForce',
  /** A graceful shutdown does not cut off requests. */
  GracefulShutdown = 'gracefulEnd',
  /** Resends stay within the retry budget of the service. */
  RetryBudget = 'retryBudget',
  /** A backend server gets no more requests than the limit that it states allows. */
  StatedLimit = 'statedLimit',
  /** Requests are served again soon after the last fault. */
  Recovery = 'recovery',
}

/** Violation of an invariant. */
export interface Violation {
  readonly kind: Invariant
  /** Milliseconds since the start of the soak test. */
  readonly atMs: number
  readonly detail: string
}

/** Limits configured for the deployment; times in milliseconds. */
export interface InvariantLimits {
  readonly drainMs: number
  readonly applyMs: number
  readonly rollbackMs: number
  readonly retryRatio: number
  readonly retrySlack: number
  readonly budgetWindowMs: number
}

/** Request as observed by its caller. */
export interface SentRequest {
  readonly requestId: string
  readonly service: string
  readonly isIdempotent: boolean
  /** Regions that may run the request; empty for all. */
  readonly homeRegions: readonly string[]
  /** Name of the entry instance that the request was sent to. */
  readonly instance: string
  readonly sentAtMs: number
}

/** Start of a request at a backend server. */
export interface ServerRun {
  readonly requestId: string
  readonly serverId: string
  readonly region: string
  readonly atMs: number
}

/** Answer as observed by the caller. */
export interface SeenAnswer {
  readonly requestId: string
  readonly status: number
  /** Whether the body is complete and belongs to the request. */
  readonly isOwn: boolean
  readonly atMs: number
}

interface Request extends SentRequest {
  readonly runs: ServerRun[]
  answer?: SeenAnswer
}

/** Statuses by which an instance states that a request did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
/** Fraction of the requests after the last fault that must be served. */
const MIN_SERVED_FRACTION = 0.25

/** Time from the first statement of a limit after which it must hold, and length of its windows. */
const LIMIT_WINDOW_MS = 4000
/** Requests of an instance count from this time after its first answer with the statement. */
const TOLD_BEFORE_MS = 500
/** Requests in a window beyond one and a half times what the limit allows. */
const LIMIT_SLACK = 5

/** Statement of a server, with the times at which instances first sent it a request since. */
interface Statement {
  readonly sinceMs: number
  readonly toldAtMs: Map<string, number>
}

interface LimitStatement extends Statement {
  readonly limitPerSecond: number
  /** Requests that count, within the last window. */
  readonly countedAtMs: number[]
}

/** Collects observations and the violations that they show. */
export class InvariantChecker {
  readonly violations: Violation[] = []
  readonly #limits: InvariantLimits
  readonly #requests = new Map<string, Request>()
  readonly #leavingSinceMs = new Map<string, number>()
  /** Servers that state in answers, by identifier, that they are leaving, or a limit. */
  readonly #statedLeaving = new Map<string, Statement>()
  readonly #statedLimits = new Map<string, LimitStatement>()
  /** Newest version seen per process, with the time of that observation. */
  readonly #seenVersions = new Map<string, { version: number; atMs: number }>()
  readonly #acceptedVersions: { readonly version: number; readonly atMs: number }[] = []

  constructor(limits: InvariantLimits) {
    this.#limits = limits
  }

  /** Number of requests sent. */
  get requests(): number {
    return this.#requests.size
  }

  /** Name of the instance that a request was sent to; empty for an unknown request. */
  instanceOf(requestId: string): string {
    return this.#requests.get(requestId)?.instance ?? ''
  }

  requestSent(request: SentRequest): void {
    this.#requests.set(request.requestId, { ...request, runs: [] })
  }

  /** Records that the store holds a backend server as leaving or removed. */
  serverLeft(serverId: string, atMs: number): void {
    this.#leavingSinceMs.set(serverId, atMs)
  }

  /** Records that a server states in its answers, and nowhere else, that it is leaving. */
  leavingStated(serverId: string, sinceMs: number): void {
    this.#statedLeaving.set(serverId, { sinceMs, toldAtMs: new Map() })
  }

  /** Records that a server states a limit in its answers; `undefined`: that it no longer does. */
  limitStated(serverId: string, limitPerSecond: number | undefined, sinceMs: number): void {
    if (limitPerSecond === undefined) this.#statedLimits.delete(serverId)
    else {
      const statement = { sinceMs, limitPerSecond, toldAtMs: new Map(), countedAtMs: [] }
      this.#statedLimits.set(serverId, statement)
    }
  }

  /** @param wasUndisturbed whether time limits applied to the instance that sent the request */
  requestRan(run: ServerRun, wasUndisturbed: boolean): void {
    const request = this.#requests.get(run.requestId)
    if (request === undefined) {
      this.#addViolation(Invariant.OwnAnswer, run.atMs, `${run.requestId} ran but was never sent`)
      return
    }
    request.runs.push(run)
    const { runs, isIdempotent, homeRegions, answer } = request
    if (!isIdempotent && runs.length > 1) {
      this.#addViolation(
        Invariant.RunsAtMostOnce,
        run.atMs,
        `${run.requestId} ran ${runs.length} times`,
      )
    }
    if (homeRegions.length > 0 && !homeRegions.includes(run.region)) {
      this.#addViolation(Invariant.HomeRegion, run.atMs, `${run.requestId} ran in ${run.region}`)
    }
    if (answer !== undefined) this.#checkRefusal(request, answer, run.atMs)
    if (wasUndisturbed) this.#checkStatements(request, run)
    const leavingSinceMs = this.#leavingSinceMs.get(run.serverId)
    const isLate = leavingSinceMs !== undefined && run.atMs - leavingSinceMs > this.#limits.drainMs
    if (isLate && wasUndisturbed) {
      const lateMs = Math.round(run.atMs - leavingSinceMs)
      const detail = `${run.requestId} ran at ${run.serverId} ${lateMs} ms after it left`
      this.#addViolation(Invariant.NoRequestsAfterDrain, run.atMs, detail)
    }
  }

  #checkStatements(
    { instance, sentAtMs }: Request,
    { requestId, serverId, atMs }: ServerRun,
  ): void {
    const leaving = this.#statedLeaving.get(serverId)
    const leavingToldMs = leaving && toldForMs(leaving, instance, sentAtMs)
    if (leavingToldMs !== undefined && leavingToldMs > this.#limits.drainMs) {
      const detail = `${requestId} ran at ${serverId}, which had told ${instance} that it leaves`
      this.#addViolation(Invariant.NoRequestsAfterDrain, atMs, detail)
    }
    const limit = this.#statedLimits.get(serverId)
    if (limit === undefined) return
    const isTold = (toldForMs(limit, instance, atMs) ?? 0) >= TOLD_BEFORE_MS
    if (!isTold || atMs < limit.sinceMs + LIMIT_WINDOW_MS) return
    const { countedAtMs, limitPerSecond } = limit
    countedAtMs.push(atMs)
    while ((countedAtMs[0] ?? atMs) <= atMs - LIMIT_WINDOW_MS) countedAtMs.shift()
    const allowed = (1.5 * limitPerSecond * LIMIT_WINDOW_MS) / 1000 + LIMIT_SLACK
    if (countedAtMs.length <= allowed) return
    const detail = `${serverId} states ${limitPerSecond}/s and got ${countedAtMs.length} requests`
    this.#addViolation(Invariant.StatedLimit, atMs, detail)
  }

  requestAnswered(answer: SeenAnswer): void {
    const request = this.#requests.get(answer.requestId)
    if (request === undefined) return
    request.answer = answer
    const isSuccess = answer.status >= 200 && answer.status < 300
    if (isSuccess && !answer.isOwn) {
      this.#addViolation(
        Invariant.OwnAnswer,
        answer.atMs,
        `${answer.requestId} got the answer to another request`,
      )
    }
    if (isSuccess && request.runs.length === 0) {
      this.#addViolation(
        Invariant.OwnAnswer,
        answer.atMs,
        `${answer.requestId} succeeded but never ran`,
      )
    }
    this.#checkRefusal(request, answer, answer.atMs)
  }

  /**
   * Records that a connection ended without an answer.
   * @param isGraceful whether a graceful shutdown of the instance was the only disturbance
   */
  requestCut(requestId: string, isGraceful: boolean, atMs: number): void {
    const runs = this.#requests.get(requestId)?.runs.length ?? 0
    if (!isGraceful || runs === 0) return
    this.#addViolation(Invariant.GracefulShutdown, atMs, `${requestId} was cut off while it ran`)
  }

  /** Records that the store accepted a configuration version. */
  versionAccepted(version: number, atMs: number): void {
    this.#acceptedVersions.push({ version, atMs })
  }

  /**
   * Records the answer to a request on the probe route of a configuration version.
   * @param startId identifier of the process
   * @param hasRoute whether the instance has the route
   */
  versionProbed(
    startId: string,
    version: number,
    hasRoute: boolean,
    sentAtMs: number,
    answeredAtMs: number,
    wasUndisturbed: boolean,
  ): void {
    const seen = this.#seenVersions.get(startId)
    if (hasRoute) {
      if (seen === undefined || seen.version < version) {
        this.#seenVersions.set(startId, { version, atMs: answeredAtMs })
      }
      return
    }
    if (
      seen !== undefined &&
      seen.version >= version &&
      sentAtMs > seen.atMs + this.#limits.rollbackMs
    ) {
      const detail = `${startId} had version ${seen.version} but lacks version ${version}`
      this.#addViolation(Invariant.NoConfigurationRollback, answeredAtMs, detail)
    }
    const accepted = this.#acceptedVersions.find((entry) => entry.version === version)
    const isDue = accepted !== undefined && sentAtMs > accepted.atMs + this.#limits.applyMs
    if (isDue && wasUndisturbed) {
      const lateMs = Math.round(sentAtMs - accepted.atMs)
      const detail = `${startId} lacks version ${version} after ${lateMs} ms`
      this.#addViolation(Invariant.ConfigurationInForce, answeredAtMs, detail)
    }
  }

  /**
   * Checks the invariants that need all observations.
   * @param recoveryDeadlineMs end of the last fault plus the time to recover
   */
  finish(recoveryDeadlineMs: number): void {
    this.#checkRetryBudgets()
    this.#checkRecovery(recoveryDeadlineMs)
  }

  #checkRefusal(request: Request, answer: SeenAnswer, atMs: number): void {
    if (request.isIdempotent || !NOT_RUN_STATUSES.has(answer.status)) return
    if (request.runs.length === 0) return
    const detail = `${request.requestId} got status ${answer.status} but ran`
    this.#addViolation(Invariant.RefusedDoesNotRun, atMs, detail)
  }

  #checkRetryBudgets(): void {
    const services = new Set([...this.#requests.values()].map(({ service }) => service))
    for (const service of services) {
      const requests = [...this.#requests.values()].filter((each) => each.service === service)
      const resends = requests.flatMap(({ runs }) => runs.slice(1).map(({ atMs }) => atMs))
      const { budgetWindowMs, retryRatio, retrySlack } = this.#limits
      for (const startMs of resends) {
        const isInWindow = (atMs: number): boolean =>
          atMs >= startMs && atMs < startMs + budgetWindowMs
        const count = resends.filter(isInWindow).length
        const requestCount = requests.filter(({ sentAtMs }) => isInWindow(sentAtMs)).length
        if (count <= requestCount * retryRatio + retrySlack) continue
        const detail = `${service}: ${count} resends for ${requestCount} requests`
        this.#addViolation(Invariant.RetryBudget, startMs, detail)
        break
      }
    }
  }

  #checkRecovery(recoveryDeadlineMs: number): void {
    const after = [...this.#requests.values()].filter(
      ({ sentAtMs }) => sentAtMs > recoveryDeadlineMs,
    )
    if (after.length === 0) return
    const served = after.filter(({ answer }) => answer?.status === 200).length
    if (served >= after.length * MIN_SERVED_FRACTION) return
    const detail = `${served} of ${after.length} requests served after the last fault`
    this.#addViolation(Invariant.Recovery, recoveryDeadlineMs, detail)
  }

  #addViolation(kind: Invariant, atMs: number, detail: string): void {
    this.violations.push({ kind, atMs: Math.round(atMs), detail })
  }
}

/** Time for which an instance has been told a statement; `undefined` if this is its first request. */
function toldForMs({ toldAtMs }: Statement, instance: string, atMs: number): number | undefined {
  const told = toldAtMs.get(instance)
  if (told === undefined) toldAtMs.set(instance, atMs)
  return told === undefined ? undefined : atMs - told
}
