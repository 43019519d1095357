/** Borrower side of slot lending: chooses the owners to ask and handles their grants. */
import { RpcErrorKind } from '../common/rpc.js'
import type { MembershipView } from '../membership/memberRecord.js'
import { MemberHealth } from '../membership/memberRecord.js'
import type { DispatchOptions } from './dispatchOptions.js'
import type { LocalWaiter } from './localWaiter.js'
import type { ServiceSlots } from './serviceSlots.js'
import type { SlotPeerAddress } from './slotMessageBatcher.js'
import type { BorrowMessage, GrantMessage, SlotMessage } from './slotMessages.js'
import { slotErrors } from './slotErrors.js'
import { SlotMessageKind } from './slotMessages.js'
import { SlotUse } from './slotSource.js'
import type { SendMessage } from './slotLending.js'

interface FreeSlotHint {
  free: number
  readonly atMs: number
}

interface Borrow {
  readonly waiter: LocalWaiter
  readonly service: ServiceSlots
  readonly peer: SlotPeerAddress
  /** True once the call has ended; a request without a grant may then wait at the owner. */
  isAnswered: boolean
}

/** Safety margin at the end of a loan for the transit time of the borrow request. */
const LOAN_MARGIN_MS = 600

/** A slot that this gateway has borrowed. */
export interface Loan {
  readonly service: ServiceSlots
  readonly lender: SlotPeerAddress
  readonly loanId: string
  readonly workerId: string
  readonly address: string
  readonly sinceMs: number
  /** The lender keeps the slot reserved for this gateway at least until this time. */
  readonly untilMs: number
}

/** Passes an accepted loan to the waiting request as its grant. */
export type AcceptLoan = (waiter: LocalWaiter, loan: Loan, nowMs: number) => void

/** Borrow requests and loans of this gateway. Returns grants at once that no request waits for. */
export class SlotBorrowing {
  readonly #membership: MembershipView
  readonly #options: DispatchOptions
  readonly #send: SendMessage
  readonly #acceptLoan: AcceptLoan
  readonly #newBorrowId: () => string
  readonly #borrows = new Map<string, Borrow>()
  /** Identifiers of accepted loans, to ignore repeated grants. */
  readonly #loans = new Set<string>()
  readonly #hints = new Map<string, Map<string, FreeSlotHint>>()
  readonly #backoffUntilMs = new Map<string, number>()

  constructor(
    membership: MembershipView,
    options: DispatchOptions,
    send: SendMessage,
    acceptLoan: AcceptLoan,
    newBorrowId: () => string,
  ) {
    this.#membership = membership
    this.#options = options
    this.#send = send
    this.#acceptLoan = acceptLoan
    this.#newBorrowId = newBorrowId
  }

  /** Replaces the free-slot hints of a peer, by service, and marks the peer as reachable. */
  recordHints(memberId: string, free: Readonly<Record<string, number>>, nowMs: number): void {
    const hints = new Map<string, FreeSlotHint>()
    for (const [service, count] of Object.entries(free)) {
      hints.set(service, { free: count, atMs: nowMs })
    }
    this.#hints.set(memberId, hints)
    this.#backoffUntilMs.delete(memberId)
  }

  /**
   * Asks further owners for a slot; returns whether there was one to ask. A request waits at few
   * owners only: otherwise all owners would grant to the same oldest request at once, and the
   * slots of the surplus grants would stay idle until they are returned.
   */
  askOwners(waiter: LocalWaiter, service: ServiceSlots, nowMs: number): boolean {
    const owners = this.#chooseOwners(waiter, service, nowMs)
    for (const owner of owners) this.#askOwner(waiter, service, owner, nowMs)
    return owners.length > 0
  }

