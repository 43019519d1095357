/** Passes slot messages between the RPC transport, the lender and the borrower. */
import type { Clock } from '../common/clock.js'
import type { RpcCaller, RpcErrorKind, RpcMethodRegistry } from '../common/rpc.js'
import type { SlotBorrowing } from './slotBorrowing.js'
import type { SlotLending } from './slotLending.js'
import type { MailboxOptions, MailboxPeer } from './slotMailbox.js'
import { SlotMailbox } from './slotMailbox.js'
import type { SlotEnvelope, SlotMessage } from './slotMessages.js'
import { SLOT_ENVELOPE_SCHEMA, SLOT_EXCHANGE_METHOD, SlotMessageKind } from './slotMessages.js'
import type { SlotPeer } from './slotPool.js'

/**
 * Maximum number of attempts to deliver a return or a cancellation. If all fail, the loan ends
 * at its deadline.
 */
const MAX_DELIVERIES = 5

/** Handlers of incoming messages. */
export interface ExchangeSides {
  readonly lending: SlotLending
  readonly borrowing: SlotBorrowing
}

/** Sends and receives the slot messages of the dispatcher. */
export class SlotExchange {
  readonly #clock: Clock
  readonly #mailbox: SlotMailbox
  readonly #self: () => SlotPeer
  readonly #freeHints: (nowMs: number) => Readonly<Record<string, number>>
  #sides: ExchangeSides | undefined
  /** Messages to the peer whose call is being handled; they are sent in the answer. */
  #openAnswer: { readonly memberId: string; readonly messages: SlotMessage[] } | undefined
  readonly #deliveries = new WeakMap<SlotMessage, number>()

  constructor(
    rpc: RpcCaller,
    options: MailboxOptions & { readonly clock: Clock },
    self: () => SlotPeer,
    freeHints: (nowMs: number) => Readonly<Record<string, number>>,
  ) {
    this.#clock = options.clock
    this.#self = self
    this.#freeHints = freeHints
    this.#mailbox = new SlotMailbox(rpc, options, this, (messages) => this.#envelope(messages))
  }

  /** Sets the handlers after construction, because they send through this object. */
  connect(sides: ExchangeSides): void {
    this.#sides = sides
  }

  registerMethods(registry: RpcMethodRegistry): void {
    registry.addMethod(SLOT_EXCHANGE_METHOD, SLOT_ENVELOPE_SCHEMA, (envelope: SlotEnvelope) =>
      Promise.resolve(this.#receive(envelope)),
    )
  }

  /** Number of RPC calls made so far. */
  get callCount(): number {
    return this.#mailbox.callCount
  }

  send(peer: MailboxPeer, message: SlotMessage): void {
    if (this.#openAnswer?.memberId === peer.memberId) this.#openAnswer.messages.push(message)
    else this.#mailbox.post(peer, message)
  }

  stop(): void {
    this.#mailbox.stop()
  }

  /** Implements {@link MailboxListener}: handles the messages in the answer to a call. */
  answered(_peer: MailboxPeer, sent: readonly SlotMessage[], answer: SlotEnvelope): void {
    const nowMs = this.#clock()
    this.#sides?.borrowing.noteHints(answer.from.memberId, answer.free, nowMs)
    this.#handleAll(answer.from, answer.messages, nowMs)
    for (const message of sent) {
      if (message.kind === SlotMessageKind.Borrow) this.#sides?.borrowing.answered(message, nowMs)
    }
  }

  /**
   * Implements {@link MailboxListener}. A lost answer may have contained grants for earlier
   * borrow requests, so all borrow requests at this peer are cancelled.
   */
  failed(peer: MailboxPeer, sent: readonly SlotMessage[], kind: RpcErrorKind): void {
    const nowMs = this.#clock()
    this.#sides?.borrowing.peerFailed(peer, kind, nowMs)
    for (const message of sent) {
      if (message.kind === SlotMessageKind.Grant) {
        this.#sides?.lending.grantFailed(peer, message, kind, nowMs)
      } else if (REDELIVERED.has(message.kind)) {
        this.#redeliver(peer, message)
      }
    }
  }

  /** Sends an idempotent message again after an exponential delay, up to a maximum. */
  #redeliver(peer: MailboxPeer, message: SlotMessage): void {
    const deliveries = (this.#deliveries.get(message) ?? 1) + 1
    if (deliveries > MAX_DELIVERIES) return
    this.#deliveries.set(message, deliveries)
    const delayMs = 10 * 2 ** deliveries
    setTimeout(() => {
      this.#mailbox.post(peer, message)
    }, delayMs).unref()
  }

  #receive(envelope: SlotEnvelope): SlotEnvelope {
    const nowMs = this.#clock()
    const messages: SlotMessage[] = []
    this.#sides?.borrowing.noteHints(envelope.from.memberId, envelope.free, nowMs)
    this.#openAnswer = { memberId: envelope.from.memberId, messages }
    try {
      this.#handleAll(envelope.from, envelope.messages, nowMs)
    } finally {
      this.#openAnswer = undefined
    }
    return this.#envelope(messages)
  }

  #handleAll(from: SlotPeer, messages: readonly SlotMessage[], nowMs: number): void {
    if (this.#sides === undefined) return
    // Handle returns and cancellations first: they free slots for the borrow requests.
    const ordered = [...messages].sort((left, right) => ORDER[left.kind] - ORDER[right.kind])
    for (const message of ordered) handle(this.#sides, from, message, nowMs)
  }

  #envelope(messages: readonly SlotMessage[]): SlotEnvelope {
    return { from: this.#self(), messages, free: this.#freeHints(this.#clock()) }
  }
}

/** If one of these messages is lost, the slot is unusable until the deadline of its loan. */
const REDELIVERED: ReadonlySet<SlotMessageKind> = new Set([
  SlotMessageKind.Return,
  SlotMessageKind.Cancel,
])

const ORDER: Readonly<Record<SlotMessageKind, number>> = {
  [SlotMessageKind.Renew]: 0,
  [SlotMessageKind.Return]: 0,
  [SlotMessageKind.Cancel]: 1,
  [SlotMessageKind.Grant]: 2,
  [SlotMessageKind.Borrow]: 3,
}

type HandlerTable = {
  readonly [Kind in SlotMessageKind]: (
    sides: ExchangeSides,
    from: SlotPeer,
    message: Extract<SlotMessage, { kind: Kind }>,
    nowMs: number,
  ) => void
}

const HANDLERS: HandlerTable = {
  [SlotMessageKind.Borrow]: (sides, from, message, nowMs) => {
    sides.lending.borrow(from, message, nowMs)
  },
  [SlotMessageKind.Grant]: (sides, from, message, nowMs) => {
    sides.borrowing.granted(from, message, nowMs)
  },
  [SlotMessageKind.Return]: (sides, _from, message, nowMs) => {
    sides.lending.giveBack(message, nowMs)
  },
  [SlotMessageKind.Renew]: (sides, _from, message, nowMs) => {
    sides.lending.renew(message, nowMs)
  },
  [SlotMessageKind.Cancel]: (sides, _from, message, nowMs) => {
    sides.lending.cancel(message, nowMs)
  },
}

function handle(sides: ExchangeSides, from: SlotPeer, message: SlotMessage, nowMs: number): void {
  const handler = HANDLERS[message.kind] as (
    sides: ExchangeSides,
    from: SlotPeer,
    message: SlotMessage,
    nowMs: number,
  ) => void
  handler(sides, from, message, nowMs)
}
