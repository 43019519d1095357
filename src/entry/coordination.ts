/** Runs the service coordinators of this instance, for slot requests of peers and of its own. */
import { PolicyKind, policyFactory, schedulingPolicyFor } from '../scheduling/policySelection.js'
import type { Waiter } from '../scheduling/waiter.js'
import type { BackendServerRegistry, RegisteredBackendServer } from './backendServerRegistry.js'
import type { InstanceRecord } from './instanceRecord.js'
import type { InstanceTable } from './instanceTable.js'
import { coordinatorOrder } from './instanceTable.js'
import type { LoadReport } from './loadReport.js'
import type {
  HeldSlotReport,
  HeldSlotsMessage,
  SlotRequestMessage,
  DemandMessage,
  LendSlotsMessage,
  RemoteShareMessage,
  StatedLimitsMessage,
} from './peerMessages.js'
import { PeerMessageKind, SlotOutcome } from './peerMessages.js'
import type { ServiceSettings } from './routingConfiguration.js'
import type { LimitStatement } from './serverLimits.js'
import type { CoordinatedServer } from './serverState.js'
import type { ConnectionUse } from './serverExchange.js'
import type { ServerStatement } from './serverStatement.js'
import type { CoordinatorStats } from './serviceCoordinator.js'
import { ServiceCoordinator } from './serviceCoordinator.js'
import type { LocalCoordinators, PeerSender } from './slotClient.js'
import type { RegionDemand } from './slotLending.js'
import { slotsToLend } from './slotLending.js'
import type { LinkLoss } from './unconfirmedSlots.js'

/** Interval at which demand and lent slots are sent to other regions, in milliseconds. */
const EXCHANGE_INTERVAL_MS = 400
/** Time to live of the demand of another region, in milliseconds; five exchanges. */
const DEMAND_TTL_MS = 2000
/** Time without requests after which a coordinator stops exchanging demand, in milliseconds. */
const COORDINATOR_IDLE_TIMEOUT_MS = 10_000

export interface CoordinationDependencies {
  readonly table: InstanceTable
  readonly registry: BackendServerRegistry
  readonly peers: PeerSender
  readonly random: () => number
  readonly regionOfZone: (zone: string) => string | undefined
  readonly serviceSettings: (name: string) => ServiceSettings | undefined
  /** Names of the configured services. */
  readonly serviceNames: () => Iterable<string>
  /** Target latency of a route, in milliseconds. */
  readonly targetLatencyMs: (route: string) => number | undefined
  /** Whether the configuration has tenants; none if it is left out. */
  readonly hasTenants?: () => boolean
}

/**
 * Age at which a coordinator without requests assumes an even demand, in ms. A coordinator that
 * takes over gets its first request earlier, and continues with the state handed over to it.
 */
const PREPARE_AFTER_MS = 1500

/** Time after the last request in which a coordinator hands over its state, in milliseconds. */
const HANDOVER_TTL_MS = 2000

interface CoordinatedService {
  readonly createdAtMs: number
  readonly coordinator: ServiceCoordinator
  readonly demands: Map<string, { readonly demand: RegionDemand; readonly atMs: number }>
  /** Regions to which the latest exchange lent slots of servers with a limit. */
  readonly limitBorrowers: Set<string>
  usedAtMs: number
  generation: number
  policyKind: PolicyKind
}

/** Requests per second assumed for cold servers of a service that is not configured. */
const DEFAULT_COLD_REQUESTS_PER_SECOND = 1

/** Creates coordinators on demand; any instance may become the coordinator of a service. */
export class Coordination implements LocalCoordinators {
  readonly #dependencies: CoordinationDependencies
  readonly #services = new Map<string, CoordinatedService>()
  /** Incarnation of each peer that has greeted this instance, by name. */
  readonly #incarnations = new Map<string, string>()
  #exchangedAtMs = Number.NEGATIVE_INFINITY

  constructor(dependencies: CoordinationDependencies) {
    this.#dependencies = dependencies
  }

  requestSlot(waiter: Waiter, nowMs: number): void {
    const { service, route } = waiter.request
    const coordinated = this.#getOrCreate(service, nowMs)
    coordinated.usedAtMs = nowMs
    if (!coordinated.coordinator.hasRequests && !coordinated.coordinator.hasAssumedDemand) {
      const { totalSlots, regions } = this.#capacityOf(service)
      coordinated.coordinator.startCold(totalSlots, regions)
    }
    const targetMs = this.#dependencies.targetLatencyMs(route)
    if (targetMs !== undefined) coordinated.coordinator.setTargetLatency(route, targetMs)
    coordinated.coordinator.requestSlot(waiter, nowMs)
  }

