/**
 * Checks the promises to callers and operators from what callers and backend servers saw.
 * Knows nothing of processes or faults but the spans that the caller of a method states.
 */

/** What must hold; the value names it in reports. */
export enum PromiseKind {
  /** A non-idempotent request runs at most once. */
  RunsOnce = 'runsOnce',
  /** What was refused as "not run" did not run and does not run later. */
  TrueRefusal = 'trueRefusal',
  /** A success carries the whole answer to this request. */
  OwnAnswer = 'ownAnswer',
  /** A backend server that is leaving gets nothing after some seconds. */
  Leaving = 'leaving',
  /** A request runs only in its home regions. */
  Home = 'home',
  /** A process never goes back to an older configuration. */
  NoRegression = 'noRegression',
  /** An accepted configuration is in force within seconds. */
  InForce = 'inForce',
  /** A graceful shutdown cuts no request. */
  GracefulEnd = 'gracefulEnd',
  /** Repeated sends stay within the budget of the service. */
  RetryBudget = 'retryBudget',
  /** Service is back soon after the last fault. */
  Recovery = 'recovery',
}

/** One broken promise. */
export interface Violation {
  readonly kind: PromiseKind
  /** Time in milliseconds since the start of the run. */
  readonly atMs: number
  readonly detail: string
}

/** Bounds of the deployment; times in milliseconds. */
export interface PromiseBounds {
  readonly drainMs: number
  readonly applyMs: number
  readonly rollbackMs: number
  readonly retryRatio: number
  readonly retrySlack: number
  readonly budgetWindowMs: number
}

/** A request as its caller knows it. */
export interface SentRequest {
  readonly requestId: string
  readonly service: string
  readonly isIdempotent: boolean
  /** Empty: all. */
  readonly homeRegions: readonly string[]
  /** Name of the entry instance that it was sent to. */
  readonly instance: string
  readonly sentAtMs: number
}

/** A run as the backend server knows it. */
export interface ServerRun {
  readonly requestId: string
  readonly serverId: string
  readonly region: string
  readonly atMs: number
}

/** Answer as the caller got it. */
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

/** Statuses that state that a request did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
/** Part of the requests after the last fault that must be served. */
const RECOVERED_SHARE = 0.25

/** Collects observations and the promises that they break. */
export class PromiseChecker {
  readonly violations: Violation[] = []
  readonly #bounds: PromiseBounds
  readonly #requests = new Map<string, Request>()
  readonly #leftAtMs = new Map<string, number>()
  /** Newest version seen per start of a process, with the time at which that was known. */
  readonly #seenVersions = new Map<string, { version: number; atMs: number }>()
  readonly #acknowledged: { readonly version: number; readonly atMs: number }[] = []

  constructor(bounds: PromiseBounds) {
    this.#bounds = bounds
  }

  /** Requests seen, for reports. */
  get requests(): number {
    return this.#requests.size
  }

  /** Instance that a request was sent to; empty: the request is not known. */
  instanceOf(requestId: string): string {
    return this.#requests.get(requestId)?.instance ?? ''
  }

  sent(request: SentRequest): void {
    this.#requests.set(request.requestId, { ...request, runs: [] })
  }

  /** The store accepted that a backend server is leaving. */
  serverLeft(serverId: string, atMs: number): void {
    this.#leftAtMs.set(serverId, atMs)
  }

  /** @param wasInTouch whether the sending instance was undisturbed long enough to be bound by times */
  ran(run: ServerRun, wasInTouch: boolean): void {
    const request = this.#requests.get(run.requestId)
    if (request === undefined) {
      this.#break(PromiseKind.OwnAnswer, run.atMs, `${run.requestId} ran and was never sent`)
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
      this.#break(PromiseKind.OwnAnswer, answer.atMs, `${answer.requestId} got another's answer`)
    }
    if (isSuccess && request.runs.length === 0) {
      this.#break(PromiseKind.OwnAnswer, answer.atMs, `${answer.requestId} succeeded and never ran`)
    }
    this.#checkRefusal(request, answer, answer.atMs)
  }

  /**
   * The connection ended without an answer.
   * @param isGraceful whether the only disturbance was the instance's own signal to end
   */
  cut(requestId: string, isGraceful: boolean, atMs: number): void {
    const runs = this.#requests.get(requestId)?.runs.length ?? 0
    if (!isGraceful || runs === 0) return
    this.#break(PromiseKind.GracefulEnd, atMs, `${requestId} was cut while it ran`)
  }

  /** The store accepted a version. */
  acknowledged(version: number, atMs: number): void {
    this.#acknowledged.push({ version, atMs })
  }

  /**
   * A request on a route of one version was answered.
   * @param start one start of a process
   * @param version version whose route was asked for
   * @param isKnown whether the instance knew the route
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
      const detail = `${start} had version ${seen.version} and does not know ${version}`
      this.#break(PromiseKind.NoRegression, answeredAtMs, detail)
    }
    const acknowledged = this.#acknowledged.find((entry) => entry.version === version)
    const isDue = acknowledged !== undefined && sentAtMs > acknowledged.atMs + this.#bounds.applyMs
    if (isDue && wasInTouch) {
      const lateMs = Math.round(sentAtMs - acknowledged.atMs)
      const detail = `${start} does not know version ${version} after ${lateMs} ms`
      this.#break(PromiseKind.InForce, answeredAtMs, detail)
    }
  }

  /** Checks what only the whole run shows. @param lastFaultAtMs end of the last fault, plus the time to recover */
  finish(lastFaultAtMs: number): void {
    this.#checkBudgets()
    this.#checkRecovery(lastFaultAtMs)
  }

  #checkRefusal(request: Request, answer: SeenAnswer, atMs: number): void {
    if (request.isIdempotent || !NOT_RUN_STATUSES.has(answer.status)) return
    if (request.runs.length === 0) return
    const detail = `${request.requestId} got ${answer.status} and ran`
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
        const detail = `${service}: ${count} repeats for ${base} requests`
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
