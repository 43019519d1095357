/** Mutable copy of a configuration document while changes are applied to it. */
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

/** Returns a document without any content. */
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

/** A block to put, or the CIDR alone to remove it. */
export interface BlockChange {
  readonly cidr: string
  readonly block: ClientBlock | undefined
}

/** Changes of blocks by {@link prefixKey}, so that one CIDR in two spellings is one block; the last one wins. */
export type BlockChanges = Map<string, BlockChange>

/** Tables that can be changed without touching the document they were copied from. */
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

  /** Returns the document alone. */
  toDocument(): ConfigurationDocument {
    const { regions, links, sites, services, steering, shifts, leaving } = this
    return { regions, links, sites, services, steering, shifts, leaving }
  }

  /** Tells whether the region exists and has the zone. */
  hasZone(region: string, zone: string): boolean {
    return this.regions.get(region)?.zones.includes(zone) === true
  }

  /** Returns a worker of any service. */
  findWorker(workerId: string): WorkerRecord | undefined {
    for (const service of this.services.values()) {
      const worker = service.workers.find((candidate) => candidate.workerId === workerId)
      if (worker !== undefined) return worker
    }
    return undefined
  }

  /**
   * Notes the change of a block, `undefined` to remove it.
   * @returns the problem, or `undefined` if the CIDR is usable
   */
  noteBlock(cidr: string, block: ClientBlock | undefined): string | undefined {
    const prefix = parsePrefix(cidr)
    if (prefix.err) return prefix.val.message
    this.blockChanges.set(prefixKey(prefix.val), { cidr, block })
    return undefined
  }
}