  cancel(service: string, key: string): void {
    this.#services.get(service)?.coordinator.cancel(key)
  }

  releaseSlot(
    service: string,
    key: string,
    use: SlotOutcome,
    durationMs: number,
    report: LoadReport | null,
    nowMs: number,
    stated?: ServerStatement,
    connection?: ConnectionUse,
  ): void {
    const coordinator = this.#services.get(service)?.coordinator
    coordinator?.releaseSlot(key, use, durationMs, report, nowMs, stated, connection)
  }

  adopt(service: string, instance: string, uses: readonly HeldSlotReport[], nowMs: number): void {
    this.#getOrCreate(service, nowMs).coordinator.adopt(instance, uses, nowMs)
  }

  /** Handles the slot request of a peer. */
  handleSlotRequest(peer: string, { ask: details }: SlotRequestMessage, nowMs: number): void {
    const zone = this.#dependencies.table.find(peer)?.zone ?? ''
    const { peers } = this.#dependencies
    const { askId } = details
    this.requestSlot(
      {
        key: `${peer}/${askId}`,
        request: details,
        zone,
        arrivedAtMs: nowMs,
        targetAtMs: nowMs + details.targetInMs,
        deadlineAtMs: nowMs + details.deadlineInMs,
        onGranted: (serverId, mayConnectionsBeLost = false) => {
          const grant = { kind: PeerMessageKind.Grant as const, askId, serverId }
          peers.send(peer, mayConnectionsBeLost ? { ...grant, mayConnectionsBeLost } : grant)
        },
        onRefused: (reason, retryAfterMs) => {
          peers.send(peer, { kind: PeerMessageKind.Refuse, askId, reason, retryAfterMs })
        },
      },
      nowMs,
    )
  }

  /** Withdraws the slot request of a peer, or releases the slot if it was granted meanwhile. */
  handleCancel(peer: string, service: string, askId: number, nowMs: number): void {
    const key = `${peer}/${askId}`
    this.cancel(service, key)
    this.releaseSlot(service, key, SlotOutcome.Abandoned, 0, null, nowMs)
  }

  /** Handles the report of a peer about the slots that it holds. */
  handleHeldSlots(
    peer: string,
    { service, uses, isComplete }: HeldSlotsMessage,
    nowMs: number,
  ): void {
    if (isComplete !== true) this.adopt(service, peer, uses, nowMs)
    else this.#getOrCreate(service, nowMs).coordinator.confirmInstance(peer, uses, nowMs)
  }

  handlePeerLoss(peer: string, loss: LinkLoss, nowMs: number): void {
    for (const { coordinator } of this.#services.values()) {
      coordinator.suspectInstance(peer, loss, nowMs)
    }
  }

