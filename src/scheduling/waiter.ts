/** A request that waits for a slot. */
import type { SlotRequestDetails } from '../entry/peerMessages.js'

/** A slot request at the coordinator. Times are of the coordinator's monotonic clock. */
export interface Waiter {
  /** Unique at the coordinator. */
  readonly key: string
  readonly request: SlotRequestDetails
  /** Availability zone of the requesting entry instance. */
  readonly zone: string
  readonly arrivedAtMs: number
  readonly targetAtMs: number
  readonly deadlineAtMs: number
  /**
   * Called at most once.
   * @param mayConnectionsBeLost whether instances lost connections to servers of the service
   */
  onGranted(serverId: string, mayConnectionsBeLost?: boolean): void
  /** Called at most once, and not after {@link onGranted}. */
  onRefused(reason: string, retryAfterMs: number): void
}
