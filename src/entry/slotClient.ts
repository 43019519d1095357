/** Client of the service coordinators; acquires and releases slots for this instance. */
import type { Clock } from '../common/clock.js'
import type { Waiter } from '../scheduling/waiter.js'
import type { InstanceTable } from './instanceTable.js'
import { coordinatorOrder } from './instanceTable.js'
import type { LoadReport } from './loadReport.js'
import type {
  HeldSlotReport,
  GrantMessage,
  PeerMessage,
  RefuseMessage,
  SlotRequestDetails,
  SlotOutcome,
} from './peerMessages.js'
import { PeerMessageKind } from './peerMessages.js'
import type { ConnectionUse } from './serverExchange.js'
import type { ServerStatement } from './serverStatement.js'

/** The coordinators that run in this process. */
export interface LocalCoordinators {
  requestSlot(waiter: Waiter, nowMs: number): void
  cancel(service: string, key: string): void
  releaseSlot(
    service: string,
    key: string,
    use: SlotOutcome,
    durationMs: number,
    report: LoadReport | null,
    nowMs: number,
    stated?: ServerStatement,
    connection?: ConnectionUse,
  ): void
  adopt(service: string, instance: string, uses: readonly HeldSlotReport[], nowMs: number): void
}

/** Sends messages to peers. */
export interface PeerSender {
  isUp(peer: string): boolean
  send(peer: string, message: PeerMessage): boolean
}

/** A granted slot. */
export interface SlotGrant {
  readonly serverId: string
  /** Name of the instance that granted the slot. */
  readonly coordinator: string
  /** Whether instances lost connections to servers of the service a short time ago. */
  readonly mayConnectionsBeLost: boolean
  /**
   * Releases the slot; further calls have no effect.
   * @param stated by the server in its answer
   * @param connection what became of the connection to the server
   */
  release(
    use: SlotOutcome,
    durationMs: number,
    report: LoadReport | null,
    stated?: ServerStatement,
    connection?: ConnectionUse,
  ): void
}

/** Receives the outcome of a slot request, exactly once. */
export interface SlotListener {
  onGranted(grant: SlotGrant): void
  onRefused(reason: string, retryAfterMs: number, coordinator: string): void
}

/** A slot request of this instance; its times are absolute, of the monotonic clock. */
export type LocalSlotRequest = Omit<SlotRequestDetails, 'askId' | 'targetInMs' | 'deadlineInMs'> & {
  readonly targetAtMs: number
  readonly deadlineAtMs: number
}

interface PendingRequest {
  readonly request: LocalSlotRequest
  readonly listener: SlotListener
  readonly coordinator: string
  /** Set while the request waits for a link to its coordinator. */
  readonly unsentSinceMs: number | undefined
}

interface HeldSlot {
  readonly service: string
  /** Region of the coordinators that grant such slots. */
  readonly region: string
  readonly route: string
  readonly serverId: string
  readonly coordinator: string
  readonly sinceMs: number
}

/** Coordinator that got the latest request for a service in a region. */
interface LastCoordinator {
  readonly service: string
  readonly region: string
  readonly name: string
}

/** Time in which a link to the coordinator of another region opens, in ms; some round trips. */
const MAX_LINK_WAIT_MS = 700
/** Time after which a caller comes back whose request found no link, in milliseconds. */
const NO_LINK_RETRY_AFTER_MS = 500

/** Requests slots from the coordinator of each service, or from its successor if it fails. */
export class SlotClient {
  readonly #table: InstanceTable
  readonly #peers: PeerSender
  readonly #local: LocalCoordinators
  readonly #clock: Clock
  readonly #pending = new Map<number, PendingRequest>()
  readonly #heldSlots = new Map<number, HeldSlot>()
  readonly #lastCoordinators = new Map<string, LastCoordinator>()
  #lastId = 0

  constructor(table: InstanceTable, peers: PeerSender, local: LocalCoordinators, clock: Clock) {
    this.#table = table
    this.#peers = peers
    this.#local = local
    this.#clock = clock
  }

