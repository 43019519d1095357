/** Bench `lookup`: look-ups with the target number of blocks, compared with bare hapi. */
import type { ChildProcess } from 'node:child_process'
import { fork } from 'node:child_process'
import type { Socket } from 'node:net'
import { connect } from 'node:net'
import { fileURLToPath } from 'node:url'
import { build } from 'hdr-histogram-js'
import { createUniformRandom } from './dispatchWorkload.js'
import type { ApplyTimes, ServerReady, ServerUsage } from './lookupBenchServer.js'
import { TARGET_SIZE, clientAddress } from './lookupBenchFixtures.js'
import type { BenchOptions, BenchReport, Goal } from './report.js'

/** Look-ups per second that one daemon has to serve at the target size. */
const TARGET_LOOKUPS_PER_SECOND = 783
const TARGET_MEMORY_MB = 256
/** Limit for an accepted change to be in force on all daemons. */
const TARGET_IN_FORCE_MS = 4000
const CONNECTION_COUNT = 16

interface LoadStats {
  readonly perSecond: number
  readonly p50Ms: number
  readonly p99Ms: number
  /** CPU time of the server per look-up, in milliseconds. */
  readonly cpuMs: number
}

interface Round {
  readonly kind: 'lookup' | 'bareHapi'
  readonly saturated: LoadStats
  /** At {@link TARGET_LOOKUPS_PER_SECOND}. */
  readonly paced: LoadStats
  readonly residentMb: number
  readonly apply?: ApplyTimes
}

/** Minimal HTTP client with one request at a time, so that the server is the bottleneck. */
class LookupClient {
  readonly #socket: Socket
  #received = ''
  #resolveLookup: () => void = () => undefined

  constructor(port: number) {
    this.#socket = connect(port, '127.0.0.1')
    this.#socket.setNoDelay(true)
    this.#socket.on('data', (bytes) => {
      this.#received += bytes.toString('latin1')
      const end = this.#received.indexOf('\r\n\r\n')
      const length = /content-length: (\d+)/i.exec(this.#received)?.[1]
      if (end < 0 || length === undefined) return
      if (this.#received.length < end + 4 + Number(length)) return
      if (!this.#received.startsWith('HTTP/1.1 200')) throw new Error(this.#received)
      this.#received = ''
      this.#resolveLookup()
    })
  }

  lookUp(address: string): Promise<void> {
    return new Promise((resolve) => {
      this.#resolveLookup = resolve
      this.#socket.write(
        `GET /lookup?service=reveals&client=${address} HTTP/1.1\r\nhost: bench\r\n\r\n`,
      )
    })
  }

  close(): void {
    this.#socket.destroy()
  }
}

function nextMessage<Message>(child: ChildProcess): Promise<Message> {
  return new Promise((resolve, reject) => {
    child.once('message', (message) => {
      resolve(message as Message)
    })
    child.once('exit', () => {
      reject(new Error('server process exited before it sent the expected message'))
    })
  })
}

function queryChild<Message>(child: ChildProcess, query: string): Promise<Message> {
  const answer = nextMessage<Message>(child)
  child.send(query)
  return answer
}

/**
 * Measures look-ups over several connections.
 *
 * @param rate offered look-ups per second; 0 for closed-loop load that saturates the server
 */
async function measureLoad(
  child: ChildProcess,
  port: number,
  rate: number,
  durationMs: number,
  random: () => number,
): Promise<LoadStats> {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 })
  const before = await queryChild<ServerUsage>(child, 'usage')
  const startMs = performance.now()
  let scheduledCount = 0
  const runClient = async (client: LookupClient): Promise<void> => {
    for (;;) {
      // Open loop: latency counts from the scheduled time, so that late answers do not hide the
      // wait of the look-ups behind them.
      const dueMs = rate === 0 ? performance.now() : startMs + (scheduledCount * 1000) / rate
      scheduledCount++
      if (dueMs - startMs >= durationMs) break
      const waitMs = dueMs - performance.now()
      if (waitMs > 0.5) await new Promise((resolve) => setTimeout(resolve, waitMs))
      await client.lookUp(clientAddress(Math.floor(random() * TARGET_SIZE.blocks)))
      const scheduledMs = Math.max(dueMs, rate === 0 ? dueMs : startMs)
      histogram.recordValue(Math.max(1, Math.round((performance.now() - scheduledMs) * 1000)))
    }
    client.close()
  }
  await Promise.all(
    Array.from({ length: CONNECTION_COUNT }, () => runClient(new LookupClient(port))),
  )
  const elapsedMs = performance.now() - startMs
  const after = await queryChild<ServerUsage>(child, 'usage')
  return {
    perSecond: Math.round((histogram.totalCount * 1000) / elapsedMs),
    p50Ms: histogram.getValueAtPercentile(50) / 1000,
    p99Ms: histogram.getValueAtPercentile(99) / 1000,
    cpuMs: (after.cpuMs - before.cpuMs) / histogram.totalCount,
  }
}

