/** Consequences of a send's outcome for the request, the slot and the caller. */
import { CONNECTION_HEADERS } from '../common/exchange.js'
import type { CallerAnswer } from './callerRequest.js'
import { FailureKind } from './callerRequest.js'
import { SlotUse } from './peerMessages.js'
import { Repeatability } from './routingConfiguration.js'
import type { SendOutcome, ServerAnswer, ServerHeaders } from './serverExchange.js'
import { SendKind } from './serverExchange.js'

/** How to proceed with a request after a send. */
export interface NextStep {
  /** Whether the request must not be sent again. */
  readonly isFinal: boolean
  readonly failure?: FailureKind
  readonly mayHaveRun: boolean
}

export const NEXT_BY_KIND: Readonly<
  Record<SendKind, (repeatability: Repeatability, outcome: SendOutcome) => NextStep>
> = {
  [SendKind.Answered]: (repeatability, { answer }) => {
    const isServerFailure = (answer?.status ?? 0) >= 500
    const isRepeatable = repeatability === Repeatability.Idempotent
    return { isFinal: !(isServerFailure && isRepeatable), mayHaveRun: true }
  },
  [SendKind.Declined]: () => ({ isFinal: false, mayHaveRun: false }),
  [SendKind.Misdirected]: () => ({ isFinal: false, mayHaveRun: false }),
  [SendKind.Unreachable]: () => ({ isFinal: false, mayHaveRun: false }),
  [SendKind.Broken]: () => ({ isFinal: false, mayHaveRun: true }),
  [SendKind.TimedOut]: () => ({
    isFinal: true,
    failure: FailureKind.TimedOut,
    mayHaveRun: true,
  }),
  [SendKind.Abandoned]: () => ({
    isFinal: true,
    failure: FailureKind.Abandoned,
    mayHaveRun: true,
  }),
}

/** Outcome that is reported to the coordinator when the slot is released. */
export const USE_BY_KIND: Readonly<
  Record<SendKind, (answer: ServerAnswer | undefined) => SlotUse>
> = {
  [SendKind.Answered]: (answer) =>
    (answer?.status ?? 0) >= 500 ? SlotUse.Failed : SlotUse.Completed,
  [SendKind.Declined]: () => SlotUse.NotRun,
  [SendKind.Misdirected]: () => SlotUse.NotRun,
  [SendKind.Unreachable]: () => SlotUse.NotRun,
  [SendKind.Broken]: () => SlotUse.Broken,
  [SendKind.TimedOut]: () => SlotUse.Abandoned,
  [SendKind.Abandoned]: () => SlotUse.Abandoned,
}

const NOT_PASSED_ON: ReadonlySet<string> = new Set(CONNECTION_HEADERS)

/** Converts an answer of a backend server for the caller, without hop-by-hop and load headers. */
export function answerOf(answer: ServerAnswer, headers: ServerHeaders): CallerAnswer {
  const passed = answer.headers.filter(([name]) => {
    const lower = name.toLowerCase()
    return !NOT_PASSED_ON.has(lower) && lower !== headers.load
  })
  const { status, statusText, body, isDelimitedByClose } = answer
  return { status, statusText, headers: passed, body, isDelimitedByClose }
}
