/** Explains one request of an entry instance from the log lines of all instances. */

/** A log line of an entry instance; `time` is in milliseconds since the epoch. */
interface LogLine {
  readonly time: number
  readonly instance: string
  readonly event: string
  readonly requestId?: string
  readonly [field: string]: unknown
}

/** State of a coordinator, from its `coordinating` lines. */
interface CoordinatorSample {
  readonly time: number
  readonly slots: number
  readonly running: number
  readonly waiting: number
  readonly arrivalsPerSecond: number
  readonly remoteShare: number
  /** Servers that state a limit; `undefined` in lines of an earlier release. */
  readonly limitedServers: number | undefined
  readonly completionsPerSecond: number | undefined
}

/** Samples kept for each coordinator; at two a second, those of more than half an hour. */
const MAX_SAMPLES = 4096

/** Fields that are shown of a line, in this order, if it has them. */
const SHOWN_FIELDS = [
  'kind',
  'reason',
  'route',
  'tenant',
  'keyFingerprint',
  'service',
  'version',
  'coordinator',
  'server',
  'region',
  'object',
  'send',
  'sends',
  'isReturn',
  'waitedMs',
  'heldMs',
  'leftMs',
  'targetInMs',
  'durationMs',
  'outcome',
  'status',
  'detail',
  'limitPerSecond',
  'isLeaving',
  'newConnection',
  'retryAfterMs',
  'storeAgeMs',
]

/** Collects the lines of a request and the states of coordinators; lines may come in any order. */
export class RequestExplanation {
  readonly #requestId: string
  readonly #lines: LogLine[] = []
  readonly #samples = new Map<string, CoordinatorSample[]>()

  constructor(requestId: string) {
    this.#requestId = requestId
  }

  /** Reads one line of a log; other text than log lines is ignored. */
  add(text: string): void {
    const isOfRequest = text.includes(this.#requestId)
    // Parsing every line of a large log would take minutes.
    if (!isOfRequest && !text.includes('"coordinating"')) return
    const line = parseLine(text)
    if (line === undefined) return
    if (line.requestId === this.#requestId) this.#lines.push(line)
    else if (line.event === 'coordinating') this.#addSample(line)
  }

  /** Lines of text: the decisions in the order of time, and the cause as the last one. */
  describe(): string[] {
    const lines = [...this.#lines].sort((left, right) => left.time - right.time)
    const [first] = lines
    const last = lines.at(-1)
    if (first === undefined || last === undefined) {
      return [
        `no line with the request id ${this.#requestId}; check that the logs of all instances are ` +
          'given, and logLinesDropped in them',
      ]
    }
    return [
      ...lines.flatMap((line) => [
        `${describeTime(line.time - first.time)} ${line.instance} ${line.event} ${describeFields(line)}`,
        ...this.#describeCoordinator(line),
      ]),
      `cause: ${causeOf(last)}`,
    ]
  }

  get hasLines(): boolean {
    return this.#lines.length > 0
  }

  #addSample(line: LogLine): void {
    const key = `${line.instance}/${String(line.service)}`
    const samples = this.#samples.get(key) ?? []
    const numberOf = (field: string): number => Number(line[field])
    samples.push({
      time: line.time,
      slots: numberOf('slots'),
      running: numberOf('running'),
      waiting: numberOf('waiting'),
      arrivalsPerSecond: numberOf('arrivalsPerSecond'),
      remoteShare: numberOf('remoteShare'),
      limitedServers: line.limitedServers === undefined ? undefined : numberOf('limitedServers'),
      completionsPerSecond: numberOf('completionsPerSecond'),
    })
    if (samples.length > MAX_SAMPLES) samples.shift()
    this.#samples.set(key, samples)
  }

  /** State of the coordinator before the decision. */
  #describeCoordinator({ coordinator, service, time }: LogLine): string[] {
    if (typeof coordinator !== 'string' || typeof service !== 'string') return []
    const samples = this.#samples.get(`${coordinator}/${service}`) ?? []
    const sample = samples
      .filter((candidate) => candidate.time <= time)
      .reduce<CoordinatorSample | undefined>(
        (latest, candidate) =>
          latest === undefined || candidate.time > latest.time ? candidate : latest,
        undefined,
      )
    if (sample === undefined) return []
    const { slots, running, waiting, arrivalsPerSecond, remoteShare, limitedServers } = sample
    const limits =
      limitedServers === undefined || limitedServers === 0
        ? ''
        : `, ${limitedServers} servers state limits, ${String(sample.completionsPerSecond)} requests/s fit`
    return [
      `  ${coordinator}, ${Math.round(time - sample.time)} ms before: ${running} of ${slots} slots in ` +
        `use, ${waiting} waiting, ${arrivalsPerSecond} requests/s, ${remoteShare} of them remote${limits}`,
    ]
  }
}

function parseLine(text: string): LogLine | undefined {
  // Tools that collect logs may put their own columns before the line.
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const value = JSON.parse(text.slice(start)) as Partial<LogLine>
    const { time, instance, event } = value
    if (typeof time !== 'number' || typeof instance !== 'string' || typeof event !== 'string') {
      return undefined
    }
    return { ...value, time, instance, event }
  } catch {
    // Not a log line, or one that was cut when the process was killed.
    return undefined
  }
}

function describeTime(elapsedMs: number): string {
  return `+${Math.round(elapsedMs)} ms`.padStart(9)
}

function describeFields(line: LogLine): string {
  return SHOWN_FIELDS.filter((field) => line[field] !== undefined)
    .map((field) => `${field}=${String(line[field])}`)
    .join(' ')
}

/** What became of the request, by the event of its last line. */
function causeOf(line: LogLine): string {
  if (line.event === 'failed') {
    return CAUSE_BY_FAILURE[String(line.kind)]?.(line) ?? `unknown kind ${String(line.kind)}`
  }
  const { server, outcome, status, durationMs } = line
  if (outcome === 'answered') {
    return `server ${String(server)} answered ${String(status)} after ${String(durationMs)} ms`
  }
  return (
    `the last send, to server ${String(server)}, ended as ${String(outcome)}; the line of the ` +
    'answer is missing, so the instance may have ended'
  )
}

const CAUSE_BY_FAILURE: Readonly<Record<string, ((line: LogLine) => string) | undefined>> = {
  noConfiguration: () => 'not run: the instance had no configuration yet after its start',
  noRoute: ({ version }) =>
    `not run: version ${String(version)} of the configuration has no route for host and path`,
  tenantNotServed: () => 'not run: no head can hold the name of the tenant',
  routeNotServed: () => 'not run: the route has a setting that this release does not know',
  bodyMemory: () => 'not run: the instance buffered too many request bodies',
  noSlot: ({ reason, retryAfterMs }) =>
    `not run: ${String(reason)}; the caller was told to come back after ${Number(retryAfterMs ?? 0)} ms`,
  leaving: () => 'not run: the instance was shutting down',
  notRun: ({ sends }) =>
    `not run: ${String(sends)} sends were declined or found no server, and attempts or the retry ` +
    'budget were used up',
  answerLost: () => 'may have run: the answer was lost or invalid, see the detail of the last send',
  timedOut: ({ heldMs }) => `may have run: no answer within ${String(heldMs)} ms`,
  abandoned: ({ heldMs }) => `the caller left after ${String(heldMs)} ms`,
}
