/** Refusals of the dispatcher. After each of them, the request has not been executed. */
import { SlotError, SlotErrorKind } from './slotSource.js'

const NO_SERVER_RETRY_MS = 1000
const MIN_RETRY_MS = 50

export const slotErrors = {
  noBackendServer: (service: string): SlotError =>
    new SlotError(
      SlotErrorKind.NoBackendServer,
      `Service ${service} has no live backend server in this region`,
      'check the name of the service, or use an entry instance of another region',
      NO_SERVER_RETRY_MS,
    ),
  queueFull: (service: string, expectedMs: number): SlotError =>
    new SlotError(
      SlotErrorKind.QueueFull,
      `The queue of service ${service} is full`,
      'send the request again after the stated time',
      Math.max(MIN_RETRY_MS, expectedMs),
    ),
  deadlineUnreachable: (service: string, expectedMs: number): SlotError =>
    new SlotError(
      SlotErrorKind.DeadlineUnreachable,
      `Service ${service} can't execute the request before its deadline`,
      'allow more time, or send the request again after the stated time',
      Math.max(MIN_RETRY_MS, expectedMs),
    ),
  cancelled: (): SlotError =>
    new SlotError(
      SlotErrorKind.Cancelled,
      'The request was cancelled while it waited for a backend server',
      'send the request again if it is still needed',
      0,
    ),
}
