/**
 * Leaving marks in the membership exchange. The exchange delivers marks whose push was lost, and
 * marks of other regions.
 */
import Joi from 'joi'
import type { ExchangePayloadProvider } from '../membership/membershipExchange.js'
import type { LeavingMark, LeavingRegistry } from './leavingRegistry.js'
import { LEAVING_MARK_SCHEMA } from './leavingPush.js'

/** Only the newest marks are sent per exchange; this number takes about 5 KB. */
const MAX_MARKS = 64

const MARKS_SCHEMA = Joi.array().items(LEAVING_MARK_SCHEMA).required()

/** Creates the provider that exchanges the marks of a registry. */
export function leavingPayload(registry: LeavingRegistry): ExchangePayloadProvider {
  return {
    name: 'leaving',
    collect: () => {
      const marks = registry.marks().slice(-MAX_MARKS)
      return marks.length === 0 ? undefined : marks
    },
    merge: (payload) => {
      const checked = MARKS_SCHEMA.validate(payload)
      if (checked.error === undefined) registry.merge(checked.value as readonly LeavingMark[])
    },
  }
}
