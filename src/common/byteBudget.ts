/** Limit on the bytes that a process buffers for one purpose, such as callers' request bodies. */

/** Part of a budget that one holder has taken; grows until it is released. */
export interface ByteReservation {
  /** Takes more bytes; returns false, and takes none, if the budget does not hold them. */
  grow(bytes: number): boolean
  /** Returns some of the bytes. */
  shrink(bytes: number): void
  /** Returns all bytes; further calls have no effect. */
  release(): void
}

/** Reservation with what the budget needs to take it back. */
interface Holder {
  heldBytes: number
  /** Makes the holder release its bytes; `undefined` if it can't. */
  readonly revoke: (() => void) | undefined
}

/** Counts the bytes held by all reservations. */
export class ByteBudget {
  readonly #limitBytes: number
  readonly #holders = new Set<Holder>()
  #usedBytes = 0

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes
  }

  get usedBytes(): number {
    return this.#usedBytes
  }

  /**
   * Starts an empty reservation.
   * @param revoke called to take the reservation back for smaller ones; must release it
   */
  open(revoke?: () => void): ByteReservation {
    const holder: Holder = { heldBytes: 0, revoke }
    let isReleased = false
    return {
      grow: (bytes) => {
        if (isReleased || !this.#makeRoom(holder, bytes)) return false
        this.#holders.add(holder)
        holder.heldBytes += bytes
        this.#usedBytes += bytes
        return true
      },
      shrink: (bytes) => {
        if (isReleased) return
        const returnedBytes = Math.min(bytes, holder.heldBytes)
        holder.heldBytes -= returnedBytes
        this.#usedBytes -= returnedBytes
      },
      release: () => {
        isReleased = true
        this.#holders.delete(holder)
        this.#usedBytes -= holder.heldBytes
        holder.heldBytes = 0
      },
    }
  }

  /**
   * Takes back the largest reservations while there is one that holds more than `holder` would, so
   * that a few large ones do not fail all others.
   */
  #makeRoom(holder: Holder, bytes: number): boolean {
    while (this.#usedBytes + bytes > this.#limitBytes) {
      const largest = this.#largestRevocable(holder)
      if (largest === undefined || largest.heldBytes <= holder.heldBytes + bytes) return false
      const { heldBytes } = largest
      largest.revoke?.()
      if (largest.heldBytes === heldBytes) return false
    }
    return true
  }

  #largestRevocable(except: Holder): Holder | undefined {
    let largest: Holder | undefined
    for (const holder of this.#holders) {
      if (holder === except || holder.revoke === undefined) continue
      if (largest === undefined || holder.heldBytes > largest.heldBytes) largest = holder
    }
    return largest
  }
}
