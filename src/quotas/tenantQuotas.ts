/** Limits of tenants for the sum of all entry instances. */
import type { TenantQuota } from '../tenants/tenant.js'
import type { QuotaCounts, QuotaListener } from './quotaAsks.js'
import { QuotaAsks } from './quotaAsks.js'
import { tokensToMove } from './quotaDivision.js'
import { MAX_COUNT } from './quotaMessageFormat.js'
import type { QuotaDecision, QuotaMessage, TenantDemand, TenantTokens } from './quotaMessages.js'
import { QuotaMessageKind, QuotaRefusal } from './quotaMessages.js'
import { PAUSE_MS, QuotaPart } from './quotaPart.js'
import type { TenantTokenState } from './regionalTokens.js'
import { RegionalTokens } from './regionalTokens.js'

/** Interval of the parts sent to the keeper, in milliseconds. */
const PART_INTERVAL_MS = 200
/** Interval at which a keeper tells those of other regions which tenants are short, in ms. */
const DEMAND_INTERVAL_MS = 200
/** Time for which the demand that another keeper stated counts, in milliseconds. */
const DEMAND_TTL_MS = 500
/** Time within which requests make a tenant's demand count, in milliseconds. */
const ACTIVE_MS = 1000
/** Time of requests for which a short tenant asks for tokens: interval and delay, in seconds. */
const STOCK_TARGET_S = 0.3
/** Fraction of its limit below which a tenant's stock is filled up from other regions. */
const STOCK_TARGET_SHARE = 0.5
/** Time without a part of others after which a former keeper passes its tokens on, in ms. */
const HANDOVER_AFTER_MS = 500
/** Longest time for which instances refuse further requests of a tenant by themselves, in ms. */
const MAX_HOLD_OFF_MS = 100
const HOUSEKEEPING_INTERVAL_MS = 1000
/** Tenants in one message, which bounds its size to some kilobytes. */
const TENANTS_PER_MESSAGE = 200
/** Tokens are moved in this many parts of one. */
const TOKEN_FRACTIONS = 100
/** Largest part that a peer can have owned since its last message, in milliseconds. */
const MAX_PEER_PART_MS = 500
/** Tenants that statistics name; the others are summed up. */
const LISTED_TENANTS = 10

export interface QuotaDependencies {
  readonly selfName: string
  readonly region: string
  /** Requests beyond a limit that operators accept in a window, over all instances. */
  readonly slack: number
  /** All regions with instances. */
  readonly regions: () => readonly string[]
  /**
   * Name of the keeper of a region: this instance's own if it is that of its region or reaches no
   * other. Another than `excluded`, if there is one.
   */
  readonly keeperOf: (region: string, nowMs: number, excluded?: string) => string | undefined
  /** Instances that may be running, with this one. */
  readonly instanceCount: () => number
  /** Whether any tenant has a quota. Without, no messages are sent. */
  readonly hasQuotas: () => boolean
  readonly quotaOf: (tenant: string) => TenantQuota | undefined
  /** Returns false if the message was not sent. */
  readonly send: (peer: string, message: QuotaMessage) => boolean
}

/** For metrics; the number of tenants listed is bounded. */
export interface QuotaStats extends QuotaCounts {
  /** Fraction of the time whose parts this instance received as keeper. */
  readonly share: number
  /** Tenants that wait for an answer of the keeper. */
  readonly pendingTenants: number
  /** Tenants whose state this instance has as keeper. */
  readonly keptTenants: number
  /** Those with the most requests, at this instance as keeper. */
  readonly largest: readonly TenantTokenState[]
  /** Requests per second of all others. */
  readonly otherDemand: number
  readonly otherGranted: number
}

interface StatedDemand {
  readonly atMs: number
  readonly demandByTenant: ReadonlyMap<string, number>
}

type Handlers = {
  readonly [Kind in QuotaMessageKind]: (
    peer: string,
    message: Extract<QuotaMessage, { kind: Kind }>,
    nowMs: number,
  ) => void
}

/** Decides on requests of tenants with a quota, as client of a keeper and as keeper. */
export class TenantQuotas {
  readonly #dependencies: QuotaDependencies
  readonly #part: QuotaPart
  readonly #tokens: RegionalTokens
  readonly #asks: QuotaAsks
  readonly #stated = new Map<string, StatedDemand>()
  /** Tokens to give back with the next tick. */
  readonly #returned = new Map<string, number>()
  #observedAtMs: number
  #partSentAtMs = Number.NEGATIVE_INFINITY
  #partReceivedAtMs = Number.NEGATIVE_INFINITY
  #demandSentAtMs = Number.NEGATIVE_INFINITY
  #housekeepingAtMs: number

