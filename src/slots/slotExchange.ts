/** Passes slot messages between the RPC transport, the lender and the borrower. */
import type { Clock } from '../common/clock.js'
import type { RpcClient, RpcErrorKind, RpcMethodRegistry } from '../common/rpc.js'
import type { SlotBorrowing } from './slotBorrowing.js'
import type { SlotLending } from './slotLending.js'
import type { BatcherOptions, SlotPeerAddress } from './slotMessageBatcher.js'
import { SlotMessageBatcher } from './slotMessageBatcher.js'
import type { SlotEnvelope, SlotMessage } from './slotMessages.js'
import { SLOT_ENVELOPE_SCHEMA, SLOT_EXCHANGE_METHOD, SlotMessageKind } from './slotMessages.js'
import type { SlotPeer } from './slotPool.js'

/**
 * Maximum number of attempts to deliver a return or a cancellation. If all fail, the loan ends
 * at its deadline.
 */
const MAX_DELIVERY_ATTEMPTS = 5

/** Handlers of incoming messages. */
export interface SlotMessageHandlers {
  readonly lending: SlotLending
  readonly borrowing: SlotBorrowing
}

/** Sends and receives the slot messages of the dispatcher. */
export class SlotExchange {
  readonly #clock: Clock
  readonly #batcher: SlotMessageBatcher
  readonly #self: () => SlotPeer
  readonly #freeSlotHints: (nowMs: number) => Readonly<Record<string, number>>
  #handlers: SlotMessageHandlers | undefined
  /** Messages to the peer whose call is being handled; they are sent in the answer. */
  #openAnswer: { readonly memberId: string; readonly messages: SlotMessage[] } | undefined
  readonly #deliveryAttempts = new WeakMap<SlotMessage, number>()

