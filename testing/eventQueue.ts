/** Events of a simulation in the order of their times; events of one time run as scheduled. */

interface ScheduledEvent {
  readonly atMs: number
  readonly sequenceNumber: number
  readonly run: () => void
}

/** Binary heap of events. */
export class EventQueue {
  readonly #events: ScheduledEvent[] = []
  #scheduledCount = 0
  #nowMs = 0

  /** Time of the event that runs. */
  get nowMs(): number {
    return this.#nowMs
  }

  schedule(atMs: number, run: () => void): void {
    this.#scheduledCount += 1
    const event = { atMs, sequenceNumber: this.#scheduledCount, run }
    let index = this.#events.length
    this.#events.push(event)
    while (index > 0) {
      const parentIndex = (index - 1) >> 1
      const parent = this.#events[parentIndex]
      if (parent === undefined || !isBefore(event, parent)) break
      this.#events[index] = parent
      index = parentIndex
    }
    this.#events[index] = event
  }

  /** Runs all events, also those that are scheduled meanwhile. */
  run(): void {
    for (let event = this.#takeFirst(); event !== undefined; event = this.#takeFirst()) {
      this.#nowMs = event.atMs
      event.run()
    }
  }

  /** Runs the events up to a time, also those that are scheduled meanwhile. */
  runUntil(atMs: number): void {
    while ((this.#events[0]?.atMs ?? Number.POSITIVE_INFINITY) <= atMs) {
      const event = this.#takeFirst()
      if (event === undefined) break
      this.#nowMs = event.atMs
      event.run()
    }
    this.#nowMs = atMs
  }

  #takeFirst(): ScheduledEvent | undefined {
    const first = this.#events[0]
    const last = this.#events.pop()
    if (first === undefined || last === undefined || first === last) return first
    let index = 0
    for (;;) {
      let childIndex = 2 * index + 1
      const right = this.#events[childIndex + 1]
      let child = this.#events[childIndex]
      if (child !== undefined && right !== undefined && isBefore(right, child)) {
        child = right
        childIndex += 1
      }
      if (child === undefined || !isBefore(child, last)) break
      this.#events[index] = child
      index = childIndex
    }
    this.#events[index] = last
    return first
  }
}

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
  return left.atMs === right.atMs
    ? left.sequenceNumber < right.sequenceNumber
    : left.atMs < right.atMs
}
