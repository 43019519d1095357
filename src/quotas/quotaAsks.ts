/** Requests of this instance that wait for the keeper's decision. */
import { MAX_COUNT } from './quotaMessageFormat.js'
import type {
  QuotaAskMessage,
  QuotaDecision,
  QuotaGrantMessage,
  QuotaRefusalDetails,
} from './quotaMessages.js'
import { QuotaMessageKind, QuotaRefusal } from './quotaMessages.js'

/** Time after which an ask goes to the next keeper, in milliseconds. */
const ANSWER_TIMEOUT_MS = 250
/** Time for which a keeper that did not answer is passed over, in milliseconds. */
const SILENT_KEEPER_MS = 1000
/** Longest time for which a refusal holds for further requests, in milliseconds. */
const MAX_HOLD_OFF_MS = 100
/** Longest time that a caller is told to wait, in milliseconds. */
const MAX_RETRY_AFTER_MS = 10_000
/** Time after which a request that was not decided may find a keeper, in milliseconds. */
const UNDECIDED_RETRY_MS = 500
/** Time for which requests wait for a keeper that cannot decide yet, in milliseconds. */
const UNDECIDED_WAIT_MS = 700
/** Most requests of a tenant that wait for it. */
const MAX_UNDECIDED = 200
/** Keepers to which an ask may be sent at once, if links to them turn out to be closed. */
const MAX_SENDS = 2

/** Receives the decision on a request, exactly once unless it is cancelled. */
export interface QuotaListener {
  onAllowed(): void
  onRefused(reason: QuotaRefusal, retryAfterMs: number): void
}

/** Refusal if an answer grants less than was asked for without telling why. */
const UNEXPLAINED: QuotaRefusalDetails = {
  reason: QuotaRefusal.Undecided,
  retryAfterMs: UNDECIDED_RETRY_MS,
  holdOffMs: MAX_HOLD_OFF_MS,
}

export interface QuotaAskDependencies {
  readonly selfName: string
  /** Keeper of this instance's region; another than `excluded` if there is one. */
  readonly keeper: (nowMs: number, excluded?: string) => string | undefined
  readonly send: (peer: string, message: QuotaAskMessage) => boolean
  /** Decides as keeper. */
  readonly decide: (tenant: string, count: number, refused: number, nowMs: number) => QuotaDecision
  /** Gives tokens back that a keeper granted and no request waits for. */
  readonly giveBack: (keeper: string, tenant: string, count: number, nowMs: number) => void
}

interface WaitingRequest {
  readonly listener: QuotaListener
  readonly askedAtMs: number
  /** Whether it was already sent to a keeper that did not answer. */
  isMoved: boolean
  /** Set when it is decided or cancelled. */
  isDone: boolean
}

interface PendingAsk {
  readonly askId: number
  readonly keeper: string
  readonly requests: readonly WaitingRequest[]
  readonly sentAtMs: number
}

interface TenantAsks {
  readonly tenant: string
  /** Requests that came since the pending ask was sent. */
  waiting: WaitingRequest[]
  pending: PendingAsk | undefined
  /** Until then, requests are refused without a message. */
  refusedUntilMs: number
  reason: QuotaRefusal
  retryAtMs: number
  /** Time of the next ask, if the keeper could not decide the last one. */
  askAgainAtMs: number | undefined
  /** Requests refused without a message since the last ask. */
  refused: number
}

/** Counts of decisions since the start. */
export interface QuotaCounts {
  readonly allowed: number
  readonly refused: Readonly<Record<QuotaRefusal, number>>
}

/**
 * Has one ask a tenant on its way; what comes meanwhile goes into the next one, so that the messages
 * of a tenant are bounded by the round trips to the keeper.
 */
export class QuotaAsks {
  readonly #dependencies: QuotaAskDependencies
  readonly #tenants = new Map<string, TenantAsks>()
  readonly #pending = new Set<TenantAsks>()
  /** Tenants with requests that the keeper could not decide. */
  readonly #postponed = new Set<TenantAsks>()
  readonly #refused = { [QuotaRefusal.OverLimit]: 0, [QuotaRefusal.Undecided]: 0 }
  #allowed = 0
  #lastId = 0
  #silentKeeper: string | undefined
  #silentUntilMs = Number.NEGATIVE_INFINITY

  constructor(dependencies: QuotaAskDependencies) {
    this.#dependencies = dependencies
  }

