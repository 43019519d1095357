/** A request of this gateway that waits for an own or a borrowed slot. */
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { MailboxPeer } from './slotMailbox.js'
import type { PoolSlot, SlotHold } from './slotPool.js'
import type { SlotWaiter } from './serviceSlots.js'
import type { SlotError, SlotGrant, SlotRequest } from './slotSource.js'

/** Makes the grant of an own slot. */
export type OwnGrantFactory = (
  waiter: LocalWaiter,
  slot: PoolSlot,
  hold: SlotHold,
  reason: string,
) => SlotGrant

/** Settles exactly once: with a grant or with an error. */
export class LocalWaiter implements SlotWaiter {
  readonly request: SlotRequest
  readonly priority: number
  readonly arrivedAtMs: number
  /** Borrow requests that are outstanding, with the owner of each. */
  readonly borrows = new Map<string, MailboxPeer>()
  /** Owners that were asked, whatever they answered. */
  readonly askedOwners = new Set<string>()
  /** Borrow requests whose call is still in flight. */
  unansweredCalls = 0
  /** False: takes a slot only if one is free now; for second attempts. */
  readonly mayWait: boolean
  readonly settled: Promise<Result<SlotGrant, SlotError>>
  readonly #makeGrant: OwnGrantFactory
  #resolve: ((result: Result<SlotGrant, SlotError>) => void) | undefined

  constructor(
    request: SlotRequest,
    priority: number,
    arrivedAtMs: number,
    makeGrant: OwnGrantFactory,
    mayWait = true,
  ) {
    this.request = request
    this.priority = priority
    this.arrivedAtMs = arrivedAtMs
    this.#makeGrant = makeGrant
    this.mayWait = mayWait
    this.settled = new Promise((resolve) => {
      this.#resolve = resolve
    })
  }

  get requestId(): string {
    return this.request.requestId
  }

  get requestClass(): string {
    return this.request.requestClass
  }

  get deadlineMs(): number {
    return this.request.deadlineMs
  }

  get excludedWorkers(): ReadonlySet<string> {
    return this.request.excludedWorkers
  }

  get isWaiting(): boolean {
    return this.#resolve !== undefined
  }

  granted(slot: PoolSlot, hold: SlotHold, reason: string): void {
    this.accept(this.#makeGrant(this, slot, hold, reason))
  }

  /** Settles with a grant; the waiter must be waiting. */
  accept(grant: SlotGrant): void {
    this.#settle(Ok(grant))
  }

  /** Settles with an error; has no effect if settled before. */
  refuse(error: SlotError): void {
    this.#settle(Err(error))
  }

  #settle(result: Result<SlotGrant, SlotError>): void {
    const resolve = this.#resolve
    this.#resolve = undefined
    resolve?.(result)
  }
}
