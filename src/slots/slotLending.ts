/** Lender side of slot lending: grants own slots to borrowers, and ends each loan exactly once. */
import { RpcErrorKind } from '../common/rpc.js'
import type { MembershipView } from '../membership/memberRecord.js'
import { MemberHealth, MemberState } from '../membership/memberRecord.js'
import type { ServiceSlots, SlotWaiter } from './serviceSlots.js'
import type { SlotPeerAddress } from './slotMessageBatcher.js'
import type {
  BorrowMessage,
  CancelMessage,
  GrantMessage,
  RenewMessage,
  ReturnMessage,
  SlotMessage,
} from './slotMessages.js'
import { SlotMessageKind } from './slotMessages.js'
import type { PoolSlot, SlotHold, SlotPeer } from './slotPool.js'
import { SlotUse } from './slotSource.js'

/** Sends a message; if a call of the peer is being handled, in the answer to that call. */
export type SendMessage = (peer: SlotPeerAddress, message: SlotMessage) => void

interface RemoteWaiter extends SlotWaiter {
  readonly service: ServiceSlots
  readonly borrower: SlotPeer
}

interface Loan {
  readonly loanId: string
  readonly service: ServiceSlots
  readonly borrower: SlotPeer
  /** Whether membership listed the borrower when the slot was lent. */
  readonly wasMember: boolean
  /** Whether the grant was sent without an answer, so that the borrower may use the slot. */
  mayBeUsed: boolean
}

/** Delay before a grant whose delivery is unknown is sent again. */
const GRANT_RESEND_MS = 50

/** Loans and remote waiters of this gateway. Messages may be lost, repeated or reordered. */
export class SlotLending {
  readonly #services: ReadonlyMap<string, ServiceSlots>
  readonly #membership: MembershipView
  readonly #send: SendMessage
  readonly #waiters = new Map<string, RemoteWaiter>()
  /** By `borrowId`, so that a cancellation finds the loan even if the grant message was lost. */
  readonly #loans = new Map<string, Loan>()
  readonly #remoteHandicapMs: number
  readonly #resends: { peer: SlotPeerAddress; message: GrantMessage; atMs: number }[] = []

  constructor(
    services: ReadonlyMap<string, ServiceSlots>,
    membership: MembershipView,
    send: SendMessage,
    remoteHandicapMs: number,
  ) {
    this.#remoteHandicapMs = remoteHandicapMs
    this.#services = services
    this.#membership = membership
    this.#send = send
  }

  /** Number of slots that are currently lent. */
  get loanCount(): number {
    return this.#loans.size
  }

  /** Grants a slot now, or queues the request if it may wait. Ignores repeated requests. */
  handleBorrow(borrower: SlotPeer, message: BorrowMessage, nowMs: number): void {
    const service = this.#services.get(message.service)
    const isRepeated = this.#waiters.has(message.borrowId) || this.#loans.has(message.borrowId)
    if (service === undefined || isRepeated || service.assignment.owned.length === 0) return
    const waiter: RemoteWaiter = {
      requestId: message.borrowId,
      requestClass: message.requestClass,
      priority: message.priority,
      arrivedAtMs: nowMs - message.waitedMs + this.#remoteHandicapMs,
      deadlineMs: nowMs + message.remainingMs,
      excludedWorkers: new Set(message.excludedWorkers),
      borrower,
      service,
      onGranted: (slot, hold) => {
        this.#lend(waiter, slot, hold)
      },
    }
    if (service.queue.length === 0 && service.tryGrant(waiter, nowMs)) return
    if (!message.mayWait) return
    this.#waiters.set(waiter.requestId, waiter)
    service.queue.add(waiter)
    service.dispatchQueue(nowMs)
  }

  /** Ends a loan. Has no effect if it ended before. */
  handleReturn(message: ReturnMessage, nowMs: number): void {
    for (const [borrowId, loan] of this.#loans) {
      if (loan.loanId !== message.loanId) continue
      this.#endLoan(borrowId, message.use, message.durationMs, nowMs)
      return
    }
  }

  /** Records that the borrower reuses the slot for another request. */
  handleRenew(message: RenewMessage, nowMs: number): void {
    for (const loan of this.#loans.values()) {
      if (loan.loanId !== message.loanId) continue
      loan.service.renew(message.loanId, message.durationMs, message.requestClass, nowMs)
      return
    }
  }

