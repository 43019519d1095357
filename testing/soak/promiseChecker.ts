/**
 * Checks invariants towards callers and operators, from observations of callers and backend
 * servers. Whether faults affected an observation is passed in with it.
 */

/** Values appear in reports. */
export enum PromiseKind {
  /** A non-idempotent request runs at most once. */
  RunsOnce = 'runsOnce',
  /** A non-idempotent request that was refused as not run neither ran nor runs later. */
  TrueRefusal = 'trueRefusal',
  /** A successful answer is complete and belongs to the request. */
  OwnAnswer = 'ownAnswer',
  /** A leaving backend server gets no requests after {@link PromiseBounds.drainMs}. */
  Leaving = 'leaving',
  /** A request runs only in its home regions. */
  Home = 'home',
  /** A process never returns to an older configuration. */
  NoRegression = 'noRegression',
  /** An accepted configuration is in force after {@link PromiseBounds.applyMs}. */
  InForce = 'inForce',
  /** A graceful shutdown does not cut off requests. */
  GracefulEnd = 'gracefulEnd',
  /** Resends stay within the retry budget of the service. */
  RetryBudget = 'retryBudget',
  /** Requests are served again soon after the last fault. */
  Recovery = 'recovery',
}

/** Violation of an invariant. */
export interface Violation {
  readonly kind: PromiseKind
  /** Milliseconds since the start of the soak test. */
  readonly atMs: number
  readonly detail: string
}

/** Limits configured for the deployment; times in milliseconds. */
export interface PromiseBounds {
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
const RECOVERED_SHARE = 0.25

/** Collects observations and the violations that they show. */
export class PromiseChecker {
  readonly violations: Violation[] = []
  readonly #bounds: PromiseBounds
  readonly #requests = new Map<string, Request>()
  readonly #leftAtMs = new Map<string, number>()
  /** Newest version seen per process, with the time of that observation. */
  readonly #seenVersions = new Map<string, { version: number; atMs: number }>()
  readonly #acknowledged: { readonly version: number; readonly atMs: number }[] = []

  constructor(bounds: PromiseBounds) {
    this.#bounds = bounds
  }

  /** Number of requests sent. */
  get requests(): number {
    return this.#requests.size
  }

  /** Name of the instance that a request was sent to; empty for an unknown request. */
  instanceOf(requestId: string): string {
    return this.#requests.get(requestId)?.instance ?? ''
  }

  sent(request: SentRequest): void {
    this.#requests.set(request.requestId, { ...request, runs: [] })
  }

  /** Records that the store holds a backend server as leaving or removed. */
  serverLeft(serverId: string, atMs: number): void {
    this.#leftAtMs.set(serverId, atMs)
  }

  /** @param wasInTouch whether time limits applied to the instance that sent the request */
  ran(run: ServerRun, wasInTouch: boolean): void {
    const request = this.#requests.get(run.requestId)
    if (request === undefined) {
      this.#break(PromiseKind.OwnAnswer, run.atMs, `${run.requestId} ran but was never sent`)
      return
    }
    request.runs.push(run)
    const { runs, isIdempotent, homeRegions, answer } = request
    if (!isIdempotent && runs.length > 1) {
      this.#break(PromiseKind.RunsOnce, run.atMs, `${run.requestId} ran ${runs.length} times`)
    }
    if (homeRegions.length > 0 && !homeRegions.includes(run.region)) {
      this.#break(PromiseKind.Home, run.atMs, `${run.requestId} ran in ${run.region}`)
    }
    if (answer !== undefined) this.#checkRefusal(request, answer, run.atMs)
    const leftAtMs = this.#leftAtMs.get(run.serverId)
    const isLate = leftAtMs !== undefined && run.atMs - leftAtMs > this.#bounds.drainMs
    if (isLate && wasInTouch) {
      const lateMs = Math.round(run.atMs - leftAtMs)
      const detail = `${run.requestId} ran at ${run.serverId} ${lateMs} ms after it left`
      this.#break(PromiseKind.Leaving, run.atMs, detail)
    }
  }

  answered(answer: SeenAnswer): void {
    const request = this.#requests.get(answer.requestId)
    if (request === undefined) return
    request.answer = answer
    const isSuccess = answer.status >= 200 && answer.status < 300
    if (isSuccess && !answer.isOwn) {
      this.#break(
        PromiseKind.OwnAnswer,
        answer.atMs,
        `${answer.requestId} got the answer to another request`,
      )
    }
    if (isSuccess && request.runs.length === 0) {
      this.#break(PromiseKind.OwnAnswer, answer.atMs, `${answer.requestId} succeeded but never ran`)
    }
    this.#checkRefusal(request, answer, answer.atMs)
  }

