/**
 * Reference client for callers: looks up entry instances, assigns operation identifiers
 * and retries without running an operation twice.
 *
 * The identifier of an operation starts with the operation prefix of the first entry
 * instance it is sent to. As long as no connection was established, the client may assign
 * a new identifier for the next instance; after that, retries repeat the identifier at
 * every instance. "Not run" is final for an identifier, so a retry uses a new one.
 */
import type { Clock } from '../common/clock.js'
import { sleep } from '../common/clock.js'
import type { ExchangeResult, HeaderPair, HttpAnswer } from '../common/exchange.js'
import { ExchangeKind, findHeader } from '../common/exchange.js'
import {
  OPERATION_HEADER,
  Outcome,
  OUTCOME_HEADER,
  SERVICE_HEADER,
  TIMEOUT_HEADER,
} from '../common/headers.js'
import type { HttpExchangeClient } from '../common/httpExchange.js'
import type { LookupAnswer, LookupEntry, LookupSource } from './lookupSource.js'

/** A request of a caller to a service. */
export interface ServiceCall {
  readonly service: string
  readonly method: string
  readonly target: string
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  readonly timeoutMs: number
  /** True if the request may run more than once. */
  readonly idempotent: boolean
}

/** Record of one attempt of a call. */
export interface CallAttempt {
  readonly address: string
  readonly identifier: string
  /** Outcome that the gateway reported, or that follows from the state of the connection. */
  readonly outcome: Outcome
  /** False if no connection was established. */
  readonly sent: boolean
  readonly status: number | undefined
  readonly reason: string
  readonly startMs: number
  readonly endMs: number
}

/** The result of a call over all its attempts. */
export interface CallReport {
  readonly outcome: Outcome
  /** The last complete answer, if any. */
  readonly answer: HttpAnswer | undefined
  readonly attempts: readonly CallAttempt[]
}

/** Options of {@link CallerClient}. */
export interface CallerClientOptions {
  /** IP address of this client, sent with look-ups. */
  readonly clientAddress: string
  readonly maxAttempts: number
  /** Minimum delay before a retry, in ms; `Retry-After` may raise it. */
  readonly minRetryDelayMs: number
  /** Maximum delay before a retry, in ms; caps `Retry-After`. */
  readonly maxRetryDelayMs: number
  /** Whether a call that was refused as not run is retried under a new identifier. */
  readonly retryNotRun: boolean
  readonly maxAnswerBytes: number
}

/** Default options. */
export const CALLER_DEFAULTS: CallerClientOptions = {
  clientAddress: '127.0.0.1',
  maxAttempts: 4,
  minRetryDelayMs: 20,
  maxRetryDelayMs: 1000,
  retryNotRun: true,
  maxAnswerBytes: 16 * 1024 * 1024,
}

interface CachedAnswer {
  readonly answer: LookupAnswer
  readonly untilMs: number
}

interface CallState {
  readonly call: ServiceCall
  readonly deadlineMs: number
  readonly attempts: CallAttempt[]
  /** Identifier that retries have to repeat; set once an attempt may have run. */
  identifier: string | undefined
  answer: HttpAnswer | undefined
  /** Number of failed attempts; selects the entry of the next attempt. */
  position: number
}

/** Time after the request's deadline in which the gateway's answer may still arrive. */
const ANSWER_GRACE_MS = 250

/** Makes calls for one client address. Caches look-up answers by service. */
export class CallerClient {
  readonly #lookups: LookupSource
  readonly #http: HttpExchangeClient
  readonly #clock: Clock
  readonly #options: CallerClientOptions
  readonly #cache = new Map<string, CachedAnswer>()
  readonly #lastNumbers = new Map<string, number>()

  constructor(
    lookups: LookupSource,
    http: HttpExchangeClient,
    clock: Clock,
    options: Partial<CallerClientOptions> = {},
  ) {
    this.#lookups = lookups
    this.#http = http
    this.#clock = clock
    this.#options = { ...CALLER_DEFAULTS, ...options }
  }

