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
export class ModelDaemon {
  readonly members = new ModelMembers()
  readonly loads = new RegionLoadTable()
  readonly view = new ModelView()
  readonly placer: Placer
  readonly spillOver: SpillOver

  constructor() {
    const directory = new GatewayDirectory(this.members)
    this.spillOver = new SpillOver(this.view, this.loads, (region) => directory.hasGateway(region))
    this.placer = new Placer(this.view, this.members, directory, this.spillOver)
  }
}

class ModelView implements ConfigurationView {
  #current: Configuration | undefined
  readonly #listeners = new Set<(configuration: Configuration) => void>()

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

class ModelMembers implements MembershipView {
  readonly #gone = new Set<string>()
  readonly #listeners = new Set<() => void>()

  self(): Member {
    return memberOf('lookup', 'east', MemberRole.Lookup, 0)
  }

  members(): readonly Member[] {
    return REGIONS.filter((region) => !this.#gone.has(region)).flatMap((region) =>
      Array.from({ length: GATEWAYS_PER_REGION }, (_, index) =>
        memberOf(`${region}-${String(index)}`, region, MemberRole.Gateway, index % 2),
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

  setGone(region: string, isGone: boolean): void {
    if (isGone) this.#gone.add(region)
    else this.#gone.delete(region)
    for (const listener of this.#listeners) listener()
  }
}

function memberOf(memberId: string, region: string, role: MemberRole, place: number): Member {
  return {
    memberId,
    role,
    incarnation: '00000000000000aa',
    startedAtMs: 1,
    version: 1,
    state: MemberState.Live,
    health: MemberHealth.Alive,
    region,
    zone: `${region}-${String(place)}`,
    site: `${region}-${String(place)}`,
    callerAddress: memberId,
    internalAddress: memberId,
  }
}
