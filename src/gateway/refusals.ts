/** Refusals and failures that the gateway reports to callers. */
import { Outcome } from '../common/headers.js'
import type { HeaderPair } from '../common/exchange.js'
import type { GatewayAnswer } from './gatewayRequest.js'

/** Kinds of answers that the gateway generates itself; the values are sent to callers. */
export enum RefusalKind {
  MalformedRequest = 'malformedRequest',
  AmbiguousLength = 'ambiguousLength',
  InternalHeader = 'internalHeader',
  TimeoutMalformed = 'timeoutMalformed',
  ServiceMissing = 'serviceMissing',
  ServiceUnknown = 'serviceUnknown',
  ServiceDiffers = 'serviceDiffers',
  OperationMalformed = 'operationMalformed',
  RequestTooLarge = 'requestTooLarge',
  TooManyRequests = 'tooManyRequests',
  NoConfiguration = 'noConfiguration',
  Leaving = 'leaving',
  ContentDiffers = 'contentDiffers',
  AcceptanceEnded = 'acceptanceEnded',
  IdentifierExpired = 'identifierExpired',
  LedgerFull = 'ledgerFull',
  AnswerNotKept = 'answerNotKept',
  QueueFull = 'queueFull',
  DeadlineUnreachable = 'deadlineUnreachable',
  NoBackendServer = 'noBackendServer',
  Cancelled = 'cancelled',
  BackendRefused = 'backendRefused',
  BackendUnreachable = 'backendUnreachable',
  LinkBudgetUsed = 'linkBudgetUsed',
  RegionUnreachable = 'regionUnreachable',
  OwnerUnreachable = 'ownerUnreachable',
  OwnerReplaced = 'ownerReplaced',
  BrokenAnswer = 'brokenAnswer',
  DeadlinePassed = 'deadlinePassed',
  InternalFault = 'internalFault',
}

interface RefusalRule {
  readonly status: number
  readonly outcome: Outcome
  readonly message: string
  readonly remedy: string
  /** Time after which a retry makes sense, in milliseconds. */
  readonly retryAfterMs?: number
}

const REMEDY_NEW_PREFIX = 'look up again and use the next number under the new prefix'
const REMEDY_NEXT_NUMBER = 'try again with the next operation number'
const REMEDY_SAME_IDENTIFIER = 'repeat the request with the same identifier to learn its outcome'

function notRun(
  status: number,
  message: string,
  remedy: string,
  retryAfterMs?: number,
): RefusalRule {
  const rule = { status, outcome: Outcome.NotRun, message, remedy }
  return retryAfterMs === undefined ? rule : { ...rule, retryAfterMs }
}

function unknownOutcome(status: number, message: string, remedy: string): RefusalRule {
  return { status, outcome: Outcome.Unknown, message, remedy }
}