async function runRound(
  kind: Round['kind'],
  durationMs: number,
  random: () => number,
): Promise<Round> {
  const serverProgram = fileURLToPath(new URL('./lookupBenchServer.js', import.meta.url))
  const child = fork(serverProgram, [kind], { execArgv: ['--expose-gc'] })
  try {
    const { port } = await nextMessage<ServerReady>(child)
    await measureLoad(child, port, 0, durationMs / 4, random)
    const saturated = await measureLoad(child, port, 0, durationMs, random)
    const paced = await measureLoad(child, port, TARGET_LOOKUPS_PER_SECOND, durationMs, random)
    const { residentMb } = await queryChild<ServerUsage>(child, 'usage')
    if (kind === 'bareHapi') return { kind, saturated, paced, residentMb }
    const apply = await queryChild<ApplyTimes>(child, 'apply')
    return { kind, saturated, paced, residentMb, apply }
  } finally {
    child.removeAllListeners('exit')
    child.kill()
  }
}

/** Alternates the lookup server and bare hapi, so that drift of the machine affects both alike. */
export async function runLookupBench(options: BenchOptions): Promise<BenchReport> {
  const random = createUniformRandom(options.seed)
  const rounds: Round[] = []
  for (let round = 0; round < (options.quick ? 1 : 3); round++) {
    for (const kind of ['lookup', 'bareHapi'] as const) {
      rounds.push(await runRound(kind, options.quick ? 1000 : 4000, random))
    }
  }
  return {
    bench: 'lookup',
    seed: options.seed,
    rounds,
    goals: createGoals(rounds.filter(({ kind }) => kind === 'lookup')),
    lines: rounds.map(describeRound),
  }
}

function createGoals(lookupRounds: readonly Round[]): Goal[] {
  const lowestRate = Math.min(...lookupRounds.map(({ saturated }) => saturated.perSecond))
  const highestResidentMb = Math.max(...lookupRounds.map(({ residentMb }) => residentMb))
  const slowestOneBlockMs = Math.max(
    ...lookupRounds.map(({ apply }) => apply?.oneBlockMs ?? Infinity),
  )
  const slowestWholeTableMs = Math.max(
    ...lookupRounds.map(({ apply }) => apply?.wholeTableMs ?? Infinity),
  )
  const atMost = (name: string, target: number, measured: number, unit: string): Goal => ({
    name,
    target,
    measured: Math.round(measured),
    unit,
    met: measured <= target,
  })
  return [
    {
      name: 'look-ups per second of one daemon',
      target: TARGET_LOOKUPS_PER_SECOND,
      measured: lowestRate,
      unit: '1/s',
      met: lowestRate >= TARGET_LOOKUPS_PER_SECOND,
    },
    atMost('resident memory', TARGET_MEMORY_MB, highestResidentMb, 'MB'),
    atMost('time to apply a change of one block', TARGET_IN_FORCE_MS, slowestOneBlockMs, 'ms'),
    atMost('time to apply a whole table', TARGET_IN_FORCE_MS, slowestWholeTableMs, 'ms'),
  ]
}

function describeRound({ kind, saturated, paced, residentMb, apply }: Round): string {
  const corePercent = paced.cpuMs * TARGET_LOOKUPS_PER_SECOND * 0.1
  const applyText =
    apply === undefined
      ? ''
      : `, one block applied in ${apply.oneBlockMs.toFixed(0)} ms, whole table in ${apply.wholeTableMs.toFixed(0)} ms`
  return (
    `${kind}: ${String(saturated.perSecond)}/s saturated (p99 ${saturated.p99Ms.toFixed(2)} ms), at ` +
    `${String(TARGET_LOOKUPS_PER_SECOND)}/s p50 ${paced.p50Ms.toFixed(2)} ms, p99 ${paced.p99Ms.toFixed(2)} ms, ` +
    `${corePercent.toFixed(1)}% of a core, ${residentMb.toFixed(0)} MB${applyText}`
  )
}
