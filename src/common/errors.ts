/** Typed errors with a kind for code to branch on and a remedy for operators. */

/** Serializable form of a {@link SteeringError}, as sent between processes and to operators. */
export interface ErrorDetails {
  readonly kind: string
  readonly message: string
  readonly remedy: string
  readonly details?: Readonly<Record<string, unknown>>
}

/**
 * Error with a kind from an enum of the module that throws it. The message
 * ends with the remedy, so that it is actionable wherever it is shown without the other fields.
 */
export class SteeringError<Kind extends string = string> extends Error {
  readonly kind: Kind
  readonly remedy: string
  readonly details: Readonly<Record<string, unknown>> | undefined

  constructor(kind: Kind, problem: string, remedy: string, details?: Record<string, unknown>) {
    super(`${problem}. Remedy: ${remedy}`)
    this.name = 'SteeringError'
    this.kind = kind
    this.remedy = remedy
    this.details = details
  }

  /** Returns the serializable form, without the stack. */
  toDetails(): ErrorDetails {
    return {
      kind: this.kind,
      message: this.message,
      remedy: this.remedy,
      ...(this.details === undefined ? {} : { details: this.details }),
    }
  }
}

/** Returns the message of an error, or the text of any other thrown value. */
export function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown)
}

/** Returns the stack of an error for a log line, or the text of any other thrown value. */
export function stackOf(thrown: unknown): string {
  return thrown instanceof Error ? (thrown.stack ?? thrown.message) : String(thrown)
}
