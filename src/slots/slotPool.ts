/** The slots of one service that this gateway owns, and who holds each of them. */
import type { WorkerRecord } from '../configuration/document.js'
import type { SlotIdentity } from './slotOwnership.js'
import { slotIdOf } from './slotOwnership.js'

/** A gateway process that borrows or lends. */
export interface SlotPeer {
  readonly memberId: string
  readonly incarnation: string
  /** Start of the process in milliseconds since the epoch; orders incarnations. */
  readonly startedAtMs: number
  /** `host:port` of its internal JSON-RPC port. */
  readonly address: string
}

/** One use of a slot. */
export interface SlotHold {
  /** Unique over all processes. */
  readonly holdId: string
  readonly requestClass: string
  readonly sinceMs: number
  /** The hold ends by itself then, so that no fault loses the slot for good. */
  readonly deadlineMs: number
  /** Absent: held by a request of this gateway. */
  readonly borrower?: SlotPeer
}

/** A slot that this gateway owns. */
export interface PoolSlot extends SlotIdentity {
  readonly slotId: string
  readonly hold: SlotHold | undefined
}

/** Numbers of slots by state. */
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
  /** The slot is not granted before this time; the worker was found busier than known. */
  blockedUntilMs: number
}

/** Time in which a cold worker's slots come into use one after the other, in milliseconds. */
export const SLOW_START_MS = 10_000

/** Slots of a worker that may be used `ageMs` after it was first seen; at least one. */
export function rampedSlots(slots: number, ageMs: number): number {
  return Math.min(slots, Math.max(1, Math.ceil((slots * ageMs) / SLOW_START_MS)))
}

/**
 * Aggregate over the own slots: a slot has at most one hold. A slot that moves
 * to another owner leaves the pool; its hold is still tracked until it ends.
 */
export class SlotPool {
  #slots = new Map<string, MutableSlot>()
  /** Slots with a hold, including those that are no longer owned. */
  readonly #held = new Map<string, MutableSlot>()
  /** When a worker that joined later was first seen, by worker and generation. */
  readonly #coldSince = new Map<string, number>()
  #knownWorkers: ReadonlySet<string> | undefined

  /**
   * Replaces the set of owned slots. Workers that were not in the previous set
   * of live workers are cold; at the first call all are warm.
   */
  assign(
    owned: readonly SlotIdentity[],
    liveWorkers: readonly WorkerRecord[],
    nowMs: number,
  ): void {
    this.#noteColdWorkers(liveWorkers, nowMs)
    const next = new Map<string, MutableSlot>()
    for (const { worker, index } of owned) {
      const slotId = slotIdOf({ worker, index })
      const previous = this.#slots.get(slotId) ?? this.#heldSlot(slotId)
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
      if (slot.hold !== undefined) this.#held.set(slot.hold.holdId, slot)
    }
  }

  /** Slots that may be granted now. */
  free(nowMs: number): PoolSlot[] {
    const free: PoolSlot[] = []
    for (const slot of this.#slots.values()) {
      if (slot.hold !== undefined || slot.blockedUntilMs > nowMs) continue
      if (this.#isRamped(slot, nowMs)) free.push(slot)
    }
    return free
  }

  /** Gives a free own slot to a holder; returns false if it is not free. */
  hold(slotId: string, hold: SlotHold): boolean {
    const slot = this.#slots.get(slotId)
    if (slot === undefined || slot.hold !== undefined || this.#held.has(hold.holdId)) return false
    slot.hold = hold
    this.#held.set(hold.holdId, slot)
    return true
  }

  /** Ends a hold. Returns the slot and the hold, or `undefined` if it ended before. */
  end(
    holdId: string,
  ):
    | { readonly worker: WorkerRecord; readonly slotId: string; readonly hold: SlotHold }
    | undefined {
    const slot = this.#held.get(holdId)
    const hold = slot?.hold
    if (slot === undefined || hold === undefined) return undefined
    this.#held.delete(holdId)
    slot.hold = undefined
    return { worker: slot.worker, slotId: slot.slotId, hold }
  }

  /** Worker of the slot that a hold is on. */
  workerOf(holdId: string): WorkerRecord | undefined {
    return this.#held.get(holdId)?.worker
  }

  /** Keeps a slot from being granted until `untilMs`. */
  block(slotId: string, untilMs: number): void {
    const slot = this.#slots.get(slotId)
    if (slot !== undefined) slot.blockedUntilMs = untilMs
  }

  /** Holds that match, with the worker that they are on. */
  holdsWhere(predicate: (hold: SlotHold) => boolean): SlotHold[] {
    const found: SlotHold[] = []
    for (const slot of this.#held.values()) {
      if (slot.hold !== undefined && predicate(slot.hold)) found.push(slot.hold)
    }
    return found
  }

  /** Counts the own slots by state. */
  counts(nowMs: number): PoolCounts {
    let inUse = 0
    let lent = 0
    for (const slot of this.#slots.values()) {
      if (slot.hold?.borrower !== undefined) lent += 1
      else if (slot.hold !== undefined) inUse += 1
    }
    return { own: this.#slots.size, free: this.free(nowMs).length, inUse, lent }
  }

  #heldSlot(slotId: string): MutableSlot | undefined {
    for (const slot of this.#held.values()) if (slot.slotId === slotId) return slot
    return undefined
  }

  #isRamped(slot: MutableSlot, nowMs: number): boolean {
    const since = this.#coldSince.get(workerKey(slot.worker))
    return since === undefined || slot.index < rampedSlots(slot.worker.slots, nowMs - since)
  }

  #noteColdWorkers(liveWorkers: readonly WorkerRecord[], nowMs: number): void {
    const present = new Set(liveWorkers.map(workerKey))
    for (const key of present) {
      if (this.#knownWorkers?.has(key) === false) this.#coldSince.set(key, nowMs)
    }
    for (const key of this.#coldSince.keys()) {
      if (!present.has(key)) this.#coldSince.delete(key)
    }
    this.#knownWorkers = present
  }
}

function workerKey(worker: WorkerRecord): string {
  return `${worker.workerId}/${worker.generation}`
}
