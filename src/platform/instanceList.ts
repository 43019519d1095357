/** The platform's lagging list of instances, in our own terms. */
import type { Result } from '../common/results.js'
import type { SteeringError } from '../common/errors.js'

/** What runs on a listed instance. */
export enum InstanceKind {
  /** An entry instance of the system. */
  Entry = 'entry',
  /** A backend server. */
  Backend = 'backend',
}

/** State of an instance according to the platform; may be seconds old. */
export enum InstanceState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One entry of the list. */
export interface ListedInstance {
  /** Member identifier of an entry instance's daemon, or worker identifier of a backend server. */
  readonly instanceId: string
  readonly kind: InstanceKind
  readonly state: InstanceState
  /** Grows each time the platform puts a new instance under the same identifier. */
  readonly generation: number
  readonly region: string
  readonly zone: string
  /** `host:port`: the internal JSON-RPC port of a daemon, or the HTTP port of a backend server. */
  readonly address: string
}

/** Kinds of failures when reading the platform's endpoints. */
export enum PlatformErrorKind {
  Unavailable = 'platformUnavailable',
  Malformed = 'platformMalformed',
}

/** Reads the platform's list. */
export interface InstanceList {
  /** Never rejects. */
  read(
    timeoutMs: number,
  ): Promise<Result<readonly ListedInstance[], SteeringError<PlatformErrorKind>>>
}
