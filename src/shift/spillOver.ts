/** Chooses serving regions for callers whose home region fails, recovers or is overloaded. */
import { hashText } from '../common/hashing.js'
import type { ConfigurationDocument } from '../configuration/document.js'
import type { ConfigurationView } from '../configuration/view.js'
import { orderHash } from './blockOrder.js'
import { servedShares } from './expectedRate.js'
import { MovedShareLimiter } from './movedShareLimiter.js'
import { RegionAvailability } from './regionAvailability.js'
import type { RegionLoadView } from './regionLoad.js'
import { LOAD_MAX_AGE_MS, capacityOf } from './regionLoad.js'
import type { SpillPlan, SpillShare } from './spillPlan.js'
import { planSpillOver, spillKey } from './spillPlan.js'

/** Minimum interval between plans while the availability of the regions is unchanged. */
const PLAN_INTERVAL_MS = 500
/** Minimum interval between two increases of shares. */
const RISE_INTERVAL_MS = 2000
/** An overloaded region keeps callers up to this fraction of its capacity. */
const KEPT_CAPACITY_FRACTION = 0.9

const TARGET_SEED = hashText('spillOver')
const HASH_RANGE = 2 ** 32

/** Decides locally: every process computes the same shares from the same measurements. */
export class SpillOver {
  readonly #configuration: ConfigurationView
  readonly #loads: RegionLoadView
  readonly #hasGateway: (region: string) => boolean
  readonly #regions = new Map<string, RegionAvailability>()
  readonly #limiters = new Map<string, MovedShareLimiter>()
  #plan: SpillPlan = new Map()
  #plannedAtMs = Number.NEGATIVE_INFINITY
  #lastRiseAtMs = Number.NEGATIVE_INFINITY
  #plannedAvailability = ''

  /** @param hasGateway whether a region has a gateway that can be returned to callers */
  constructor(
    configuration: ConfigurationView,
    loads: RegionLoadView,
    hasGateway: (region: string) => boolean,
  ) {
    this.#configuration = configuration
    this.#loads = loads
    this.#hasGateway = hasGateway
  }

  /** Current plan, for logs and tests. */
  get plan(): SpillPlan {
    return this.#plan
  }

  /** Updates region availability and, if due, the plan; call it when the membership changes. */
  refresh(nowMs: number): void {
    const document = this.#configuration.current()?.document
    if (document === undefined) return
    for (const region of document.regions.keys()) {
      const state = this.#regions.get(region) ?? new RegionAvailability()
      this.#regions.set(region, state)
      state.update(this.#hasGateway(region), nowMs)
    }
    const availability = [...this.#regions]
      .map(([region, state]) => `${region}=${String(state.servableShare(nowMs))}`)
      .join(' ')
    const isDue = nowMs - this.#plannedAtMs >= PLAN_INTERVAL_MS
    if (isDue || availability !== this.#plannedAvailability) {
      this.#plannedAvailability = availability
      this.#replan(document, nowMs)
    }
  }

  /**
   * Returns the region that serves a block of `homeRegion`: the home region, another region, or
   * `undefined` if no region has headroom.
   *
   * @param position position of the block in the `BlockOrder` of the region, 0 to 1
   */
  regionFor(
    service: string,
    homeRegion: string,
    position: number,
    blockHash: number,
    nowMs: number,
  ): string | undefined {
    this.refresh(nowMs)
    const shares = this.#plan.get(spillKey(service, homeRegion))
    if (shares === undefined) return homeRegion
    const target = this.#spillTarget(service, homeRegion, shares, position, blockHash, nowMs)
    if (target !== undefined) return target
    const regionShare = this.#regions.get(homeRegion)?.servableShare(nowMs) ?? 1
    if (regionShare === 0) return undefined
    if (regionShare < 1) return position <= regionShare ? homeRegion : undefined
    // Without headroom elsewhere, the queues of the overloaded region refuse the excess.
    return homeRegion
  }

  /**
   * Spills the last blocks of the order, because the first ones return first. The target of a
   * block depends on a separate hash, so that no block changes its target while all shares rise.
   */
  #spillTarget(
    service: string,
    homeRegion: string,
    shares: readonly SpillShare[],
    position: number,
    blockHash: number,
    nowMs: number,
  ): string | undefined {
    const total = shares.reduce((sum, { share }) => sum + share, 0)
    const point = (orderHash(blockHash, TARGET_SEED) / HASH_RANGE) * total
    let cumulativeShare = 0
    let target: string | undefined
    for (const { region, share } of shares) {
      const key = `${spillKey(service, homeRegion)}>${region}`
      const limiter = this.#limiters.get(key) ?? new MovedShareLimiter()
      this.#limiters.set(key, limiter)
      const isChosen = point >= cumulativeShare && point < cumulativeShare + share
      cumulativeShare += share
      // The limiters of other targets only count the answer.
      const spillPosition = isChosen ? ((1 - position) * share) / total : Number.POSITIVE_INFINITY
      if (limiter.allows(blockHash, spillPosition, share, nowMs)) target = region
    }
    return target
  }

  #replan(document: ConfigurationDocument, nowMs: number): void {
    const mayRise = nowMs - this.#lastRiseAtMs >= RISE_INTERVAL_MS
    const plan = planSpillOver({
      document,
      loads: this.#loads,
      availableShare: (service, region) => this.#availableShare(document, service, region, nowMs),
      previous: this.#plan,
      mayRise,
      nowMs,
    })
    // A new assignment needs time to warm caches, as an increase does.
    const hasNewAssignment = [...plan.keys()].some((key) => !this.#plan.has(key))
    if (mayRise || hasNewAssignment) this.#lastRiseAtMs = nowMs
    this.#plannedAtMs = nowMs
    this.#plan = plan
    if (this.#plan.size === 0) this.#limiters.clear()
  }

  #availableShare(
    document: ConfigurationDocument,
    service: string,
    region: string,
    nowMs: number,
  ): number {
    const share = this.#regions.get(region)?.servableShare(nowMs) ?? 1
    if (share < 1) return share
    const load = this.#loads.load(region, service)
    if (load === undefined || nowMs - load.measuredAtMs > LOAD_MAX_AGE_MS) return 1
    // The home rate doesn't fall when callers spill over, which prevents oscillation.
    const homeShare = servedShares(document, service, region).get(region) ?? 0
    const rate = load.homeRequestsPerSecond * homeShare
    const capacity = capacityOf(load)
    return rate <= capacity ? 1 : (KEPT_CAPACITY_FRACTION * capacity) / rate
  }
}
