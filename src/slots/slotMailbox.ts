/** Batches slot messages to peers: messages of one event loop turn are sent in one RPC call. */
import { setMaxListeners } from 'node:events'
import type { RpcCaller } from '../common/rpc.js'
import { RpcErrorKind } from '../common/rpc.js'
import type { SlotEnvelope, SlotMessage } from './slotMessages.js'
import { SLOT_EXCHANGE_METHOD } from './slotMessages.js'

/** Identifier and `host:port` address of a peer. */
export interface MailboxPeer {
  readonly memberId: string
  readonly address: string
}

/** Receives the result of each call. */
export interface MailboxListener {
  /** The peer handled the messages. */
  answered(peer: MailboxPeer, sent: readonly SlotMessage[], answer: SlotEnvelope): void
  /** The messages were not handled, or it is unknown whether the peer handled them. */
  failed(peer: MailboxPeer, sent: readonly SlotMessage[], kind: RpcErrorKind): void
}

/** Limits of the mailbox. */
export interface MailboxOptions {
  readonly callTimeoutMs: number
  /** Maximum number of calls in flight per peer; further messages share the next call. */
  readonly maxCallsPerPeer: number
}

interface Outbox {
  readonly peer: MailboxPeer
  waiting: SlotMessage[]
  calls: number
  scheduled: boolean
}

/** Holds one outbox per peer address. Calls run concurrently, so messages may be reordered. */
export class SlotMailbox {
  readonly #rpc: RpcCaller
  readonly #options: MailboxOptions
  readonly #listener: MailboxListener
  readonly #envelope: (messages: readonly SlotMessage[]) => SlotEnvelope
  readonly #outboxes = new Map<string, Outbox>()
  readonly #abort = new AbortController()
  #isStopped = false
  #callCount = 0

  constructor(
    rpc: RpcCaller,
    options: MailboxOptions,
    listener: MailboxListener,
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
  post(peer: MailboxPeer, message: SlotMessage): void {
    let outbox = this.#outboxes.get(peer.address)
    if (outbox === undefined) {
      outbox = { peer, waiting: [], calls: 0, scheduled: false }
      this.#outboxes.set(peer.address, outbox)
    }
    outbox.waiting.push(message)
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
    if (outbox.scheduled || outbox.calls >= this.#options.maxCallsPerPeer) return
    outbox.scheduled = true
    setImmediate(() => {
      outbox.scheduled = false
      void this.#send(outbox)
    })
  }

  async #send(outbox: Outbox): Promise<void> {
    if (outbox.waiting.length === 0 || this.#stopped()) return
    const sent = outbox.waiting
    outbox.waiting = []
    outbox.calls += 1
    this.#callCount += 1
    const result = await this.#rpc.call(
      outbox.peer.address,
      SLOT_EXCHANGE_METHOD,
      this.#envelope(sent),
      { timeoutMs: this.#options.callTimeoutMs, signal: this.#abort.signal },
    )
    outbox.calls -= 1
    if (this.#stopped()) return
    if (result.ok) this.#listener.answered(outbox.peer, sent, result.val as SlotEnvelope)
    else this.#listener.failed(outbox.peer, sent, result.val.kind)
    if (outbox.waiting.length > 0) this.#schedule(outbox)
    else if (outbox.calls === 0) this.#outboxes.delete(outbox.peer.address)
  }
}