  /** Handles a grant; returns it unused if the request no longer waits or excludes the worker. */
  handleGrant(peer: SlotPeerAddress, message: GrantMessage, nowMs: number): void {
    if (this.#loans.has(message.loanId)) return
    const borrow = this.#borrows.get(message.borrowId)
    const isStillWaiting = borrow?.waiter.isWaiting === true
    if (!isStillWaiting || borrow.waiter.excludedWorkers.has(message.workerId)) {
      this.#send(peer, returnUnused(message))
      return
    }
    this.#remove(message.borrowId)
    this.#loans.add(message.loanId)
    const { loanId, workerId, address } = message
    const { waiter, service } = borrow
    const untilMs = waiter.deadlineMs + this.#options.holdGraceMs - LOAN_MARGIN_MS
    const loan = { service, lender: peer, loanId, workerId, address, sinceMs: nowMs, untilMs }
    this.#acceptLoan(waiter, loan, nowMs)
  }

  /** Returns a borrowed slot to its lender. */
  returnSlot(loan: Loan, use: SlotUse, durationMs: number): void {
    const { loanId, lender } = loan
    this.#loans.delete(loanId)
    const service = loan.service.assignment.record.name
    this.#send(lender, { kind: SlotMessageKind.Return, service, loanId, use, durationMs })
  }

  /** Tells the lender that the slot is reused for another request of this gateway. */
  renew(loan: Loan, durationMs: number, requestClass: string): void {
    const { loanId, lender } = loan
    const service = loan.service.assignment.record.name
    const kind = SlotMessageKind.Renew
    this.#send(lender, { kind, service, loanId, durationMs, requestClass })
  }

  /** Cancels the outstanding borrow requests of a waiter that was granted or refused. */
  cancelBorrows(waiter: LocalWaiter): void {
    for (const [borrowId, peer] of waiter.borrows) {
      const borrow = this.#borrows.get(borrowId)
      this.#borrows.delete(borrowId)
      if (borrow === undefined) continue
      const service = borrow.service.assignment.record.name
      this.#send(peer, { kind: SlotMessageKind.Cancel, service, borrowId })
    }
    waiter.borrows.clear()
  }

  /** Called when an owner has handled a borrow request; without a grant it has no free slot. */
  answered(message: BorrowMessage, nowMs: number): void {
    const borrow = this.#borrows.get(message.borrowId)
    if (borrow === undefined) return
    if (!message.mayWait) this.#remove(message.borrowId)
    this.#handleCallEnd(borrow, nowMs)
  }

  /**
   * Called when a call to an owner failed: skips the owner for a while, and cancels its borrow
   * requests, which also returns grants whose message was lost.
   */
  handlePeerFailure(peer: SlotPeerAddress, kind: RpcErrorKind, nowMs: number): void {
    this.#backoffUntilMs.set(peer.memberId, nowMs + this.#options.ownerDownMs)
    this.#hints.delete(peer.memberId)
    for (const [borrowId, borrow] of [...this.#borrows]) {
      if (borrow.peer.address !== peer.address) continue
      this.#remove(borrowId)
      if (kind !== RpcErrorKind.NotSent) {
        const service = borrow.service.assignment.record.name
        this.#send(peer, { kind: SlotMessageKind.Cancel, service, borrowId })
      }
      this.#handleCallEnd(borrow, nowMs)
    }
  }

  #handleCallEnd(borrow: Borrow, nowMs: number): void {
    const waiter = borrow.waiter
    if (!borrow.isAnswered) waiter.unansweredCalls -= 1
    borrow.isAnswered = true
    if (!waiter.isWaiting || waiter.unansweredCalls > 0) return
    const hasAskedOwner = this.askOwners(waiter, borrow.service, nowMs)
    if (hasAskedOwner || waiter.mayWait) return
    waiter.refuse(slotErrors.queueFull(borrow.service.assignment.record.name, 0))
  }

  #remove(borrowId: string): Borrow | undefined {
    const borrow = this.#borrows.get(borrowId)
    this.#borrows.delete(borrowId)
    borrow?.waiter.borrows.delete(borrowId)
    return borrow
  }

  #askOwner(
    waiter: LocalWaiter,
    service: ServiceSlots,
    peer: SlotPeerAddress,
    nowMs: number,
  ): void {
    const borrowId = this.#newBorrowId()
    this.#borrows.set(borrowId, { waiter, service, peer, isAnswered: false })
    const mayWait = waiter.mayWait && waiter.borrows.size < this.#options.ownersAsked
    waiter.borrows.set(borrowId, peer)
    waiter.askedOwners.add(peer.memberId)
    waiter.unansweredCalls += 1
    const hint = this.#hints.get(peer.memberId)?.get(service.assignment.record.name)
    if (hint !== undefined) hint.free -= 1
    this.#send(peer, {
      kind: SlotMessageKind.Borrow,
      borrowId,
      service: service.assignment.record.name,
      requestClass: waiter.requestClass,
      priority: waiter.priority,
      waitedMs: Math.max(0, nowMs - waiter.arrivedAtMs),
      remainingMs: Math.max(0, waiter.deadlineMs - nowMs),
      mayWait,
      excludedWorkers: [...waiter.excludedWorkers],
    })
  }

  /** Returns the owner with the most reported free slots, otherwise further owners to wait at. */
  #chooseOwners(waiter: LocalWaiter, service: ServiceSlots, nowMs: number): SlotPeerAddress[] {
    if (waiter.askedOwners.size >= this.#options.maxOwnersAsked) return []
    const ranked = this.#candidateOwners(waiter, service, nowMs)
      .map((peer) => {
        const free = this.#hintedFreeSlots(peer.memberId, service, nowMs)
        return { peer, free, rank: free + this.#options.random() }
      })
      .sort((left, right) => right.rank - left.rank)
    const remainingOwnerCount = waiter.mayWait
      ? Math.max(0, this.#options.ownersAsked - waiter.borrows.size)
      : 0
    const count = (ranked[0]?.free ?? 0) >= 1 ? 1 : remainingOwnerCount
    return ranked.slice(0, count).map(({ peer }) => peer)
  }

  #candidateOwners(waiter: LocalWaiter, service: ServiceSlots, nowMs: number): SlotPeerAddress[] {
    const self = this.#membership.self().memberId
    const candidates: SlotPeerAddress[] = []
    for (const memberId of service.assignment.slotsByOwner.keys()) {
      if (memberId === self || waiter.askedOwners.has(memberId)) continue
      if ((this.#backoffUntilMs.get(memberId) ?? 0) > nowMs) continue
      const member = this.#membership.find(memberId)
      if (member === undefined || member.health === MemberHealth.Suspected) continue
      candidates.push({ memberId, address: member.internalAddress })
    }
    return candidates
  }

  #hintedFreeSlots(memberId: string, service: ServiceSlots, nowMs: number): number {
    const hint = this.#hints.get(memberId)?.get(service.assignment.record.name)
    if (hint === undefined || nowMs - hint.atMs > this.#options.hintMaxAgeMs) return 0
    return hint.free
  }
}

function returnUnused(message: GrantMessage): SlotMessage & { kind: SlotMessageKind.Return } {
  return {
    kind: SlotMessageKind.Return,
    service: message.service,
    loanId: message.loanId,
    use: SlotUse.Unused,
    durationMs: 0,
  }
}
