/** Faults that the stand-in of a backend server can be told to show. */
import Joi from 'joi'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { BackendHealth } from '../src/platform/backendStatus.js'

/** Faults of single requests. */
export enum RequestFault {
  /** The connection is reset before the request starts. */
  ResetBefore = 'resetBefore',
  /** The request is executed, then the connection is reset without an answer. */
  ResetAfter = 'resetAfter',
  /** The request is executed, then the connection ends after `cutAfterBytes` of the body. */
  Truncate = 'truncate',
  /** The request is executed, then answered with the identifier of another request. */
  Cross = 'cross',
  /** The request is refused under the contract, without a start. */
  Shed = 'shed',
  /** The request is executed and answered with bytes that are no HTTP. */
  Garbage = 'garbage',
}

/** Settable faults. */
export interface BackendFaults {
  /** Faults of the next requests, used up one by one. */
  next: RequestFault[]
  /** Probability of each fault for any other request, 0 to 1. */
  random: Partial<Record<RequestFault, number>>
  /** Service times are multiplied by this. */
  slowFactor: number
  /** End of the slow time, milliseconds since the epoch. */
  slowUntilMs: number
  /** Health that is reported whatever the truth is; empty: the truth. */
  reportedHealth: BackendHealth | ''
  /** Bytes of the body that are sent before a cut. */
  cutAfterBytes: number
}

/** Schema of the body of `POST /admin/faults`. */
export const BACKEND_FAULTS_SCHEMA = Joi.object<
  Partial<BackendFaults> & { readonly slowForMs?: number },
  true
>({
  next: Joi.array().items(Joi.valid(...Object.values(RequestFault))),
  random: Joi.object().pattern(
    Joi.string().valid(...Object.values(RequestFault)),
    Joi.number().min(0).max(1),
  ),
  slowFactor: Joi.number().min(0),
  slowForMs: Joi.number().min(0),
  slowUntilMs: Joi.number(),
  reportedHealth: Joi.string().valid('', ...Object.values(BackendHealth)),
  cutAfterBytes: Joi.number().integer().min(0),
})

/** Returns a state without faults. */
export function noFaults(): BackendFaults {
  return {
    next: [],
    random: {},
    slowFactor: 1,
    slowUntilMs: 0,
    reportedHealth: '',
    cutAfterBytes: 1,
  }
}

const RANDOM_STEPS = 1_000_000

/** Seeded source of numbers from 0 to 1. */
export class SeededNumbers {
  readonly #generator: RandomGenerator

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  next(): number {
    return uniformInt(this.#generator, 0, RANDOM_STEPS - 1) / RANDOM_STEPS
  }
}

/** Chooses the fault of the next request. */
export function chooseFault(
  faults: BackendFaults,
  numbers: SeededNumbers,
): RequestFault | undefined {
  const planned = faults.next.shift()
  if (planned !== undefined) return planned
  let rest = numbers.next()
  for (const fault of Object.values(RequestFault)) {
    rest -= faults.random[fault] ?? 0
    if (rest < 0) return fault
  }
  return undefined
}
