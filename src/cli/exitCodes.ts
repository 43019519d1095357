/** Exit codes of the operators' command. */
import type { ErrorDetails } from '../common/errors.js'

/** What the exit code tells a script. */
export enum ExitCode {
  Done = 0,
  /** A fault of the program or of a daemon. */
  Internal = 1,
  /** Flags, settings or an intent are wrong. */
  Usage = 2,
  /** The plan has refusals, or the command is not possible in this state. */
  Refused = 3,
  /** The plan is stale, expired, confirmed already, or not the one that was read. */
  Conflict = 4,
  /** No control daemon or no key-value service answers; nothing was changed. */
  Unavailable = 5,
  /** The change may have been made; ask again. */
  OutcomeUnknown = 6,
}

/** Exit code by the kind of an error; other kinds are faults. */
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

/** Returns the exit code of an error. */
export function exitCodeOf(error: ErrorDetails): ExitCode {
  return CODES_BY_KIND[error.kind] ?? ExitCode.Internal
}
