/** Messages between gateways that lend and borrow slots, and the method that carries them. */
import Joi from 'joi'
import type { SlotPeer } from './slotPool.js'
import { SlotUse } from './slotSource.js'

/** Method of the internal JSON-RPC port; parameters and answer are {@link SlotEnvelope}s. */
export const SLOT_EXCHANGE_METHOD = 'slots.exchange'

/** Kinds of messages. */
export enum SlotMessageKind {
  /** Asks an owner for a slot; it answers with a grant now or later. */
  Borrow = 'borrow',
  /** Lends a slot for one request. */
  Grant = 'grant',
  /** Gives a lent slot back. */
  Return = 'return',
  /** Withdraws a borrow request and gives back what was granted for it. */
  Cancel = 'cancel',
}

/** Asks for a slot. Durations instead of times, because clocks differ between processes. */
export interface BorrowMessage {
  readonly kind: SlotMessageKind.Borrow
  readonly borrowId: string
  readonly service: string
  readonly requestClass: string
  readonly priority: number
  /** Time the request has waited already, in milliseconds. */
  readonly waitedMs: number
  /** Time until its deadline, in milliseconds. */
  readonly remainingMs: number
  readonly excludedWorkers: readonly string[]
}

/** Lends a slot until it is returned or `remainingMs` have passed. */
export interface GrantMessage {
  readonly kind: SlotMessageKind.Grant
  readonly borrowId: string
  readonly loanId: string
  readonly service: string
  readonly workerId: string
  readonly address: string
}

/** Gives a slot back. */
export interface ReturnMessage {
  readonly kind: SlotMessageKind.Return
  readonly service: string
  readonly loanId: string
  readonly use: SlotUse
  /** Time between send and end of the answer, in milliseconds. */
  readonly durationMs: number
}

/** Withdraws a borrow request. */
export interface CancelMessage {
  readonly kind: SlotMessageKind.Cancel
  readonly service: string
  readonly borrowId: string
}

export type SlotMessage = BorrowMessage | GrantMessage | ReturnMessage | CancelMessage

/** What one call carries in each direction. */
export interface SlotEnvelope {
  readonly from: SlotPeer
  readonly messages: readonly SlotMessage[]
  /** Free slots of the sender per service, as a hint whom to ask. */
  readonly free: Readonly<Record<string, number>>
}

const text = Joi.string().max(256).required()
const duration = Joi.number().min(0).required()

/** Shape of an envelope that a peer sends. */
export const SLOT_ENVELOPE_SCHEMA = Joi.object({
  from: Joi.object({
    memberId: text,
    incarnation: text,
    startedAtMs: duration,
    address: text,
  }).required(),
  messages: Joi.array()
    .items(
      Joi.object({
        kind: Joi.valid(SlotMessageKind.Borrow).required(),
        borrowId: text,
        service: text,
        requestClass: Joi.string().max(1024).allow('').required(),
        priority: duration,
        waitedMs: duration,
        remainingMs: duration,
        excludedWorkers: Joi.array().items(Joi.string()).max(64).required(),
      }),
      Joi.object({
        kind: Joi.valid(SlotMessageKind.Grant).required(),
        borrowId: text,
        loanId: text,
        service: text,
        workerId: text,
        address: text,
      }),
      Joi.object({
        kind: Joi.valid(SlotMessageKind.Return).required(),
        service: text,
        loanId: text,
        use: Joi.valid(...Object.values(SlotUse)).required(),
        durationMs: duration,
      }),
      Joi.object({
        kind: Joi.valid(SlotMessageKind.Cancel).required(),
        service: text,
        borrowId: text,
      }),
    )
    .max(10_000)
    .required(),
  free: Joi.object().pattern(Joi.string(), Joi.number()).required(),
})
