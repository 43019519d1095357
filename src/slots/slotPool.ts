/** The slots of one service that this gateway owns, with the hold on each of them. */
import type { WorkerRecord } from '../configuration/document.js'
import type { SlotIdentity } from './slotOwnership.js'
import { slotIdOf } from './slotOwnership.js'

/** A gateway process that borrows or lends slots. */
export interface SlotPeer {
  readonly memberId: string
  readonly incarnation: string
  /** Start of the process in milliseconds since the epoch; orders incarnations. */
  readonly startedAtMs: number
  /** `host:port` of the internal JSON-RPC port. */
  readonly address: string
}

/** Exclusive use of a slot by one request or borrower. */
export interface SlotHold {
  /** Unique across all processes. */
  readonly holdId: string
  readonly requestClass: string
  readonly sinceMs: number
  /** Time at which the hold expires, so that a lost release doesn't block the slot for ever. */
  readonly deadlineMs: number
  /** Absent if a request of this gateway holds the slot. */
  readonly borrower?: SlotPeer
}

/** A slot that this gateway owns. */
export interface PoolSlot extends SlotIdentity {
  readonly slotId: string
  readonly hold: SlotHold | undefined
}

/** Number of own slots by state. */
export interface PoolCounts {
  readonly own: number
  readonly free: number
  readonly inUse: number
  readonly lent: number
}

interface MutableSlot {
  readonly slotId: string
  readonly worker: WorkerRecord
  readonly index: number
  hold: SlotHold | undefined
  /** The slot is not granted before this time, because its worker refused a request. */
  blockedUntilMs: number
}

/** Duration of the slow start in which the slots of a cold worker are enabled one by one. */
export const SLOW_START_MS = 10_000

/** Number of slots of a worker that may be used `ageMs` after it was first seen; at least 1. */
export function enabledSlots(slots: number, ageMs: number): number {
  return Math.min(slots, Math.max(1, Math.ceil((slots * ageMs) / SLOW_START_MS)))
}

/**
 * Ensures that an own slot has at most one hold. A slot that moves to another owner leaves the
 * pool; its hold is still tracked until it ends.
 */
export class SlotPool {
  #slots = new Map<string, MutableSlot>()
  /** Slots with a hold, including those that are no longer owned. */
  readonly #heldSlots = new Map<string, MutableSlot>()
  /** Time at which a cold worker was first seen, by worker and generation. */
  readonly #coldSince = new Map<string, number>()
  #previousWorkers: ReadonlySet<string> | undefined

  /**
   * Replaces the set of owned slots. Workers that were not in the previous set of live workers
   * are cold and start slowly; at the first call, all workers are warm.
   */
  assign(
    owned: readonly SlotIdentity[],
    liveWorkers: readonly WorkerRecord[],
    nowMs: number,
  ): void {
    this.#updateColdWorkers(liveWorkers, nowMs)
    const next = new Map<string, MutableSlot>()
    for (const { worker, index } of owned) {
      const slotId = slotIdOf({ worker, index })
      const previous = this.#slots.get(slotId) ?? this.#findHeldSlot(slotId)
      next.set(slotId, {
        slotId,
        worker,
        index,
        hold: previous?.hold,
        blockedUntilMs: previous?.blockedUntilMs ?? 0,
      })
    }
    this.#slots = next
    for (const slot of next.values()) {
      if (slot.hold !== undefined) this.#heldSlots.set(slot.hold.holdId, slot)
    }
  }

  /** Own slots that may be granted now. */
  free(nowMs: number): PoolSlot[] {
    const free: PoolSlot[] = []
    for (const slot of this.#slots.values()) {
      if (slot.hold !== undefined || slot.blockedUntilMs > nowMs) continue
      if (this.#isEnabled(slot, nowMs)) free.push(slot)
    }
    return free
  }

  /** Places a hold on an own slot; returns false if the slot is not free. */
  placeHold(slotId: string, hold: SlotHold): boolean {
    const slot = this.#slots.get(slotId)
    if (slot === undefined || slot.hold !== undefined || this.#heldSlots.has(hold.holdId))
      return false
    slot.hold = hold
    this.#heldSlots.set(hold.holdId, slot)
    return true
  }

  /** Ends a hold. Returns the slot and the hold, or `undefined` if it ended before. */
  endHold(
    holdId: string,
  ):
    | { readonly worker: WorkerRecord; readonly slotId: string; readonly hold: SlotHold }
    | undefined {
    const slot = this.#heldSlots.get(holdId)
    const hold = slot?.hold
    if (slot === undefined || hold === undefined) return undefined
    this.#heldSlots.delete(holdId)
    slot.hold = undefined
    return { worker: slot.worker, slotId: slot.slotId, hold }
  }

  /** Worker of the slot that a hold is on. */
  workerOf(holdId: string): WorkerRecord | undefined {
    return this.#heldSlots.get(holdId)?.worker
  }

  /** Prevents grants of a slot until `untilMs`. */
  block(slotId: string, untilMs: number): void {
    const slot = this.#slots.get(slotId)
    if (slot !== undefined) slot.blockedUntilMs = untilMs
  }

  /** Holds that match, including those on slots that moved to another owner. */
  holdsWhere(predicate: (hold: SlotHold) => boolean): SlotHold[] {
    const found: SlotHold[] = []
    for (const slot of this.#heldSlots.values()) {
      if (slot.hold !== undefined && predicate(slot.hold)) found.push(slot.hold)
    }
    return found
  }

  counts(nowMs: number): PoolCounts {
    let inUse = 0
    let lent = 0
    for (const slot of this.#slots.values()) {
      if (slot.hold?.borrower !== undefined) lent += 1
      else if (slot.hold !== undefined) inUse += 1
    }
    return { own: this.#slots.size, free: this.free(nowMs).length, inUse, lent }
  }

  #findHeldSlot(slotId: string): MutableSlot | undefined {
    for (const slot of this.#heldSlots.values()) if (slot.slotId === slotId) return slot
    return undefined
  }

  #isEnabled(slot: MutableSlot, nowMs: number): boolean {
    const coldSinceMs = this.#coldSince.get(workerKey(slot.worker))
    return (
      coldSinceMs === undefined || slot.index < enabledSlots(slot.worker.slots, nowMs - coldSinceMs)
    )
  }

  #updateColdWorkers(liveWorkers: readonly WorkerRecord[], nowMs: number): void {
    const present = new Set(liveWorkers.map(workerKey))
    for (const key of present) {
      if (this.#previousWorkers?.has(key) === false) this.#coldSince.set(key, nowMs)
    }
    for (const key of this.#coldSince.keys()) {
      if (!present.has(key)) this.#coldSince.delete(key)
    }
    this.#previousWorkers = present
  }
}

function workerKey(worker: WorkerRecord): string {
  return `${worker.workerId}/${worker.generation}`
}
