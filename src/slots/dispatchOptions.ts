/** Tunable limits of the dispatcher. */
import type { Clock } from '../common/clock.js'
import { systemClock } from '../common/clock.js'
import { OwnershipUnit } from './slotOwnership.js'
import type { PaceOptions } from './workerPreference.js'
import { DEFAULT_PACE_OPTIONS } from './workerPreference.js'

/** Options of `SlotDispatcher`; all durations in milliseconds. */
export interface DispatchOptions {
  /** Read only where no caller gives the time: timers, and messages of peers. */
  readonly clock: Clock
  /** Uniform in [0, 1); breaks ties between owners. */
  readonly random: () => number
  readonly ownershipUnit: OwnershipUnit
  readonly pace: PaceOptions
  /** Owners that a request waits at. */
  readonly ownersAsked: number
  /** Only this many of the oldest waiting requests ask other owners; bounds calls under overload. */
  readonly maxBorrowers: number
  /** Bound on the owners that one request asks. */
  readonly maxOwnersAsked: number
  /**
   * A remote waiter counts as this much younger. A lent slot is idle while grant and return
   * travel; without this, every slot was lent under overload and throughput fell below the load.
   */
  readonly remoteHandicapMs: number
  /** A hint of free slots counts for this long. */
  readonly hintMaxAgeMs: number
  /** A borrowed slot may serve further waiting requests for this long after the grant. */
  readonly maxLoanReuseMs: number
  /** An owner that refused a connection is not asked again for this long. */
  readonly ownerDownMs: number
  /** Wait until a request takes a slot of a slow worker. */
  readonly slowSlotWaitMs: number
  /** Wait until one request may be attempted beyond the slots. */
  readonly beyondSlotWaitMs: number
  /** Longest queue at which an attempt beyond the slots is made. */
  readonly beyondSlotMaxQueue: number
  /** Attempts beyond the slots in flight per service. */
  readonly beyondSlotMaxInFlight: number
  /** Hedges per request of a service at most, as a long-term share. */
  readonly hedgeShare: number
  /** A request on a slow worker is hedged after this many usual times. */
  readonly hedgeAgeFactor: number
  /** A second attempt is cancelled after this many usual times. */
  readonly hedgeLimitFactor: number
  /** Time that a slot stays unused after its worker refused a request. */
  readonly shedBlockMs: number
  /** A hold ends by itself this long after the deadline of its request. */
  readonly holdGraceMs: number
  readonly callTimeoutMs: number
  readonly maxCallsPerPeer: number
  /** Interval of the periodic work while requests wait. */
  readonly tickMs: number
  /** Interval of the periodic work otherwise. */
  readonly idleTickMs: number
}

export const DEFAULT_DISPATCH_OPTIONS: DispatchOptions = {
  clock: systemClock,
  random: Math.random,
  ownershipUnit: OwnershipUnit.Worker,
  pace: DEFAULT_PACE_OPTIONS,
  ownersAsked: 2,
  maxBorrowers: 4,
  maxOwnersAsked: 8,
  remoteHandicapMs: 30,
  hintMaxAgeMs: 500,
  maxLoanReuseMs: 100,
  ownerDownMs: 500,
  slowSlotWaitMs: 20,
  beyondSlotWaitMs: 30,
  beyondSlotMaxQueue: 2,
  beyondSlotMaxInFlight: 1,
  hedgeShare: 0.02,
  hedgeAgeFactor: 1.5,
  hedgeLimitFactor: 2,
  shedBlockMs: 10,
  holdGraceMs: 1000,
  callTimeoutMs: 500,
  maxCallsPerPeer: 4,
  tickMs: 5,
  idleTickMs: 20,
}
