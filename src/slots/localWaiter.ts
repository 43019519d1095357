/** A request of this gateway that waits for a slot, owned or borrowed. */
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { SlotPeerAddress } from './slotMessageBatcher.js'
import type { PoolSlot, SlotHold } from './slotPool.js'
import type { SlotWaiter } from './serviceSlots.js'
import type { SlotError, SlotGrant, SlotRequest } from './slotSource.js'

/** Creates the grant of a slot that this gateway owns. */
export type OwnGrantFactory = (
  waiter: LocalWaiter,
  slot: PoolSlot,
  hold: SlotHold,
  reason: string,
) => SlotGrant

/** The outcome is a grant or an error and is decided exactly once. */
export class LocalWaiter implements SlotWaiter {
  readonly request: SlotRequest
  readonly priority: number
  readonly arrivedAtMs: number
  /** Owner of each outstanding borrow request, by `borrowId`. */
  readonly borrows = new Map<string, SlotPeerAddress>()
  /** Member identifiers of all owners that were asked, whatever they answered. */
  readonly askedOwners = new Set<string>()
  /** Number of borrow requests whose call is in flight. */
  unansweredCalls = 0
  /** False for second attempts, which take a slot only if one is free now. */
  readonly mayWait: boolean
  readonly outcome: Promise<Result<SlotGrant, SlotError>>
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
    this.outcome = new Promise((resolve) => {
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

  onGranted(slot: PoolSlot, hold: SlotHold, reason: string): void {
    this.accept(this.#makeGrant(this, slot, hold, reason))
  }

  /** Decides the outcome as a grant; the waiter must still be waiting. */
  accept(grant: SlotGrant): void {
    this.#decide(Ok(grant))
  }

  /** Decides the outcome as an error; has no effect if it was decided before. */
  refuse(error: SlotError): void {
    this.#decide(Err(error))
  }

  #decide(result: Result<SlotGrant, SlotError>): void {
    const resolve = this.#resolve
    this.#resolve = undefined
    resolve?.(result)
  }
}
