/** Structured log of an entry instance: one JSON line per decision or state change. */
import { pino } from 'pino'

/** Fields of a log line. They must not hold bodies or secrets. */
export type EntryLogFields = Readonly<
  Record<string, string | number | boolean | null | undefined | readonly string[]>
>

/** Log whose calls never block. */
export interface EntryLog {
  /** Logs a decision on one request. */
  decision(requestId: string, event: string, fields: EntryLogFields): void
  /** Logs a state change or a lifecycle step of the process. */
  event(event: string, fields: EntryLogFields): void
}

/** Destination of log lines, such as `process.stdout`. */
export interface LogTarget {
  /** Bytes that are buffered and not written yet. */
  readonly writableLength: number
  write(text: string): unknown
  on(event: 'error', listener: (error: Error) => void): unknown
}

/** Limit on buffered bytes; lines beyond it are dropped and counted. */
const MAX_BUFFERED_BYTES = 256 * 1024
/** Lines are buffered for this long, so that a busy instance makes few system calls. */
const FLUSH_INTERVAL_MS = 250

/** Log that buffers lines, and drops them when the reader is too slow or gone. */
export class BoundedEntryLog implements EntryLog {
  readonly #target: LogTarget
  readonly #logger
  #buffered = ''
  #dropped = 0
  #timer: NodeJS.Timeout | undefined
  #hasReader = true

  /** @param instance name of the instance, which is added to each line */
  constructor(instance: string, target: LogTarget) {
    this.#target = target
    // There is no other place to report it; the count of dropped lines is in the metrics.
    target.on('error', () => {
      this.#hasReader = false
    })
    this.#logger = pino(
      { base: { instance }, timestamp: pino.stdTimeFunctions.epochTime },
      {
        write: (line: string) => {
          this.#buffer(line)
        },
      },
    )
  }

  /** Number of lines dropped since the start. */
  get dropped(): number {
    return this.#dropped
  }

  decision(requestId: string, event: string, fields: EntryLogFields): void {
    this.#logger.info({ event, requestId, ...fields })
  }

  event(event: string, fields: EntryLogFields): void {
    this.#logger.info({ event, ...fields })
  }

  /** Writes all buffered lines. */
  flush(): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
    if (this.#buffered !== '' && this.#hasReader) this.#target.write(this.#buffered)
    this.#buffered = ''
  }

  #buffer(line: string): void {
    const bufferedBytes = this.#buffered.length + this.#target.writableLength
    if (!this.#hasReader || bufferedBytes > MAX_BUFFERED_BYTES) {
      this.#dropped += 1
      return
    }
    this.#buffered += line
    if (this.#dropped > 0 && this.#dropped % 1000 === 0) this.#reportDropped()
    this.#timer ??= setTimeout(() => {
      this.flush()
    }, FLUSH_INTERVAL_MS).unref()
  }

  #reportDropped(): void {
    this.#buffered += `${JSON.stringify({ event: 'logLinesDropped', dropped: this.#dropped })}\n`
  }
}

/** Log for tests that discards all lines. */
export const noopLog: EntryLog = {
  decision: () => undefined,
  event: () => undefined,
}
