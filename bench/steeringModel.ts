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
import { uniformSource } from './dispatchWorkload.js'
import { GATEWAYS_PER_REGION, ModelDaemon, REGIONS } from './steeringDaemon.js'
import { MODEL_SERVICE, modelConfiguration } from './steeringConfiguration.js'

export const TICK_MS = 100
/** Requests per second that the backend servers of a region can serve with warm caches. */
export const CAPACITY = 2000
const SERVICE_MS = 50
const LOOKUP_DAEMONS = 9
export const ANSWER_CACHE_MS = 2000
const RETRY_AFTER_MS = 1000
/** Range of the age at which measurements reach a process, in milliseconds. */
const LAG_MS = { least: 1000, most: 2500 }
/** Requests of a block that is new to a region take more work by this factor, for this time. */
const COLD = { factor: 1.5, durationMs: 5000 }

export interface ModelOptions {
  readonly seed: number
  /** Load per region as a fraction of its capacity. */
  readonly load: Readonly<Record<string, number>>
}

interface Block {
  readonly client: string
  readonly home: string
  readonly rate: number
  pending: number
  placement: Placement | undefined
  expiresMs: number
  /** Time since when each region has served the block. */
  readonly warmSinceMs: Map<string, number>
}

/** Statistics of one tick; requests are counts. */
export interface TickFigures {
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
  readonly capacityPart = new Map<string, number>(REGIONS.map((region) => [region, 1]))
  isMeasuring = true
  nowMs = 1_000_000
  readonly #blocks: Block[] = []
  readonly #table: BlockTable
  readonly #daemons = Array.from({ length: LOOKUP_DAEMONS }, () => new ModelDaemon())
  readonly #later: { readonly atMs: number; readonly run: () => void }[] = []
  readonly #budgets: readonly MovedTrafficBudget[]
  /** Load table of the control daemon, updated with the same lag as those of lookup daemons. */
  readonly controlLoads = new RegionLoadTable()
  #shifts: readonly ShiftRecord[] = []
  #revision = 0
  #arrivals = new Map<string, Map<string, number>>()

  constructor(options: ModelOptions) {
    this.random = uniformSource(options.seed)
    this.#budgets = Array.from({ length: GATEWAYS_PER_REGION }, () => new MovedTrafficBudget())
    this.#table = this.#createBlocks(options)
    this.commit([], 0)
  }

