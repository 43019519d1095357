/** Configurations and members for look-up tests. */
import { BlockTable } from '../../configuration/blockTable.js'
import type { ClientBlock, ServiceRecord, ShiftRecord } from '../../configuration/document.js'
import { ShiftState } from '../../configuration/document.js'
import type { Configuration, ConfigurationView } from '../../configuration/view.js'
import type { MemberRecord } from '../../membership/memberRecord.js'
import { MemberRole, MemberState } from '../../membership/memberRecord.js'
import { MemberTable } from '../../membership/memberTable.js'

export const REGIONS = ['east', 'north', 'west'] as const

/** Creates `count` /24 blocks of equal weight, alternating between the two sites of the region. */
export function blocksOf(region: string, first: number, count: number): ClientBlock[] {
  return Array.from({ length: count }, (_, index) => ({
    cidr: `10.${String(first)}.${String(index)}.0/24`,
    site: `${region}-${String(index % 2)}`,
    weight: 1,
  }))
}

export const SERVICE: ServiceRecord = {
  name: 'reveals',
  priority: 1,
  idempotentMethods: ['GET'],
  workers: [
    {
      workerId: 'reveals-1',
      generation: 1,
      address: '127.0.0.1:9',
      region: 'east',
      zone: 'east-0',
      slots: 3,
    },
  ],
  maxQueued: 10,
  defaultTimeoutMs: 1000,
  maxRequestBytes: 1000,
  maxResponseBytes: 1000,
  typicalResponseBytes: 1000,
  linkWeight: 1,
}

/** A shift of {@link SERVICE} from `east` to `north`. */
export function shiftOf(currentShare: number, changes: Partial<ShiftRecord> = {}): ShiftRecord {
  return {
    shiftId: 'shift-1',
    service: SERVICE.name,
    from: 'east',
    to: 'north',
    capShare: 0.5,
    currentShare,
    stepShare: 0.1,
    stepIntervalMs: 1000,
    state: ShiftState.Running,
    step: 1,
    plannedRate: 100,
    ...changes,
  }
}

const BLOCKS = BlockTable.empty()
  .withChanges(
    REGIONS.flatMap((region, index) => blocksOf(region, index, 200)),
    [],
  )
  .unwrap()

/** Three regions with 200 blocks each and two sites, each site in its own zone. */
export function configurationOf(
  revision: number,
  shifts: readonly ShiftRecord[] = [],
  shares?: Readonly<Record<string, number>>,
): Configuration {
  const sites = REGIONS.flatMap((region) =>
    [0, 1].map((index) => ({
      name: `${region}-${String(index)}`,
      region,
      zone: `${region}-${String(index)}`,
    })),
  )
  const steering = { service: SERVICE.name, clientRegion: 'east', shares: shares ?? {} }
  return {
    revision,
    blocks: BLOCKS,
    document: {
      regions: new Map(REGIONS.map((name) => [name, { name, zones: [`${name}-0`, `${name}-1`] }])),
      links: new Map(),
      sites: new Map(sites.map((site) => [site.name, site])),
      services: new Map([[SERVICE.name, SERVICE]]),
      steering: new Map(shares === undefined ? [] : [[`${SERVICE.name}@east`, steering]]),
      shifts: new Map(shifts.map((shift) => [shift.shiftId, shift])),
      leaving: new Map(),
    },
  }
}

/** A configuration view whose revision is set with {@link put}. */
export class FakeConfigurationView implements ConfigurationView {
  #current: Configuration | undefined
  readonly #listeners = new Set<(configuration: Configuration) => void>()

  constructor(current?: Configuration) {
    this.#current = current
  }

  current(): Configuration | undefined {
    return this.#current
  }

  subscribe(listener: (configuration: Configuration) => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  put(configuration: Configuration): void {
    this.#current = configuration
    for (const listener of this.#listeners) listener(configuration)
  }
}

export function gatewayOf(name: string, region: string, place: number): MemberRecord {
  return {
    memberId: name,
    role: MemberRole.Gateway,
    incarnation: '00000000000000aa',
    startedAtMs: 1,
    version: 1,
    state: MemberState.Live,
    region,
    zone: `${region}-${String(place)}`,
    site: `${region}-${String(place)}`,
    callerAddress: `${name}:80`,
    internalAddress: `${name}:81`,
  }
}

/** Member table of a lookup daemon in `east`, with four gateways per region, two at each site. */
export function memberTable(): MemberTable {
  const self = { ...gatewayOf('lookup', 'east', 0), role: MemberRole.Lookup }
  const table = new MemberTable(self)
  table.merge(
    REGIONS.flatMap((region) =>
      [0, 1, 2, 3].map((index) => gatewayOf(`${region}-g${String(index)}`, region, index % 2)),
    ),
    0,
  )
  return table
}
