/** Lookup daemon of the steering model: production placement code on views set by the model. */
import type { Configuration, ConfigurationView } from '../src/configuration/view.js'
import { GatewayDirectory } from '../src/lookup/gatewayDirectory.js'
import { Placer } from '../src/lookup/placement.js'
import type { Member, MembershipView } from '../src/membership/memberRecord.js'
import { MemberHealth, MemberRole, MemberState } from '../src/membership/memberRecord.js'
import { RegionLoadTable } from '../src/shift/regionLoadTable.js'
import { SpillOver } from '../src/shift/spillOver.js'

export const REGIONS = ['east', 'north', 'west'] as const
export const GATEWAYS_PER_REGION = 4

/** Each daemon has its own views, so that updates can reach the daemons at different times. */
export class ModelLookupDaemon {
  readonly members = new ModelMembershipView()
  readonly loads = new RegionLoadTable()
  readonly view = new ModelConfigurationView()
  readonly placer: Placer
  readonly spillOver: SpillOver

  constructor() {
    const directory = new GatewayDirectory(this.members)
    this.spillOver = new SpillOver(this.view, this.loads, (region) => directory.hasGateway(region))
    this.placer = new Placer(this.view, this.members, directory, this.spillOver)
  }
}

class ModelConfigurationView implements ConfigurationView {
  #current: Configuration | undefined
  readonly #listeners = new Set<(configuration: Configuration) => void>()

  current(): Configuration | undefined {
    return this.#current
  }

  subscribe(listener: (configuration: Configuration) => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  publish(configuration: Configuration): void {
    this.#current = configuration
    for (const listener of this.#listeners) listener(configuration)
  }
}

class ModelMembershipView implements MembershipView {
  readonly #failedRegions = new Set<string>()
  readonly #listeners = new Set<() => void>()

  self(): Member {
    return createMember('lookup', 'east', MemberRole.Lookup, 0)
  }

  members(): readonly Member[] {
    return REGIONS.filter((region) => !this.#failedRegions.has(region)).flatMap((region) =>
      Array.from({ length: GATEWAYS_PER_REGION }, (_, index) =>
        createMember(`${region}-${String(index)}`, region, MemberRole.Gateway, index % 2),
      ),
    )
  }

  find(memberId: string): Member | undefined {
    return this.members().find((member) => member.memberId === memberId)
  }

  largestGatewayCount(): number {
    return GATEWAYS_PER_REGION
  }

  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  setRegionFailed(region: string, hasFailed: boolean): void {
    if (hasFailed) this.#failedRegions.add(region)
    else this.#failedRegions.delete(region)
    for (const listener of this.#listeners) listener()
  }
}

function createMember(
  memberId: string,
  region: string,
  role: MemberRole,
  zoneIndex: number,
): Member {
  return {
    memberId,
    role,
    incarnation: '00000000000000aa',
    startedAtMs: 1,
    version: 1,
    state: MemberState.Live,
    health: MemberHealth.Alive,
    region,
    zone: `${region}-${String(zoneIndex)}`,
    site: `${region}-${String(zoneIndex)}`,
    callerAddress: memberId,
    internalAddress: memberId,
  }
}