  /** Publishes a configuration with the given shifts, which reaches each daemon within `spreadMs`. */
  commit(shifts: readonly ShiftRecord[], spreadMs: number): void {
    this.#shifts = shifts
    const configuration = modelConfiguration(++this.#revision, this.#table, shifts)
    for (const daemon of this.#daemons) {
      this.#after(this.random() * spreadMs, () => {
        if ((daemon.view.current()?.revision ?? 0) < configuration.revision) {
          daemon.view.put(configuration)
        }
      })
    }
    if (spreadMs === 0) this.#runDue()
  }

  /** Lets each daemon detect a region's failure or recovery after 4 to 5 s, as on the design page. */
  notice(region: string, isGone: boolean): void {
    for (const daemon of this.#daemons) {
      this.#after(4000 + 1000 * this.random(), () => {
        daemon.members.setGone(region, isGone)
        daemon.spillOver.refresh(this.nowMs)
      })
    }
  }

  /** Advances the time by {@link TICK_MS} and simulates the requests of this tick. */
  tick(): TickFigures {
    this.nowMs += TICK_MS
    this.#runDue()
    const work = new Map<string, number>()
    const figures = { movedRequests: 0, eastRequests: 0, lost: 0, refused: 0 }
    for (const block of this.#blocks) {
      if (this.nowMs >= block.expiresMs) this.#lookUp(block)
      block.pending += (block.rate * TICK_MS) / 1000
      const requests = Math.floor(block.pending)
      block.pending -= requests
      for (let index = 0; index < requests; index++) this.#request(block, work, figures)
    }
    if (this.nowMs % 1000 === 0) this.#measure()
    const load = Object.fromEntries(REGIONS.map((region) => [region, this.#loadOf(region, work)]))
    return { atMs: this.nowMs, load, ...figures }
  }

  #loadOf(region: string, work: ReadonlyMap<string, number>): number {
    const capacity = (this.capacityPart.get(region) ?? 1) * CAPACITY
    return capacity === 0 ? 0 : ((work.get(region) ?? 0) * 1000) / TICK_MS / capacity
  }

  #lookUp(block: Block): void {
    const daemon = this.#daemons[Math.floor(this.random() * LOOKUP_DAEMONS)]
    const placed = daemon?.placer.place(MODEL_SERVICE, block.client, this.nowMs)
    block.placement = placed?.ok === true ? placed.val : undefined
    block.expiresMs = this.nowMs + (placed?.ok === true ? ANSWER_CACHE_MS : RETRY_AFTER_MS)
  }

  #request(
    block: Block,
    work: Map<string, number>,
    figures: { movedRequests: number; eastRequests: number; lost: number; refused: number },
  ): void {
    if (block.home === 'east') figures.eastRequests++
    if (block.placement === undefined) {
      figures.refused++
      return
    }
    const region = this.#enforceShift(block, block.placement)
    if (this.capacityPart.get(region) === 0) {
      figures.lost++
      return
    }
    if (block.home === 'east' && region !== 'east') figures.movedRequests++
    const warmSinceMs = block.warmSinceMs.get(region) ?? this.nowMs
    block.warmSinceMs.set(region, warmSinceMs)
    const isCold = this.nowMs - warmSinceMs < COLD.durationMs
    work.set(region, (work.get(region) ?? 0) + (isCold ? COLD.factor : 1))
    const homes = this.#arrivals.get(region) ?? new Map<string, number>()
    homes.set(block.home, (homes.get(block.home) ?? 0) + 1)
    this.#arrivals.set(region, homes)
  }

  /** A gateway of the target region forwards requests beyond its share of the cap to their home region. */
  #enforceShift(block: Block, placement: Placement): string {
    const shift = this.#shifts.find(({ shiftId }) => shiftId === placement.shiftId)
    if (shift === undefined) return placement.region
    const homeRate = this.controlLoads.load(block.home, MODEL_SERVICE)?.homeRequestsPerSecond ?? 0
    const budget = this.#budgets[Math.floor(this.random() * GATEWAYS_PER_REGION)]
    const isTaken = budget?.take(shift, homeRate, GATEWAYS_PER_REGION, this.nowMs) === true
    return isTaken ? placement.region : block.home
  }

  #measure(): void {
    const arrivals = this.#arrivals
    this.#arrivals = new Map()
    if (!this.isMeasuring) return
    const measuredAtMs = this.nowMs
    const summaries = REGIONS.filter((region) => this.capacityPart.get(region) !== 0).map(
      (region): RegionSummary => {
        const homes = arrivals.get(region) ?? new Map<string, number>()
        const part = this.capacityPart.get(region) ?? 1
        return {
          region,
          measuredAtMs,
          services: [
            {
              service: MODEL_SERVICE,
              requestsPerSecond: [...homes.values()].reduce((sum, rate) => sum + rate, 0),
              homeRates: Object.fromEntries(homes),
              inFlight: 0,
              slots: (CAPACITY * part * SERVICE_MS) / 1000,
              meanServiceMs: SERVICE_MS,
            },
          ],
        }
      },
    )
    for (const loads of [this.controlLoads, ...this.#daemons.map((daemon) => daemon.loads)]) {
      this.#after(LAG_MS.least + this.random() * (LAG_MS.most - LAG_MS.least), () => {
        loads.mergeSummaries(summaries, this.nowMs)
      })
    }
  }

  #after(delayMs: number, run: () => void): void {
    this.#later.push({ atMs: this.nowMs + delayMs, run })
  }

  #runDue(): void {
    const due = this.#later.filter(({ atMs }) => atMs <= this.nowMs)
    if (due.length === 0) return
    const rest = this.#later.filter(({ atMs }) => atMs > this.nowMs)
    this.#later.splice(0, this.#later.length, ...rest)
    for (const { run } of due.sort((left, right) => left.atMs - right.atMs)) run()
  }

  /** Block weights deviate from the actual traffic by a factor of up to 2 in both directions. */
  #createBlocks(options: ModelOptions): BlockTable {
    const blocksPerRegion = 400
    const put = []
    for (const [number, home] of REGIONS.entries()) {
      const weights = Array.from(
        { length: blocksPerRegion },
        () => 1 / Math.sqrt(0.02 + this.random()),
      )
      const traffic = weights.map((weight) => weight * 2 ** (2 * this.random() - 1))
      const total = traffic.reduce((sum, rate) => sum + rate, 0)
      for (const [index, weight] of weights.entries()) {
        const network = `10.${String(number * 2 + (index >> 8))}.${String(index & 255)}`
        put.push({ cidr: `${network}.0/24`, site: `${home}-${String(index % 2)}`, weight })
        this.#blocks.push({
          client: `${network}.7`,
          home,
          rate: ((traffic[index] ?? 0) / total) * CAPACITY * (options.load[home] ?? 0),
          pending: this.random(),
          placement: undefined,
          expiresMs: this.nowMs + this.random() * ANSWER_CACHE_MS,
          warmSinceMs: new Map([[home, 0]]),
        })
      }
    }
    return BlockTable.empty().withChanges(put, []).unwrap()
  }
}
