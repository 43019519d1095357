/** Error messages without their remedies, for use in the message of another error. */

const REMEDY_SEPARATOR = '. Remedy: '

/** Returns the message of an error without the remedy that a `SteeringError` appends to it. */
export function messageWithoutRemedy(error: Error): string {
  return error.message.split(REMEDY_SEPARATOR)[0] ?? error.message
}
