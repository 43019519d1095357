/** Requests of one service that wait for a slot: by priority, then oldest first. */

/** What the queue has to know of a waiting request. */
export interface QueuedRequest {
  readonly requestId: string
  readonly requestClass: string
  /** 1 is served first. */
  readonly priority: number
  /** Arrival at the gateway that the caller sent it to, in this process's time. */
  readonly arrivedAtMs: number
  readonly deadlineMs: number
}

/** Sorted queue with a bounded number of own requests; the caller enforces the bound. */
export class RequestQueue<Request extends QueuedRequest> {
  #entries: Request[] = []

  get length(): number {
    return this.#entries.length
  }

  /** Adds a request at its place; a borrower's request may be older than those already here. */
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

  /** All requests in the order of service. */
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

/** Expected time until a newcomer gets a slot, in milliseconds. */
export function expectedWaitMs(queued: number, slots: number, meanServiceMs: number): number {
  return slots === 0 ? 0 : (queued * meanServiceMs) / slots
}

/** Tells whether a request that starts after `waitMs` can't meet its deadline. */
export function isDeadlineUnreachable(
  deadlineMs: number,
  waitMs: number,
  usualMs: number | undefined,
  nowMs: number,
): boolean {
  return nowMs + waitMs + (usualMs ?? 0) > deadlineMs
}
