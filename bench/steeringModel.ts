/**
 * Simulation of callers, regions and delayed measurements around the production steering code:
 * placement, shift limiter, spill-over and the enforcement of shifts at gateways. Time advances in
 * fixed ticks.
 */
import { BlockTable } from '../src/configuration/blockTable.js'
import type { ShiftRecord } from '../src/configuration/document.js'
import { MovedTrafficBudget } from '../src/gateway/movedTrafficBudget.js'
import type { Placement } from '../src/lookup/placement.js'
import type { RegionSummary } from '../src/shift/regionLoadTable.js'
import { RegionLoadTable } from '../src/shift/regionLoadTable.js'
import { createUniformRandom } from './dispatchWorkload.js'
import { GATEWAYS_PER_REGION, ModelLookupDaemon, REGIONS } from './steeringLookupDaemon.js'
import { MODEL_SERVICE, createModelConfiguration } from './steeringConfiguration.js'

export const TICK_MS = 100
/** Requests per second that the backend servers of a region can serve with warm caches. */
export const CAPACITY = 2000
const SERVICE_MS = 50
const LOOKUP_DAEMONS = 9
export const ANSWER_CACHE_MS = 2000
const RETRY_AFTER_MS = 1000
/** Range of the age at which measurements reach a process, in milliseconds. */
const MEASUREMENT_LAG_MS = { min: 1000, max: 2500 }
/** Requests of a block that is new to a region take more work by this factor, for this time. */
const COLD_BLOCK = { workFactor: 1.5, durationMs: 5000 }

export interface SteeringModelOptions {
  readonly seed: number
  /** Load per region as a fraction of its capacity. */
  readonly load: Readonly<Record<string, number>>
}

interface ModelBlock {
  readonly clientAddress: string
  readonly homeRegion: string
  readonly requestsPerSecond: number
  pendingRequests: number
  placement: Placement | undefined
  expiresAtMs: number
  /** Time since when each region has served the block. */
  readonly servedSinceMs: Map<string, number>
}

/** Statistics of one tick; requests are counts. */
export interface TickStats {
  readonly atMs: number
  /** Work per region as a fraction of its current capacity. */
  readonly load: Readonly<Record<string, number>>
  /** Requests of callers in `east`: those that another region served, and all of them. */
  readonly movedRequests: number
  readonly eastRequests: number
  readonly lost: number
  readonly refused: number
}

/** Model of three regions with their callers, and of nine lookup daemons. */
export class SteeringModel {
  readonly random: () => number
  /** Capacity per region as a fraction of {@link CAPACITY}; 0 for a failed region. */
  readonly capacityFraction = new Map<string, number>(REGIONS.map((region) => [region, 1]))
  isMeasuring = true
  nowMs = 1_000_000
  readonly #blocks: ModelBlock[] = []
  readonly #table: BlockTable
  readonly #daemons = Array.from({ length: LOOKUP_DAEMONS }, () => new ModelLookupDaemon())
  readonly #scheduled: { readonly atMs: number; readonly run: () => void }[] = []
  readonly #budgets: readonly MovedTrafficBudget[]
  /** Load table of the control daemon, updated with the same lag as those of lookup daemons. */
  readonly controlLoads = new RegionLoadTable()
  #shifts: readonly ShiftRecord[] = []
  #revision = 0
  #requestsByRegion = new Map<string, Map<string, number>>()

  constructor(options: SteeringModelOptions) {
    this.random = createUniformRandom(options.seed)
    this.#budgets = Array.from({ length: GATEWAYS_PER_REGION }, () => new MovedTrafficBudget())
    this.#table = this.#createBlocks(options)
    this.commit([], 0)
  }

