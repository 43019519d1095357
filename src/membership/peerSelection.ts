/** Selection of peers for exchanges and pushes. */
import type { ListedInstance } from '../platform/instanceList.js'
import { InstanceKind, InstanceState } from '../platform/instanceList.js'
import type { Member } from './memberRecord.js'
import { MemberHealth, MemberRole, MemberState } from './memberRecord.js'
import type { MemberTable } from './memberTable.js'

/** Address and identifier of a peer to call. */
export interface PeerTarget {
  readonly memberId: string
  /** `host:port` of its internal JSON-RPC port. */
  readonly address: string
  /** Absent for peers that are only in the platform's instance list. */
  readonly role?: MemberRole
}

/** Fraction of the exchanges with other regions; low, as their links have limited bandwidth. */
const OTHER_REGION_FRACTION = 0.1
/**
 * Fraction of the exchanges with failed members and with seeds that are no members. Without
 * these, the two sides of a healed partition would never reconnect.
 */
const RECONNECT_FRACTION = 0.1

/** Returns up to `count` random elements in random order. */
export function sample<Element>(
  elements: readonly Element[],
  count: number,
  random: () => number,
): Element[] {
  const pool = [...elements]
  const chosen: Element[] = []
  while (pool.length > 0 && chosen.length < count) {
    chosen.push(...pool.splice(Math.floor(random() * pool.length), 1))
  }
  return chosen
}

/** Selects peers from the member table and from the platform's instance list. */
export class PeerSelection {
  readonly #table: MemberTable
  readonly #random: () => number
  #seeds: readonly ListedInstance[] = []

  constructor(table: MemberTable, random: () => number) {
    this.#table = table
    this.#random = random
  }

  /** Replaces the seeds by the list's live entry instances. Only their addresses are used, never states. */
  replaceSeeds(listed: readonly ListedInstance[]): void {
    this.#seeds = listed.filter(
      ({ kind, state }) => kind === InstanceKind.Entry && state === InstanceState.Live,
    )
  }

  /** Returns the peer of the next exchange, or `undefined` without any other member or seed. */
  next(): PeerTarget | undefined {
    const draw = this.#random()
    const sameRegion = this.#sameRegionTargets()
    const otherRegions = this.#otherRegionTargets()
    const disconnected = this.#disconnectedTargets()
    if (draw < RECONNECT_FRACTION && disconnected.length > 0) return this.#pick(disconnected)
    if (draw < RECONNECT_FRACTION + OTHER_REGION_FRACTION && otherRegions.length > 0)
      return this.#pick(otherRegions)
    return this.#pick(sameRegion) ?? this.#pick(otherRegions) ?? this.#pick(disconnected)
  }

  /** Returns up to `count` random peers of the own region. */
  sameRegionPeers(count: number): readonly PeerTarget[] {
    return sample(this.#sameRegionTargets(), count, this.#random)
  }

  /** Returns up to `count` random peers of each other region. */
  otherRegionPeers(count: number): readonly PeerTarget[] {
    const members = this.#members().filter(({ region }) => region !== this.#table.self().region)
    const regions = new Set(members.map(({ region }) => region))
    return [...regions].flatMap((region) =>
      sample(
        members.filter((member) => member.region === region),
        count,
        this.#random,
      ).map(toTarget),
    )
  }

  /** Returns up to `count` random seeds of each other region, by region. */
  otherRegionSeeds(count: number): readonly (readonly PeerTarget[])[] {
    const { region } = this.#table.self()
    const seeds = this.#seeds.filter((seed) => seed.region !== region)
    return [...new Set(seeds.map((seed) => seed.region))].map((other) =>
      sample(
        seeds.filter((seed) => seed.region === other),
        count,
        this.#random,
      ).map(seedToTarget),
    )
  }

  /** Returns up to `count` random seeds, those of the own region first. */
  seedPeers(count: number): readonly PeerTarget[] {
    const { region, memberId } = this.#table.self()
    const seeds = sample(this.#seeds, Number.POSITIVE_INFINITY, this.#random).filter(
      (seed) => seed.instanceId !== memberId,
    )
    const sameRegion = seeds.filter((seed) => seed.region === region)
    const otherRegions = seeds.filter((seed) => seed.region !== region)
    return [...sameRegion, ...otherRegions].slice(0, count).map(seedToTarget)
  }

  #pick(targets: readonly PeerTarget[]): PeerTarget | undefined {
    return targets[Math.floor(this.#random() * targets.length)]
  }

  #members(): readonly Member[] {
    const { memberId } = this.#table.self()
    return this.#table.members().filter((member) => member.memberId !== memberId)
  }

  #sameRegionTargets(): readonly PeerTarget[] {
    const { region } = this.#table.self()
    return this.#members()
      .filter((member) => member.region === region)
      .map(toTarget)
  }

  #otherRegionTargets(): readonly PeerTarget[] {
    const { region } = this.#table.self()
    return this.#members()
      .filter((member) => member.region !== region)
      .map(toTarget)
  }

  #disconnectedTargets(): readonly PeerTarget[] {
    const seeds = this.#seeds.filter(({ instanceId }) => this.#isDisconnected(instanceId))
    return [...this.#table.failedMembers().map(toTarget), ...seeds.map(seedToTarget)]
  }

  /** True for failed members too: a restarted process may listen at the address in the list. */
  #isDisconnected(memberId: string): boolean {
    if (memberId === this.#table.self().memberId) return false
    const member = this.#table.find(memberId)
    return (
      member === undefined ||
      member.state === MemberState.Left ||
      member.health === MemberHealth.Failed
    )
  }
}

function toTarget({ memberId, internalAddress, role }: Member): PeerTarget {
  return { memberId, address: internalAddress, role }
}

function seedToTarget({ instanceId, address }: ListedInstance): PeerTarget {
  return { memberId: instanceId, address }
}
