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
  /** Keeps a lent slot for the next request of the borrower. */
  Renew = 'renew',
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
  /** Whether the owner keeps the request until a slot becomes free. */
  readonly mayWait: boolean
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

/** States that a lent slot was used and serves another request of the borrower now. */
export interface RenewMessage {
  readonly kind: SlotMessageKind.Renew
  readonly service: string
  readonly loanId: string
  /** Time of the use that ended, in milliseconds. */
  readonly durationMs: number
  /** Class of the request that follows. */
  readonly requestClass: string
}

/** Withdraws a borrow request. */
export interface CancelMessage {
  readonly kind: SlotMessageKind.Cancel
  readonly service: string
  readonly borrowId: string
}

export type SlotMessage =
  BorrowMessage | GrantMessage | ReturnMessage | RenewMessage | CancelMessage

/** What one call carries in each direction. */
export interface SlotEnvelope {
  readonly from: SlotPeer
  readonly messages: readonly SlotMessage[]
  /** Free slots of the sender per service, as a hint whom to ask. */
  readonly free: Readonly<Record<string, number>>
}

const TEXT = 'string'
const NUMBER = 'number'
const FLAG = 'boolean'
const MAX_TEXT_LENGTH = 1024
const MAX_MESSAGES = 10_000

/** Fields of each kind of message with their types. */
const FIELDS: Readonly<Record<SlotMessageKind, Readonly<Record<string, string>>>> = {
  [SlotMessageKind.Borrow]: {
    borrowId: TEXT,
    service: TEXT,
    requestClass: TEXT,
    priority: NUMBER,
    waitedMs: NUMBER,
    remainingMs: NUMBER,
    mayWait: FLAG,
  },
  [SlotMessageKind.Grant]: {
    borrowId: TEXT,
    loanId: TEXT,
    service: TEXT,
    workerId: TEXT,
    address: TEXT,
  },
  [SlotMessageKind.Return]: { service: TEXT, loanId: TEXT, use: TEXT, durationMs: NUMBER },
  [SlotMessageKind.Renew]: {
    service: TEXT,
    loanId: TEXT,
    durationMs: NUMBER,
    requestClass: TEXT,
  },
  [SlotMessageKind.Cancel]: { service: TEXT, borrowId: TEXT },
}

const PEER_FIELDS = { memberId: TEXT, incarnation: TEXT, startedAtMs: NUMBER, address: TEXT }

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}

function hasFields(value: unknown, fields: Readonly<Record<string, string>>): boolean {
  if (!isRecord(value)) return false
  return Object.entries(fields).every(([name, type]) => {
    const field = value[name]
    if (typeof field === 'string' && field.length > MAX_TEXT_LENGTH) return false
    return typeof field === type && (type !== NUMBER || Number(field) >= 0)
  })
}

function isMessage(value: unknown): boolean {
  if (!isRecord(value) || !hasFields(value, { kind: TEXT })) return false
  const fields = (FIELDS as Record<string, Readonly<Record<string, string>> | undefined>)[
    String(value.kind)
  ]
  if (fields === undefined || !hasFields(value, fields)) return false
  if (value.kind === SlotMessageKind.Return) return USES.has(value.use)
  if (value.kind !== SlotMessageKind.Borrow) return true
  const excluded = value.excludedWorkers
  return Array.isArray(excluded) && excluded.every((item) => typeof item === TEXT)
}

const USES: ReadonlySet<unknown> = new Set(Object.values(SlotUse))

/** Tells whether a value has the shape of an envelope. */
export function isSlotEnvelope(value: unknown): value is SlotEnvelope {
  if (!isRecord(value) || !hasFields(value.from, PEER_FIELDS)) return false
  const { messages, free } = value
  if (!Array.isArray(messages) || messages.length > MAX_MESSAGES) return false
  if (!isRecord(free)) return false
  return Object.values(free).every((count) => typeof count === NUMBER) && messages.every(isMessage)
}

/**
 * Shape of an envelope that a peer sends. Checked by hand: Joi's alternatives
 * take long enough to show in the dispatch bench, and each borrowed slot passes here twice.
 */
export const SLOT_ENVELOPE_SCHEMA = Joi.any().custom((value: unknown) => {
  if (!isSlotEnvelope(value)) throw new Error('not an envelope of slot messages')
  return value
})