  /** Handles the greeting of a peer; another incarnation of it no longer runs earlier requests. */
  handlePeerUp({ name, incarnation }: InstanceRecord, nowMs: number): void {
    const previous = this.#incarnations.get(name)
    this.#incarnations.set(name, incarnation)
    if (previous === undefined || previous === incarnation) return
    for (const { coordinator } of this.#services.values()) coordinator.removeInstance(name, nowMs)
  }

  /** Gives up what other regions lent, after a pause in which it may have expired. */
  handlePause(nowMs: number): void {
    for (const { coordinator } of this.#services.values()) coordinator.giveUpBorrowedSlots(nowMs)
  }

  handleDemand(message: DemandMessage, nowMs: number): void {
    const { service, region, neededSlots, slots } = message
    const demand = { region, neededSlots, slots }
    const coordinated = this.#getOrCreate(service, nowMs)
    coordinated.usedAtMs = nowMs
    coordinated.demands.set(region, { demand, atMs: nowMs })
  }

  handleLentSlots(message: LendSlotsMessage, nowMs: number): void {
    this.#getOrCreate(message.service, nowMs).coordinator.borrow(
      message.region,
      message.slots,
      nowMs,
    )
  }

  /** Accepts the remote share and the demand from the previous coordinator of a service. */
  handleHandover({ service, share, neededSlots }: RemoteShareMessage, nowMs: number): void {
    const isNew = !this.#services.has(service)
    const coordinated = this.#getOrCreate(service, nowMs)
    // A successor must not exchange demand for the region before it gets requests itself.
    if (isNew) coordinated.usedAtMs = Number.NEGATIVE_INFINITY
    coordinated.coordinator.acceptHandover(share, neededSlots, nowMs)
  }

  /** Accepts the limits that servers stated to another coordinator of the service. */
  handleStatedLimits({ service, limits }: StatedLimitsMessage, nowMs: number): void {
    const isNew = !this.#services.has(service)
    const coordinated = this.#getOrCreate(service, nowMs)
    if (isNew) coordinated.usedAtMs = Number.NEGATIVE_INFINITY
    coordinated.coordinator.acceptLimits(
      limits.map(({ serverId, limitPerSecond, ageMs }) => ({
        serverId,
        limitPerSecond,
        statedAtMs: nowMs - ageMs,
      })),
      nowMs,
    )
  }

  /**
   * Sends the state of each active coordinator to its successor; called periodically and when a
   * peer connects.
   */
  handOver(nowMs: number): void {
    const { table, peers } = this.#dependencies
    const live = table.liveInstances(table.self.region, nowMs)
    for (const [service, { coordinator, usedAtMs }] of this.#services) {
      if (!coordinator.hasRequests || nowMs - usedAtMs > HANDOVER_TTL_MS) continue
      const successor = coordinatorOrder(service, live).find(({ name }) => name !== table.self.name)
      if (successor === undefined) continue
      this.#sendLimits(successor.name, service, coordinator.statedLimits(), nowMs)
      // After a start of all instances, the successor would have to grow a share of 0 slowly.
      if (coordinator.isShareUnlimited(nowMs)) continue
      const { share, neededSlots } = coordinator.handoverState(nowMs)
      peers.send(successor.name, { kind: PeerMessageKind.RemoteShare, service, share, neededSlots })
    }
  }

  /** Whether any request is queued at a coordinator of this instance. */
  get hasWaiters(): boolean {
    for (const { coordinator } of this.#services.values()) if (coordinator.hasWaiters) return true
    return false
  }

  /** Updates and ticks all coordinators, and exchanges demand with other regions when due. */
  tick(nowMs: number): void {
    this.#dependencies.registry.removeMissing(nowMs)
    for (const [service, coordinated] of this.#services) {
      this.#refresh(service, coordinated, nowMs)
      coordinated.coordinator.tick(nowMs)
    }
    if (nowMs - this.#exchangedAtMs < EXCHANGE_INTERVAL_MS) return
    this.#exchangedAtMs = nowMs
    this.#prepareServices(nowMs)
    this.handOver(nowMs)
    for (const [service, coordinated] of this.#services) {
      if (nowMs - coordinated.usedAtMs < COORDINATOR_IDLE_TIMEOUT_MS) {
        this.#exchangeDemand(service, coordinated, nowMs)
      }
    }
  }

  stats(nowMs: number): CoordinatorStats[] {
    return [...this.#services.values()].map(({ coordinator }) => coordinator.stats(nowMs))
  }

  /**
   * Prepares the services that this instance coordinates, so that their remote share is set before
   * traffic starts.
   */
  #prepareServices(nowMs: number): void {
    const { serviceNames, table } = this.#dependencies
    for (const service of serviceNames()) {
      const existing = this.#services.get(service)
      if (existing?.coordinator.hasTraffic === true) continue
      const live = table.liveInstances(table.self.region, nowMs)
      if (coordinatorOrder(service, live)[0]?.name !== table.self.name) continue
      const coordinated = existing ?? this.#getOrCreate(service, nowMs)
      coordinated.usedAtMs = nowMs
      if (nowMs - coordinated.createdAtMs < PREPARE_AFTER_MS) continue
      const { totalSlots, regions } = this.#capacityOf(service)
      coordinated.coordinator.prepare(totalSlots, regions)
    }
  }

  /** Slots of a service in all regions, and number of regions with entry instances. */
  #capacityOf(service: string): { readonly totalSlots: number; readonly regions: number } {
    const { table, registry } = this.#dependencies
    const totalSlots = registry
      .usable()
      .reduce((sum, server) => sum + (server.service === service ? server.slots : 0), 0)
    const regions = new Set([table.self, ...table.others()].map(({ region }) => region))
    return { totalSlots, regions: regions.size }
  }

  #getOrCreate(service: string, nowMs: number): CoordinatedService {
    const existing = this.#services.get(service)
    if (existing !== undefined) {
      this.#refresh(service, existing, nowMs)
      return existing
    }
    const { random, table } = this.#dependencies
    const created: CoordinatedService = {
      coordinator: new ServiceCoordinator(service, table.self.region, random, nowMs),
      demands: new Map(),
      limitBorrowers: new Set(),
      createdAtMs: nowMs,
      usedAtMs: nowMs,
      generation: -1,
      policyKind: PolicyKind.TargetFirst,
    }
    this.#services.set(service, created)
    this.#refresh(service, created, nowMs)
    return created
  }

  #choosePolicy(coordinated: CoordinatedService): void {
    const kind = schedulingPolicyFor(this.#dependencies.hasTenants?.() === true)
    if (kind === coordinated.policyKind) return
    coordinated.policyKind = kind
    coordinated.coordinator.setPolicy(policyFactory(kind))
  }

  /** Passes changes of the configuration and of the usable servers on to the coordinator. */
  #refresh(service: string, coordinated: CoordinatedService, nowMs: number): void {
    this.#choosePolicy(coordinated)
    const { registry, table } = this.#dependencies
    if (coordinated.generation === registry.generation) return
    coordinated.generation = registry.generation
    const localServers = registry
      .usable()
      .filter((server) => server.service === service)
      .map((server) => this.#toCoordinatedServer(server))
      .filter((server) => server.region === table.self.region)
    const findServer = (id: string): CoordinatedServer | undefined => {
      const server = registry.find(id)
      const isUsable = server !== undefined && registry.isUsable(id) && server.service === service
      return isUsable ? this.#toCoordinatedServer(server) : undefined
    }
    coordinated.coordinator.updateServers(localServers, findServer, nowMs)
  }

  #toCoordinatedServer(server: RegisteredBackendServer): CoordinatedServer {
    const { serviceSettings, regionOfZone } = this.#dependencies
    return {
      id: server.id,
      startedAtMs: server.startedAtMs,
      region: regionOfZone(server.zone) ?? '',
      zone: server.zone,
      slots: server.slots,
      coldUntilMs: server.coldUntilMs,
      coldRequestsPerSecond:
        serviceSettings(server.service)?.coldRequestsPerSecond ?? DEFAULT_COLD_REQUESTS_PER_SECOND,
    }
  }

