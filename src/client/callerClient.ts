/**
 * The caller's side of the contract: looks up entry instances, numbers operations
 * and retries so that no operation runs twice.
 *
 * An operation is numbered under the prefix of the entry instance that it is sent
 * to first. While no connection was established it may be numbered anew for the
 * next instance; after that it repeats its identifier, whichever instance it asks.
 * "Not run" is final for an identifier, so that a further try takes a new one.
 */
import type { Clock } from '../common/clock.js'
import { sleep } from '../common/clock.js'
import type { ExchangeResult, HeaderPair, HttpAnswer } from '../common/exchange.js'
import { ExchangeKind, headerOf } from '../common/exchange.js'
import {
  OPERATION_HEADER,
  Outcome,
  OUTCOME_HEADER,
  SERVICE_HEADER,
  TIMEOUT_HEADER,
} from '../common/headers.js'
import type { HttpExchangeClient } from '../common/httpExchange.js'
import type { LookupAnswer, LookupEntry, LookupSource } from './lookupSource.js'

/** A call to a service. */
export interface ServiceCall {
  readonly service: string
  readonly method: string
  readonly target: string
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  readonly timeoutMs: number
  /** True if running it more than once is harmless. */
  readonly idempotent: boolean
}

/** One try, for reports and histories. */
export interface CallTry {
  readonly address: string
  readonly identifier: string
  /** Outcome that the gateway reported, or what follows from the connection. */
  readonly outcome: Outcome
  /** False if no connection was established. */
  readonly sent: boolean
  readonly status: number | undefined
  readonly reason: string
  readonly startMs: number
  readonly endMs: number
}

/** The final outcome of a call. */
export interface CallReport {
  readonly outcome: Outcome
  /** The answer, if there is one. */
  readonly answer: HttpAnswer | undefined
  readonly tries: readonly CallTry[]
}

/** Settings of a caller. */
export interface CallerClientOptions {
  /** Own address for the look-up. */
  readonly clientAddress: string
  readonly maxTries: number
  /** Pause before a further try unless the gateway names a longer one, in ms. */
  readonly retryPauseMs: number
  /** Longest pause that is waited because of `Retry-After`, in ms. */
  readonly maxPauseMs: number
  /** Whether a call that was refused as not run is tried again under a new identifier. */
  readonly retryNotRun: boolean
  readonly maxAnswerBytes: number
}

/** Settings that are used unless others are given. */
export const CALLER_DEFAULTS: CallerClientOptions = {
  clientAddress: '127.0.0.1',
  maxTries: 4,
  retryPauseMs: 20,
  maxPauseMs: 1000,
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
  readonly tries: CallTry[]
  /** Identifier that has to be repeated, once a connection was established. */
  identifier: string | undefined
  answer: HttpAnswer | undefined
  /** Position in the list of entries; moves on after each failed try. */
  position: number
}

/** Time that the answer has after the gateway's own deadline, in milliseconds. */
const ANSWER_GRACE_MS = 250

/** Makes calls for one client. */
export class CallerClient {
  readonly #lookups: LookupSource
  readonly #http: HttpExchangeClient
  readonly #clock: Clock
  readonly #options: CallerClientOptions
  readonly #cache = new Map<string, CachedAnswer>()
  readonly #numbers = new Map<string, number>()

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

