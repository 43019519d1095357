/** Wraps errors without repeating their remedies. */

const REMEDY_MARK = '. Remedy: '

/** Returns what went wrong, without the remedy at the end of a typed error's message. */
export function problemOf(error: Error): string {
  return error.message.split(REMEDY_MARK)[0] ?? error.message
}
