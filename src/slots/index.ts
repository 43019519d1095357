/** Slot dispatch: ownership of backend server slots and lending between gateways. */
export type { DispatchCounters, ServiceDispatchLoad } from './dispatchCounters.js'
export type { DispatchOptions } from './dispatchOptions.js'
export { DEFAULT_DISPATCH_OPTIONS } from './dispatchOptions.js'
export { SlotDispatcher } from './slotDispatcher.js'
export { OwnershipUnit, SlotOwnership, owningGateways } from './slotOwnership.js'
export type { SlotGrant, SlotRequest, SlotSource } from './slotSource.js'
export { SlotError, SlotErrorKind, SlotUse } from './slotSource.js'
export type { SlowDetectionOptions } from './workerMonitor.js'
