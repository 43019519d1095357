/** Structured log of an entry instance: one JSON line per decision or change of belief, bounded. */
import { pino } from 'pino'

/** Values of a line; never bodies or secrets. */
export type EntryLogFields = Readonly<
  Record<string, string | number | boolean | null | undefined | readonly string[]>
>

/** Writes one line per call and never waits. */
export interface EntryLog {
  /** A decision on one request. */
  decision(requestId: string, event: string, fields: EntryLogFields): void
  /** A change of what the process believes, or a step of its life. */
  event(event: string, fields: EntryLogFields): void
}

/** Where lines go; `writableLength` tells how many bytes wait. */
export interface LogTarget {
  readonly writableLength: number
  write(text: string): unknown
}

/** Bytes that may wait for a slow reader of the log; beyond that lines are dropped and counted. */
const MAX_WAITING_BYTES = 256 * 1024
/** Lines are gathered for this long, so that a busy instance makes few system calls. */
const FLUSH_MS = 250

/** Log that gathers lines and drops them rather than wait. */
export class BoundedEntryLog implements EntryLog {
  readonly #target: LogTarget
  readonly #logger
  #gathered = ''
  #dropped = 0
  #timer: NodeJS.Timeout | undefined

  /** @param instance name that each line carries */
  constructor(instance: string, target: LogTarget) {
    this.#target = target
    this.#logger = pino(
      { base: { instance }, timestamp: pino.stdTimeFunctions.epochTime },
      {
        write: (line: string) => {
          this.#gather(line)
        },
      },
    )
  }

  /** Lines that were dropped since the start. */
  get dropped(): number {
    return this.#dropped
  }

  decision(requestId: string, event: string, fields: EntryLogFields): void {
    this.#logger.info({ event, requestId, ...fields })
  }

  event(event: string, fields: EntryLogFields): void {
    this.#logger.info({ event, ...fields })
  }

  /** Writes what was gathered; for the end of the process. */
  flush(): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
    if (this.#gathered !== '') this.#target.write(this.#gathered)
    this.#gathered = ''
  }

  #gather(line: string): void {
    if (this.#gathered.length + this.#target.writableLength > MAX_WAITING_BYTES) {
      this.#dropped += 1
      return
    }
    this.#gathered += line
    if (this.#dropped > 0 && this.#dropped % 1000 === 0) this.#reportDropped()
    this.#timer ??= setTimeout(() => {
      this.flush()
    }, FLUSH_MS).unref()
  }

  #reportDropped(): void {
    this.#gathered += `${JSON.stringify({ event: 'logLinesDropped', dropped: this.#dropped })}\n`
  }
}

/** Log that discards everything; for tests. */
export const silentLog: EntryLog = {
  decision: () => undefined,
  event: () => undefined,
}