  /** Publishes a configuration with these shifts, which reaches each daemon within `spreadMs`. */
  commit(shifts: readonly ShiftRecord[], spreadMs: number): void {
    this.#shifts = shifts
    const configuration = createModelConfiguration(++this.#revision, this.#table, shifts)
    for (const daemon of this.#daemons) {
      this.#schedule(this.random() * spreadMs, () => {
        if ((daemon.view.current()?.revision ?? 0) < configuration.revision) {
          daemon.view.publish(configuration)
        }
      })
    }
    if (spreadMs === 0) this.#runDueActions()
  }

  /** Lets daemons detect a region's failure or recovery after 4 to 5 s, as on the design page. */
  setRegionFailed(region: string, hasFailed: boolean): void {
    for (const daemon of this.#daemons) {
      this.#schedule(4000 + 1000 * this.random(), () => {
        daemon.members.setRegionFailed(region, hasFailed)
        daemon.spillOver.refresh(this.nowMs)
      })
    }
  }

  /** Advances the time by {@link TICK_MS} and simulates the requests of this tick. */
  tick(): TickStats {
    this.nowMs += TICK_MS
    this.#runDueActions()
    const work = new Map<string, number>()
    const stats = { movedRequests: 0, eastRequests: 0, lost: 0, refused: 0 }
    for (const block of this.#blocks) {
      if (this.nowMs >= block.expiresAtMs) this.#lookUp(block)
      block.pendingRequests += (block.requestsPerSecond * TICK_MS) / 1000
      const requests = Math.floor(block.pendingRequests)
      block.pendingRequests -= requests
      for (let index = 0; index < requests; index++) this.#handleRequest(block, work, stats)
    }
    if (this.nowMs % 1000 === 0) this.#publishMeasurements()
    const load = Object.fromEntries(REGIONS.map((region) => [region, this.#loadOf(region, work)]))
    return { atMs: this.nowMs, load, ...stats }
  }

  #loadOf(region: string, work: ReadonlyMap<string, number>): number {
    const capacity = (this.capacityFraction.get(region) ?? 1) * CAPACITY
    return capacity === 0 ? 0 : ((work.get(region) ?? 0) * 1000) / TICK_MS / capacity
  }

  #lookUp(block: ModelBlock): void {
    const daemon = this.#daemons[Math.floor(this.random() * LOOKUP_DAEMONS)]
    const placed = daemon?.placer.place(MODEL_SERVICE, block.clientAddress, this.nowMs)
    block.placement = placed?.ok === true ? placed.val : undefined
    block.expiresAtMs = this.nowMs + (placed?.ok === true ? ANSWER_CACHE_MS : RETRY_AFTER_MS)
  }

  #handleRequest(
    block: ModelBlock,
    work: Map<string, number>,
    stats: { movedRequests: number; eastRequests: number; lost: number; refused: number },
  ): void {
    if (block.homeRegion === 'east') stats.eastRequests++
    if (block.placement === undefined) {
      stats.refused++
      return
    }
    const region = this.#enforceShift(block, block.placement)
    if (this.capacityFraction.get(region) === 0) {
      stats.lost++
      return
    }
    if (block.homeRegion === 'east' && region !== 'east') stats.movedRequests++
    const servedSinceMs = block.servedSinceMs.get(region) ?? this.nowMs
    block.servedSinceMs.set(region, servedSinceMs)
    const isCold = this.nowMs - servedSinceMs < COLD_BLOCK.durationMs
    work.set(region, (work.get(region) ?? 0) + (isCold ? COLD_BLOCK.workFactor : 1))
    const requestsByHome = this.#requestsByRegion.get(region) ?? new Map<string, number>()
    requestsByHome.set(block.homeRegion, (requestsByHome.get(block.homeRegion) ?? 0) + 1)
    this.#requestsByRegion.set(region, requestsByHome)
  }

  /** A gateway of the target region returns requests beyond its share of the cap to their home. */
  #enforceShift(block: ModelBlock, placement: Placement): string {
    const shift = this.#shifts.find(({ shiftId }) => shiftId === placement.shiftId)
    if (shift === undefined) return placement.region
    const homeRate =
      this.controlLoads.load(block.homeRegion, MODEL_SERVICE)?.homeRequestsPerSecond ?? 0
    const budget = this.#budgets[Math.floor(this.random() * GATEWAYS_PER_REGION)]
    const isWithinBudget = budget?.take(shift, homeRate, GATEWAYS_PER_REGION, this.nowMs) === true
    return isWithinBudget ? placement.region : block.homeRegion
  }

  #publishMeasurements(): void {
    const requestsByRegion = this.#requestsByRegion
    this.#requestsByRegion = new Map()
    if (!this.isMeasuring) return
    const measuredAtMs = this.nowMs
    const summaries = REGIONS.filter((region) => this.capacityFraction.get(region) !== 0).map(
      (region): RegionSummary => {
        const requestsByHome = requestsByRegion.get(region) ?? new Map<string, number>()
        const capacityFraction = this.capacityFraction.get(region) ?? 1
        return {
          region,
          measuredAtMs,
          services: [
            {
              service: MODEL_SERVICE,
              requestsPerSecond: [...requestsByHome.values()].reduce((sum, rate) => sum + rate, 0),
              homeRates: Object.fromEntries(requestsByHome),
              inFlight: 0,
              slots: (CAPACITY * capacityFraction * SERVICE_MS) / 1000,
              meanServiceMs: SERVICE_MS,
            },
          ],
        }
      },
    )
    for (const loads of [this.controlLoads, ...this.#daemons.map((daemon) => daemon.loads)]) {
      this.#schedule(
        MEASUREMENT_LAG_MS.min + this.random() * (MEASUREMENT_LAG_MS.max - MEASUREMENT_LAG_MS.min),
        () => {
          loads.mergeSummaries(summaries, this.nowMs)
        },
      )
    }
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#scheduled.push({ atMs: this.nowMs + delayMs, run })
  }

  #runDueActions(): void {
    const due = this.#scheduled.filter(({ atMs }) => atMs <= this.nowMs)
    if (due.length === 0) return
    const rest = this.#scheduled.filter(({ atMs }) => atMs > this.nowMs)
    this.#scheduled.splice(0, this.#scheduled.length, ...rest)
    for (const { run } of due.sort((left, right) => left.atMs - right.atMs)) run()
  }

  /** Block weights deviate from the actual traffic by a factor of up to 2 in both directions. */
  #createBlocks(options: SteeringModelOptions): BlockTable {
    const blocksPerRegion = 400
    const blockRecords = []
    for (const [regionIndex, homeRegion] of REGIONS.entries()) {
      const weights = Array.from(
        { length: blocksPerRegion },
        () => 1 / Math.sqrt(0.02 + this.random()),
      )
      const traffic = weights.map((weight) => weight * 2 ** (2 * this.random() - 1))
      const total = traffic.reduce((sum, rate) => sum + rate, 0)
      for (const [index, weight] of weights.entries()) {
        const networkPrefix = `10.${String(regionIndex * 2 + (index >> 8))}.${String(index & 255)}`
        blockRecords.push({
          cidr: `${networkPrefix}.0/24`,
          site: `${homeRegion}-${String(index % 2)}`,
          weight,
        })
        this.#blocks.push({
          clientAddress: `${networkPrefix}.7`,
          homeRegion,
          requestsPerSecond:
            ((traffic[index] ?? 0) / total) * CAPACITY * (options.load[homeRegion] ?? 0),
          pendingRequests: this.random(),
          placement: undefined,
          expiresAtMs: this.nowMs + this.random() * ANSWER_CACHE_MS,
          servedSinceMs: new Map([[homeRegion, 0]]),
        })
      }
    }
    return BlockTable.empty().withChanges(blockRecords, []).unwrap()
  }
}
