/** Decides how many tokens of a tenant a keeper moves to the keeper of another region. */

/** Part of a tenant's limit that counts as demand of a region without requests. */
const FLOOR = 0.02

export interface DivisionInput {
  readonly requestsPerSecond: number
  /** Tokens that this keeper holds. */
  readonly tokens: number
  /** Requests per second in this keeper's region. */
  readonly ownDemand: number
  /** Requests per second in the region that is short. */
  readonly demand: number
  /** Tokens for which the region that is short has room. */
  readonly room: number
  /** Requests per second in each other region that is short. */
  readonly otherDemands: readonly number[]
  /** Regions besides the one that is short, which may all send tokens at once. */
  readonly givers: number
}

/**
 * Divides the tokens in proportion to demand. Demand beyond the limit doesn't count, so that a region
 * with many requests leaves something to one with few.
 */
export function tokensToMove(input: DivisionInput): number {
  const { requestsPerSecond, tokens, room, givers } = input
  const limited = (demand: number): number => Math.min(demand, requestsPerSecond)
  const demand = limited(input.demand)
  const kept = input.otherDemands.reduce(
    (sum, other) => sum + limited(other),
    limited(input.ownDemand) + FLOOR * requestsPerSecond,
  )
  if (!(demand > 0) || !(tokens > 0)) return 0
  return Math.min((tokens * demand) / (demand + kept), room / Math.max(1, givers))
}
