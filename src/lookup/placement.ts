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
export interface ClientBlockInfo {
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

interface Choice {
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
    const present = configuration.current()
    if (present !== undefined) this.#prepare(present)
  }

  /** @param client IPv4 or IPv6 address */
  place(service: string, client: string, nowMs: number): Result<Placement, LookupError> {
    const configuration = this.#configuration.current()
    if (configuration === undefined) return Err(noConfiguration())
    if (!configuration.document.services.has(service)) return Err(unknownService(service))
    if (parseAddress(client) === undefined) return Err(malformedClient(client))
    const block = this.#blockOf(configuration, client)
    const choice = this.#chooseRegion(configuration, service, block, nowMs)
    if (choice === undefined) return Err(noCapacity(service, block.homeRegion))
    const site = choice.region === block.homeRegion ? block.site : undefined
    const entries = this.#directory.entriesFor(choice.region, site, block.clientHash)
    if (entries[0] !== undefined) this.#directory.noteNamed(entries[0].memberId, nowMs)
    return Ok({
      service,
      revision: configuration.revision,
      homeRegion: block.homeRegion,
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
  #blockOf({ blocks, document }: Configuration, client: string): ClientBlockInfo {
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
    block: ClientBlockInfo,
    nowMs: number,
  ): Choice | undefined {
    const steered = this.#steer(configuration, service, block)
    const wanted = this.#shift(configuration, service, block, steered, nowMs)
    if (wanted.region !== block.homeRegion) {
      if (this.#directory.hasGateway(wanted.region)) return wanted
      if (this.#directory.hasGateway(block.homeRegion)) {
        return { region: block.homeRegion, reason: PlacementReason.TargetLost }
      }
    }
    return this.#placeAtHome(configuration, service, block, wanted, nowMs)
  }

  /**
   * Places the client in its home region, or by spill-over in another one. In the home region
   * the reason of `wanted` is kept.
   */
  #placeAtHome(
    configuration: Configuration,
    service: string,
    block: ClientBlockInfo,
    wanted: Choice,
    nowMs: number,
  ): Choice | undefined {
    const position = this.#orders
      .order(configuration, block.homeRegion, COMMON_ORDER)
      .positionOf(block.blockHash)
    const { homeRegion, blockHash } = block
    const region = this.#spillOver.regionFor(service, homeRegion, position, blockHash, nowMs)
    if (region === undefined || !this.#directory.hasGateway(region)) return undefined
    if (region !== homeRegion) return { region, reason: PlacementReason.SpillOver }
    return wanted.region === homeRegion ? wanted : { region, reason: PlacementReason.Home }
  }

  #steer(configuration: Configuration, service: string, block: ClientBlockInfo): Choice {
    const { homeRegion, blockHash } = block
    const home = { region: homeRegion, reason: PlacementReason.Home }
    const record = configuration.document.steering.get(steeringKey(service, homeRegion))
    if (record === undefined) return home
    const position = this.#orders
      .order(configuration, homeRegion, COMMON_ORDER)
      .positionOf(blockHash)
    // The home region gets the remainder, so that rounding never moves a block.
    const others = Object.entries(record.shares)
      .filter(([region]) => region !== homeRegion)
      .sort(([left], [right]) => (left < right ? -1 : 1))
    let reached = 0
    for (const [region, share] of others) {
      reached += share
      if (position <= reached + Number.EPSILON) return { region, reason: PlacementReason.Steering }
    }
    return home
  }

  /** Shifts apply to blocks of their source region that steering leaves there. */
  #shift(
    configuration: Configuration,
    service: string,
    block: ClientBlockInfo,
    steered: Choice,
    nowMs: number,
  ): Choice {
    let choice = steered
    for (const shift of configuration.document.shifts.values()) {
      const concerns =
        shift.service === service && shift.from === block.homeRegion && choice.region === shift.from
      if (concerns) choice = this.#applyShift(configuration, shift, block, choice, nowMs)
    }
    return choice
  }

  #applyShift(
    configuration: Configuration,
    shift: ShiftRecord,
    block: ClientBlockInfo,
    unmoved: Choice,
    nowMs: number,
  ): Choice {
    const position = this.#orders
      .order(configuration, shift.from, shift.shiftId)
      .positionOf(block.blockHash)
    const limiter = this.#limiters.get(shift.shiftId) ?? new MovedShareLimiter()
    this.#limiters.set(shift.shiftId, limiter)
    const isAllowed = limiter.allows(block.blockHash, position, shift.currentShare, nowMs)
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