  constructor(dependencies: QuotaDependencies, nowMs: number) {
    this.#dependencies = dependencies
    this.#part = new QuotaPart(nowMs)
    this.#tokens = new RegionalTokens(dependencies.slack, nowMs)
    this.#observedAtMs = nowMs
    this.#housekeepingAtMs = nowMs
    const { selfName, region, keeperOf, send } = dependencies
    this.#asks = new QuotaAsks({
      selfName,
      keeper: (atMs, excluded) => keeperOf(region, atMs, excluded),
      send,
      decide: (tenant, count, refused, atMs) => this.#decide(tenant, count, refused, atMs),
      giveBack: (keeper, tenant, count, atMs) => {
        this.#giveBackTo(keeper, tenant, count, atMs)
      },
    })
  }

  /**
   * Requests a token for a request of a tenant. The listener may be called before this returns. The
   * returned function cancels a request that is not decided; a token that comes later is given back.
   */
  request(tenant: string, listener: QuotaListener, nowMs: number): () => void {
    if (this.#dependencies.quotaOf(tenant) === undefined) {
      listener.onAllowed()
      return () => undefined
    }
    this.#observe(nowMs)
    return this.#asks.request(tenant, listener, nowMs)
  }

  /** Gives the token of an allowed request back that was refused for another reason. */
  giveBack(tenant: string, nowMs: number): void {
    if (this.#dependencies.quotaOf(tenant) === undefined) return
    this.#observe(nowMs)
    this.#returned.set(tenant, (this.#returned.get(tenant) ?? 0) + 1)
  }

  handleMessage(peer: string, message: QuotaMessage, nowMs: number): void {
    this.#observe(nowMs)
    this.#asks.recordMessage(peer)
    const handlers: Readonly<
      Record<string, ((peer: string, message: QuotaMessage, nowMs: number) => void) | undefined>
    > = this.#handlerByKind as never
    handlers[message.kind]?.(peer, message, nowMs)
  }

  /** Sends asks that are pending at a peer without a link to the next keeper. */
  handlePeerLoss(peer: string, nowMs: number): void {
    this.#observe(nowMs)
    this.#stated.delete(peer)
    this.#asks.handlePeerLoss(peer, nowMs)
  }

  /** Called every 25 to 200 ms. */
  tick(nowMs: number): void {
    this.#observe(nowMs)
    this.#asks.tick(nowMs)
    this.#flushReturned(nowMs)
    if (!this.#dependencies.hasQuotas()) return
    const keeper = this.#asks.keeper(nowMs)
    this.#sendPart(keeper, nowMs)
    this.#handOver(keeper, nowMs)
    if (nowMs - this.#demandSentAtMs >= DEMAND_INTERVAL_MS) {
      this.#demandSentAtMs = nowMs
      this.#sendDemand(nowMs)
    }
    if (nowMs - this.#housekeepingAtMs < HOUSEKEEPING_INTERVAL_MS) return
    this.#housekeepingAtMs = nowMs
    this.#asks.removeIdle(nowMs)
    this.#tokens.removeIdle(nowMs)
    for (const [peer, { atMs }] of this.#stated) {
      if (nowMs - atMs > DEMAND_TTL_MS) this.#stated.delete(peer)
    }
  }

  /** Whether requests wait for a decision, so that ticks are due every 25 ms. */
  get hasWaiters(): boolean {
    return this.#asks.pendingCount > 0
  }

  stats(nowMs: number): QuotaStats {
    const states: TenantTokenState[] = []
    for (const tenant of [...this.#tokens.tenants]) {
      const quota = this.#dependencies.quotaOf(tenant)
      if (quota !== undefined) states.push(this.#tokens.read(tenant, quota, nowMs))
    }
    states.sort((left, right) => right.demand - left.demand)
    const others = states.slice(LISTED_TENANTS)
    return {
      ...this.#asks.counts,
      share: this.#tokens.share(nowMs),
      pendingTenants: this.#asks.pendingCount,
      keptTenants: states.length,
      largest: states.slice(0, LISTED_TENANTS),
      otherDemand: others.reduce((sum, { demand }) => sum + demand, 0),
      otherGranted: others.reduce((sum, { granted }) => sum + granted, 0),
    }
  }

  readonly #handlerByKind: Handlers = {
    [QuotaMessageKind.Part]: (_peer, { ownedMs }, nowMs) => {
      this.#partReceivedAtMs = nowMs
      this.#tokens.addPart(Math.min(ownedMs, MAX_PEER_PART_MS), nowMs)
    },
    [QuotaMessageKind.Ask]: (peer, { askId, tenant, count, refused }, nowMs) => {
      const decision = this.#decide(tenant, count, refused, nowMs)
      const kind = QuotaMessageKind.Grant
      const isSent = this.#dependencies.send(peer, { kind, askId, tenant, ...decision })
      if (!isSent && decision.granted > 0) this.#keep(tenant, decision.granted, nowMs)
    },
    [QuotaMessageKind.Grant]: (peer, message, nowMs) => {
      this.#asks.handleGrant(peer, message, nowMs)
    },
    [QuotaMessageKind.Return]: (_peer, { tenant, count }, nowMs) => {
      this.#keep(tenant, count, nowMs)
    },
    [QuotaMessageKind.Demand]: (peer, { tenants }, nowMs) => {
      this.#stated.set(peer, {
        atMs: nowMs,
        demandByTenant: new Map(tenants.map(([tenant, demand]) => [tenant, demand])),
      })
      this.#moveTokens(peer, tenants, nowMs)
    },
    [QuotaMessageKind.Tokens]: (_peer, { tenants }, nowMs) => {
      for (const [tenant, tokens] of tenants) {
        const quota = this.#dependencies.quotaOf(tenant)
        if (quota !== undefined) this.#tokens.receive(tenant, quota, tokens, nowMs)
      }
    },
  }

  /** Accrues, and drops after a pause what may have been replaced by others meanwhile. */
  #observe(nowMs: number): void {
    const isPaused = nowMs - this.#observedAtMs > PAUSE_MS
    this.#observedAtMs = Math.max(nowMs, this.#observedAtMs)
    this.#part.observe(this.#dependencies.instanceCount(), nowMs)
    if (!isPaused) {
      this.#tokens.advance(nowMs)
      return
    }
    this.#tokens.clear(nowMs)
    this.#returned.clear()
    this.#asks.renewPending(nowMs)
  }

  #decide(tenant: string, count: number, refused: number, nowMs: number): QuotaDecision {
    const quota = this.#dependencies.quotaOf(tenant)
    if (quota === undefined) {
      // Another version of the configuration than that of the instance that asks.
      const retryAfterMs = MAX_HOLD_OFF_MS
      const reason = QuotaRefusal.Undecided
      return { granted: 0, refusal: { reason, retryAfterMs, holdOffMs: MAX_HOLD_OFF_MS } }
    }
    const decision = this.#tokens.take(tenant, quota, count, refused, nowMs)
    const { granted, retryAfterMs, isCertain } = decision
    if (granted === count) return { granted }
    const reason = isCertain ? QuotaRefusal.OverLimit : QuotaRefusal.Undecided
    const holdOffMs = Math.min(retryAfterMs, MAX_HOLD_OFF_MS)
    return { granted, refusal: { reason, retryAfterMs, holdOffMs } }
  }

  #keep(tenant: string, tokens: number, nowMs: number): void {
    const quota = this.#dependencies.quotaOf(tenant)
    if (quota !== undefined) this.#tokens.giveBack(tenant, quota, tokens, nowMs)
  }

  #giveBackTo(keeper: string, tenant: string, count: number, nowMs: number): void {
    if (keeper === this.#dependencies.selfName) {
      this.#keep(tenant, count, nowMs)
      return
    }
    const kind = QuotaMessageKind.Return
    this.#dependencies.send(keeper, { kind, tenant, count: Math.min(count, MAX_COUNT) })
  }

  #flushReturned(nowMs: number): void {
    if (this.#returned.size === 0) return
    const keeper = this.#asks.keeper(nowMs)
    if (keeper !== undefined) {
      for (const [tenant, count] of this.#returned) this.#giveBackTo(keeper, tenant, count, nowMs)
    }
    this.#returned.clear()
  }

  #sendPart(keeper: string | undefined, nowMs: number): void {
    const { selfName, send } = this.#dependencies
    if (keeper === selfName) {
      this.#tokens.addPart(this.#part.take(), nowMs)
      return
    }
    if (keeper === undefined || nowMs - this.#partSentAtMs < PART_INTERVAL_MS) return
    const ownedMs = this.#part.take()
    if (ownedMs === 0) return
    this.#partSentAtMs = nowMs
    // A fraction of a microsecond is of no use to the receiver and would make messages longer.
    const rounded = Math.floor(ownedMs * 1000) / 1000
    const isSent = send(keeper, { kind: QuotaMessageKind.Part, ownedMs: rounded })
    if (!isSent) this.#part.putBack(ownedMs)
  }

  /** Passes the tokens of active tenants on when others send their parts to another keeper. */
  #handOver(keeper: string | undefined, nowMs: number): void {
    const { selfName, quotaOf } = this.#dependencies
    if (keeper === selfName || keeper === undefined) return
    const isUsed = nowMs - this.#partReceivedAtMs < HANDOVER_AFTER_MS
    if (isUsed || this.#tokens.share(nowMs) === 0) return
    const tenants: TenantTokens[] = []
    for (const tenant of [...this.#tokens.tenants]) {
      const quota = quotaOf(tenant)
      if (quota === undefined) continue
      const { tokens, askedAtMs } = this.#tokens.read(tenant, quota, nowMs)
      if (nowMs - askedAtMs > ACTIVE_MS) continue
      const moved = Math.floor(tokens * TOKEN_FRACTIONS) / TOKEN_FRACTIONS
      if (moved > 0) tenants.push([tenant, moved])
    }
    this.#tokens.clear(nowMs)
    this.#sendTokens(keeper, tenants)
  }

  #sendDemand(nowMs: number): void {
    const { region, regions, keeperOf, selfName, send, quotaOf } = this.#dependencies
    if (this.#tokens.share(nowMs) === 0) return
    const short: TenantDemand[] = []
    for (const tenant of [...this.#tokens.tenants]) {
      const quota = quotaOf(tenant)
      if (quota === undefined) continue
      const state = this.#tokens.read(tenant, quota, nowMs)
      const room = roomOf(state, quota, nowMs)
      if (room > 0) short.push([tenant, Math.ceil(state.demand), Math.ceil(room)])
    }
    if (short.length === 0) return
    for (const other of regions()) {
      if (other === region) continue
      const keeper = keeperOf(other, nowMs)
      if (keeper === undefined || keeper === selfName) continue
      for (const tenants of inChunks(short)) {
        send(keeper, { kind: QuotaMessageKind.Demand, tenants })
      }
    }
  }

  /** Answers the keeper of a region that is short. */
  #moveTokens(peer: string, tenants: readonly TenantDemand[], nowMs: number): void {
    const { quotaOf, regions } = this.#dependencies
    const givers = regions().length - 1
    const moved: TenantTokens[] = []
    for (const [tenant, demand, room] of tenants) {
      const quota = quotaOf(tenant)
      if (quota === undefined) continue
      const own = this.#tokens.read(tenant, quota, nowMs)
      const amount = tokensToMove({
        requestsPerSecond: quota.requestsPerSecond,
        tokens: own.tokens,
        ownDemand: own.demand,
        demand,
        room,
        otherDemands: this.#otherDemands(peer, tenant, nowMs),
        givers,
      })
      const rounded = Math.floor(amount * TOKEN_FRACTIONS) / TOKEN_FRACTIONS
      if (rounded <= 0) continue
      this.#tokens.withdraw(tenant, quota, rounded, nowMs)
      moved.push([tenant, rounded])
    }
    for (const [tenant, tokens] of this.#sendTokens(peer, moved)) this.#keep(tenant, tokens, nowMs)
  }

  #otherDemands(peer: string, tenant: string, nowMs: number): number[] {
    const demands: number[] = []
    for (const [other, { atMs, demandByTenant }] of this.#stated) {
      if (other === peer || nowMs - atMs > DEMAND_TTL_MS) continue
      const demand = demandByTenant.get(tenant)
      if (demand !== undefined) demands.push(demand)
    }
    return demands
  }

  /** Returns the tokens that were not sent. */
  #sendTokens(peer: string, tokens: readonly TenantTokens[]): readonly TenantTokens[] {
    return inChunks(tokens)
      .filter(
        (tenants) => !this.#dependencies.send(peer, { kind: QuotaMessageKind.Tokens, tenants }),
      )
      .flat()
  }
}

/** Tokens that a tenant is short of; 0 if it has enough until the next message. */
function roomOf(state: TenantTokenState, quota: TenantQuota, nowMs: number): number {
  const { tokens, limit, demand, askedAtMs, refusedAtMs } = state
  if (nowMs - askedAtMs > ACTIVE_MS) return 0
  const target = Math.max(
    Math.min(demand, quota.requestsPerSecond) * STOCK_TARGET_S,
    limit * STOCK_TARGET_SHARE,
  )
  const isShort = tokens < target || nowMs - refusedAtMs < DEMAND_TTL_MS
  return isShort ? Math.max(0, target - tokens) : 0
}

function inChunks<Item>(items: readonly Item[]): Item[][] {
  const chunks: Item[][] = []
  for (let from = 0; from < items.length; from += TENANTS_PER_MESSAGE) {
    chunks.push(items.slice(from, from + TENANTS_PER_MESSAGE))
  }
  return chunks
}
