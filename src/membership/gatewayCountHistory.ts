/** Largest number of gateways that a region had within a time window. */
import type { MemberRecord } from './memberRecord.js'
import { MemberRole } from './memberRecord.js'

/** Window of the largest count, by which shared budgets are divided, in milliseconds. */
export const GATEWAY_COUNT_WINDOW_MS = 60_000

interface Sample {
  readonly count: number
  /** Last time at which the count held, in milliseconds since the epoch. */
  lastHeldAtMs: number
}

/** Sliding maximum of one region's gateway count. Samples are in order of time, their counts decrease. */
export class GatewayCountHistory {
  #samples: Sample[] = []

  /** Records the current count and drops older samples that do not exceed it. */
  record(count: number, nowMs: number): void {
    const latest = this.#samples.at(-1)
    if (latest !== undefined) latest.lastHeldAtMs = Math.max(latest.lastHeldAtMs, nowMs)
    if (latest?.count === count) return
    while ((this.#samples.at(-1)?.count ?? Number.POSITIVE_INFINITY) <= count) this.#samples.pop()
    this.#samples.push({ count, lastHeldAtMs: nowMs })
  }

  /** Returns the largest count within {@link GATEWAY_COUNT_WINDOW_MS}, or 0 without any sample. */
  largest(nowMs: number): number {
    this.#samples = this.#samples.filter(
      ({ lastHeldAtMs }, index) =>
        index === this.#samples.length - 1 || lastHeldAtMs >= nowMs - GATEWAY_COUNT_WINDOW_MS,
    )
    return this.#samples[0]?.count ?? 0
  }
}

/** Gateway count histories by region. */
export class GatewayCountsByRegion {
  readonly #histories = new Map<string, GatewayCountHistory>()

  /** Records the current count of every region seen so far; 0 for regions that lost all members. */
  record(members: readonly MemberRecord[], nowMs: number): void {
    const regions = new Set([...this.#histories.keys(), ...members.map(({ region }) => region)])
    for (const region of regions) {
      const history = this.#histories.get(region) ?? new GatewayCountHistory()
      history.record(countGateways(members, region), nowMs)
      this.#histories.set(region, history)
    }
  }

  /** Records the current count of a region and returns its largest count within the window. */
  largest(region: string, members: readonly MemberRecord[], nowMs: number): number {
    const history = this.#histories.get(region)
    history?.record(countGateways(members, region), nowMs)
    return history?.largest(nowMs) ?? 0
  }
}

/** Leaving gateways are included because they still spend their fraction of a budget. */
function countGateways(members: readonly MemberRecord[], region: string): number {
  return members.filter((member) => member.role === MemberRole.Gateway && member.region === region)
    .length
}
