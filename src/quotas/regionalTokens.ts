/** Tokens that the keeper of a region holds for tenants with a quota. */
import type { TenantQuota } from '../tenants/tenant.js'
import type { PartSample } from './partClock.js'
import { PartClock, SAMPLE_RETENTION_MS } from './partClock.js'

/**
 * Part of the operators' slack that is held in addition to the burst, over all regions. With the burst
 * of a small tenant divided over regions, none of them would hold a whole token for most of the time.
 * The rest covers views of the number of instances that differ.
 */
const HELD_SLACK_FRACTION = 0.5
/** Share of time from which a keeper may always hold one whole token. */
const WHOLE_TOKEN_SHARE = 1 / 15
/** Time of accrual that is held if the burst is smaller, so that tokens can be moved, in seconds. */
const MIN_STOCK_S = 0.1
/** Most time of accrual that is held; samples for more are not kept. */
const MAX_STOCK_S = SAMPLE_RETENTION_MS / 1000
/** Time of accrual up to which tokens of other keepers are accepted beyond the limit, in seconds. */
const RECEIVED_STOCK_S = 0.3
/** Time after which received tokens beyond the limit are dropped, in milliseconds. */
const RECEIVED_RETENTION_MS = 250
/** Time constant of the rates of requests, in milliseconds. */
const RATE_TIME_CONSTANT_MS = 1000
/** Longest time that a caller is told to wait, in milliseconds. */
const MAX_RETRY_AFTER_MS = 10_000
/** Time after which a new keeper can tell whether a limit is reached, in milliseconds. */
const CERTAIN_AFTER_MS = 2000
/** Time without requests after which a tenant's state may be removed, in milliseconds. */
const IDLE_MS = 2000

/** State of one tenant at this keeper. */
export interface TenantTokenState {
  readonly tenant: string
  readonly tokens: number
  /** Most tokens that are held. */
  readonly limit: number
  /** Requests per second, with those that were refused. */
  readonly demand: number
  /** Requests per second for which tokens were granted. */
  readonly granted: number
  readonly askedAtMs: number
  readonly refusedAtMs: number
}

interface TokenState {
  quota: TenantQuota
  tokens: number
  /** Sum of parts up to which `tokens` is accrued, and first sample that is not applied. */
  totalMs: number
  sample: number
  receivedUntilMs: number
  demand: number
  granted: number
  ratesAtMs: number
  /** Refused requests that were told to come back and have not found room yet. */
  backlog: number
  askedAtMs: number
  refusedAtMs: number
}

/** What an ask results in. */
export interface TokenDecision {
  readonly granted: number
  /** For the requests that got no token. */
  readonly retryAfterMs: number
  /** Whether the limit is reached, as far as is known; a new keeper does not know. */
  readonly isCertain: boolean
}

/** Turns parts of time into tokens, each tenant's when it is next asked for. */
export class RegionalTokens {
  readonly #clock: PartClock
  readonly #additionalTokens: number
  readonly #states = new Map<string, TokenState>()

  /** @param slack requests beyond a limit that operators accept in a window, over all instances */
  constructor(slack: number, nowMs: number) {
    this.#additionalTokens = slack * HELD_SLACK_FRACTION
    this.#clock = new PartClock(nowMs)
  }

  addPart(partMs: number, nowMs: number): void {
    this.#clock.add(partMs, nowMs)
  }

  /** Called at least every 250 ms, so that a share that falls lowers what is held. */
  advance(nowMs: number): void {
    this.#clock.advance(nowMs)
  }

  /** Drops all tokens. */
  clear(nowMs: number): void {
    this.#clock.restart(nowMs)
    this.#states.clear()
  }

  /** Fraction of the elapsed time whose parts were received lately. */
  share(nowMs: number): number {
    return this.#clock.current(nowMs).share
  }

  get tenantCount(): number {
    return this.#states.size
  }