const REFUSAL_RULES: Readonly<Record<RefusalKind, RefusalRule>> = {
  [RefusalKind.MalformedRequest]: notRun(400, 'The request is malformed', 'correct the request'),
  [RefusalKind.AmbiguousLength]: notRun(
    400,
    'The length of the request body is ambiguous',
    'send either one Content-Length or Transfer-Encoding: chunked',
  ),
  [RefusalKind.InternalHeader]: notRun(
    400,
    'The request carries a header that only the gateway sets, or repeats one of ours',
    'remove that header',
  ),
  [RefusalKind.TimeoutMalformed]: notRun(
    400,
    'The timeout header is not a positive whole number of milliseconds',
    'correct the timeout header or leave it out',
  ),
  [RefusalKind.ServiceMissing]: notRun(
    400,
    'The request names no service',
    'send the header tamarackdrift-service',
  ),
  [RefusalKind.ServiceUnknown]: notRun(
    404,
    'The service is not configured',
    'check the name of the service',
  ),
  [RefusalKind.ServiceDiffers]: notRun(
    400,
    'The operation prefix was issued for another service',
    REMEDY_NEW_PREFIX,
  ),
  [RefusalKind.OperationMalformed]: notRun(
    400,
    'The operation identifier is malformed or its prefix is forged',
    REMEDY_NEW_PREFIX,
  ),
  [RefusalKind.RequestTooLarge]: notRun(413, 'The request body is too large', 'send a smaller one'),
  [RefusalKind.TooManyRequests]: notRun(
    429,
    'This gateway has too many requests in flight',
    REMEDY_NEXT_NUMBER,
    500,
  ),
  [RefusalKind.NoConfiguration]: notRun(
    503,
    'This gateway has no configuration yet',
    'use another entry instance',
    1000,
  ),
  [RefusalKind.Leaving]: notRun(
    503,
    'This gateway is shutting down',
    'look up again and use another entry instance',
  ),
  [RefusalKind.ContentDiffers]: notRun(
    422,
    'The operation identifier was used before with other content',
    'use a new number for each operation',
  ),
  [RefusalKind.AcceptanceEnded]: notRun(410, 'The operation prefix has expired', REMEDY_NEW_PREFIX),
  [RefusalKind.IdentifierExpired]: unknownOutcome(
    410,
    'The outcome of this operation is not kept any more',
    'find out at the service whether it ran; use a new prefix for new operations',
  ),
  [RefusalKind.LedgerFull]: notRun(503, 'The operation ledger is full', REMEDY_NEW_PREFIX, 1000),
  [RefusalKind.AnswerNotKept]: unknownOutcome(
    502,
    'The operation has ended, but its answer was too large to keep',
    'find out at the service whether it ran',
  ),
  [RefusalKind.QueueFull]: notRun(503, 'The queue of the service is full', REMEDY_NEXT_NUMBER, 250),
  [RefusalKind.DeadlineUnreachable]: notRun(
    503,
    'The deadline passes before a backend server is free',
    REMEDY_NEXT_NUMBER,
    250,
  ),
  [RefusalKind.NoBackendServer]: notRun(
    503,
    'No backend server of the service is available',
    'use another entry instance',
    1000,
  ),
  [RefusalKind.Cancelled]: notRun(
    503,
    'The request was cancelled before it was sent',
    REMEDY_NEXT_NUMBER,
    100,
  ),
  [RefusalKind.BackendRefused]: notRun(
    503,
    'The backend servers refused to start the request',
    REMEDY_NEXT_NUMBER,
    250,
  ),
  [RefusalKind.BackendUnreachable]: notRun(
    503,
    'No connection to a backend server could be established',
    REMEDY_NEXT_NUMBER,
    250,
  ),
  [RefusalKind.LinkBudgetUsed]: notRun(
    503,
    'The bandwidth between the regions is used up',
    REMEDY_NEXT_NUMBER,
    500,
  ),
  [RefusalKind.RegionUnreachable]: notRun(
    503,
    'No gateway of a region that serves this request can be reached',
    REMEDY_NEXT_NUMBER,
    1000,
  ),
  [RefusalKind.OwnerUnreachable]: unknownOutcome(
    502,
    'The gateway that owns this operation does not answer',
    REMEDY_SAME_IDENTIFIER,
  ),
  [RefusalKind.OwnerReplaced]: unknownOutcome(
    502,
    'The gateway that owned this operation has ended',
    'find out at the service whether it ran; use a new prefix for new operations',
  ),
  [RefusalKind.BrokenAnswer]: unknownOutcome(
    502,
    'The backend server gave no complete answer; the request may have run',
    REMEDY_SAME_IDENTIFIER,
  ),
  [RefusalKind.DeadlinePassed]: unknownOutcome(
    504,
    'The deadline passed while the request was in flight',
    REMEDY_SAME_IDENTIFIER,
  ),
  [RefusalKind.InternalFault]: unknownOutcome(
    502,
    'The gateway failed while it handled the request',
    'report the request id',
  ),
}

/** Optional details of a refusal. */
export interface RefusalDetails {
  /** Appended to the message of the kind. */
  readonly detail?: string
  /** Overrides the retry time of the kind, in milliseconds. */
  readonly retryAfterMs?: number
}

/** Creates the answer for a refusal: `{ kind, message, remedy, requestId }` as JSON. */
export function refuse(
  kind: RefusalKind,
  requestId: string,
  details: RefusalDetails = {},
): GatewayAnswer {
  const rule = REFUSAL_RULES[kind]
  const message = details.detail === undefined ? rule.message : `${rule.message}: ${details.detail}`
  const body = JSON.stringify({ kind, message, remedy: rule.remedy, requestId })
  const retryAfterMs = details.retryAfterMs ?? rule.retryAfterMs
  const headers: HeaderPair[] = [['content-type', 'application/json; charset=utf-8']]
  if (retryAfterMs !== undefined) {
    headers.push(['retry-after', String(Math.max(1, Math.ceil(retryAfterMs / 1000)))])
  }
  return {
    outcome: rule.outcome,
    status: rule.status,
    headers,
    body: Buffer.from(body),
    reason: kind,
  }
}

/** Returns the outcome that a refusal of this kind reports. */
export function outcomeOf(kind: RefusalKind): Outcome {
  return REFUSAL_RULES[kind].outcome
}
