/** The right to execute one request on one backend server, as the gateway sees it. */
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'

/** Why no slot was granted. All of them mean that the request did not run. */
export enum SlotErrorKind {
  /** The queue of the service is full. */
  QueueFull = 'queueFull',
  /** The deadline passes before a slot can be expected. */
  DeadlineUnreachable = 'deadlineUnreachable',
  /** The service is unknown or has no live backend server in this region. */
  NoBackendServer = 'noBackendServer',
  /** The caller went away while the request waited. */
  Cancelled = 'slotRequestCancelled',
}

/** Failure of {@link SlotSource.acquire}. */
export class SlotError extends SteeringError<SlotErrorKind> {
  /** Time after which a new try makes sense, in milliseconds. */
  readonly retryAfterMs: number

  constructor(kind: SlotErrorKind, problem: string, remedy: string, retryAfterMs: number) {
    super(kind, problem, remedy, { retryAfterMs })
    this.retryAfterMs = retryAfterMs
  }
}

/** What is known of a request before it runs. */
export interface SlotRequest {
  readonly requestId: string
  readonly service: string
  /** Class for the statistics: service, method and first two path segments. */
  readonly requestClass: string
  /** Milliseconds since the epoch. */
  readonly deadlineMs: number
  /** Workers that this request has tried already. */
  readonly excludedWorkers: ReadonlySet<string>
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal
}

/** How a granted slot was used. */
export enum SlotUse {
  Completed = 'completed',
  /** The backend server refused before it started. */
  Shed = 'shed',
  /** No connection, reset, timeout, broken answer. */
  Failed = 'failed',
  /** Cancelled by the gateway, for example the loser of a hedge. */
  Cancelled = 'cancelled',
  /** Never sent. */
  Unused = 'unused',
}

/** A granted slot. It has to be released exactly once. */
export interface SlotGrant {
  readonly workerId: string
  /** `host:port` of the backend server. */
  readonly address: string
  /** Reason of the choice, for the decision log. */
  readonly reason: string
  /** @param durationMs time between send and end of the answer */
  release(use: SlotUse, durationMs: number, nowMs: number): void
}

/** Grants slots of the backend servers in this gateway's region. */
export interface SlotSource {
  /** Waits for a slot until the deadline or until `request.signal` aborts. Never rejects. */
  acquire(request: SlotRequest, nowMs: number): Promise<Result<SlotGrant, SlotError>>
}
