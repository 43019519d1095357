/** A second attempt for an idempotent request that is late on a slow backend server. */
import type { Clock } from '../common/clock.js'
import type { ExchangeResult } from '../common/exchange.js'
import { ExchangeKind } from '../common/exchange.js'
import type { Result } from '../common/results.js'
import type { SlotError, SlotGrant, SlotRequest } from '../slots/slotSource.js'
import { classify, Execution } from './backendAttempt.js'

/** Grants slots for second attempts; decides alone when one pays. */
export interface HedgeSource {
  /** Waits until the request that runs under `running` needs a second attempt. */
  acquireHedge(
    request: SlotRequest,
    running: SlotGrant,
    nowMs: number,
  ): Promise<Result<SlotGrant, SlotError>>
  /** Time after which a second attempt is cancelled, in milliseconds. */
  hedgeLimitMs(request: SlotRequest): number
}

/** A first attempt and the means to make a second one. */
export interface HedgedTask {
  readonly hedges: HedgeSource
  readonly clock: Clock
  readonly request: SlotRequest
  readonly grant: SlotGrant
  /** Makes one attempt and releases its grant. Never rejects. */
  readonly attempt: (grant: SlotGrant, signal: AbortSignal) => Promise<ExchangeResult>
}

/**
 * Runs the first attempt and, if a slot is granted for it, a second one beside
 * it. Returns the first answer and cancels the other attempt. Only for requests
 * that may run more than once.
 */
export async function runHedged(task: HedgedTask): Promise<ExchangeResult> {
  const { request, grant, attempt } = task
  const settled = new AbortController()
  const watching = new AbortController()
  const attemptSignal = AbortSignal.any([request.signal, settled.signal])
  const first = attempt(grant, attemptSignal)
  const second = runSecond(task, AbortSignal.any([request.signal, watching.signal]), attemptSignal)
  const winner = await Promise.race([first, second.then((result) => usable(result) ?? first)])
  watching.abort()
  // The first attempt may have failed while the second one still runs.
  const result = usable(winner) ?? usable(await second) ?? winner
  settled.abort()
  return result
}

async function runSecond(
  task: HedgedTask,
  watchSignal: AbortSignal,
  attemptSignal: AbortSignal,
): Promise<ExchangeResult | undefined> {
  const { hedges, clock, request, grant, attempt } = task
  const acquired = await hedges.acquireHedge({ ...request, signal: watchSignal }, grant, clock())
  if (acquired.err) return undefined
  const limit = AbortSignal.timeout(Math.ceil(hedges.hedgeLimitMs(request)))
  return attempt(acquired.val, AbortSignal.any([attemptSignal, limit]))
}

/** Returns the result if it is an answer of a backend server that ran the request. */
function usable(result: ExchangeResult | undefined): ExchangeResult | undefined {
  const isUsable = result?.kind === ExchangeKind.Answered && classify(result) === Execution.Ran
  return isUsable ? result : undefined
}