  /**
   * Takes tokens for requests.
   * @param refusedBefore requests that were refused without being asked for; they count as demand
   */
  take(
    tenant: string,
    quota: TenantQuota,
    count: number,
    refusedBefore: number,
    nowMs: number,
  ): TokenDecision {
    const state = this.#refreshed(tenant, quota, nowMs)
    const granted = Math.min(count, Math.floor(state.tokens))
    state.tokens -= granted
    state.askedAtMs = nowMs
    this.#updateRates(state, nowMs)
    const perSecond = 1000 / RATE_TIME_CONSTANT_MS
    state.demand += (count + refusedBefore) * perSecond
    state.granted += granted * perSecond
    const rate = this.#expectedRate(state, nowMs)
    const isCertain = this.#clock.ageMs(nowMs) >= CERTAIN_AFTER_MS && this.share(nowMs) > 0
    // Requests that are not decided are asked for again.
    const refused = refusedBefore + (isCertain ? count - granted : 0)
    state.backlog = Math.min(state.backlog + refused, (rate * MAX_RETRY_AFTER_MS) / 1000)
    if (granted === count) return { granted, retryAfterMs: 0, isCertain }
    state.refusedAtMs = nowMs
    const missing = Math.max(1, state.backlog) - (state.tokens % 1)
    const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, (missing * 1000) / rate)
    return { granted, retryAfterMs: Math.ceil(retryAfterMs), isCertain }
  }

  /** Adds tokens that were granted here or by another keeper of the region and not used. */
  giveBack(tenant: string, quota: TenantQuota, count: number, nowMs: number): void {
    const state = this.#refreshed(tenant, quota, nowMs)
    const limit = Math.max(state.tokens, this.#stockLimit(quota, this.share(nowMs)))
    state.tokens = Math.min(limit, state.tokens + count)
  }

  /** Adds tokens of another keeper. */
  receive(tenant: string, quota: TenantQuota, tokens: number, nowMs: number): void {
    const state = this.#refreshed(tenant, quota, nowMs)
    const limit = Math.max(
      state.tokens,
      this.#stockLimit(quota, this.share(nowMs)),
      quota.requestsPerSecond * RECEIVED_STOCK_S,
    )
    state.tokens = Math.min(limit, state.tokens + tokens)
    state.receivedUntilMs = nowMs + RECEIVED_RETENTION_MS
  }

  /** Takes tokens to move them to another keeper. */
  withdraw(tenant: string, quota: TenantQuota, tokens: number, nowMs: number): number {
    const state = this.#refreshed(tenant, quota, nowMs)
    const withdrawn = Math.max(0, Math.min(tokens, state.tokens))
    state.tokens -= withdrawn
    return withdrawn
  }

  /** State of a tenant at present. */
  read(tenant: string, quota: TenantQuota, nowMs: number): TenantTokenState {
    const state = this.#refreshed(tenant, quota, nowMs)
    this.#updateRates(state, nowMs)
    const { tokens, demand, granted, askedAtMs, refusedAtMs } = state
    const limit = this.#stockLimit(quota, this.share(nowMs))
    return { tenant, tokens, limit, demand, granted, askedAtMs, refusedAtMs }
  }

  /** Names of the tenants that were asked for lately or do not hold all that they may. */
  get tenants(): Iterable<string> {
    return this.#states.keys()
  }

  /**
   * Removes the state of tenants that are not asked for and hold all that they may; a new state holds
   * the same. That of a tenant without a quota stays as long, so that one that is removed and comes
   * back doesn't begin with a full burst.
   */
  removeIdle(nowMs: number): void {
    for (const [tenant, state] of this.#states) {
      if (nowMs - state.askedAtMs < IDLE_MS) continue
      const limit = this.#stockLimit(state.quota, this.share(nowMs))
      this.#refresh(state, state.quota, nowMs)
      if (state.tokens >= limit) this.#states.delete(tenant)
    }
  }

  /** Rate at which tokens are expected here, per second. */
  #expectedRate(state: TokenState, nowMs: number): number {
    const { requestsPerSecond } = state.quota
    const accrued = requestsPerSecond * Math.max(this.share(nowMs), WHOLE_TOKEN_SHARE)
    return Math.min(requestsPerSecond, Math.max(accrued, state.granted))
  }

  /** Most tokens that a keeper with a share of the time holds; over all keepers about the burst. */
  #stockLimit({ requestsPerSecond, burst }: TenantQuota, share: number): number {
    const stock = Math.min(
      Math.max(burst, requestsPerSecond * MIN_STOCK_S),
      requestsPerSecond * MAX_STOCK_S,
    )
    const wholeToken = share >= WHOLE_TOKEN_SHARE ? 1 : 0
    return Math.max((stock + this.#additionalTokens) * share, wholeToken)
  }

  #updateRates(state: TokenState, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - state.ratesAtMs)
    state.ratesAtMs = nowMs
    state.backlog = Math.max(
      0,
      state.backlog - (elapsedMs / 1000) * this.#expectedRate(state, nowMs),
    )
    const factor = Math.exp(-elapsedMs / RATE_TIME_CONSTANT_MS)
    state.demand *= factor
    state.granted *= factor
  }

  #refreshed(tenant: string, quota: TenantQuota, nowMs: number): TokenState {
    this.#clock.advance(nowMs)
    const state = this.#states.get(tenant) ?? this.#create(tenant, quota, nowMs)
    this.#refresh(state, quota, nowMs)
    return state
  }

  /** A tenant that was not asked for has accrued since the oldest sample. */
  #create(tenant: string, quota: TenantQuota, nowMs: number): TokenState {
    const first = this.#clock.nextSample - this.#clock.samplesFrom(0).length
    const [oldest] = this.#clock.samplesFrom(first)
    const state: TokenState = {
      quota,
      // The share of the first sample of all is 0.
      tokens: oldest === undefined ? 0 : this.#stockLimit(quota, oldest.share),
      totalMs: oldest?.totalMs ?? 0,
      sample: first + 1,
      receivedUntilMs: Number.NEGATIVE_INFINITY,
      demand: 0,
      granted: 0,
      ratesAtMs: nowMs,
      backlog: 0,
      askedAtMs: Number.NEGATIVE_INFINITY,
      refusedAtMs: Number.NEGATIVE_INFINITY,
    }
    this.#states.set(tenant, state)
    return state
  }

  /** Accrues up to the present, never beyond the limit at any sample on the way. */
  #refresh(state: TokenState, quota: TenantQuota, nowMs: number): void {
    state.quota = quota
    if (state.sample < this.#clock.nextSample) {
      for (const sample of this.#clock.samplesFrom(state.sample)) this.#accrue(state, sample)
      state.sample = this.#clock.nextSample
    }
    this.#accrue(state, this.#clock.current(nowMs))
  }

  #accrue(state: TokenState, { totalMs, share, atMs }: PartSample): void {
    const { requestsPerSecond } = state.quota
    const limit = this.#stockLimit(state.quota, share)
    const accrued = (requestsPerSecond * (totalMs - state.totalMs)) / 1000
    state.totalMs = totalMs
    const receivedLimit =
      atMs < state.receivedUntilMs ? Math.max(limit, requestsPerSecond * RECEIVED_STOCK_S) : limit
    state.tokens =
      state.tokens < limit
        ? Math.min(limit, state.tokens + accrued)
        : Math.min(receivedLimit, state.tokens)
  }
}
