/**
 * Checks that lines of peers are messages. Fields of a wrong type would otherwise fail later, when
 * they are used, and not with the link on which they arrived.
 */
import { QUOTA_MESSAGE_CHECKS } from '../quotas/quotaMessageFormat.js'
import type { PeerMessage } from './peerMessages.js'
import { PeerMessageKind } from './peerMessages.js'

type Check = (value: unknown) => boolean

/** Returns the message; `undefined` if the value is none. Kinds of a later release are let through. */
export function parsePeerMessage(line: string): PeerMessage | undefined {
  try {
    const value: unknown = JSON.parse(line)
    if (!isJsonObject(value) || typeof value.kind !== 'string') return undefined
    const check = CHECK_BY_KIND.get(value.kind)
    return check === undefined || check(value) ? (value as unknown as PeerMessage) : undefined
  } catch {
    // The link is closed with a reason that says so.
    return undefined
  }
}

function isJsonObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

const isText: Check = (value) => typeof value === 'string'
const isBoolean: Check = (value) => typeof value === 'boolean'
/** JSON has `null` for infinite numbers, and senders of an earlier release may leave one out. */
const isNumber: Check = (value) =>
  typeof value === 'number' || value === null || value === undefined

function isList(check: Check): Check {
  return (value) => Array.isArray(value) && value.every(check)
}

function hasFields(checks: Readonly<Record<string, Check>>): Check {
  const entries = Object.entries(checks)
  return (value) => isJsonObject(value) && entries.every(([name, check]) => check(value[name]))
}

function isOptional(check: Check): Check {
  return (value) => value === undefined || value === null || check(value)
}

const isLoadReport = hasFields({
  running: isNumber,
  waiting: isNumber,
  slots: isNumber,
  pace: isNumber,
})
const isStatement = hasFields({
  limitPerSecond: isNumber,
  retryAfterMs: isNumber,
  avoidForMs: isNumber,
  isLeaving: isOptional(isBoolean),
  unreadable: isOptional(isList(isText)),
})
const isStoreItem = hasFields({ key: isText, revision: isNumber, value: isOptional(isText) })

const CHECK_BY_KIND: ReadonlyMap<string, Check> = new Map<string, Check>([
  ...QUOTA_MESSAGE_CHECKS,
  // The record and the instances that come along are checked one by one where they are read.
  [
    PeerMessageKind.Hello,
    hasFields({ known: isList(() => true), knownCount: isNumber, revision: isNumber }),
  ],
  [
    PeerMessageKind.Heartbeat,
    hasFields({ storeAgeMs: isNumber, revision: isNumber, nextInMs: isNumber }),
  ],
  [PeerMessageKind.Leaving, hasFields({ incarnation: isText })],
  [
    PeerMessageKind.SlotRequest,
    hasFields({
      ask: hasFields({
        askId: isNumber,
        service: isText,
        route: isText,
        object: isText,
        priority: isNumber,
        targetInMs: isNumber,
        deadlineInMs: isNumber,
        isReturn: isBoolean,
        excludedServers: isList(isText),
        regions: isList(isText),
        callerLeftMs: isNumber,
        isRepeatable: isOptional(isBoolean),
      }),
    }),
  ],
  [PeerMessageKind.CancelSlotRequest, hasFields({ service: isText, askId: isNumber })],
  [
    PeerMessageKind.Grant,
    hasFields({
      askId: isNumber,
      serverId: isText,
      mayConnectionsBeLost: isOptional(isBoolean),
    }),
  ],
  [PeerMessageKind.Refuse, hasFields({ askId: isNumber, reason: isText, retryAfterMs: isNumber })],
  [
    PeerMessageKind.ReleaseSlot,
    hasFields({
      service: isText,
      askId: isNumber,
      use: isText,
      durationMs: isNumber,
      report: isOptional(isLoadReport),
      stated: isOptional(isStatement),
      connection: isOptional(hasFields({ keptForMs: isNumber, isLost: isOptional(isBoolean) })),
    }),
  ],
  [
    PeerMessageKind.HeldSlots,
    hasFields({
      service: isText,
      uses: isList(
        hasFields({ askId: isNumber, serverId: isText, route: isText, forMs: isNumber }),
      ),
    }),
  ],
  [
    PeerMessageKind.StoreUpdate,
    hasFields({
      items: isList(isStoreItem),
      revision: isNumber,
      since: isNumber,
      isComplete: isBoolean,
      packed: isOptional(isText),
    }),
  ],
  [PeerMessageKind.StoreRequest, hasFields({ since: isNumber })],
  [
    PeerMessageKind.Demand,
    hasFields({ service: isText, region: isText, neededSlots: isNumber, slots: isNumber }),
  ],
  [
    PeerMessageKind.RemoteShare,
    hasFields({ service: isText, share: isNumber, neededSlots: isNumber }),
  ],
  [
    PeerMessageKind.LendSlots,
    hasFields({
      service: isText,
      region: isText,
      slots: isList(hasFields({ serverId: isText, slots: isNumber })),
    }),
  ],
  [
    PeerMessageKind.StatedLimits,
    hasFields({
      service: isText,
      limits: isList(hasFields({ serverId: isText, limitPerSecond: isNumber, ageMs: isNumber })),
    }),
  ],
  [
    PeerMessageKind.ServersLeaving,
    hasFields({ servers: isList(hasFields({ id: isText, startedAtMs: isNumber })) }),
  ],
])
