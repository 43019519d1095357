/** Settings, records and answers of the stand-in of a backend server. */

/** Settings of a stand-in. */
export interface BackendServerOptions {
  /** TCP port; 0 takes a free one. */
  readonly port: number
  readonly workerId: string
  readonly slots: number
  /** Service time of most requests, ms. */
  readonly shortMs: number
  /** Service time of requests whose path starts with `/long`, ms. */
  readonly longMs: number
  /** Age of the load and health that `GET /status` reports, ms. */
  readonly statusLagMs: number
  /** Time after the start in which requests take up to `coldFactor` times longer, ms. */
  readonly coldStartMs: number
  readonly coldFactor: number
  /** Seed of the random faults. */
  readonly seed: number
}

/** Settings that are used unless others are given. */
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

/** One execution, from its start on. */
export interface ExecutionRecord {
  readonly workerId: string
  /** Operation identifier, or an empty string. */
  readonly operation: string
  /** Identifier of the gateway's attempt. */
  readonly request: string
  readonly method: string
  readonly target: string
  /** Milliseconds since the epoch. */
  readonly startMs: number
  /** `undefined` while it runs. */
  endMs?: number
  /** True if the connection closed before the end. */
  cancelled?: boolean
}

/** Body of an answer. */
export interface EchoedRequest {
  readonly workerId: string
  readonly operation: string
  readonly request: string
  readonly method: string
  readonly target: string
  /** SHA-256 of the request's body in hexadecimal digits. */
  readonly bodySha256: string
}
