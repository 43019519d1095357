/** Error messages without their remedies, for use in the message of another error. */

const REMEDY_MARK = '. Remedy: '

/** Returns the message of an error without the remedy that a `SteeringError` appends to it. */
export function problemOf(error: Error): string {
  return error.message.split(REMEDY_MARK)[0] ?? error.message
}
