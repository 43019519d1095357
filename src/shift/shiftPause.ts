/** Conditions under which a shift must pause. */
import type { ShiftRecord } from '../configuration/document.js'
import type { RegionLoadView } from './regionLoad.js'
import { LOAD_MAX_AGE_MS, capacityOf } from './regionLoad.js'

/** Reasons to pause a shift; the text is stored as its `pauseReason` and shown to operators. */
export enum ShiftPauseReason {
  StoreUnavailable = 'the store is unavailable',
  LoadUnknown = 'measurements of a region are missing or older than 3 s',
  HeadroomLow = 'headroom of the target region is under 20% of its capacity',
  TargetLost = 'the target region lost a member or a backend server in the last 30 s',
}

/** Inputs of the decision besides the loads. */
export interface ShiftConditions {
  readonly isStoreAvailable: boolean
  /** Last loss of a member or backend server of the target region, milliseconds since the epoch. */
  readonly targetLostAtMs: number | undefined
}

const MIN_HEADROOM_FRACTION = 0.2
const LOSS_WINDOW_MS = 30_000

/** Returns the reason to pause, or `undefined` if the next step may be taken. */
export function shiftPauseReason(
  shift: Pick<ShiftRecord, 'service' | 'from' | 'to'>,
  loads: RegionLoadView,
  conditions: ShiftConditions,
  nowMs: number,
): ShiftPauseReason | undefined {
  if (!conditions.isStoreAvailable) return ShiftPauseReason.StoreUnavailable
  const source = loads.load(shift.from, shift.service)
  const target = loads.load(shift.to, shift.service)
  const isRecent = [source, target].every(
    (load) => load !== undefined && nowMs - load.measuredAtMs <= LOAD_MAX_AGE_MS,
  )
  if (!isRecent || target === undefined) return ShiftPauseReason.LoadUnknown
  const capacity = capacityOf(target)
  if (capacity - target.requestsPerSecond < MIN_HEADROOM_FRACTION * capacity || capacity === 0) {
    return ShiftPauseReason.HeadroomLow
  }
  const lostAtMs = conditions.targetLostAtMs
  if (lostAtMs !== undefined && nowMs - lostAtMs < LOSS_WINDOW_MS) {
    return ShiftPauseReason.TargetLost
  }
  return undefined
}
