/** Drains: which backend servers are leaving, and who has to know. */
export type { LeavingListener, LeavingMark } from './leavingRegistry.js'
export { LeavingRegistry, LeavingSource } from './leavingRegistry.js'
export { LeavingPush, PUSH_LEAVING_METHOD } from './leavingPush.js'
export { leavingPayload } from './leavingPayload.js'
