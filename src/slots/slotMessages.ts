/** Messages between gateways that lend and borrow slots, and the RPC method that carries them. */
import Joi from 'joi'
import type { SlotPeer } from './slotPool.js'
import { SlotUse } from './slotSource.js'

/** Method on the internal JSON-RPC port; parameters and answer are {@link SlotEnvelope}s. */
export const SLOT_EXCHANGE_METHOD = 'slots.exchange'

export enum SlotMessageKind {
  /** Asks an owner for a slot; the owner sends a grant now or later. */
  Borrow = 'borrow',
  /** Lends a slot for one request. */
  Grant = 'grant',
  /** Returns a lent slot to its owner. */
  Return = 'return',
  /** Keeps a lent slot for the next request of the borrower. */
  Renew = 'renew',
  /** Cancels a borrow request and returns the slot that was granted for it, if any. */
  Cancel = 'cancel',
}

/** Asks for a slot. Has durations instead of points in time, because clocks differ. */
export interface BorrowMessage {
  readonly kind: SlotMessageKind.Borrow
  readonly borrowId: string
  readonly service: string
  readonly requestClass: string
  readonly priority: number
  /** Time that the request has already waited, in milliseconds. */
  readonly waitedMs: number
  /** Time until the deadline of the request, in milliseconds. */
  readonly remainingMs: number
  /** Whether the owner queues the request until a slot becomes free. */
  readonly mayWait: boolean
  readonly excludedWorkers: readonly string[]
}

/** Lends a slot until it is returned or the `remainingMs` of the borrow request have passed. */
export interface GrantMessage {
  readonly kind: SlotMessageKind.Grant
  readonly borrowId: string
  readonly loanId: string
  readonly service: string
  readonly workerId: string
  readonly address: string
}

/** Returns a slot. */
export interface ReturnMessage {
  readonly kind: SlotMessageKind.Return
  readonly service: string
  readonly loanId: string
  readonly use: SlotUse
  /** Time from sending the request to the end of the answer, in milliseconds. */
  readonly durationMs: number
}

/** Reports the end of a request on a lent slot that the borrower reuses for another request. */
export interface RenewMessage {
  readonly kind: SlotMessageKind.Renew
  readonly service: string
  readonly loanId: string
  /** Duration of the request that ended, in milliseconds. */
  readonly durationMs: number
  /** Class of the request that the slot is reused for. */
  readonly requestClass: string
}

/** Cancels a borrow request. */
export interface CancelMessage {
  readonly kind: SlotMessageKind.Cancel
  readonly service: string
  readonly borrowId: string
}

export type SlotMessage =
  BorrowMessage | GrantMessage | ReturnMessage | RenewMessage | CancelMessage

/** Parameters and answer of one call: messages and free-slot hints of the sender. */
export interface SlotEnvelope {
  readonly from: SlotPeer
  readonly messages: readonly SlotMessage[]
  /** Free slots of the sender by service name; helps peers to choose the owner to ask. */
  readonly free: Readonly<Record<string, number>>
}

const TEXT = 'string'
const NUMBER = 'number'
const FLAG = 'boolean'
const MAX_TEXT_LENGTH = 1024
const MAX_MESSAGES = 10_000

/** Fields and types that are checked, per kind of message. */
const FIELDS_BY_KIND: Readonly<Record<SlotMessageKind, Readonly<Record<string, string>>>> = {
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
  const fields = (FIELDS_BY_KIND as Record<string, Readonly<Record<string, string>> | undefined>)[
    String(value.kind)
  ]
  if (fields === undefined || !hasFields(value, fields)) return false
  if (value.kind === SlotMessageKind.Return) return SLOT_USES.has(value.use)
  if (value.kind !== SlotMessageKind.Borrow) return true
  const excluded = value.excludedWorkers
  return Array.isArray(excluded) && excluded.every((item) => typeof item === TEXT)
}

const SLOT_USES: ReadonlySet<unknown> = new Set(Object.values(SlotUse))

/** Type guard for envelopes received from peers. */
export function isSlotEnvelope(value: unknown): value is SlotEnvelope {
  if (!isRecord(value) || !hasFields(value.from, PEER_FIELDS)) return false
  const { messages, free } = value
  if (!Array.isArray(messages) || messages.length > MAX_MESSAGES) return false
  if (!isRecord(free)) return false
  return Object.values(free).every((count) => typeof count === NUMBER) && messages.every(isMessage)
}

/**
 * Schema of an envelope. The fields are checked without Joi: its alternatives are slow enough to
 * show in the dispatch benchmark, and every borrowed slot needs two envelopes.
 */
export const SLOT_ENVELOPE_SCHEMA = Joi.any().custom((value: unknown) => {
  if (!isSlotEnvelope(value)) throw new Error('the value is not a valid envelope of slot messages')
  return value
})
