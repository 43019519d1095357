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
  /** Releases the slot; further calls have no effect. @param stated by the server in its answer */
  release(
    use: SlotOutcome,
    durationMs: number,
    report: LoadReport | null,
    stated?: ServerStatement,
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
}

interface HeldSlot {
  readonly service: string
  readonly route: string
  readonly serverId: string
  readonly coordinator: string
  readonly sinceMs: number
}

/** Requests slots from the coordinator of each service, or from its successor if it fails. */
export class SlotClient {
  readonly #table: InstanceTable
  readonly #peers: PeerSender
  readonly #local: LocalCoordinators
  readonly #clock: Clock
  readonly #pending = new Map<number, PendingRequest>()
  readonly #heldSlots = new Map<number, HeldSlot>()
  readonly #lastCoordinator = new Map<string, string>()
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
    this.#acceptGrant(message.askId, pending, message.serverId)
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
    for (const [service, coordinator] of this.#lastCoordinator) {
      if (coordinator === peer) this.#sendHeldSlots(service, coordinator, nowMs)
    }
  }

  #nextId(): number {
    this.#lastId += 1
    return this.#lastId
  }

  /** Current coordinator of a service; this instance if no other is reachable. */
  coordinatorOf(service: string, nowMs: number): string {
    const { self } = this.#table
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
    const coordinator = this.coordinatorOf(request.service, nowMs)
    this.#reportHeldSlots(request.service, coordinator, nowMs)
    this.#pending.set(askId, { request, listener, coordinator })
    const { targetAtMs, deadlineAtMs, ...rest } = request
    const targetInMs = Math.round(targetAtMs - nowMs)
    const deadlineInMs = Math.round(deadlineAtMs - nowMs)
    const details: SlotRequestDetails = { ...rest, askId, targetInMs, deadlineInMs }
    const { self } = this.#table
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
        onGranted: (serverId) => {
          this.handleGrant(answeredBy, { kind: PeerMessageKind.Grant, askId, serverId })
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
  #reportHeldSlots(service: string, coordinator: string, nowMs: number): void {
    if (this.#lastCoordinator.get(service) === coordinator) return
    const isFirst = !this.#lastCoordinator.has(service)
    this.#lastCoordinator.set(service, coordinator)
    if (!isFirst) this.#sendHeldSlots(service, coordinator, nowMs)
  }

  /** The coordinator may have granted some of the slots itself and given them up since. */
  #sendHeldSlots(service: string, coordinator: string, nowMs: number): void {
    const uses: HeldSlotReport[] = []
    for (const [askId, held] of this.#heldSlots) {
      if (held.service !== service) continue
      const { serverId, route, sinceMs } = held
      uses.push({ askId, serverId, route, forMs: Math.round(nowMs - sinceMs) })
    }
    const { self } = this.#table
    if (coordinator === self.name) this.#local.adopt(service, self.name, uses, nowMs)
    else {
      const kind = PeerMessageKind.HeldSlots
      this.#peers.send(coordinator, { kind, service, uses, isComplete: true })
    }
  }

  #acceptGrant(askId: number, pending: PendingRequest, serverId: string): void {
    this.#pending.delete(askId)
    const { service, route } = pending.request
    const { coordinator } = pending
    this.#heldSlots.set(askId, { service, route, serverId, coordinator, sinceMs: this.#clock() })
    pending.listener.onGranted({
      serverId,
      coordinator,
      release: (use, durationMs, report, stated) => {
        if (!this.#heldSlots.delete(askId)) return
        this.#release(askId, service, coordinator, use, durationMs, report, stated)
      },
    })
  }

  #release(
    askId: number,
    service: string,
    grantedBy: string,
    use: SlotOutcome,
    durationMs: number,
    report: LoadReport | null,
    stated: ServerStatement | undefined,
  ): void {
    const current = this.#lastCoordinator.get(service) ?? grantedBy
    for (const coordinator of new Set([grantedBy, current])) {
      if (coordinator === this.#table.self.name) {
        const key = `${coordinator}/${askId}`
        this.#local.releaseSlot(service, key, use, durationMs, report, this.#clock(), stated)
      } else if (this.#peers.isUp(coordinator)) {
        const kind = PeerMessageKind.ReleaseSlot as const
        const release = { kind, service, askId, use, durationMs, report }
        this.#peers.send(coordinator, stated === undefined ? release : { ...release, stated })
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