  /** Makes a call with retries until its outcome is final or its timeout passes. Never rejects. */
  async call(call: ServiceCall): Promise<CallReport> {
    const state: CallState = {
      call,
      deadlineMs: this.#clock() + call.timeoutMs,
      attempts: [],
      identifier: undefined,
      answer: undefined,
      position: 0,
    }
    for (;;) {
      const entries = await this.#entries(call.service, state.deadlineMs)
      const entry = entries[state.position % Math.max(1, entries.length)]
      if (entry !== undefined) {
        const done = await this.#attempt(state, entry)
        if (done) break
      }
      if (entry === undefined && !(await this.#waitForRetry(state, this.#options.minRetryDelayMs)))
        break
    }
    return { outcome: finalOutcome(state), answer: state.answer, attempts: state.attempts }
  }

  /** Makes one attempt. Returns true if its outcome is final or the call may not be retried. */
  async #attempt(state: CallState, entry: LookupEntry): Promise<boolean> {
    const identifier = state.identifier ?? this.#nextIdentifier(entry.operationPrefix)
    const startMs = this.#clock()
    const result = await this.#send(state, entry, identifier)
    const outcome = outcomeOf(result)
    const sent = result.kind !== ExchangeKind.NotConnected
    const answered = result.kind === ExchangeKind.Answered ? result : undefined
    state.attempts.push({
      address: entry.address,
      identifier,
      outcome,
      sent,
      status: answered?.status,
      reason: result.kind === ExchangeKind.Answered ? '' : result.reason,
      startMs,
      endMs: this.#clock(),
    })
    state.answer = answered ?? state.answer
    this.#prepareRetry(state, identifier, outcome, sent)
    // The instance is unreachable, or its prefix has expired: look up again.
    if (!sent || answered?.status === 410) this.#cache.delete(state.call.service)
    if (outcome === Outcome.Ran || isFinal(answered, this.#options, outcome)) return true
    return !(await this.#waitForRetry(state, this.#retryDelayMs(answered)))
  }

  /** Selects the identifier and the instance of the next attempt. */
  #prepareRetry(state: CallState, identifier: string, outcome: Outcome, sent: boolean): void {
    if (outcome === Outcome.Ran) return
    state.position += 1
    // Idempotent calls get a new identifier for each attempt, so that another instance can run
    // them itself.
    const isFinalForIdentifier = outcome === Outcome.NotRun && sent
    if (state.call.idempotent || isFinalForIdentifier) state.identifier = undefined
    else if (sent) state.identifier = identifier
  }

  async #waitForRetry(state: CallState, delayMs: number): Promise<boolean> {
    const remainingMs = state.deadlineMs - this.#clock()
    if (state.attempts.length >= this.#options.maxAttempts || remainingMs <= delayMs) return false
    await sleep(delayMs)
    return true
  }

  #retryDelayMs(answered: HttpAnswer | undefined): number {
    const seconds = Number(findHeader(answered?.headers ?? [], 'retry-after') ?? '0')
    const retryAfterMs = Number.isFinite(seconds) ? seconds * 1000 : 0
    // The retry goes to another instance, so Retry-After raises the delay only up to the maximum.
    return Math.min(
      this.#options.maxRetryDelayMs,
      Math.max(this.#options.minRetryDelayMs, retryAfterMs),
    )
  }

  #send(state: CallState, entry: LookupEntry, identifier: string): Promise<ExchangeResult> {
    const { call, deadlineMs } = state
    const timeoutMs = Math.max(1, Math.floor(deadlineMs - this.#clock()))
    return this.#http.exchange({
      address: entry.address,
      method: call.method,
      target: call.target,
      headers: [
        ...call.headers,
        [SERVICE_HEADER, call.service],
        [OPERATION_HEADER, identifier],
        [TIMEOUT_HEADER, String(timeoutMs)],
      ],
      body: call.body,
      deadlineMs: deadlineMs + ANSWER_GRACE_MS,
      maxAnswerBytes: this.#options.maxAnswerBytes,
      signal: new AbortController().signal,
    })
  }

  async #entries(service: string, deadlineMs: number): Promise<readonly LookupEntry[]> {
    const cached = this.#cache.get(service)
    const nowMs = this.#clock()
    if (cached !== undefined && nowMs < cached.untilMs) return cached.answer.entries
    const answered = await this.#lookups.lookup(service, this.#options.clientAddress, deadlineMs)
    // Expired entries are not used: gateways may not accept their prefixes any more.
    if (answered.err) return []
    this.#cache.set(service, { answer: answered.val, untilMs: nowMs + answered.val.cacheMs })
    return answered.val.entries
  }

  #nextIdentifier(prefix: string): string {
    const number = (this.#lastNumbers.get(prefix) ?? 0) + 1
    this.#lastNumbers.set(prefix, number)
    return `${prefix}.${String(number)}`
  }
}

function outcomeOf(result: ExchangeResult): Outcome {
  if (result.kind === ExchangeKind.NotConnected) return Outcome.NotRun
  if (result.kind === ExchangeKind.Broken) return Outcome.Unknown
  const header = findHeader(result.headers, OUTCOME_HEADER)
  const reported = Object.values(Outcome).find((outcome) => outcome === header)
  // Without the outcome header it is not an answer of a gateway.
  return reported ?? Outcome.Unknown
}

/** Returns whether a refusal is final. Only 503, 429 and 410 can succeed when retried. */
function isFinal(
  answered: HttpAnswer | undefined,
  options: CallerClientOptions,
  outcome: Outcome,
): boolean {
  if (answered === undefined || outcome !== Outcome.NotRun) return false
  const isRetryable = answered.status === 503 || answered.status === 429 || answered.status === 410
  return !isRetryable || !options.retryNotRun
}

/**
 * Returns the outcome of a call over all its attempts. Unless the call is idempotent, a new
 * identifier is used only after the previous one certainly did not run, so the outcome is
 * that of the last identifier.
 */
function finalOutcome(state: CallState): Outcome {
  const outcomes = state.attempts.map((attempt) => attempt.outcome)
  if (outcomes.includes(Outcome.Ran)) return Outcome.Ran
  if (state.call.idempotent) {
    return outcomes.includes(Outcome.Unknown) ? Outcome.Unknown : Outcome.NotRun
  }
  return state.identifier === undefined ? Outcome.NotRun : Outcome.Unknown
}