  /**
   * Records that a connection ended without an answer.
   * @param isGraceful whether a graceful shutdown of the instance was the only disturbance
   */
  cut(requestId: string, isGraceful: boolean, atMs: number): void {
    const runs = this.#requests.get(requestId)?.runs.length ?? 0
    if (!isGraceful || runs === 0) return
    this.#break(PromiseKind.GracefulEnd, atMs, `${requestId} was cut off while it ran`)
  }

  /** Records that the store accepted a configuration version. */
  acknowledged(version: number, atMs: number): void {
    this.#acknowledged.push({ version, atMs })
  }

  /**
   * Records the answer to a request on the probe route of a configuration version.
   * @param start identifier of the process
   * @param isKnown whether the instance has the route
   */
  probed(
    start: string,
    version: number,
    isKnown: boolean,
    sentAtMs: number,
    answeredAtMs: number,
    wasInTouch: boolean,
  ): void {
    const seen = this.#seenVersions.get(start)
    if (isKnown) {
      if (seen === undefined || seen.version < version) {
        this.#seenVersions.set(start, { version, atMs: answeredAtMs })
      }
      return
    }
    if (
      seen !== undefined &&
      seen.version >= version &&
      sentAtMs > seen.atMs + this.#bounds.rollbackMs
    ) {
      const detail = `${start} had version ${seen.version} but lacks version ${version}`
      this.#break(PromiseKind.NoRegression, answeredAtMs, detail)
    }
    const acknowledged = this.#acknowledged.find((entry) => entry.version === version)
    const isDue = acknowledged !== undefined && sentAtMs > acknowledged.atMs + this.#bounds.applyMs
    if (isDue && wasInTouch) {
      const lateMs = Math.round(sentAtMs - acknowledged.atMs)
      const detail = `${start} lacks version ${version} after ${lateMs} ms`
      this.#break(PromiseKind.InForce, answeredAtMs, detail)
    }
  }

  /**
   * Checks the invariants that need all observations.
   * @param lastFaultAtMs end of the last fault plus the time to recover
   */
  finish(lastFaultAtMs: number): void {
    this.#checkBudgets()
    this.#checkRecovery(lastFaultAtMs)
  }

  #checkRefusal(request: Request, answer: SeenAnswer, atMs: number): void {
    if (request.isIdempotent || !NOT_RUN_STATUSES.has(answer.status)) return
    if (request.runs.length === 0) return
    const detail = `${request.requestId} got status ${answer.status} but ran`
    this.#break(PromiseKind.TrueRefusal, atMs, detail)
  }

  #checkBudgets(): void {
    const services = new Set([...this.#requests.values()].map(({ service }) => service))
    for (const service of services) {
      const requests = [...this.#requests.values()].filter((each) => each.service === service)
      const repeats = requests.flatMap(({ runs }) => runs.slice(1).map(({ atMs }) => atMs))
      const { budgetWindowMs, retryRatio, retrySlack } = this.#bounds
      for (const startMs of repeats) {
        const isIn = (atMs: number): boolean => atMs >= startMs && atMs < startMs + budgetWindowMs
        const count = repeats.filter(isIn).length
        const base = requests.filter(({ sentAtMs }) => isIn(sentAtMs)).length
        if (count <= base * retryRatio + retrySlack) continue
        const detail = `${service}: ${count} resends for ${base} requests`
        this.#break(PromiseKind.RetryBudget, startMs, detail)
        break
      }
    }
  }

  #checkRecovery(lastFaultAtMs: number): void {
    const after = [...this.#requests.values()].filter(({ sentAtMs }) => sentAtMs > lastFaultAtMs)
    if (after.length === 0) return
    const served = after.filter(({ answer }) => answer?.status === 200).length
    if (served >= after.length * RECOVERED_SHARE) return
    const detail = `${served} of ${after.length} requests served after the last fault`
    this.#break(PromiseKind.Recovery, lastFaultAtMs, detail)
  }

  #break(kind: PromiseKind, atMs: number, detail: string): void {
    this.violations.push({ kind, atMs: Math.round(atMs), detail })
  }
}
