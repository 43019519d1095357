/** Drain state: registry of leaving backend servers and its distribution to other processes. */
export type { LeavingListener, LeavingMark } from './leavingRegistry.js'
export { LeavingRegistry, LeavingSource } from './leavingRegistry.js'
export { LeavingPush, PUSH_LEAVING_METHOD } from './leavingPush.js'
export { leavingPayload } from './leavingPayload.js'
