/**
 * Checks that values received from peers are messages about quotas. Amounts have to be finite and
 * not negative; how much of an amount counts is limited where it is used.
 */
import { QuotaMessageKind, QuotaRefusal } from './quotaMessages.js'

export type QuotaMessageCheck = (value: unknown) => boolean

/** Most requests that one ask, grant or return may concern. */
export const MAX_COUNT = 10_000

const REFUSALS: ReadonlySet<unknown> = new Set(Object.values(QuotaRefusal))

const isText: QuotaMessageCheck = (value) => typeof value === 'string'
const isAmount: QuotaMessageCheck = (value) => Number.isFinite(value) && Number(value) >= 0
const isCount: QuotaMessageCheck = (value) =>
  Number.isInteger(value) && Number(value) >= 0 && Number(value) <= MAX_COUNT
const isId: QuotaMessageCheck = (value) => Number.isSafeInteger(value)
const isRefusal: QuotaMessageCheck = (value) => REFUSALS.has(value)

function hasFields(checks: Readonly<Record<string, QuotaMessageCheck>>): QuotaMessageCheck {
  const entries = Object.entries(checks)
  return (value) =>
    typeof value === 'object' &&
    value !== null &&
    entries.every(([name, check]) => check((value as Readonly<Record<string, unknown>>)[name]))
}

function isOptional(check: QuotaMessageCheck): QuotaMessageCheck {
  return (value) => value === undefined || check(value)
}

function isListOf(...checks: readonly QuotaMessageCheck[]): QuotaMessageCheck {
  return (value) =>
    Array.isArray(value) &&
    value.every(
      (item: unknown) =>
        Array.isArray(item) &&
        item.length >= checks.length &&
        checks.every((check, index) => check(item[index])),
    )
}

/** Checks of the fields of each kind of message, for the table of the peer message format. */
export const QUOTA_MESSAGE_CHECKS: ReadonlyMap<QuotaMessageKind, QuotaMessageCheck> = new Map([
  [QuotaMessageKind.Part, hasFields({ ownedMs: isAmount })],
  [
    QuotaMessageKind.Ask,
    hasFields({ askId: isId, tenant: isText, count: isCount, refused: isCount }),
  ],
  [
    QuotaMessageKind.Grant,
    hasFields({
      askId: isId,
      tenant: isText,
      granted: isCount,
      refusal: isOptional(
        hasFields({ reason: isRefusal, retryAfterMs: isAmount, holdOffMs: isAmount }),
      ),
    }),
  ],
  [QuotaMessageKind.Return, hasFields({ tenant: isText, count: isCount })],
  [QuotaMessageKind.Demand, hasFields({ tenants: isListOf(isText, isAmount, isAmount) })],
  [QuotaMessageKind.Tokens, hasFields({ tenants: isListOf(isText, isAmount) })],
])