  /** Number of requests that wait for a slot, and of slots in use; for metrics. */
  get stats(): { readonly waiting: number; readonly held: number } {
    return { waiting: this.#pending.size, held: this.#heldSlots.size }
  }

  /** Requests a slot; the returned function withdraws a request that is still undecided. */
  acquire(request: LocalSlotRequest, listener: SlotListener): () => void {
    this.#sendRequest(this.#nextId(), request, listener)
    return () => {
      for (const [askId, pending] of this.#pending) {
        if (pending.listener === listener) this.#withdraw(askId)
      }
    }
  }

  /**
   * Withdraws the undecided requests and sends them anew. After a pause, a grant that was on its
   * way may be for a slot that its coordinator has granted to another instance since.
   */
  renewPending(): void {
    for (const [askId, { coordinator, request, listener }] of [...this.#pending]) {
      if (coordinator === this.#table.self.name) continue
      this.#withdraw(askId)
      this.#sendRequest(this.#nextId(), request, listener)
    }
  }

  /** Handles the grant of a coordinator. */
  handleGrant(peer: string, message: GrantMessage): void {
    const pending = this.#pending.get(message.askId)
    if (pending?.coordinator !== peer) {
      // Withdrawn, or sent to another coordinator meanwhile; the cancel message releases the slot.
      return
    }
    this.#acceptGrant(pending, message)
  }

  /** Handles the refusal of a coordinator. */
  handleRefusal(peer: string, message: RefuseMessage): void {
    const pending = this.#pending.get(message.askId)
    if (pending?.coordinator !== peer) return
    this.#pending.delete(message.askId)
    pending.listener.onRefused(message.reason, message.retryAfterMs, peer)
  }

  /** Handles a lost link: sends requests pending at the peer to its successor. */
  handlePeerLoss(peer: string): void {
    for (const [askId, { coordinator, request, listener }] of [...this.#pending]) {
      if (coordinator !== peer) continue
      this.#pending.delete(askId)
      this.#sendRequest(askId, request, listener)
    }
  }

  /** Handles a new link: reports the slots in use to a coordinator that may have given them up. */
  handlePeerUp(peer: string): void {
    const nowMs = this.#clock()
    for (const last of this.#lastCoordinators.values()) {
      if (last.name === peer) this.#sendHeldSlots(last, nowMs)
    }
    for (const [askId, { coordinator, request, listener, unsentSinceMs }] of [...this.#pending]) {
      if (coordinator !== peer || unsentSinceMs === undefined) continue
      this.#pending.delete(askId)
      this.#sendRequest(askId, request, listener)
    }
  }

  /** Refuses requests that found no link to a region that may serve them. */
  refuseUnsent(nowMs: number): void {
    for (const [askId, { listener, unsentSinceMs, coordinator }] of [...this.#pending]) {
      if (unsentSinceMs === undefined || nowMs - unsentSinceMs < MAX_LINK_WAIT_MS) continue
      this.#pending.delete(askId)
      listener.onRefused('no link to a home region', NO_LINK_RETRY_AFTER_MS, coordinator)
    }
  }

  #nextId(): number {
    this.#lastId += 1
    return this.#lastId
  }

  /**
   * Region whose coordinator is asked: this one if it may serve the request, so that its objects stay
   * with the servers of one coordinator; else the first that may and has live instances.
   */
  #regionFor({ regions }: LocalSlotRequest, nowMs: number): string {
    const { self } = this.#table
    if (regions.length === 0 || regions.includes(self.region)) return self.region
    return (
      regions.find((region) => this.#table.liveInstances(region, nowMs).length > 0) ?? self.region
    )
  }

  /** Current coordinator of a service; this instance if no other of its region is reachable. */
  coordinatorOf(service: string, nowMs: number, region = this.#table.self.region): string {
    const { self } = this.#table
    if (region !== self.region) {
      const [first] = coordinatorOrder(service, this.#table.liveInstances(region, nowMs))
      return first?.name ?? self.name
    }
    for (const { name } of coordinatorOrder(
      service,
      this.#table.liveInstances(self.region, nowMs),
    )) {
      if (name === self.name || this.#peers.isUp(name)) return name
    }
    return self.name
  }

  #sendRequest(askId: number, request: LocalSlotRequest, listener: SlotListener): void {
    const nowMs = this.#clock()
    const region = this.#regionFor(request, nowMs)
    const coordinator = this.coordinatorOf(request.service, nowMs, region)
    const { self } = this.#table
    const isLinked = coordinator === self.name || this.#peers.isUp(coordinator)
    const isUnsent = region !== self.region && !isLinked
    const unsentSinceMs = isUnsent ? nowMs : undefined
    if (!isUnsent)
      this.#reportHeldSlots({ service: request.service, region, name: coordinator }, nowMs)
    this.#pending.set(askId, { request, listener, coordinator, unsentSinceMs })
    const { targetAtMs, deadlineAtMs, ...rest } = request
    const targetInMs = Math.round(targetAtMs - nowMs)
    const deadlineInMs = Math.round(deadlineAtMs - nowMs)
    const details: SlotRequestDetails = { ...rest, askId, targetInMs, deadlineInMs }
    if (coordinator !== self.name) {
      this.#peers.send(coordinator, { kind: PeerMessageKind.SlotRequest, ask: details })
      return
    }
    const answeredBy = self.name
    this.#local.requestSlot(
      {
        key: `${self.name}/${askId}`,
        request: details,
        zone: self.zone,
        arrivedAtMs: nowMs,
        targetAtMs,
        deadlineAtMs,
        onGranted: (serverId, mayConnectionsBeLost = false) => {
          const kind = PeerMessageKind.Grant
          this.handleGrant(answeredBy, { kind, askId, serverId, mayConnectionsBeLost })
        },
        onRefused: (reason, retryAfterMs) => {
          const kind = PeerMessageKind.Refuse
          this.handleRefusal(answeredBy, { kind, askId, reason, retryAfterMs })
        },
      },
      nowMs,
    )
  }

  /** Reports the slots in use to a new coordinator before the first slot request is sent to it. */
  #reportHeldSlots(coordinator: LastCoordinator, nowMs: number): void {
    const key = lastKey(coordinator)
    const previous = this.#lastCoordinators.get(key)
    if (previous?.name === coordinator.name) return
    this.#lastCoordinators.set(key, coordinator)
    if (previous !== undefined) this.#sendHeldSlots(coordinator, nowMs)
  }

  /** The coordinator may have granted some of the slots itself and given them up since. */
  #sendHeldSlots({ service, region, name }: LastCoordinator, nowMs: number): void {
    const uses: HeldSlotReport[] = []
    for (const [askId, held] of this.#heldSlots) {
      if (held.service !== service || held.region !== region) continue
      const { serverId, route, sinceMs } = held
      uses.push({ askId, serverId, route, forMs: Math.round(nowMs - sinceMs) })
    }
    const { self } = this.#table
    if (name === self.name) this.#local.adopt(service, self.name, uses, nowMs)
    else {
      const kind = PeerMessageKind.HeldSlots
      this.#peers.send(name, { kind, service, uses, isComplete: true })
    }
  }

  #acceptGrant(pending: PendingRequest, message: GrantMessage): void {
    const { askId, serverId, mayConnectionsBeLost = false } = message
    this.#pending.delete(askId)
    const { service, route } = pending.request
    const { coordinator } = pending
    const sinceMs = this.#clock()
    const region = this.#table.find(coordinator)?.region ?? this.#table.self.region
    this.#heldSlots.set(askId, { service, region, route, serverId, coordinator, sinceMs })
    pending.listener.onGranted({
      serverId,
      coordinator,
      mayConnectionsBeLost,
      release: (use, durationMs, report, stated, connection = {}) => {
        if (!this.#heldSlots.delete(askId)) return
        const grantedBy = { service, region, name: coordinator }
        this.#release(askId, grantedBy, use, durationMs, report, stated, connection)
      },
    })
  }

  #release(
    askId: number,
    grantedBy: LastCoordinator,
    use: SlotOutcome,
    durationMs: number,
    report: LoadReport | null,
    stated: ServerStatement | undefined,
    connection: ConnectionUse,
  ): void {
    const { service } = grantedBy
    const current = this.#lastCoordinators.get(lastKey(grantedBy)) ?? grantedBy
    for (const coordinator of new Set([grantedBy.name, current.name])) {
      if (coordinator === this.#table.self.name) {
        const key = `${coordinator}/${askId}`
        const nowMs = this.#clock()
        this.#local.releaseSlot(service, key, use, durationMs, report, nowMs, stated, connection)
      } else if (this.#peers.isUp(coordinator)) {
        const kind = PeerMessageKind.ReleaseSlot as const
        this.#peers.send(coordinator, {
          kind,
          service,
          askId,
          use,
          durationMs,
          report,
          ...(stated === undefined ? {} : { stated }),
          ...(Object.keys(connection).length === 0 ? {} : { connection }),
        })
      }
    }
  }

  #withdraw(askId: number): void {
    const pending = this.#pending.get(askId)
    if (pending === undefined) return
    this.#pending.delete(askId)
    const { service } = pending.request
    const { coordinator } = pending
    if (coordinator === this.#table.self.name) {
      this.#local.cancel(service, `${coordinator}/${askId}`)
    } else {
      this.#peers.send(coordinator, { kind: PeerMessageKind.CancelSlotRequest, service, askId })
    }
  }
}

function lastKey({ service, region }: LastCoordinator): string {
  return `${service}/${region}`
}
