/** Batches slot messages to peers: messages of one event loop turn are sent in one RPC call. */
import { setMaxListeners } from 'node:events'
import type { RpcClient } from '../common/rpc.js'
import { RpcErrorKind } from '../common/rpc.js'
import type { SlotEnvelope, SlotMessage } from './slotMessages.js'
import { SLOT_EXCHANGE_METHOD } from './slotMessages.js'

/** Identifier and `host:port` address of a peer. */
export interface SlotPeerAddress {
  readonly memberId: string
  readonly address: string
}

/** Receives the result of each call. */
export interface BatchListener {
  /** The peer handled the messages. */
  answered(peer: SlotPeerAddress, sent: readonly SlotMessage[], answer: SlotEnvelope): void
  /** The messages were not handled, or it is unknown whether the peer handled them. */
  failed(peer: SlotPeerAddress, sent: readonly SlotMessage[], kind: RpcErrorKind): void
}

/** Timeout and concurrency of the calls of {@link SlotMessageBatcher}. */
export interface BatcherOptions {
  readonly callTimeoutMs: number
  /** Maximum number of calls in flight per peer; further messages share the next call. */
  readonly maxCallsPerPeer: number
}

interface Outbox {
  readonly peer: SlotPeerAddress
  pending: SlotMessage[]
  callsInFlight: number
  isScheduled: boolean
}

/**
 * Holds one outbox per peer address. Calls run concurrently, so messages may be reordered; the
 * protocol tolerates that.
 */
export class SlotMessageBatcher {
  readonly #rpc: RpcClient
  readonly #options: BatcherOptions
  readonly #listener: BatchListener
  readonly #envelope: (messages: readonly SlotMessage[]) => SlotEnvelope
  readonly #outboxes = new Map<string, Outbox>()
  readonly #abort = new AbortController()
  #isStopped = false
  #callCount = 0

  constructor(
    rpc: RpcClient,
    options: BatcherOptions,
    listener: BatchListener,
    envelope: (messages: readonly SlotMessage[]) => SlotEnvelope,
  ) {
    this.#rpc = rpc
    this.#options = options
    this.#listener = listener
    this.#envelope = envelope
    // Each call in flight adds a listener; Node.js warns of a leak from the 11th on.
    setMaxListeners(0, this.#abort.signal)
  }

  /** Number of calls made so far. */
  get callCount(): number {
    return this.#callCount
  }

  /** Adds a message to the next call to the peer. */
  post(peer: SlotPeerAddress, message: SlotMessage): void {
    let outbox = this.#outboxes.get(peer.address)
    if (outbox === undefined) {
      outbox = { peer, pending: [], callsInFlight: 0, isScheduled: false }
      this.#outboxes.set(peer.address, outbox)
    }
    outbox.pending.push(message)
    this.#schedule(outbox)
  }

  /** Aborts all calls and discards unsent messages. */
  stop(): void {
    this.#isStopped = true
    this.#abort.abort()
    this.#outboxes.clear()
  }

  #stopped(): boolean {
    return this.#isStopped
  }

  #schedule(outbox: Outbox): void {
    if (outbox.isScheduled || outbox.callsInFlight >= this.#options.maxCallsPerPeer) return
    outbox.isScheduled = true
    setImmediate(() => {
      outbox.isScheduled = false
      void this.#send(outbox)
    })
  }

  async #send(outbox: Outbox): Promise<void> {
    if (outbox.pending.length === 0 || this.#stopped()) return
    const sent = outbox.pending
    outbox.pending = []
    outbox.callsInFlight += 1
    this.#callCount += 1
    const result = await this.#rpc.call(
      outbox.peer.address,
      SLOT_EXCHANGE_METHOD,
      this.#envelope(sent),
      { timeoutMs: this.#options.callTimeoutMs, signal: this.#abort.signal },
    )
    outbox.callsInFlight -= 1
    if (this.#stopped()) return
    if (result.ok) this.#listener.answered(outbox.peer, sent, result.val as SlotEnvelope)
    else this.#listener.failed(outbox.peer, sent, result.val.kind)
    if (outbox.pending.length > 0) this.#schedule(outbox)
    else if (outbox.callsInFlight === 0) this.#outboxes.delete(outbox.peer.address)
  }
}
