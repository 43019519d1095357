/** Interface through which the gateway acquires the right to execute a request on a server. */
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'

/** Reasons for which no slot is granted. In all cases, the request has not been executed. */
export enum SlotErrorKind {
  /** The queue of the service is full. */
  QueueFull = 'queueFull',
  /** The deadline passes before a slot can be expected. */
  DeadlineUnreachable = 'deadlineUnreachable',
  /** The service is unknown or has no live backend server in this region. */
  NoBackendServer = 'noBackendServer',
  /** The caller disconnected while the request waited. */
  Cancelled = 'slotRequestCancelled',
}

/** Failure of {@link SlotSource.acquire}. */
export class SlotError extends SteeringError<SlotErrorKind> {
  /** Time after which the caller should retry, in milliseconds. */
  readonly retryAfterMs: number

  constructor(kind: SlotErrorKind, problem: string, remedy: string, retryAfterMs: number) {
    super(kind, problem, remedy, { retryAfterMs })
    this.retryAfterMs = retryAfterMs
  }
}

/** Properties of a request that determine its slot. */
export interface SlotRequest {
  readonly requestId: string
  readonly service: string
  /** Class for service time statistics: service, method and first two path segments. */
  readonly requestClass: string
  /** Milliseconds since the epoch. */
  readonly deadlineMs: number
  /** Workers on which the request was already attempted. */
  readonly excludedWorkers: ReadonlySet<string>
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal
}

/** Outcome of the use of a granted slot. */
export enum SlotUse {
  Completed = 'completed',
  /** The backend server refused the request before it started. */
  Shed = 'shed',
  /** Connection failure, reset, timeout or malformed answer. */
  Failed = 'failed',
  /** Cancelled by the gateway, for example because the other attempt of a hedge finished first. */
  Cancelled = 'cancelled',
  /** No request was sent. */
  Unused = 'unused',
}

/** A granted slot. It must be released exactly once. */
export interface SlotGrant {
  readonly workerId: string
  /** `host:port` of the backend server. */
  readonly address: string
  /** Why this worker was chosen, for the decision log. */
  readonly reason: string
  /** @param durationMs time from sending the request to the end of the answer */
  release(use: SlotUse, durationMs: number, nowMs: number): void
}

/** Grants slots of the backend servers in the region of this gateway. */
export interface SlotSource {
  /** Waits for a slot until the deadline or until `request.signal` aborts. Never rejects. */
  acquire(request: SlotRequest, nowMs: number): Promise<Result<SlotGrant, SlotError>>
}
