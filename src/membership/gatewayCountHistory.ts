/** Largest number of gateways of a region over a period. */

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