  /** Makes a call and follows it to its final outcome. Never rejects. */
  async call(call: ServiceCall): Promise<CallReport> {
    const state: CallState = {
      call,
      deadlineMs: this.#clock() + call.timeoutMs,
      tries: [],
      identifier: undefined,
      answer: undefined,
      position: 0,
    }
    for (;;) {
      const entries = await this.#entries(call.service, state.deadlineMs)
      const entry = entries[state.position % Math.max(1, entries.length)]
      if (entry !== undefined) {
        const done = await this.#try(state, entry)
        if (done) break
      }
      if (entry === undefined && !(await this.#pause(state, this.#options.retryPauseMs))) break
    }
    return { outcome: finalOutcome(state), answer: state.answer, tries: state.tries }
  }

  /** Returns true if the call is settled or may not be tried again. */
  async #try(state: CallState, entry: LookupEntry): Promise<boolean> {
    const identifier = state.identifier ?? this.#nextIdentifier(entry.operationPrefix)
    const startMs = this.#clock()
    const result = await this.#send(state, entry, identifier)
    const outcome = outcomeOf(result)
    const sent = result.kind !== ExchangeKind.NotConnected
    const answered = result.kind === ExchangeKind.Answered ? result : undefined
    state.tries.push({
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
    this.#learn(state, identifier, outcome, sent)
    // The prefix has expired, or the instance is gone: look up again.
    if (!sent || answered?.status === 410) this.#cache.delete(state.call.service)
    if (outcome === Outcome.Ran || isFinal(answered, this.#options, outcome)) return true
    return !(await this.#pause(state, this.#pauseMs(answered)))
  }

  /** Decides about the identifier and the instance of the next try. */
  #learn(state: CallState, identifier: string, outcome: Outcome, sent: boolean): void {
    if (outcome === Outcome.Ran) return
    state.position += 1
    // Reads are numbered anew for each try: another instance can then serve them by itself.
    const settled = outcome === Outcome.NotRun && sent
    if (state.call.idempotent || settled) state.identifier = undefined
    else if (sent) state.identifier = identifier
  }

  async #pause(state: CallState, pauseMs: number): Promise<boolean> {
    const restMs = state.deadlineMs - this.#clock()
    if (state.tries.length >= this.#options.maxTries || restMs <= pauseMs) return false
    await sleep(pauseMs)
    return true
  }

  #pauseMs(answered: HttpAnswer | undefined): number {
    const seconds = Number(headerOf(answered?.headers ?? [], 'retry-after') ?? '0')
    const named = Number.isFinite(seconds) ? seconds * 1000 : 0
    // Another instance is asked next, so that a named time only raises the pause up to a bound.
    return Math.min(this.#options.maxPauseMs, Math.max(this.#options.retryPauseMs, named))
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
    // Entries that have expired still name processes, but their prefixes may not be accepted.
    if (answered.err) return []
    this.#cache.set(service, { answer: answered.val, untilMs: nowMs + answered.val.cacheMs })
    return answered.val.entries
  }

  #nextIdentifier(prefix: string): string {
    const number = (this.#numbers.get(prefix) ?? 0) + 1
    this.#numbers.set(prefix, number)
    return `${prefix}.${String(number)}`
  }
}

function outcomeOf(result: ExchangeResult): Outcome {
  if (result.kind === ExchangeKind.NotConnected) return Outcome.NotRun
  if (result.kind === ExchangeKind.Broken) return Outcome.Unknown
  const given = headerOf(result.headers, OUTCOME_HEADER)
  const known = Object.values(Outcome).find((outcome) => outcome === given)
  // Without the header it is not an answer under the contract.
  return known ?? Outcome.Unknown
}

/** Refusals other than "try again later" would be given again. */
function isFinal(
  answered: HttpAnswer | undefined,
  options: CallerClientOptions,
  outcome: Outcome,
): boolean {
  if (answered === undefined || outcome !== Outcome.NotRun) return false
  const later = answered.status === 503 || answered.status === 429 || answered.status === 410
  return !later || !options.retryNotRun
}

/**
 * Outcome of the whole call: what the last identifier that may have run came to.
 * A later identifier was only used after the earlier one certainly had not run,
 * or because the call may be repeated.
 */
function finalOutcome(state: CallState): Outcome {
  const outcomes = state.tries.map((tried) => tried.outcome)
  if (outcomes.includes(Outcome.Ran)) return Outcome.Ran
  if (state.call.idempotent) {
    return outcomes.includes(Outcome.Unknown) ? Outcome.Unknown : Outcome.NotRun
  }
  return state.identifier === undefined ? Outcome.NotRun : Outcome.Unknown
}
