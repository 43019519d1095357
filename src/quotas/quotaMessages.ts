/** Messages between entry instances about quotas of tenants. */

/** Wire values are one letter, and differ from those of `PeerMessageKind`. */
export enum QuotaMessageKind {
  /** Part of the elapsed time that the sender owned, for the keeper of its region. */
  Part = 'p',
  /** Asks the keeper for tokens of a tenant. */
  Ask = 'k',
  /** Answers an ask: tokens granted, and when to come back for the others. */
  Grant = 'w',
  /** Gives tokens back that were granted and not used. */
  Return = 'u',
  /** Tenants that are short of tokens at the keeper of the sender's region. */
  Demand = 'i',
  /** Moves tokens from one keeper to another. */
  Tokens = 'z',
}

export interface QuotaPartMessage {
  readonly kind: QuotaMessageKind.Part
  /** Time that the sender owned and no longer accounts for, in milliseconds. */
  readonly ownedMs: number
}

export interface QuotaAskMessage {
  readonly kind: QuotaMessageKind.Ask
  /** Unique within the sending instance. */
  readonly askId: number
  readonly tenant: string
  readonly count: number
  /** Requests that the sender refused since its last ask because the keeper had said so. */
  readonly refused: number
}

/** Why a request was refused. */
export enum QuotaRefusal {
  /** The tenant's limit is reached. */
  OverLimit = 'o',
  /** No keeper answered, or it cannot know yet whether the limit is reached. */
  Undecided = 'u',
}

/** Concerns the requests of an ask for which no token was granted. */
export interface QuotaRefusalDetails {
  readonly reason: QuotaRefusal
  readonly retryAfterMs: number
  /** Time for which the receiver refuses further requests of the tenant, or doesn't ask again. */
  readonly holdOffMs: number
}

/** Answer of a keeper. */
export interface QuotaDecision {
  readonly granted: number
  /** Left out if tokens were granted for all requests. */
  readonly refusal?: QuotaRefusalDetails
}

export interface QuotaGrantMessage extends QuotaDecision {
  readonly kind: QuotaMessageKind.Grant
  readonly askId: number
  readonly tenant: string
}

export interface QuotaReturnMessage {
  readonly kind: QuotaMessageKind.Return
  readonly tenant: string
  readonly count: number
}

/** Name of the tenant, requests per second in the sender's region, and tokens it has room for. */
export type TenantDemand = readonly [tenant: string, requestsPerSecond: number, room: number]

export interface QuotaDemandMessage {
  readonly kind: QuotaMessageKind.Demand
  readonly tenants: readonly TenantDemand[]
}

/** Name of the tenant and number of tokens, which need not be whole. */
export type TenantTokens = readonly [tenant: string, tokens: number]

export interface QuotaTokensMessage {
  readonly kind: QuotaMessageKind.Tokens
  readonly tenants: readonly TenantTokens[]
}

export type QuotaMessage =
  | QuotaPartMessage
  | QuotaAskMessage
  | QuotaGrantMessage
  | QuotaReturnMessage
  | QuotaDemandMessage
  | QuotaTokensMessage
