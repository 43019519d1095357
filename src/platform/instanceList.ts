/** The platform's list of instances. It lags behind the actual state. */
import type { Result } from '../common/results.js'
import type { SteeringError } from '../common/errors.js'

/** Program that runs on a listed instance. */
export enum InstanceKind {
  /** An entry instance of the system. */
  Entry = 'entry',
  /** A backend server. */
  Backend = 'backend',
}

/** State of an instance as the platform reports it; may be several seconds old. */
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
  /** Increases each time the platform assigns the identifier to a new instance. */
  readonly generation: number
  readonly region: string
  readonly zone: string
  /** `host:port`: the internal JSON-RPC port of a daemon, or the HTTP port of a backend server. */
  readonly address: string
}

/** Kinds of failures when reading an endpoint of the platform or of a backend server. */
export enum PlatformErrorKind {
  Unavailable = 'platformUnavailable',
  Malformed = 'platformMalformed',
}

/** Reads the platform's list of instances. */
export interface InstanceList {
  /** Never rejects. */
  read(
    timeoutMs: number,
  ): Promise<Result<readonly ListedInstance[], SteeringError<PlatformErrorKind>>>
}
