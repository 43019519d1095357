/** Selects the region and the entry instances that serve a client. */
import { SteeringError } from '../common/errors.js'
import { hashText } from '../common/hashing.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import { NO_BLOCK } from '../configuration/blockTable.js'
import type { ShiftRecord } from '../configuration/document.js'
import { steeringKey } from '../configuration/document.js'
import { parseAddress } from '../configuration/packedPrefix.js'
import type { Configuration, ConfigurationView } from '../configuration/view.js'
import type { Member, MembershipView } from '../membership/memberRecord.js'
import { MovedShareLimiter } from '../shift/movedShareLimiter.js'
import { BlockOrders, COMMON_ORDER } from './blockOrders.js'
import { GatewayDirectory } from './gatewayDirectory.js'

/** Reasons for refusing a look-up; the values are sent to callers. */
export enum LookupErrorKind {
  MalformedQuery = 'lookupMalformed',
  UnknownService = 'lookupUnknownService',
  /** No configuration has arrived yet. */
  NoConfiguration = 'lookupNoConfiguration',
  /** No region with a live gateway has spare capacity for the client. */
  NoCapacity = 'lookupNoCapacity',
}

/** Refusal of a look-up; no operation was run. */
export class LookupError extends SteeringError<LookupErrorKind> {}

/** Why a client is placed in a region; written to the decision log. */
export enum PlacementReason {
  Home = 'home',
  Steering = 'steering',
  Shift = 'shift',
  /** A shift selects the block, but the limit of moved answers is reached. */
  HeldHome = 'heldHome',
  /** The target of the shift or steering record has no live gateway. */
  TargetLost = 'targetLost',
  SpillOver = 'spillOver',
}

/** Region and entry instances for one client. */
export interface Placement {
  readonly service: string
  readonly revision: number
  readonly homeRegion: string
  readonly region: string
  readonly shiftId?: string
  readonly reason: PlacementReason
  /** Gateways, best first; at least one. */
  readonly entries: readonly Member[]
}

/** A client with its block, site and home region by the configuration. */
export interface ClientLocation {
  readonly clientHash: number
  /** Hash of the block, or of the address for clients outside all blocks. */
  readonly blockHash: number
  /** Site of the block; absent for clients outside all blocks. */
  readonly site: string | undefined
  readonly homeRegion: string
}

/** Selects another region for clients that their home region has no capacity for. */
export interface SpillOverSource {
  /**
   * Returns the region for a block of `homeRegion`: the home region, another one, or `undefined`
   * if no region has spare capacity.
   *
   * @param position position of the block in {@link COMMON_ORDER}, 0 to 1
   */
  regionFor(
    service: string,
    homeRegion: string,
    position: number,
    blockHash: number,
    nowMs: number,
  ): string | undefined
}

interface RegionChoice {
  readonly region: string
  readonly reason: PlacementReason
  readonly shiftId?: string
}

/** Places clients by the current configuration, members and load. */
export class Placer {
  readonly #configuration: ConfigurationView
  readonly #members: MembershipView
  readonly #directory: GatewayDirectory
  readonly #spillOver: SpillOverSource
  readonly #orders = new BlockOrders()
  readonly #limiters = new Map<string, MovedShareLimiter>()

  constructor(
    configuration: ConfigurationView,
    members: MembershipView,
    directory: GatewayDirectory,
    spillOver: SpillOverSource,
  ) {
    this.#configuration = configuration
    this.#members = members
    this.#directory = directory
    this.#spillOver = spillOver
    configuration.subscribe((revision) => {
      this.#prepare(revision)
    })
    const current = configuration.current()
    if (current !== undefined) this.#prepare(current)
  }

  /** @param client IPv4 or IPv6 address */
  place(service: string, client: string, nowMs: number): Result<Placement, LookupError> {
    const configuration = this.#configuration.current()
    if (configuration === undefined) return Err(noConfiguration())
    if (!configuration.document.services.has(service)) return Err(unknownService(service))
    if (parseAddress(client) === undefined) return Err(malformedClient(client))
    const location = this.#locate(configuration, client)
    const choice = this.#chooseRegion(configuration, service, location, nowMs)
    if (choice === undefined) return Err(noCapacity(service, location.homeRegion))
    const site = choice.region === location.homeRegion ? location.site : undefined
    const entries = this.#directory.entriesFor(choice.region, site, location.clientHash)
    if (entries[0] !== undefined) this.#directory.recordNamed(entries[0].memberId, nowMs)
    return Ok({
      service,
      revision: configuration.revision,
      homeRegion: location.homeRegion,
      ...choice,
      entries,
    })
  }

