/** Status endpoint of backend servers. Its reports lag and may be wrong. */
import type { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import type { PlatformErrorKind } from './instanceList.js'

/** Health as a backend server reports it. */
export enum BackendHealth {
  Healthy = 'healthy',
  Draining = 'draining',
  Unhealthy = 'unhealthy',
}

/** Status report of a backend server (`GET /status`). */
export interface BackendStatus {
  readonly health: BackendHealth
  /** Number of requests being executed at `measuredAtMs`. */
  readonly busySlots: number
  /** Milliseconds since the epoch. */
  readonly measuredAtMs: number
}

/** Reads the status of backend servers. */
export interface BackendStatusSource {
  /** @param address `host:port` of the backend server. Never rejects. */
  read(
    address: string,
    timeoutMs: number,
  ): Promise<Result<BackendStatus, SteeringError<PlatformErrorKind>>>
}
