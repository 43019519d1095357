/** Logging with `debug`: one JSON line per event in the namespace `tamarackdrift:<area>`. */
import createDebug from 'debug'

/** Fields of a log line. They must not contain secrets or bodies. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>

/** Writes one line per event. */
export interface Logger {
  /** Logs a routing or placement decision, with its reason. */
  decision(event: string, fields: LogFields): void
  /** Logs any other event that is relevant to operators. */
  event(event: string, fields: LogFields): void
}

/** Creates the logger of an area, for example `gateway`. */
export function createLogger(area: string): Logger {
  const write = createDebug(`tamarackdrift:${area}`)
  const writeLine = (type: string, event: string, fields: LogFields): void => {
    if (write.enabled) write('%s', JSON.stringify({ type, event, ...fields }))
  }
  return {
    decision: (event, fields) => {
      writeLine('decision', event, fields)
    },
    event: (event, fields) => {
      writeLine('event', event, fields)
    },
  }
}

/** Enables log namespaces, in the syntax of `debug`, for example `tamarackdrift:*`. */
export function enableLogs(namespaces: string): void {
  createDebug.enable(namespaces)
}
