/** Options, execution records and answer bodies of the backend server stand-in. */

/** Options of the backend server stand-in. */
export interface BackendServerOptions {
  /** TCP port; 0 selects a free port. */
  readonly port: number
  readonly workerId: string
  readonly slots: number
  /** Default service time of requests, in milliseconds. */
  readonly shortMs: number
  /** Default service time of requests whose path starts with `/long`, in milliseconds. */
  readonly longMs: number
  /** Age of the load and health that `GET /status` reports, in milliseconds. */
  readonly statusLagMs: number
  /**
   * Duration of the cold start, in milliseconds, in which the slowdown falls
   * linearly from `coldFactor` to 1; 0: no cold start.
   */
  readonly coldStartMs: number
  /** Slowdown at the beginning of the cold start. */
  readonly coldFactor: number
  /** Seed of the random faults. */
  readonly seed: number
}

/** Default options. */
export const BACKEND_DEFAULTS: BackendServerOptions = {
  port: 0,
  workerId: 'worker',
  slots: 4,
  shortMs: 5,
  longMs: 100,
  statusLagMs: 500,
  coldStartMs: 0,
  coldFactor: 4,
  seed: 1,
}

/** One execution of a request, recorded when it starts. */
export interface ExecutionRecord {
  readonly workerId: string
  /** Operation identifier; empty if the request has none. */
  readonly operation: string
  /** Request identifier of the gateway's attempt. */
  readonly request: string
  readonly method: string
  readonly target: string
  /** Start of the execution, in milliseconds since the epoch. */
  readonly startMs: number
  /** End of the execution, in milliseconds since the epoch; `undefined` while it runs. */
  endMs?: number
  /** True if the connection closed before the execution ended. */
  cancelled?: boolean
}

/** JSON body of an answer: repeats the executed request. */
export interface EchoedRequest {
  readonly workerId: string
  readonly operation: string
  readonly request: string
  readonly method: string
  readonly target: string
  /** SHA-256 of the request's body in hexadecimal digits. */
  readonly bodySha256: string
}
