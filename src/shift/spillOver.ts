/** Placement of the callers of regions that fail, return or are overloaded. */
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

/** Least time between two plans while availability is unchanged, in milliseconds. */
const PLAN_INTERVAL_MS = 500
/** Time between two rises of a share, in milliseconds. */
const RISE_INTERVAL_MS = 2000
/** An overloaded region keeps callers up to this part of its capacity. */
const KEPT_PART = 0.9

const TARGET_SEED = hashText('spillOver')
const HASH_RANGE = 2 ** 32

/** Decides per process; every process computes the same shares from the same measurements. */
export class SpillOver {
  readonly #configuration: ConfigurationView
  readonly #loads: RegionLoadView
  readonly #hasGateway: (region: string) => boolean
  readonly #regions = new Map<string, RegionAvailability>()
  readonly #limiters = new Map<string, MovedShareLimiter>()
  #plan: SpillPlan = new Map()
  #plannedAtMs = Number.NEGATIVE_INFINITY
  #risenAtMs = Number.NEGATIVE_INFINITY
  #plannedAvailability = ''

  /** @param hasGateway tells whether a region has a gateway that can be named */
  constructor(
    configuration: ConfigurationView,
    loads: RegionLoadView,
    hasGateway: (region: string) => boolean,
  ) {
    this.#configuration = configuration
    this.#loads = loads
    this.#hasGateway = hasGateway
  }

  /** Shares in force, for logs and tests. */
  get plan(): SpillPlan {
    return this.#plan
  }

  /** Notices failed and returning regions; call it when the membership changes. */
  refresh(nowMs: number): void {
    const document = this.#configuration.current()?.document
    if (document === undefined) return
    for (const region of document.regions.keys()) {
      const state = this.#regions.get(region) ?? new RegionAvailability()
      this.#regions.set(region, state)
      state.note(this.#hasGateway(region), nowMs)
    }
    const availability = [...this.#regions]
      .map(([region, state]) => `${region}=${String(state.share(nowMs))}`)
      .join(' ')
    const isDue = nowMs - this.#plannedAtMs >= PLAN_INTERVAL_MS
    if (isDue || availability !== this.#plannedAvailability) {
      this.#plannedAvailability = availability
      this.#replan(document, nowMs)
    }
  }

  /**
   * Returns the region that serves a block of `homeRegion`: the own one, another one, or
   * `undefined` if no region has room.
   *
   * @param position position of the block in the region's common order, 0 to 1
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
    const target = this.#spilledTo(service, homeRegion, shares, position, blockHash, nowMs)
    if (target !== undefined) return target
    const regionShare = this.#regions.get(homeRegion)?.share(nowMs) ?? 1
    if (regionShare === 0) return undefined
    if (regionShare < 1) return position <= regionShare ? homeRegion : undefined
    // An overloaded region refuses by its own queues what nobody else has room for.
    return homeRegion
  }

  /**
   * The last blocks of the order are spilled, so that the first ones return first. Each has its
   * target by a hash of its own: while all shares rise, no block changes its target.
   */
  #spilledTo(
    service: string,
    homeRegion: string,
    shares: readonly SpillShare[],
    position: number,
    blockHash: number,
    nowMs: number,
  ): string | undefined {
    const total = shares.reduce((sum, { share }) => sum + share, 0)
    const point = (orderHash(blockHash, TARGET_SEED) / HASH_RANGE) * total
    let reached = 0
    let target: string | undefined
    for (const { region, share } of shares) {
      const key = `${spillKey(service, homeRegion)}>${region}`
      const limiter = this.#limiters.get(key) ?? new MovedShareLimiter()
      this.#limiters.set(key, limiter)
      const isChosen = point >= reached && point < reached + share
      reached += share
      // Blocks of other targets count as answers only.
      const place = isChosen ? ((1 - position) * share) / total : Number.POSITIVE_INFINITY
      if (limiter.allows(blockHash, place, share, nowMs)) target = region
    }
    return target
  }

  #replan(document: ConfigurationDocument, nowMs: number): void {
    const mayRise = nowMs - this.#risenAtMs >= RISE_INTERVAL_MS
    const plan = planSpillOver({
      document,
      loads: this.#loads,
      availableShare: (service, region) => this.#availableShare(document, service, region, nowMs),
      previous: this.#plan,
      mayRise,
      nowMs,
    })
    // The caches that a new assignment needs are as cold as after a rise.
    const hasNew = [...plan.keys()].some((key) => !this.#plan.has(key))
    if (mayRise || hasNew) this.#risenAtMs = nowMs
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
    const share = this.#regions.get(region)?.share(nowMs) ?? 1
    if (share < 1) return share
    const load = this.#loads.load(region, service)
    if (load === undefined || nowMs - load.measuredAtMs > LOAD_MAX_AGE_MS) return 1
    // The home rate does not fall when callers spill over, so the decision does not alternate.
    const own = servedShares(document, service, region).get(region) ?? 0
    const rate = load.homeRequestsPerSecond * own
    const capacity = capacityOf(load)
    return rate <= capacity ? 1 : (KEPT_PART * capacity) / rate
  }
}
