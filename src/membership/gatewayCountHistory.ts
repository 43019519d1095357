/** Largest number of gateways of a region over a period. */
import type { MemberRecord } from './memberRecord.js'
import { MemberRole } from './memberRecord.js'

/** Budgets are divided by the largest count within this time, in milliseconds. */
export const GATEWAY_COUNT_WINDOW_MS = 60_000

interface Sample {
  readonly count: number
  /** Time until which the count held; grows while it holds. */
  untilMs: number
}

/** Keeps the counts of one region. Samples are ordered by time, and their counts fall. */
export class GatewayCountHistory {
  #samples: Sample[] = []

  /** Records the present count. */
  record(count: number, nowMs: number): void {
    const latest = this.#samples.at(-1)
    if (latest !== undefined) latest.untilMs = Math.max(latest.untilMs, nowMs)
    if (latest?.count === count) return
    while ((this.#samples.at(-1)?.count ?? Number.POSITIVE_INFINITY) <= count) this.#samples.pop()
    this.#samples.push({ count, untilMs: nowMs })
  }

  /** Largest count that held within {@link GATEWAY_COUNT_WINDOW_MS}. */
  largest(nowMs: number): number {
    this.#samples = this.#samples.filter(
      ({ untilMs }, index) =>
        index === this.#samples.length - 1 || untilMs >= nowMs - GATEWAY_COUNT_WINDOW_MS,
    )
    return this.#samples[0]?.count ?? 0
  }
}

/** Recent largest counts of gateways, one history for each region. */
export class GatewayCounts {
  readonly #histories = new Map<string, GatewayCountHistory>()

  /** Notes the present members; regions without any count as 0. */
  record(members: readonly MemberRecord[], nowMs: number): void {
    const regions = new Set([...this.#histories.keys(), ...members.map(({ region }) => region)])
    for (const region of regions) {
      const history = this.#histories.get(region) ?? new GatewayCountHistory()
      history.record(countGateways(members, region), nowMs)
      this.#histories.set(region, history)
    }
  }

  /** Notes the present count of one region and returns the largest recent one. */
  largest(region: string, members: readonly MemberRecord[], nowMs: number): number {
    const history = this.#histories.get(region)
    history?.record(countGateways(members, region), nowMs)
    return history?.largest(nowMs) ?? 0
  }
}

/** Leaving gateways count: they still serve within their part of a budget. */
function countGateways(members: readonly MemberRecord[], region: string): number {
  return members.filter((member) => member.role === MemberRole.Gateway && member.region === region)
    .length
}
