/**
 * Decides when this instance asks a peer for store changes that it missed, and which peer.
 *
 * Answers the load of a start: when all instances of a region start together, each greets all
 * others while the store changes. If every peer that is ahead sent what it knows, a region of n
 * instances would transfer n² copies of the store. Here, each instance asks one peer at a time.
 */

/**
 * Time in which changes usually arrive through the store reader, in milliseconds. Nothing is
 * requested before it has passed, unless this instance has no copy of the store at all.
 */
const PROPAGATION_MS = 250
/** Time without the requested changes after which another peer is asked, in milliseconds. */
const REQUEST_TIMEOUT_MS = 1000

interface PeerAhead {
  /** Revision of the latest change that the peer knows. */
  readonly revision: number
  readonly noticedAtMs: number
}

/** Peers that know later changes than this instance, and the request that is under way. */
export class StoreCatchUp {
  readonly #ahead = new Map<string, PeerAhead>()
  #request: { readonly peer: string; readonly atMs: number } | undefined

  /** Records the latest change that a peer knows. @param ownRevision revision of the own copy */
  recordPeer(peer: string, latestChange: number, ownRevision: number, nowMs: number): void {
    if (latestChange <= ownRevision || this.#ahead.has(peer)) return
    this.#ahead.set(peer, { revision: latestChange, noticedAtMs: nowMs })
  }

  /** Forgets a peer whose link broke. */
  removePeer(peer: string): void {
    this.#ahead.delete(peer)
    if (this.#request?.peer === peer) this.#request = undefined
  }

  /** Records changes from a peer, which may be those that were requested from it. */
  recordChanges(peer: string): void {
    if (this.#request?.peer === peer) this.#request = undefined
  }

  /** Returns the peer to ask now, if any, and counts it as asked. */
  nextPeer(ownRevision: number, nowMs: number): string | undefined {
    for (const [peer, { revision }] of this.#ahead) {
      if (revision <= ownRevision) this.#ahead.delete(peer)
    }
    if (this.#request !== undefined) {
      if (nowMs - this.#request.atMs < REQUEST_TIMEOUT_MS) return undefined
      this.#ahead.delete(this.#request.peer)
      this.#request = undefined
    }
    const waitMs = ownRevision === 0 ? 0 : PROPAGATION_MS
    for (const [peer, { noticedAtMs }] of this.#ahead) {
      if (nowMs - noticedAtMs < waitMs) continue
      this.#request = { peer, atMs: nowMs }
      return peer
    }
    return undefined
  }
}