  /** Sends the demand of this region and the slots lent to the coordinators of other regions. */
  #exchangeDemand(service: string, coordinated: CoordinatedService, nowMs: number): void {
    const { table, peers } = this.#dependencies
    const ownDemand = coordinated.coordinator.advertisedDemand(nowMs)
    for (const [region, { atMs }] of coordinated.demands) {
      if (nowMs - atMs > DEMAND_TTL_MS) coordinated.demands.delete(region)
    }
    const others = [...coordinated.demands.values()].map(({ demand }) => demand)
    const counts = slotsToLend(ownDemand.region, [ownDemand, ...others])
    const lentSlots = coordinated.coordinator.lend(counts, nowMs)
    const limits = coordinated.coordinator.takeNewLimits(nowMs)
    const regions = new Set(table.others().map(({ region }) => region))
    regions.delete(ownDemand.region)
    for (const region of regions) {
      const [coordinator] = coordinatorOrder(service, table.liveInstances(region, nowMs))
      if (coordinator === undefined) continue
      peers.send(coordinator.name, { kind: PeerMessageKind.Demand, service, ...ownDemand })
      this.#sendLimits(coordinator.name, service, limits, nowMs)
      const slots = lentSlots.get(region) ?? []
      // A loan that ends expires, so that a short dip of demand moves no requests. One with a limit
      // is taken back at once, because both regions would spend the limit meanwhile.
      if (slots.length === 0 && !coordinated.limitBorrowers.has(region)) continue
      if (slots.some(({ serverId }) => coordinated.coordinator.hasLimit(serverId)))
        coordinated.limitBorrowers.add(region)
      else coordinated.limitBorrowers.delete(region)
      peers.send(coordinator.name, {
        kind: PeerMessageKind.LendSlots,
        service,
        region: ownDemand.region,
        slots,
      })
    }
  }

  #sendLimits(
    peer: string,
    service: string,
    statements: readonly LimitStatement[],
    nowMs: number,
  ): void {
    if (statements.length === 0) return
    const limits = statements.map(({ serverId, limitPerSecond, statedAtMs }) => ({
      serverId,
      limitPerSecond,
      ageMs: Math.round(nowMs - statedAtMs),
    }))
    this.#dependencies.peers.send(peer, { kind: PeerMessageKind.StatedLimits, service, limits })
  }
}