  #prepare(configuration: Configuration): void {
    this.#orders.prepare(configuration)
    for (const shiftId of this.#limiters.keys()) {
      if (!configuration.document.shifts.has(shiftId)) this.#limiters.delete(shiftId)
    }
  }

  /** Clients outside all blocks or of an unknown site get the region of this process as home. */
  #locate({ blocks, document }: Configuration, client: string): ClientLocation {
    const clientHash = hashText(client)
    const index = blocks.find(client)
    const site = index === NO_BLOCK ? undefined : blocks.siteAt(index)
    const homeRegion = document.sites.get(site ?? '')?.region ?? this.#members.self().region
    const blockHash = index === NO_BLOCK ? clientHash : blocks.hashAt(index)
    return { clientHash, blockHash, site, homeRegion }
  }

  #chooseRegion(
    configuration: Configuration,
    service: string,
    location: ClientLocation,
    nowMs: number,
  ): RegionChoice | undefined {
    const steered = this.#applySteering(configuration, service, location)
    const preferred = this.#applyShifts(configuration, service, location, steered, nowMs)
    if (preferred.region !== location.homeRegion) {
      if (this.#directory.hasGateway(preferred.region)) return preferred
      if (this.#directory.hasGateway(location.homeRegion)) {
        return { region: location.homeRegion, reason: PlacementReason.TargetLost }
      }
    }
    return this.#placeAtHomeOrSpillOver(configuration, service, location, preferred, nowMs)
  }

  /**
   * Places the client in its home region, or by spill-over in another one. In the home region
   * the reason of `preferred` is kept.
   */
  #placeAtHomeOrSpillOver(
    configuration: Configuration,
    service: string,
    location: ClientLocation,
    preferred: RegionChoice,
    nowMs: number,
  ): RegionChoice | undefined {
    const position = this.#orders
      .order(configuration, location.homeRegion, COMMON_ORDER)
      .positionOf(location.blockHash)
    const { homeRegion, blockHash } = location
    const region = this.#spillOver.regionFor(service, homeRegion, position, blockHash, nowMs)
    if (region === undefined || !this.#directory.hasGateway(region)) return undefined
    if (region !== homeRegion) return { region, reason: PlacementReason.SpillOver }
    return preferred.region === homeRegion ? preferred : { region, reason: PlacementReason.Home }
  }

  #applySteering(
    configuration: Configuration,
    service: string,
    location: ClientLocation,
  ): RegionChoice {
    const { homeRegion, blockHash } = location
    const home = { region: homeRegion, reason: PlacementReason.Home }
    const record = configuration.document.steering.get(steeringKey(service, homeRegion))
    if (record === undefined) return home
    const position = this.#orders
      .order(configuration, homeRegion, COMMON_ORDER)
      .positionOf(blockHash)
    // The home region gets the remainder, so that rounding never moves a block.
    const remoteShares = Object.entries(record.shares)
      .filter(([region]) => region !== homeRegion)
      .sort(([left], [right]) => (left < right ? -1 : 1))
    let cumulativeShare = 0
    for (const [region, share] of remoteShares) {
      cumulativeShare += share
      if (position <= cumulativeShare + Number.EPSILON)
        return { region, reason: PlacementReason.Steering }
    }
    return home
  }

  /** Shifts apply to blocks of their source region that steering leaves there. */
  #applyShifts(
    configuration: Configuration,
    service: string,
    location: ClientLocation,
    steered: RegionChoice,
    nowMs: number,
  ): RegionChoice {
    let choice = steered
    for (const shift of configuration.document.shifts.values()) {
      const applies =
        shift.service === service &&
        shift.from === location.homeRegion &&
        choice.region === shift.from
      if (applies) choice = this.#applyShift(configuration, shift, location, choice, nowMs)
    }
    return choice
  }

  #applyShift(
    configuration: Configuration,
    shift: ShiftRecord,
    location: ClientLocation,
    unmoved: RegionChoice,
    nowMs: number,
  ): RegionChoice {
    const position = this.#orders
      .order(configuration, shift.from, shift.shiftId)
      .positionOf(location.blockHash)
    const limiter = this.#limiters.get(shift.shiftId) ?? new MovedShareLimiter()
    this.#limiters.set(shift.shiftId, limiter)
    const isAllowed = limiter.allows(location.blockHash, position, shift.currentShare, nowMs)
    if (isAllowed) {
      return { region: shift.to, reason: PlacementReason.Shift, shiftId: shift.shiftId }
    }
    return position <= shift.currentShare
      ? { region: unmoved.region, reason: PlacementReason.HeldHome }
      : unmoved
  }
}

function noConfiguration(): LookupError {
  return new LookupError(
    LookupErrorKind.NoConfiguration,
    'This process has not received a configuration yet',
    'look up again later or ask another instance',
  )
}

function unknownService(service: string): LookupError {
  return new LookupError(
    LookupErrorKind.UnknownService,
    `The service ${service} is not in the configuration`,
    'correct the service parameter, or have an operator add the service',
  )
}

function malformedClient(client: string): LookupError {
  return new LookupError(
    LookupErrorKind.MalformedQuery,
    `The client ${client} is not an IP address`,
    'give the IPv4 or IPv6 address of the client in the client parameter',
  )
}

function noCapacity(service: string, region: string): LookupError {
  return new LookupError(
    LookupErrorKind.NoCapacity,
    `No region has room for callers of ${service} from ${region}`,
    'look up again after the time in the Retry-After header',
  )
}
