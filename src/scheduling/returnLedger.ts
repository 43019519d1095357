/**
 * Promises to refused callers of when to come back. Answers a burst whose callers would all come
 * back at about the same time: the work promised for a span is at most the room of that span.
 */

/** Length of a span; callers' clocks and links are less exact than this. */
export const SPAN_MS = 100
/** Returns that come this much earlier or later than promised still use their promise. */
const TOLERANCE_SPANS = 3
/** Tolerance of the end of a caller's patience, by which it is recognized; covers the links' jitter. */
const PATIENCE_TOLERANCE_MS = 30

/** What a caller is recognized by when it returns. */
export interface Caller {
  readonly requestClass: string
  /** Time until which the caller waits, the same in all of its attempts. */
  readonly patienceEndsAtMs: number
}

/** Work that returns may use in one span, in slot-milliseconds, by the start of the span. */
export type RoomOf = (spanStartMs: number) => number

interface PromisedReturn {
  readonly caller: Caller
  readonly workMs: number
}

interface Span {
  bookedMs: number
  readonly promises: PromisedReturn[]
}

/** Promised returns of one service. */
export class ReturnLedger {
  readonly #spans = new Map<number, Span>()

  /**
   * Books the first span with room.
   * @param workMs slot time that the return needs
   * @returns time to return at; `undefined` if no span has room
   */
  book(
    caller: Caller,
    workMs: number,
    range: { readonly fromMs: number; readonly untilMs: number },
    roomOf: RoomOf,
  ): number | undefined {
    const first = Math.ceil(range.fromMs / SPAN_MS)
    const last = Math.floor(range.untilMs / SPAN_MS) - 1
    for (let index = first; index <= last; index += 1) {
      const span = this.#spans.get(index) ?? { bookedMs: 0, promises: [] }
      const roomMs = roomOf(index * SPAN_MS)
      if (span.bookedMs + workMs > roomMs) continue
      // Within the span, returns come one after the other.
      const returnAtMs = (index + span.bookedMs / roomMs) * SPAN_MS
      this.#spans.set(index, span)
      span.promises.push({ caller, workMs })
      span.bookedMs += workMs
      return returnAtMs
    }
    return undefined
  }

  /** Uses up the promise to a caller that returns; returns whether there was one for this time. */
  take(caller: Caller, nowMs: number): boolean {
    const current = Math.floor(nowMs / SPAN_MS)
    for (let offset = -TOLERANCE_SPANS; offset <= TOLERANCE_SPANS; offset += 1) {
      const span = this.#spans.get(current + offset)
      const index = span?.promises.findIndex((each) => isSameCaller(each.caller, caller)) ?? -1
      const [promise] = index < 0 ? [] : (span?.promises.splice(index, 1) ?? [])
      if (span === undefined || promise === undefined) continue
      span.bookedMs -= promise.workMs
      return true
    }
    return false
  }

  /** Work promised from now until a time, in slot-milliseconds. */
  bookedMs(nowMs: number, untilMs: number): number {
    let bookedMs = 0
    const last = Math.floor(untilMs / SPAN_MS)
    for (let index = Math.floor(nowMs / SPAN_MS); index <= last; index += 1) {
      bookedMs += this.#spans.get(index)?.bookedMs ?? 0
    }
    return bookedMs
  }

  /** Forgets promises that were not used. */
  expire(nowMs: number): void {
    const oldest = Math.floor(nowMs / SPAN_MS) - TOLERANCE_SPANS
    for (const index of this.#spans.keys()) if (index < oldest) this.#spans.delete(index)
  }
}

function isSameCaller(left: Caller, right: Caller): boolean {
  const differenceMs = Math.abs(left.patienceEndsAtMs - right.patienceEndsAtMs)
  return left.requestClass === right.requestClass && differenceMs <= PATIENCE_TOLERANCE_MS
}
