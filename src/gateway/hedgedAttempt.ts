/** Request hedging: a second, concurrent attempt for an idempotent request on a slow server. */
import type { Clock } from '../common/clock.js'
import type { ExchangeResult } from '../common/exchange.js'
import { ExchangeKind } from '../common/exchange.js'
import type { SlotGrant, SlotRequest } from '../slots/slotSource.js'
import { classifyExecution, Execution } from './backendAttempt.js'

/** Decides when a second attempt is worthwhile and grants its slot. */
export interface HedgeSource {
  /**
   * Watches the request that runs under the grant `running`; calls `onGrant` at most once, when
   * the request needs a second attempt. Returns a function that stops the watch.
   */
  watchForHedge(
    request: SlotRequest,
    running: SlotGrant,
    nowMs: number,
    onGrant: (grant: SlotGrant) => void,
  ): () => void
  /** Time after which a second attempt is cancelled, in milliseconds. */
  hedgeLimitMs(request: SlotRequest): number
}

/** Parameters of {@link runHedged}. */
export interface HedgedTask {
  readonly hedges: HedgeSource
  readonly clock: Clock
  readonly request: SlotRequest
  readonly grant: SlotGrant
  /** Makes one attempt and releases its grant. Never rejects. */
  readonly attempt: (grant: SlotGrant, signal: AbortSignal) => Promise<ExchangeResult>
}

/**
 * Runs the first attempt and, if a slot is granted, a second one concurrently.
 * Returns the first answer and cancels the other attempt. The request has to be
 * idempotent.
 */
export async function runHedged(task: HedgedTask): Promise<ExchangeResult> {
  const { hedges, clock, request, grant, attempt } = task
  const cancellation = new AbortController()
  const cancelAttempts = (): void => {
    cancellation.abort()
  }
  request.signal.addEventListener('abort', cancelAttempts, { once: true })
  if (request.signal.aborted) cancelAttempts()
  const secondAttempts: Promise<ExchangeResult>[] = []
  let stopWatch: () => void = () => undefined
  const secondAnswer = new Promise<ExchangeResult>((resolve) => {
    stopWatch = hedges.watchForHedge(request, grant, clock(), (granted) => {
      const second = runSecondAttempt(task, granted, cancellation.signal)
      secondAttempts.push(second)
      void second.then((result) => {
        if (usableAnswer(result) !== undefined) resolve(result)
      })
    })
  })
  const firstResult = await Promise.race([attempt(grant, cancellation.signal), secondAnswer])
  stopWatch()
  // If the first attempt failed, the second one may still succeed.
  const result = usableAnswer(firstResult) ?? usableAnswer(await secondAttempts[0]) ?? firstResult
  cancelAttempts()
  request.signal.removeEventListener('abort', cancelAttempts)
  return result
}

function runSecondAttempt(
  { hedges, request, attempt }: HedgedTask,
  grant: SlotGrant,
  signal: AbortSignal,
): Promise<ExchangeResult> {
  const limit = AbortSignal.timeout(Math.ceil(hedges.hedgeLimitMs(request)))
  return attempt(grant, AbortSignal.any([signal, limit]))
}

/** Returns the result if a backend server ran the request and answered, else `undefined`. */
function usableAnswer(result: ExchangeResult | undefined): ExchangeResult | undefined {
  const isUsable =
    result?.kind === ExchangeKind.Answered && classifyExecution(result) === Execution.Ran
  return isUsable ? result : undefined
}
