/** Faults that the backend server stand-in can inject. */
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
  /** The request is refused with 503 and the header for "not started". */
  Shed = 'shed',
  /** The request is executed and answered with bytes that are not HTTP. */
  Garbage = 'garbage',
}

/** Faults to inject, set by tests. */
export interface BackendFaults {
  /** Faults of the next requests, one per request. */
  next: RequestFault[]
  /** Probability of each fault for requests without a `next` fault, 0 to 1. */
  random: Partial<Record<RequestFault, number>>
  /** Factor by which service times are multiplied until `slowUntilMs`. */
  slowFactor: number
  /** End of the slowdown, in milliseconds since the epoch. */
  slowUntilMs: number
  /** Health to report instead of the real one; empty: the real one. */
  reportedHealth: BackendHealth | ''
  /** Number of body bytes that {@link RequestFault.Truncate} sends. */
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

/** Returns settings that inject no faults. */
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

const RANDOM_RESOLUTION = 1_000_000

/** Seeded generator of pseudo-random numbers from 0 (inclusive) to 1 (exclusive). */
export class SeededRandom {
  readonly #generator: RandomGenerator

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  next(): number {
    return uniformInt(this.#generator, 0, RANDOM_RESOLUTION - 1) / RANDOM_RESOLUTION
  }
}

/** Takes the next planned fault, or picks a random one; `undefined`: no fault. */
export function chooseFault(
  faults: BackendFaults,
  generator: SeededRandom,
): RequestFault | undefined {
  const planned = faults.next.shift()
  if (planned !== undefined) return planned
  let remaining = generator.next()
  for (const fault of Object.values(RequestFault)) {
    remaining -= faults.random[fault] ?? 0
    if (remaining < 0) return fault
  }
  return undefined
}
