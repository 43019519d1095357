/** Options of the slot dispatcher and their defaults. */
import type { Clock } from '../common/clock.js'
import { systemClock } from '../common/clock.js'
import { OwnershipUnit } from './slotOwnership.js'
import type { SlowDetectionOptions } from './workerMonitor.js'
import { DEFAULT_SLOW_DETECTION_OPTIONS } from './workerMonitor.js'

/** Options of `SlotDispatcher`; all durations in milliseconds. */
export interface DispatchOptions {
  /** Used by timers and message handlers; other methods receive the time as a parameter. */
  readonly clock: Clock
  /** Uniform in [0, 1); breaks ties between owners and between workers. */
  readonly random: () => number
  readonly ownershipUnit: OwnershipUnit
  /** Detection of slow workers. */
  readonly pace: SlowDetectionOptions
  /** Number of owners in whose queues a request waits at the same time. */
  readonly ownersAsked: number
  /** Number of the oldest waiting requests that ask other owners; limits calls under overload. */
  readonly maxBorrowers: number
  /** Maximum number of owners that one request asks. */
  readonly maxOwnersAsked: number
  /**
   * A remote waiter is queued as if it had arrived this much later. A lent slot is idle while
   * grant and return are in flight; without the penalty, all slots were lent out under overload
   * and throughput fell below the load.
   */
  readonly remoteHandicapMs: number
  /** Maximum age of a free-slot hint. */
  readonly hintMaxAgeMs: number
  /** Time after the grant in which a borrowed slot may be reused for further waiting requests. */
  readonly maxLoanReuseMs: number
  /** Time for which an owner is not asked again after a failed call. */
  readonly ownerDownMs: number
  /** Time a request waits before it may take a slot of a slow worker. */
  readonly slowSlotWaitMs: number
  /** Time a request waits before it may be overcommitted, that is, attempted without a slot. */
  readonly beyondSlotWaitMs: number
  /** Queue length above which requests that still have reachable owners are not overcommitted. */
  readonly beyondSlotMaxQueue: number
  /** Maximum number of overcommitted attempts in flight per service. */
  readonly beyondSlotMaxInFlight: number
  /** Maximum long-term ratio of hedges to watched requests. */
  readonly hedgeShare: number
  /** A request on a slow worker is hedged after this multiple of the median service time. */
  readonly hedgeAgeFactor: number
  /** A second attempt is cancelled after this multiple of the median service time. */
  readonly hedgeLimitFactor: number
  /** Time for which a slot is not granted after its worker refused a request. */
  readonly shedBlockMs: number
  /** Time after the deadline of a request at which its hold expires. */
  readonly holdGraceMs: number
  readonly callTimeoutMs: number
  readonly maxCallsPerPeer: number
  /** Tick interval while requests wait. */
  readonly tickMs: number
  /** Tick interval while no request waits. */
  readonly idleTickMs: number
}

export const DEFAULT_DISPATCH_OPTIONS: DispatchOptions = {
  clock: systemClock,
  random: Math.random,
  ownershipUnit: OwnershipUnit.Worker,
  pace: DEFAULT_SLOW_DETECTION_OPTIONS,
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