  get counts(): QuotaCounts {
    return { allowed: this.#allowed, refused: { ...this.#refused } }
  }

  /** Number of tenants whose requests wait for a decision. */
  get pendingCount(): number {
    return this.#pending.size + this.#postponed.size
  }

  /** Requests a token; the returned function cancels the request. */
  request(tenant: string, listener: QuotaListener, nowMs: number): () => void {
    const asks = this.#asksOf(tenant)
    const request: WaitingRequest = {
      listener,
      askedAtMs: nowMs,
      isMoved: false,
      isDone: false,
    }
    if (nowMs < asks.refusedUntilMs) {
      this.#refuseLocally(asks, request, nowMs)
      return () => undefined
    }
    asks.waiting.push(request)
    if (asks.askAgainAtMs !== undefined && asks.waiting.length > MAX_UNDECIDED) {
      asks.waiting.pop()
      this.#refuse(request, QuotaRefusal.Undecided, UNDECIDED_RETRY_MS)
    } else if (asks.pending === undefined && asks.askAgainAtMs === undefined) {
      this.#sendAsk(asks, nowMs)
    }
    return () => {
      request.isDone = true
    }
  }

  /** Keeper to use at present, which is not one that left an ask without answer of late. */
  keeper(nowMs: number): string | undefined {
    const first = this.#dependencies.keeper(nowMs)
    if (first !== this.#silentKeeper || nowMs >= this.#silentUntilMs) return first
    return this.#dependencies.keeper(nowMs, first)
  }

  /** A keeper that sends anything is used again. */
  recordMessage(peer: string): void {
    if (peer === this.#silentKeeper) this.#silentKeeper = undefined
  }

  handleGrant(peer: string, message: QuotaGrantMessage, nowMs: number): void {
    const { tenant, askId, granted } = message
    const asks = this.#tenants.get(tenant)
    const pending = asks?.pending
    if (asks === undefined || pending?.askId !== askId || pending.keeper !== peer) {
      // The ask went to another keeper meanwhile.
      if (granted > 0) this.#dependencies.giveBack(peer, tenant, granted, nowMs)
      return
    }
    this.#clearPending(asks)
    this.#settle(asks, pending, message, nowMs)
  }

  /** Sends asks that are not answered in time to the next keeper, and those not decided again. */
  tick(nowMs: number): void {
    for (const asks of [...this.#postponed]) {
      if (nowMs < (asks.askAgainAtMs ?? nowMs) || asks.pending !== undefined) continue
      this.#sendAsk(asks, nowMs)
    }
    for (const asks of [...this.#pending]) {
      const { pending } = asks
      if (pending === undefined || nowMs - pending.sentAtMs < ANSWER_TIMEOUT_MS) continue
      this.#silentKeeper = pending.keeper
      this.#silentUntilMs = nowMs + SILENT_KEEPER_MS
      this.#move(asks, pending, nowMs)
    }
  }

  handlePeerLoss(peer: string, nowMs: number): void {
    for (const asks of [...this.#pending]) {
      if (asks.pending?.keeper === peer) this.#move(asks, asks.pending, nowMs)
    }
  }

  /** After a pause, a grant that is on its way may be too old to count for the present window. */
  renewPending(nowMs: number): void {
    for (const asks of [...this.#pending]) {
      if (asks.pending !== undefined) this.#move(asks, asks.pending, nowMs)
    }
  }

  /** Removes the state of tenants without requests. */
  removeIdle(nowMs: number): void {
    for (const [tenant, { pending, waiting, refusedUntilMs }] of this.#tenants) {
      const isIdle = pending === undefined && waiting.length === 0
      if (isIdle && nowMs - refusedUntilMs > MAX_RETRY_AFTER_MS) this.#tenants.delete(tenant)
    }
  }

  #asksOf(tenant: string): TenantAsks {
    const existing = this.#tenants.get(tenant)
    if (existing !== undefined) return existing
    const created: TenantAsks = {
      tenant,
      waiting: [],
      pending: undefined,
      refusedUntilMs: Number.NEGATIVE_INFINITY,
      reason: QuotaRefusal.OverLimit,
      retryAtMs: 0,
      askAgainAtMs: undefined,
      refused: 0,
    }
    this.#tenants.set(tenant, created)
    return created
  }

  #sendAsk(asks: TenantAsks, nowMs: number): void {
    const { selfName, decide, send } = this.#dependencies
    asks.askAgainAtMs = undefined
    this.#postponed.delete(asks)
    const undecided = asks.waiting.filter(({ isDone }) => !isDone)
    const requests = undecided.slice(0, MAX_COUNT)
    asks.waiting = undecided.slice(MAX_COUNT)
    if (requests.length === 0) return
    const count = requests.length
    const refused = Math.min(asks.refused, MAX_COUNT)
    asks.refused = 0
    this.#lastId += 1
    const askId = this.#lastId
    let keeper = this.keeper(nowMs)
    for (let sends = 0; sends < MAX_SENDS && keeper !== undefined; sends += 1) {
      const pending: PendingAsk = { askId, keeper, requests, sentAtMs: nowMs }
      if (keeper === selfName) {
        this.#settle(asks, pending, decide(asks.tenant, count, refused, nowMs), nowMs)
        return
      }
      const { tenant } = asks
      if (send(keeper, { kind: QuotaMessageKind.Ask, askId, tenant, count, refused })) {
        asks.pending = pending
        this.#pending.add(asks)
        return
      }
      this.#silentKeeper = keeper
      this.#silentUntilMs = nowMs + SILENT_KEEPER_MS
      keeper = this.keeper(nowMs)
    }
    for (const request of requests) {
      this.#refuse(request, QuotaRefusal.Undecided, UNDECIDED_RETRY_MS)
    }
  }

  #clearPending(asks: TenantAsks): void {
    asks.pending = undefined
    this.#pending.delete(asks)
  }

  /** Sends the requests of an ask to the next keeper, once; others are refused. */
  #move(asks: TenantAsks, pending: PendingAsk, nowMs: number): void {
    this.#clearPending(asks)
    const again: WaitingRequest[] = []
    for (const request of pending.requests) {
      if (request.isDone) continue
      if (request.isMoved) this.#refuse(request, QuotaRefusal.Undecided, UNDECIDED_RETRY_MS)
      else again.push(request)
      request.isMoved = true
    }
    asks.waiting = [...again, ...asks.waiting]
    // A listener that was called may have sent the next ask.
    if (asks.pending === undefined && asks.askAgainAtMs === undefined) this.#sendAsk(asks, nowMs)
  }

  #settle(asks: TenantAsks, pending: PendingAsk, decision: QuotaDecision, nowMs: number): void {
    const { requests, keeper } = pending
    let left = Math.min(decision.granted, requests.length)
    const { reason, retryAfterMs: statedMs, holdOffMs } = decision.refusal ?? UNEXPLAINED
    const retryAfterMs = Math.min(statedMs, MAX_RETRY_AFTER_MS)
    const isUndecided = reason === QuotaRefusal.Undecided
    if (left < requests.length && !isUndecided) {
      asks.refusedUntilMs = nowMs + Math.min(holdOffMs, MAX_HOLD_OFF_MS)
      asks.reason = reason
      asks.retryAtMs = nowMs + retryAfterMs
    }
    const again: WaitingRequest[] = []
    for (const request of requests) {
      if (request.isDone) continue
      if (left > 0) {
        left -= 1
        request.isDone = true
        this.#allowed += 1
        request.listener.onAllowed()
      } else if (isUndecided && nowMs - request.askedAtMs < UNDECIDED_WAIT_MS) {
        again.push(request)
      } else this.#refuse(request, reason, retryAfterMs)
    }
    if (again.length > 0) {
      asks.waiting = [...again, ...asks.waiting]
      asks.askAgainAtMs = nowMs + Math.min(holdOffMs, MAX_HOLD_OFF_MS)
      this.#postponed.add(asks)
    }
    if (left > 0) this.#dependencies.giveBack(keeper, asks.tenant, left, nowMs)
    if (asks.pending !== undefined || asks.askAgainAtMs !== undefined) return
    if (nowMs >= asks.refusedUntilMs) {
      this.#sendAsk(asks, nowMs)
      return
    }
    const { waiting } = asks
    asks.waiting = []
    for (const request of waiting) {
      if (!request.isDone) this.#refuseLocally(asks, request, nowMs)
    }
  }

  #refuseLocally(asks: TenantAsks, request: WaitingRequest, nowMs: number): void {
    asks.refused += 1
    this.#refuse(request, asks.reason, Math.max(1, Math.ceil(asks.retryAtMs - nowMs)))
  }

  #refuse(request: WaitingRequest, reason: QuotaRefusal, retryAfterMs: number): void {
    request.isDone = true
    this.#refused[reason] += 1
    request.listener.onRefused(reason, retryAfterMs)
  }
}