  constructor(
    rpc: RpcClient,
    options: BatcherOptions & { readonly clock: Clock },
    self: () => SlotPeer,
    freeSlotHints: (nowMs: number) => Readonly<Record<string, number>>,
  ) {
    this.#clock = options.clock
    this.#self = self
    this.#freeSlotHints = freeSlotHints
    this.#batcher = new SlotMessageBatcher(rpc, options, this, (messages) =>
      this.#envelope(messages),
    )
  }

  /** Sets the handlers after construction, because they send through this object. */
  setHandlers(handlers: SlotMessageHandlers): void {
    this.#handlers = handlers
  }

  registerMethods(registry: RpcMethodRegistry): void {
    registry.addMethod(SLOT_EXCHANGE_METHOD, SLOT_ENVELOPE_SCHEMA, (envelope: SlotEnvelope) =>
      Promise.resolve(this.#receive(envelope)),
    )
  }

  /** Number of RPC calls made so far. */
  get callCount(): number {
    return this.#batcher.callCount
  }

  send(peer: SlotPeerAddress, message: SlotMessage): void {
    if (this.#openAnswer?.memberId === peer.memberId) this.#openAnswer.messages.push(message)
    else this.#batcher.post(peer, message)
  }

  stop(): void {
    this.#batcher.stop()
  }

  /** Implements {@link BatchListener}: handles the messages in the answer to a call. */
  answered(_peer: SlotPeerAddress, sent: readonly SlotMessage[], answer: SlotEnvelope): void {
    const nowMs = this.#clock()
    this.#handlers?.borrowing.recordHints(answer.from.memberId, answer.free, nowMs)
    this.#handleMessages(answer.from, answer.messages, nowMs)
    for (const message of sent) {
      if (message.kind === SlotMessageKind.Borrow)
        this.#handlers?.borrowing.answered(message, nowMs)
    }
  }

  /**
   * Implements {@link BatchListener}. A lost answer may have contained grants for earlier
   * borrow requests, so all borrow requests at this peer are cancelled.
   */
  failed(peer: SlotPeerAddress, sent: readonly SlotMessage[], kind: RpcErrorKind): void {
    const nowMs = this.#clock()
    this.#handlers?.borrowing.handlePeerFailure(peer, kind, nowMs)
    for (const message of sent) {
      if (message.kind === SlotMessageKind.Grant) {
        this.#handlers?.lending.handleGrantFailure(peer, message, kind, nowMs)
      } else if (REDELIVERED_KINDS.has(message.kind)) {
        this.#redeliver(peer, message)
      }
    }
  }

  /** Sends an idempotent message again after an exponential delay, up to a maximum. */
  #redeliver(peer: SlotPeerAddress, message: SlotMessage): void {
    const attempts = (this.#deliveryAttempts.get(message) ?? 1) + 1
    if (attempts > MAX_DELIVERY_ATTEMPTS) return
    this.#deliveryAttempts.set(message, attempts)
    const delayMs = 10 * 2 ** attempts
    setTimeout(() => {
      this.#batcher.post(peer, message)
    }, delayMs).unref()
  }

  #receive(envelope: SlotEnvelope): SlotEnvelope {
    const nowMs = this.#clock()
    const messages: SlotMessage[] = []
    this.#handlers?.borrowing.recordHints(envelope.from.memberId, envelope.free, nowMs)
    this.#openAnswer = { memberId: envelope.from.memberId, messages }
    try {
      this.#handleMessages(envelope.from, envelope.messages, nowMs)
    } finally {
      this.#openAnswer = undefined
    }
    return this.#envelope(messages)
  }

  #handleMessages(from: SlotPeer, messages: readonly SlotMessage[], nowMs: number): void {
    if (this.#handlers === undefined) return
    // Handle returns and cancellations first: they free slots for the borrow requests.
    const ordered = [...messages].sort(
      (left, right) => HANDLING_ORDER[left.kind] - HANDLING_ORDER[right.kind],
    )
    for (const message of ordered) handleMessage(this.#handlers, from, message, nowMs)
  }

  #envelope(messages: readonly SlotMessage[]): SlotEnvelope {
    return { from: this.#self(), messages, free: this.#freeSlotHints(this.#clock()) }
  }
}

/** If one of these messages is lost, the slot is unusable until the deadline of its loan. */
const REDELIVERED_KINDS: ReadonlySet<SlotMessageKind> = new Set([
  SlotMessageKind.Return,
  SlotMessageKind.Cancel,
])

const HANDLING_ORDER: Readonly<Record<SlotMessageKind, number>> = {
  [SlotMessageKind.Renew]: 0,
  [SlotMessageKind.Return]: 0,
  [SlotMessageKind.Cancel]: 1,
  [SlotMessageKind.Grant]: 2,
  [SlotMessageKind.Borrow]: 3,
}

type HandlerTable = {
  readonly [Kind in SlotMessageKind]: (
    handlers: SlotMessageHandlers,
    from: SlotPeer,
    message: Extract<SlotMessage, { kind: Kind }>,
    nowMs: number,
  ) => void
}

const HANDLER_BY_KIND: HandlerTable = {
  [SlotMessageKind.Borrow]: (handlers, from, message, nowMs) => {
    handlers.lending.handleBorrow(from, message, nowMs)
  },
  [SlotMessageKind.Grant]: (handlers, from, message, nowMs) => {
    handlers.borrowing.handleGrant(from, message, nowMs)
  },
  [SlotMessageKind.Return]: (handlers, _from, message, nowMs) => {
    handlers.lending.handleReturn(message, nowMs)
  },
  [SlotMessageKind.Renew]: (handlers, _from, message, nowMs) => {
    handlers.lending.handleRenew(message, nowMs)
  },
  [SlotMessageKind.Cancel]: (handlers, _from, message, nowMs) => {
    handlers.lending.handleCancel(message, nowMs)
  },
}

function handleMessage(
  handlers: SlotMessageHandlers,
  from: SlotPeer,
  message: SlotMessage,
  nowMs: number,
): void {
  const handler = HANDLER_BY_KIND[message.kind] as (
    handlers: SlotMessageHandlers,
    from: SlotPeer,
    message: SlotMessage,
    nowMs: number,
  ) => void
  handler(handlers, from, message, nowMs)
}
