/** Queue of the requests of one service that wait for a slot: by priority, then oldest first. */

/** Properties of a waiting request that determine its position and its deadline. */
export interface QueuedRequest {
  readonly requestId: string
  readonly requestClass: string
  /** Lower values are served first; 1 is the highest priority. */
  readonly priority: number
  /** Arrival at the gateway that received it from the caller, by the clock of this process. */
  readonly arrivedAtMs: number
  readonly deadlineMs: number
}

/** Sorted queue. The length is not limited here; the code that adds requests enforces the limit. */
export class RequestQueue<Request extends QueuedRequest> {
  #entries: Request[] = []

  get length(): number {
    return this.#entries.length
  }

  /** Inserts a request in order; a borrower's request may be older than those in the queue. */
  add(request: Request): void {
    let position = this.#entries.length
    while (position > 0 && isBefore(request, this.#entries[position - 1])) position -= 1
    this.#entries.splice(position, 0, request)
  }

  /** Removes a request; returns whether it was waiting. */
  remove(request: Request): boolean {
    const position = this.#entries.indexOf(request)
    if (position >= 0) this.#entries.splice(position, 1)
    return position >= 0
  }

  /** All requests in the order in which they are served. */
  entries(): readonly Request[] {
    return this.#entries
  }

  /** Removes and returns the requests that match. */
  removeWhere(predicate: (request: Request) => boolean): Request[] {
    const removed = this.#entries.filter(predicate)
    if (removed.length > 0) {
      this.#entries = this.#entries.filter((request) => !predicate(request))
    }
    return removed
  }
}

function isBefore(left: QueuedRequest, right: QueuedRequest | undefined): boolean {
  if (right === undefined) return false
  if (left.priority !== right.priority) return left.priority < right.priority
  return left.arrivedAtMs < right.arrivedAtMs
}

/** Expected time until a newly queued request gets a slot, in milliseconds. */
export function expectedWaitMs(queued: number, slots: number, meanServiceMs: number): number {
  return slots === 0 ? 0 : (queued * meanServiceMs) / slots
}

/** True if a request that starts after `waitMs` and takes `medianMs` misses its deadline. */
export function isDeadlineUnreachable(
  deadlineMs: number,
  waitMs: number,
  medianMs: number | undefined,
  nowMs: number,
): boolean {
  return nowMs + waitMs + (medianMs ?? 0) > deadlineMs
}
