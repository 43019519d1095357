/** Health and load endpoint of backend servers, in our own terms. Its content lags and may mislead. */
import type { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import type { PlatformErrorKind } from './instanceList.js'

/** Health as a backend server reports it. */
export enum BackendHealth {
  Healthy = 'healthy',
  Draining = 'draining',
  Unhealthy = 'unhealthy',
}

/** Report of a backend server (`GET /status`). */
export interface BackendStatus {
  readonly health: BackendHealth
  /** Requests being executed, as of `measuredAtMs`. */
  readonly busySlots: number
  /** Milliseconds since the epoch. */
  readonly measuredAtMs: number
}

/** Reads status reports. */
export interface BackendStatusSource {
  /** @param address `host:port` of the backend server. Never rejects. */
  read(
    address: string,
    timeoutMs: number,
  ): Promise<Result<BackendStatus, SteeringError<PlatformErrorKind>>>
}
