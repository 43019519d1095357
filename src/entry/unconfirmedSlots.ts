/**
 * Slots of a coordinator whose use is not confirmed: the instance that holds them can't be reached.
 *
 * An instance that is paused, slow or cut off from its coordinator for some seconds still runs its
 * requests. If its slots were free at once, they would be filled a second time; if they were never
 * free, an instance that has failed would occupy them for good.
 */
import type { RunningRequest } from './serverState.js'

/** How the link to an instance was lost. */
export enum LinkLoss {
  /** Nothing was received for the link timeout; the instance and its requests may still run. */
  Silent = 'silent',
  /**
   * The connection was closed or reset. Either the process has ended, and servers drop requests
   * whose connection ends, or it found this side silent, and reconnects at once.
   */
  Closed = 'closed',
}

/** Multiple of the expected duration after which most requests have ended, also slow ones. */
const USUAL_END_FACTOR = 2
/**
 * Multiple of the expected duration after which a slot is free even if its instance is linked; its
 * release may have been lost with an earlier link. Stragglers run several times longer than usual.
 */
const LOST_RELEASE_FACTOR = 10
/** Time for a closed link to be opened again and for the held slots to be reported, in ms. */
const RECONNECT_MS = 1000

/** Time until which the slot of a request counts as used although its instance is not linked. */
export function unconfirmedUntilMs(
  { startedAtMs, expectedMs }: RunningRequest,
  loss: LinkLoss,
  nowMs: number,
): number {
  const usualEndMs = startedAtMs + expectedMs * USUAL_END_FACTOR
  return loss === LinkLoss.Silent ? usualEndMs : Math.min(usualEndMs, nowMs + RECONNECT_MS)
}

/** Time until which a slot that a linked instance reported counts as used without a release. */
export function reportedUntilMs({ startedAtMs, expectedMs }: RunningRequest): number {
  return startedAtMs + expectedMs * LOST_RELEASE_FACTOR
}

/** Keys of slots with the time from which they are free unless they are confirmed before. */
export class UnconfirmedSlots {
  readonly #untilMs = new Map<string, number>()

  add(key: string, untilMs: number): void {
    this.#untilMs.set(key, untilMs)
  }

  remove(key: string): void {
    this.#untilMs.delete(key)
  }

  /** Keys that begin with the prefix. */
  withPrefix(prefix: string): string[] {
    return [...this.#untilMs.keys()].filter((key) => key.startsWith(prefix))
  }

  /** Removes and returns the keys whose time has passed. */
  takeExpired(nowMs: number): string[] {
    const expired: string[] = []
    for (const [key, untilMs] of this.#untilMs) if (untilMs <= nowMs) expired.push(key)
    for (const key of expired) this.#untilMs.delete(key)
    return expired
  }
}