  /** Removes a borrow request from the queue and ends the loan that was granted for it, if any. */
  handleCancel(message: CancelMessage, nowMs: number): void {
    const waiter = this.#waiters.get(message.borrowId)
    if (waiter !== undefined) {
      this.#waiters.delete(message.borrowId)
      waiter.service.queue.remove(waiter)
    }
    this.#endLoan(message.borrowId, SlotUse.Unused, 0, nowMs)
  }

  /**
   * Handles a grant whose call failed. If it was never sent, the slot becomes free again. Otherwise
   * the borrower may be using the slot, so the grant is sent again until the borrower answers or
   * the loan reaches its deadline.
   */
  handleGrantFailure(
    peer: SlotPeerAddress,
    message: GrantMessage,
    kind: RpcErrorKind,
    nowMs: number,
  ): void {
    const loan = this.#loans.get(message.borrowId)
    if (loan === undefined) return
    loan.mayBeUsed ||= kind !== RpcErrorKind.NotSent
    if (loan.mayBeUsed) this.#resends.push({ peer, message, atMs: nowMs + GRANT_RESEND_MS })
    else this.#endLoan(message.borrowId, SlotUse.Unused, 0, nowMs)
  }

  /** Removes waiters past their deadline, and resends grants whose delivery is unknown. */
  tick(nowMs: number): void {
    for (const [borrowId, waiter] of this.#waiters) {
      if (waiter.deadlineMs > nowMs) continue
      this.#waiters.delete(borrowId)
      waiter.service.queue.remove(waiter)
    }
    this.#resendGrants(nowMs)
  }

  /** Removes a loan whose hold reached its deadline. */
  handleExpiredHold(holdId: string): void {
    for (const [borrowId, loan] of this.#loans) {
      if (loan.loanId === holdId) this.#loans.delete(borrowId)
    }
  }

  /** Ends the loans and removes the waiters of borrowers that failed, left or restarted. */
  membershipChanged(nowMs: number): void {
    for (const [borrowId, loan] of this.#loans) {
      if (this.#isBorrowerGone(loan.borrower, loan.wasMember)) {
        this.#endLoan(borrowId, SlotUse.Failed, 0, nowMs)
      }
    }
    for (const [borrowId, waiter] of this.#waiters) {
      if (!this.#isBorrowerGone(waiter.borrower, false)) continue
      this.#waiters.delete(borrowId)
      waiter.service.queue.remove(waiter)
    }
  }

  #lend(waiter: RemoteWaiter, slot: PoolSlot, hold: SlotHold): void {
    this.#waiters.delete(waiter.requestId)
    this.#loans.set(waiter.requestId, {
      loanId: hold.holdId,
      service: waiter.service,
      borrower: waiter.borrower,
      wasMember: this.#membership.find(waiter.borrower.memberId) !== undefined,
      mayBeUsed: false,
    })
    this.#send(waiter.borrower, {
      kind: SlotMessageKind.Grant,
      borrowId: waiter.requestId,
      loanId: hold.holdId,
      service: waiter.service.assignment.record.name,
      workerId: slot.worker.workerId,
      address: slot.worker.address,
    })
  }

  #endLoan(borrowId: string, use: SlotUse, durationMs: number, nowMs: number): void {
    const loan = this.#loans.get(borrowId)
    if (loan === undefined) return
    this.#loans.delete(borrowId)
    loan.service.endHold(loan.loanId, use, durationMs, nowMs)
  }

  #resendGrants(nowMs: number): void {
    const due = this.#resends.filter((resend) => resend.atMs <= nowMs)
    if (due.length === 0) return
    const notDue = this.#resends.filter((resend) => resend.atMs > nowMs)
    this.#resends.splice(0, this.#resends.length, ...notDue)
    for (const { peer, message } of due) {
      if (this.#loans.has(message.borrowId)) this.#send(peer, message)
    }
  }

  #isBorrowerGone(borrower: SlotPeer, wasMember: boolean): boolean {
    const member = this.#membership.find(borrower.memberId)
    if (member === undefined) return wasMember
    if (member.incarnation !== borrower.incarnation) {
      return member.startedAtMs > borrower.startedAtMs
    }
    return member.health === MemberHealth.Failed || member.state === MemberState.Left
  }
}
