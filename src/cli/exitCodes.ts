/** Exit codes of the `tamarackdrift` command. */
import type { ErrorDetails } from '../common/errors.js'

export enum ExitCode {
  Done = 0,
  /** Internal error of the program or of a daemon. */
  Internal = 1,
  /** Invalid flags, settings or intent. */
  Usage = 2,
  /** The plan contains refusals, or the command is not possible in the current state. */
  Refused = 3,
  /** The plan is stale, expired, already confirmed, or not the one that was read. */
  Conflict = 4,
  /** No control daemon answers, or the key-value service does not; nothing was changed. */
  Unavailable = 5,
  /** The change may or may not have been made; repeat the command. */
  OutcomeUnknown = 6,
}

/** Exit codes by kind of error; other kinds are internal errors. */
const CODES_BY_KIND: Readonly<Record<string, ExitCode>> = {
  settingsInvalid: ExitCode.Usage,
  intentInvalid: ExitCode.Usage,
  invalidParameters: ExitCode.Usage,
  fileUnreadable: ExitCode.Usage,
  planRefused: ExitCode.Refused,
  planTooLarge: ExitCode.Refused,
  tooManyPlans: ExitCode.Refused,
  unknownShift: ExitCode.Refused,
  shiftStateNotPossible: ExitCode.Refused,
  planStale: ExitCode.Conflict,
  planExpired: ExitCode.Conflict,
  planAlreadyConfirmed: ExitCode.Conflict,
  planDigestMismatch: ExitCode.Conflict,
  planNotFound: ExitCode.Conflict,
  planDamaged: ExitCode.Conflict,
  commandConflict: ExitCode.Conflict,
  storeUnavailable: ExitCode.Unavailable,
  controlNotReady: ExitCode.Unavailable,
  controlUnavailable: ExitCode.Unavailable,
  outcomeUnknown: ExitCode.OutcomeUnknown,
}

export function exitCodeOf(error: ErrorDetails): ExitCode {
  return CODES_BY_KIND[error.kind] ?? ExitCode.Internal
}
