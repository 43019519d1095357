/**
 * Limits that backend servers state: the requests per second that a server takes from all instances
 * together. The coordinator that may fill the slots of a server spends its limit alone.
 */
import { TokenBucket } from '../gateway/tokenBucket.js'

/**
 * Time for which a statement is believed without a further answer of the server, in ms; a server
 * with a low limit answers seldom.
 */
const STATEMENT_TTL_MS = 30_000
/** Rate at which a server is asked whatever it stated, in requests per second. */
const PROBE_RATE_PER_SECOND = 0.5
/** Requests that may be sent at once, as seconds of the limit; more than a tick of the queue. */
const BURST_SECONDS = 0.5

/** What is known of the limit of one server; `null`: it stated none. */
export interface LimitStatement {
  readonly serverId: string
  readonly limitPerSecond: number | null
  /** Monotonic time of the answer. */
  readonly statedAtMs: number
}

/** Where a statement was learned. */
export enum LimitSource {
  Answer = 'answer',
  Coordinator = 'coordinator',
}

/** Limit of one server, and what of it is left. */
export class ServerLimit {
  readonly #bucket: TokenBucket
  #requestsPerSecond: number

  constructor(limitPerSecond: number, nowMs: number) {
    this.#bucket = new TokenBucket(0, nowMs)
    this.#requestsPerSecond = Math.max(limitPerSecond, PROBE_RATE_PER_SECOND)
  }

  get requestsPerSecond(): number {
    return this.#requestsPerSecond
  }

  /**
   * Slots that can be in use on average.
   * @param holdTimeMs mean time for which a request holds a slot
   */
  usableSlots(slots: number, holdTimeMs: number): number {
    return Math.min(slots, (this.#requestsPerSecond * holdTimeMs) / 1000)
  }

  change(limitPerSecond: number, nowMs: number): void {
    this.availableRequests(nowMs)
    this.#requestsPerSecond = Math.max(limitPerSecond, PROBE_RATE_PER_SECOND)
  }

  /** Gives up what is left, because another coordinator may have spent it meanwhile. */
  restart(nowMs: number): void {
    this.#bucket.charge(this.availableRequests(nowMs))
  }

  /** Number of requests that may be sent now. */
  availableRequests(nowMs: number): number {
    const capacity = Math.max(1, this.#requestsPerSecond * BURST_SECONDS)
    this.#bucket.refill(this.#requestsPerSecond, capacity, nowMs)
    return Math.max(0, Math.floor(this.#bucket.tokens))
  }

  /** Time until `count` requests may be sent, in milliseconds. */
  waitMs(count: number, nowMs: number): number {
    this.availableRequests(nowMs)
    return Math.max(0, ((count - this.#bucket.tokens) * 1000) / this.#requestsPerSecond)
  }

  recordRequest(): void {
    this.#bucket.charge(1)
  }
}

interface KnownLimit {
  statement: LimitStatement
  limit: ServerLimit | undefined
  source: LimitSource
}

/** Limits of the servers of one service, by the latest statement of each. */
export class ServerLimits {
  readonly #known = new Map<string, KnownLimit>()

  /** Limit of a server; `undefined` if it stated none. */
  find(serverId: string): ServerLimit | undefined {
    return this.#known.get(serverId)?.limit
  }

  /** Records a statement unless a later one is known. @returns whether the limit changed */
  record(statement: LimitStatement, source: LimitSource, nowMs: number): boolean {
    const { serverId, limitPerSecond, statedAtMs } = statement
    const known = this.#known.get(serverId)
    if (known === undefined) {
      if (limitPerSecond === null) return false
      const limit = new ServerLimit(limitPerSecond, nowMs)
      this.#known.set(serverId, { statement, limit, source })
      return true
    }
    const previous = known.statement
    if (statedAtMs <= previous.statedAtMs) return false
    known.statement = statement
    known.source = source
    if (limitPerSecond === previous.limitPerSecond) return false
    if (limitPerSecond === null) known.limit = undefined
    else if (known.limit === undefined) known.limit = new ServerLimit(limitPerSecond, nowMs)
    else known.limit.change(limitPerSecond, nowMs)
    return true
  }

  /**
   * Records an answer that states no limit. The answer to a request that was sent before the
   * latest statement may be older than that.
   * @returns whether the limit changed
   */
  recordAbsence(serverId: string, sentAtMs: number, nowMs: number): boolean {
    const known = this.#known.get(serverId)
    if (known?.limit === undefined || sentAtMs <= known.statement.statedAtMs) return false
    const statement = { serverId, limitPerSecond: null, statedAtMs: nowMs }
    return this.record(statement, LimitSource.Answer, nowMs)
  }

  /** Forgets the statements of a server that has started again. */
  forget(serverId: string): void {
    this.#known.delete(serverId)
  }

  /** Forgets statements that are too old. @returns whether a limit ended */
  expire(nowMs: number): boolean {
    let hasEnded = false
    for (const [serverId, { statement, limit }] of this.#known) {
      if (nowMs - statement.statedAtMs < STATEMENT_TTL_MS) continue
      this.#known.delete(serverId)
      if (limit !== undefined) hasEnded = true
    }
    return hasEnded
  }

  /** All statements. */
  statements(): LimitStatement[] {
    return [...this.#known.values()].map(({ statement }) => statement)
  }

  /** Statements in answers to this region since a point in time. */
  answersSince(sinceMs: number): LimitStatement[] {
    return [...this.#known.values()]
      .filter(({ source, statement }) => {
        return source === LimitSource.Answer && statement.statedAtMs >= sinceMs
      })
      .map(({ statement }) => statement)
  }
}
