/** Routes slot messages between the mailbox, the lender's and the borrower's side. */
import type { Clock } from '../common/clock.js'
import type { RpcCaller, RpcErrorKind, RpcMethodRegistry } from '../common/rpc.js'
import type { SlotBorrowing } from './slotBorrowing.js'
import type { SlotLending } from './slotLending.js'
import type { MailboxOptions, MailboxPeer } from './slotMailbox.js'
import { SlotMailbox } from './slotMailbox.js'
import type { SlotEnvelope, SlotMessage } from './slotMessages.js'
import { SLOT_ENVELOPE_SCHEMA, SLOT_EXCHANGE_METHOD, SlotMessageKind } from './slotMessages.js'
import type { SlotPeer } from './slotPool.js'

/** Tries to deliver a return or a cancellation; afterwards the loan ends at its deadline. */
const MAX_DELIVERIES = 5

/** The two sides that handle messages. */
export interface ExchangeSides {
  readonly lending: SlotLending
  readonly borrowing: SlotBorrowing
}

/** Message transport of the dispatcher. */
export class SlotExchange {
  readonly #clock: Clock
  readonly #mailbox: SlotMailbox
  readonly #self: () => SlotPeer
  readonly #freeHints: (nowMs: number) => Readonly<Record<string, number>>
  #sides: ExchangeSides | undefined
  /** Messages for the peer whose call is being handled; they travel in the answer. */
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

  /** Connects the handlers; they in turn send through this object. */
  connect(sides: ExchangeSides): void {
    this.#sides = sides
  }

  registerMethods(registry: RpcMethodRegistry): void {
    registry.addMethod(SLOT_EXCHANGE_METHOD, SLOT_ENVELOPE_SCHEMA, (envelope: SlotEnvelope) =>
      Promise.resolve(this.#receive(envelope)),
    )
  }

  /** Calls made so far. */
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

  /** Part of the mailbox's listener. */
  answered(_peer: MailboxPeer, sent: readonly SlotMessage[], answer: SlotEnvelope): void {
    const nowMs = this.#clock()
    this.#sides?.borrowing.noteHints(answer.from.memberId, answer.free, nowMs)
    this.#handleAll(answer.from, answer.messages, nowMs)
    for (const message of sent) {
      if (message.kind === SlotMessageKind.Borrow) this.#sides?.borrowing.answered(message, nowMs)
    }
  }

  /**
   * Part of the mailbox's listener. A lost answer may have held grants for
   * earlier borrow requests, so all requests at this peer are withdrawn.
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

  /** Sends an idempotent message again, a bounded number of times. */
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
    // Returns and cancellations first: they free the slots that borrow requests ask for.
    const ordered = [...messages].sort((left, right) => ORDER[left.kind] - ORDER[right.kind])
    for (const message of ordered) handle(this.#sides, from, message, nowMs)
  }

  #envelope(messages: readonly SlotMessage[]): SlotEnvelope {
    return { from: this.#self(), messages, free: this.#freeHints(this.#clock()) }
  }
}

/** Kinds whose loss would keep a slot from its owner until the deadline of the loan. */
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

/** Applies the handler of the message's kind. */
function handle(sides: ExchangeSides, from: SlotPeer, message: SlotMessage, nowMs: number): void {
  const handler = HANDLERS[message.kind] as (
    sides: ExchangeSides,
    from: SlotPeer,
    message: SlotMessage,
    nowMs: number,
  ) => void
  handler(sides, from, message, nowMs)
}
