/** Concurrent callers that record their calls for the history checker. */
import { createHash } from 'node:crypto'
import { setImmediate } from 'node:timers/promises'
import type { CallReport } from '../src/client/callerClient.js'
import { CallerClient } from '../src/client/callerClient.js'
import type { LookupSource } from '../src/client/lookupSource.js'
import { sleep, systemClock } from '../src/common/clock.js'
import { HttpExchangeClient } from '../src/common/httpExchange.js'
import type { HistoryAnswer, HistoryCall } from '../src/history/historyChecker.js'
import type { EchoedRequest } from './backendServer.js'
import { SeededRandom } from './backendFaults.js'

/** Options of {@link runCallers}. */
export interface CallerLoadOptions {
  readonly service: string
  readonly callers: number
  /** Number of calls of each caller. */
  readonly calls: number
  /** Fraction of calls that are non-idempotent operations, 0 to 1. */
  readonly nonIdempotentFraction: number
  /** Upper bound of the random service time of a call, in milliseconds. */
  readonly maxServiceMs: number
  readonly timeoutMs: number
  /** Upper bound of the random pause between two calls of a caller, in milliseconds. */
  readonly maxPauseMs: number
  readonly seed: number
  /** Fraction of calls with a service time of `longServiceMs`, 0 to 1; 0 by default. */
  readonly longCallFraction?: number
  readonly longServiceMs?: number
  /** Stops the callers after their current call when aborted. */
  readonly signal?: AbortSignal
}

/** Runs the callers and returns their calls once all have ended. */
export async function runCallers(
  lookups: LookupSource,
  options: CallerLoadOptions,
): Promise<HistoryCall[]> {
  const http = new HttpExchangeClient({
    maxConnections: 64,
    idleTimeoutMs: 4000,
    clock: systemClock,
  })
  const callers = Array.from({ length: options.callers }, (_, index) =>
    runCaller(index, lookups, http, options),
  )
  const calls = (await Promise.all(callers)).flat()
  http.close()
  return calls
}

async function runCaller(
  index: number,
  lookups: LookupSource,
  http: HttpExchangeClient,
  options: CallerLoadOptions,
): Promise<HistoryCall[]> {
  const random = new SeededRandom(options.seed * 1000 + index)
  const clientAddress = `10.0.${String(index >>> 8)}.${String(index & 255)}`
  const client = new CallerClient(lookups, http, systemClock, { clientAddress })
  const calls: HistoryCall[] = []
  await setImmediate()
  for (let callIndex = 0; callIndex < options.calls; callIndex++) {
    if (options.signal?.aborted === true) break
    const repeatable = random.next() >= options.nonIdempotentFraction
    const serviceMs = chooseServiceMs(options, random)
    const target = `/call?seed=${String(options.seed)}&caller=${String(index)}&number=${String(callIndex)}&serviceMs=${String(serviceMs)}`
    const body = Buffer.from(repeatable ? '' : `body ${target}`)
    const report = await client.call({
      service: options.service,
      method: repeatable ? 'GET' : 'POST',
      target,
      headers: [],
      body,
      timeoutMs: options.timeoutMs,
      idempotent: repeatable,
    })
    calls.push(toHistoryCall(report, target, body, repeatable))
    await sleep(random.next() * options.maxPauseMs)
  }
  return calls
}

function chooseServiceMs(options: CallerLoadOptions, random: SeededRandom): number {
  const isLong = random.next() < (options.longCallFraction ?? 0)
  const shortMs = Math.floor(random.next() * options.maxServiceMs)
  return isLong ? (options.longServiceMs ?? 0) : shortMs
}

function toHistoryCall(
  report: CallReport,
  target: string,
  body: Buffer,
  repeatable: boolean,
): HistoryCall {
  return {
    target,
    bodySha256: createHash('sha256').update(body).digest('hex'),
    repeatable,
    outcome: report.outcome,
    attempts: report.attempts,
    answer: parseAnswer(report),
  }
}

function parseAnswer(report: CallReport): HistoryAnswer | undefined {
  try {
    return JSON.parse(report.answer?.body.toString('utf8') ?? '') as EchoedRequest
  } catch {
    return undefined
  }
}
