/** Gets slots from the coordinators of this region: the requests' side of the coordination. */
import type { Clock } from '../common/clock.js'
import type { InstanceTable } from './instanceTable.js'
import { coordinatorOrder } from './instanceTable.js'
import type { LoadReport } from './loadReport.js'
import type {
  AdoptedUse,
  GrantMessage,
  PeerMessage,
  RefuseMessage,
  SlotAsk,
  SlotUse,
} from './peerMessages.js'
import { PeerMessageKind } from './peerMessages.js'
import type { Waiter } from './waitingLine.js'

/** The coordinators that this process runs itself. */
export interface LocalCoordinators {
  ask(waiter: Waiter, nowMs: number): void
  cancel(service: string, key: string): void
  done(
    service: string,
    key: string,
    use: SlotUse,
    durationMs: number,
    report: LoadReport | null,
    nowMs: number,
  ): void
  adopt(service: string, instance: string, uses: readonly AdoptedUse[], nowMs: number): void
}

/** Sends to peers; the part of the mesh that is used here. */
export interface PeerSender {
  isUp(peer: string): boolean
  send(peer: string, message: PeerMessage): boolean
}

/** A slot that was granted. */
export interface SlotGrant {
  readonly serverId: string
  /** Name of the instance that granted it. */
  readonly coordinator: string
  /** Ends the use; only the first call counts. */
  release(use: SlotUse, durationMs: number, report: LoadReport | null): void
}

/** Told once what became of a request for a slot. */
export interface SlotListener {
  granted(grant: SlotGrant): void
  refused(reason: string, retryAfterMs: number, coordinator: string): void
}

/** What a request asks for; times are relative to now. */
export type SlotWish = Omit<SlotAsk, 'askId' | 'targetInMs' | 'deadlineInMs'> & {
  readonly targetAtMs: number
  readonly deadlineAtMs: number
}

interface PendingAsk {
  readonly wish: SlotWish
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

/** Asks the coordinator of each service, and the next one when it is lost. */
export class SlotClient {
  readonly #table: InstanceTable
  readonly #peers: PeerSender
  readonly #local: LocalCoordinators
  readonly #clock: Clock
  readonly #pending = new Map<number, PendingAsk>()
  readonly #held = new Map<number, HeldSlot>()
  readonly #lastCoordinator = new Map<string, string>()
  #nextId = 0

  constructor(table: InstanceTable, peers: PeerSender, local: LocalCoordinators, clock: Clock) {
    this.#table = table
    this.#peers = peers
    this.#local = local
    this.#clock = clock
  }

