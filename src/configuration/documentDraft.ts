/** Mutable copy of a configuration document, to which changes are applied. */
import type { ConfigurationDocument, LeavingRecord, WorkerRecord } from './document.js'
import type {
  LinkRecord,
  RegionRecord,
  ServiceRecord,
  ShiftRecord,
  SiteRecord,
  SteeringRecord,
  ClientBlock,
} from './document.js'
import { parsePrefix, prefixKey } from './packedPrefix.js'

export function emptyDocument(): ConfigurationDocument {
  return {
    regions: new Map(),
    links: new Map(),
    sites: new Map(),
    services: new Map(),
    steering: new Map(),
    shifts: new Map(),
    leaving: new Map(),
  }
}

/** A block to add or replace, or a CIDR without a block to remove. */
export interface BlockChange {
  readonly cidr: string
  readonly block: ClientBlock | undefined
}

/**
 * Last change of each block, keyed by {@link prefixKey} so that two spellings of a CIDR are the
 * same block.
 */
export type BlockChanges = Map<string, BlockChange>

/** Shallow copy of a document; changing its tables does not change the original. */
export class DocumentDraft implements ConfigurationDocument {
  readonly regions: Map<string, RegionRecord>
  readonly links: Map<string, LinkRecord>
  readonly sites: Map<string, SiteRecord>
  readonly services: Map<string, ServiceRecord>
  readonly steering: Map<string, SteeringRecord>
  readonly shifts: Map<string, ShiftRecord>
  readonly leaving: Map<string, LeavingRecord>
  readonly blockChanges: BlockChanges = new Map()

  constructor(base: ConfigurationDocument) {
    this.regions = new Map(base.regions)
    this.links = new Map(base.links)
    this.sites = new Map(base.sites)
    this.services = new Map(base.services)
    this.steering = new Map(base.steering)
    this.shifts = new Map(base.shifts)
    this.leaving = new Map(base.leaving)
  }

  /** Returns the tables without the block changes. */
  toDocument(): ConfigurationDocument {
    const { regions, links, sites, services, steering, shifts, leaving } = this
    return { regions, links, sites, services, steering, shifts, leaving }
  }

  hasZone(region: string, zone: string): boolean {
    return this.regions.get(region)?.zones.includes(zone) === true
  }

  /** Searches the workers of all services. */
  findWorker(workerId: string): WorkerRecord | undefined {
    for (const service of this.services.values()) {
      const worker = service.workers.find((candidate) => candidate.workerId === workerId)
      if (worker !== undefined) return worker
    }
    return undefined
  }

  /**
   * Records the new value of a block; `undefined` removes it.
   * @returns the problem, or `undefined` if the CIDR is valid
   */
  setBlockChange(cidr: string, block: ClientBlock | undefined): string | undefined {
    const prefix = parsePrefix(cidr)
    if (prefix.err) return prefix.val.message
    this.blockChanges.set(prefixKey(prefix.val), { cidr, block })
    return undefined
  }
}
