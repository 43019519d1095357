/** Limit on the bytes that a process buffers for one purpose, such as callers' request bodies. */

/** Part of a budget that one holder has taken; grows until it is released. */
export interface ByteReservation {
  /** Takes more bytes; returns false, and takes none, if the budget does not hold them. */
  grow(bytes: number): boolean
  /** Returns all bytes; further calls have no effect. */
  release(): void
}

/** Counts the bytes held by all reservations. */
export class ByteBudget {
  readonly #limitBytes: number
  #usedBytes = 0

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes
  }

  get usedBytes(): number {
    return this.#usedBytes
  }

  /** Starts an empty reservation. */
  open(): ByteReservation {
    let heldBytes = 0
    let isReleased = false
    return {
      grow: (bytes) => {
        if (isReleased || this.#usedBytes + bytes > this.#limitBytes) return false
        heldBytes += bytes
        this.#usedBytes += bytes
        return true
      },
      release: () => {
        isReleased = true
        this.#usedBytes -= heldBytes
        heldBytes = 0
      },
    }
  }
}
