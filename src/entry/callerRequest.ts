/** Requests of callers and answers to them, independent of the HTTP server. */
import type { HeaderPair } from '../common/exchange.js'
import type { Credentials } from '../tenants/authentication.js'

/** Names of the headers and the cookie of callers' requests, in lower case. */
export interface CallerHeaders {
  readonly requestId: string
  /** Header with the time that the caller waits, in milliseconds. */
  readonly callerTimeout: string
  /** Cookie whose value is the object of the request. */
  readonly objectCookie: string
  /** Headers that only this system may set; dropped from callers' requests. */
  readonly reserved: ReadonlySet<string>
}

/** Credentials in the heads of callers' requests. */
export interface CredentialHeaders {
  /** Header that is not passed on where tenants are configured; lower case. */
  readonly name: string
  readonly read: (headers: readonly HeaderPair[]) => Credentials
}

/** Request of a caller with its complete body. */
export interface CallerRequest {
  readonly requestId: string
  /** Upper case. */
  readonly method: string
  readonly host: string
  /** Path and query string as received. */
  readonly target: string
  /** End-to-end headers that are forwarded to the backend server. */
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Object that the request concerns; empty if none. */
  readonly object: string
  /** Time from arrival that the caller waits, in milliseconds; `undefined` if not stated. */
  readonly callerTimeoutMs: number | undefined
  /** Time of arrival on the monotonic clock, in milliseconds. */
  readonly arrivedAtMs: number
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal
}

export interface CallerAnswer {
  readonly status: number
  readonly statusText?: string
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Whether only the end of the backend connection marks the end of the body. */
  readonly isDelimitedByClose?: boolean
}

/** Why a request is answered by this instance instead of a backend server. */
export enum FailureKind {
  /** This instance has not received a configuration yet. */
  NoConfiguration = 'noConfiguration',
  NoRoute = 'noRoute',
  /** The caller states no key that is valid, on a route that needs one. */
  UnknownKey = 'unknownKey',
  /** The tenant's quota is used up; the request did not run. */
  OverQuota = 'overQuota',
  /** No instance that gives out quotas answered; the request did not run. */
  QuotaUndecided = 'quotaUndecided',
  /** No head can carry the name of the tenant; the request did not run. */
  TenantNotServed = 'tenantNotServed',
  /** The homes of the route and of the tenant have no region in common. */
  NoHome = 'noHome',
  /** The route has a setting that this version does not know, so its requests are not served. */
  RouteNotServed = 'routeNotServed',
  /** Too many bodies are buffered already; the request did not run. */
  BodyMemory = 'bodyMemory',
  /** No slot was granted in time; the request did not run. */
  NoSlot = 'noSlot',
  /** The instance is shutting down and can't finish the request in time; it did not run. */
  Leaving = 'leaving',
  /** No send ran the request, and no further send is permitted. */
  NotRun = 'notRun',
  /** The request may have run, but the answer was lost. */
  AnswerLost = 'answerLost',
  /** The route's or the caller's timeout passed after the request was sent. */
  TimedOut = 'timedOut',
  /** The caller disconnected; the answer is discarded. */
  Abandoned = 'abandoned',
}

const STATUS_BY_FAILURE: Readonly<Record<FailureKind, number>> = {
  [FailureKind.NoConfiguration]: 503,
  [FailureKind.NoRoute]: 404,
  [FailureKind.UnknownKey]: 401,
  [FailureKind.OverQuota]: 429,
  [FailureKind.QuotaUndecided]: 503,
  [FailureKind.TenantNotServed]: 503,
  [FailureKind.NoHome]: 503,
  [FailureKind.RouteNotServed]: 503,
  [FailureKind.BodyMemory]: 503,
  [FailureKind.NoSlot]: 503,
  [FailureKind.Leaving]: 503,
  [FailureKind.NotRun]: 503,
  [FailureKind.AnswerLost]: 502,
  [FailureKind.TimedOut]: 504,
  [FailureKind.Abandoned]: 503,
}

const REMEDY_BY_FAILURE: Readonly<Record<FailureKind, string>> = {
  [FailureKind.NoConfiguration]: 'this instance has just started; ask another one or repeat',
  [FailureKind.NoRoute]: 'check host and path against the configured routes',
  [FailureKind.UnknownKey]: 'state one key of a configured tenant',
  [FailureKind.OverQuota]: 'not run; repeat after the stated time',
  [FailureKind.QuotaUndecided]: 'not run; repeat after the stated time',
  [FailureKind.TenantNotServed]: 'not run; correct the name of the tenant',
  [FailureKind.NoHome]: 'not run; correct the homes of the route or of the tenant',
  [FailureKind.RouteNotServed]: 'not run; correct the route, or update this instance',
  [FailureKind.BodyMemory]: 'not run; repeat after the stated time',
  [FailureKind.NoSlot]: 'not run; repeat after the stated time',
  [FailureKind.Leaving]: 'not run; ask another instance',
  [FailureKind.NotRun]: 'not run; repeat after the stated time',
  [FailureKind.AnswerLost]: 'it may have run; repeat only what may run twice',
  [FailureKind.TimedOut]: 'it may have run; repeat only what may run twice',
  [FailureKind.Abandoned]: 'the caller left before the answer',
}

/**
 * Creates the answer of this instance to a request that failed.
 * @param retryAfterMs value of Retry-After in milliseconds; 0 omits the header
 */
export function failureAnswer(kind: FailureKind, retryAfterMs: number): CallerAnswer {
  const headers: HeaderPair[] = [['Content-Type', 'text/plain']]
  if (retryAfterMs > 0) headers.push(['Retry-After', (retryAfterMs / 1000).toFixed(3)])
  const status = STATUS_BY_FAILURE[kind]
  return { status, headers, body: Buffer.from(`${kind}: ${REMEDY_BY_FAILURE[kind]}\n`) }
}