  /** Requests that wait for a slot and slots in use, for metrics. */
  get figures(): { readonly waiting: number; readonly held: number } {
    return { waiting: this.#pending.size, held: this.#held.size }
  }

  /** Asks for a slot; the returned function withdraws the wish if it is not settled yet. */
  acquire(wish: SlotWish, listener: SlotListener): () => void {
    this.#nextId += 1
    const askId = this.#nextId
    this.#ask(askId, wish, listener)
    return () => {
      this.#withdraw(askId)
    }
  }

  /** A coordinator answered. */
  granted(peer: string, message: GrantMessage): void {
    const pending = this.#pending.get(message.askId)
    if (pending?.coordinator !== peer) {
      // Withdrawn meanwhile, or asked elsewhere: the slot goes back by the cancel that was sent.
      return
    }
    this.#settle(message.askId, pending, message.serverId)
  }

  /** A coordinator refused. */
  refused(peer: string, message: RefuseMessage): void {
    const pending = this.#pending.get(message.askId)
    if (pending?.coordinator !== peer) return
    this.#pending.delete(message.askId)
    pending.listener.refused(message.reason, message.retryAfterMs, peer)
  }

  /** The link to an instance is lost: what waits there is asked elsewhere. */
  peerLost(peer: string): void {
    for (const [askId, { coordinator, wish, listener }] of [...this.#pending]) {
      if (coordinator !== peer) continue
      this.#pending.delete(askId)
      this.#ask(askId, wish, listener)
    }
  }

  /** Coordinator of a service at present; this instance when no other can be reached. */
  coordinatorOf(service: string, nowMs: number): string {
    const { self } = this.#table
    for (const { name } of coordinatorOrder(service, this.#table.live(self.region, nowMs))) {
      if (name === self.name || this.#peers.isUp(name)) return name
    }
    return self.name
  }

  #ask(askId: number, wish: SlotWish, listener: SlotListener): void {
    const nowMs = this.#clock()
    const coordinator = this.coordinatorOf(wish.service, nowMs)
    this.#introduce(wish.service, coordinator, nowMs)
    this.#pending.set(askId, { wish, listener, coordinator })
    const { targetAtMs, deadlineAtMs, ...rest } = wish
    const targetInMs = Math.round(targetAtMs - nowMs)
    const deadlineInMs = Math.round(deadlineAtMs - nowMs)
    const ask: SlotAsk = { ...rest, askId, targetInMs, deadlineInMs }
    const { self } = this.#table
    if (coordinator !== self.name) {
      this.#peers.send(coordinator, { kind: PeerMessageKind.Ask, ask })
      return
    }
    const answeredBy = self.name
    this.#local.ask(
      {
        key: `${self.name}/${askId}`,
        ask,
        zone: self.zone,
        arrivedAtMs: nowMs,
        targetAtMs,
        deadlineAtMs,
        granted: (serverId) => {
          this.granted(answeredBy, { kind: PeerMessageKind.Grant, askId, serverId })
        },
        refused: (reason, retryAfterMs) => {
          const kind = PeerMessageKind.Refuse
          this.refused(answeredBy, { kind, askId, reason, retryAfterMs })
        },
      },
      nowMs,
    )
  }

  /** Tells a new coordinator which slots this instance uses, before the first ask. */
  #introduce(service: string, coordinator: string, nowMs: number): void {
    if (this.#lastCoordinator.get(service) === coordinator) return
    const isFirst = !this.#lastCoordinator.has(service)
    this.#lastCoordinator.set(service, coordinator)
    if (isFirst) return
    const uses: AdoptedUse[] = []
    for (const [askId, held] of this.#held) {
      if (held.service !== service || held.coordinator === coordinator) continue
      const { serverId, route, sinceMs } = held
      uses.push({ askId, serverId, route, forMs: Math.round(nowMs - sinceMs) })
    }
    if (uses.length === 0) return
    const { self } = this.#table
    if (coordinator === self.name) this.#local.adopt(service, self.name, uses, nowMs)
    else this.#peers.send(coordinator, { kind: PeerMessageKind.Adopt, service, uses })
  }

  #settle(askId: number, pending: PendingAsk, serverId: string): void {
    this.#pending.delete(askId)
    const { service, route } = pending.wish
    const { coordinator } = pending
    this.#held.set(askId, { service, route, serverId, coordinator, sinceMs: this.#clock() })
    pending.listener.granted({
      serverId,
      coordinator,
      release: (use, durationMs, report) => {
        if (!this.#held.delete(askId)) return
        this.#release(askId, service, coordinator, use, durationMs, report)
      },
    })
  }

  #release(
    askId: number,
    service: string,
    grantedBy: string,
    use: SlotUse,
    durationMs: number,
    report: LoadReport | null,
  ): void {
    const present = this.#lastCoordinator.get(service) ?? grantedBy
    for (const coordinator of new Set([grantedBy, present])) {
      if (coordinator === this.#table.self.name) {
        const key = `${coordinator}/${askId}`
        this.#local.done(service, key, use, durationMs, report, this.#clock())
      } else if (this.#peers.isUp(coordinator)) {
        const kind = PeerMessageKind.Done
        this.#peers.send(coordinator, { kind, service, askId, use, durationMs, report })
      }
    }
  }

  #withdraw(askId: number): void {
    const pending = this.#pending.get(askId)
    if (pending === undefined) return
    this.#pending.delete(askId)
    const { service } = pending.wish
    const { coordinator } = pending
    if (coordinator === this.#table.self.name) {
      this.#local.cancel(service, `${coordinator}/${askId}`)
    } else {
      this.#peers.send(coordinator, { kind: PeerMessageKind.Cancel, service, askId })
    }
  }
}
