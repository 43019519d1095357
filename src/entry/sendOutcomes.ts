/** Consequences of a send's outcome for the request, the slot and the caller. */
import { CONNECTION_HEADERS } from '../common/exchange.js'
import type { CallerAnswer } from './callerRequest.js'
import { FailureKind } from './callerRequest.js'
import { SlotOutcome } from './peerMessages.js'
import { Repeatability } from './routingConfiguration.js'
import type { SendOutcome, ServerAnswer, ServerHeaders } from './serverExchange.js'
import { OutcomeKind } from './serverExchange.js'

/** How to proceed with a request after a send. */
export interface NextStep {
  /** Whether the request must not be sent again. */
  readonly isFinal: boolean
  readonly failure?: FailureKind
  readonly mayHaveRun: boolean
}

/**
 * Statuses that promise a caller that its request did not run. A server that answers with one of
 * them, but does not state that it did not run the request, may have run it.
 */
const NOT_RUN_STATUSES: ReadonlySet<number | undefined> = new Set([408, 421, 429, 503])

export const NEXT_STEP_BY_OUTCOME: Readonly<
  Record<OutcomeKind, (repeatability: Repeatability, outcome: SendOutcome) => NextStep>
> = {
  [OutcomeKind.Answered]: (repeatability, { answer }) => {
    const isServerFailure = (answer?.status ?? 0) >= 500
    const isIdempotent = repeatability === Repeatability.Idempotent
    if (!isIdempotent && NOT_RUN_STATUSES.has(answer?.status)) {
      return { isFinal: true, failure: FailureKind.AnswerLost, mayHaveRun: true }
    }
    return { isFinal: !(isServerFailure && isIdempotent), mayHaveRun: true }
  },
  [OutcomeKind.Declined]: () => ({ isFinal: false, mayHaveRun: false }),
  [OutcomeKind.Misdirected]: () => ({ isFinal: false, mayHaveRun: false }),
  [OutcomeKind.Unreachable]: () => ({ isFinal: false, mayHaveRun: false }),
  [OutcomeKind.Broken]: () => ({ isFinal: false, mayHaveRun: true }),
  [OutcomeKind.TimedOut]: () => ({
    isFinal: true,
    failure: FailureKind.TimedOut,
    mayHaveRun: true,
  }),
  [OutcomeKind.Abandoned]: () => ({
    isFinal: true,
    failure: FailureKind.Abandoned,
    mayHaveRun: true,
  }),
}

/** Outcome that is reported to the coordinator when the slot is released. */
export const SLOT_OUTCOME_BY_SEND_OUTCOME: Readonly<
  Record<OutcomeKind, (answer: ServerAnswer | undefined) => SlotOutcome>
> = {
  [OutcomeKind.Answered]: (answer) =>
    (answer?.status ?? 0) >= 500 ? SlotOutcome.Failed : SlotOutcome.Completed,
  [OutcomeKind.Declined]: () => SlotOutcome.NotRun,
  [OutcomeKind.Misdirected]: () => SlotOutcome.NotRun,
  [OutcomeKind.Unreachable]: () => SlotOutcome.NotRun,
  [OutcomeKind.Broken]: () => SlotOutcome.Broken,
  [OutcomeKind.TimedOut]: () => SlotOutcome.Abandoned,
  [OutcomeKind.Abandoned]: () => SlotOutcome.Abandoned,
}

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set(CONNECTION_HEADERS)

/** Converts an answer of a backend server for the caller, without headers for this instance. */
export function answerOf(answer: ServerAnswer, headers: ServerHeaders): CallerAnswer {
  const forwardedHeaders = answer.headers.filter(([name]) => {
    const lower = name.toLowerCase()
    if (HOP_BY_HOP_HEADERS.has(lower) || headers.isStatement(lower, answer.status)) return false
    return lower !== headers.load
  })
  const { status, statusText, body, isDelimitedByClose } = answer
  return { status, statusText, headers: forwardedHeaders, body, isDelimitedByClose }
}
