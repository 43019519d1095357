/** Waits for a decision on a request until it comes, its time is up, or its caller leaves. */

export interface DecisionWaitOptions<Decision> {
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal
  readonly timeoutMs: number
  readonly ifAborted: Decision
  readonly ifTimedOut: Decision
  /**
   * Asks for the decision.
   * @param decide may be called before this returns, and more than once
   * @returns withdraws the question
   */
  readonly ask: (decide: (decision: Decision) => void) => () => void
}

export function waitForDecision<Decision>({
  signal,
  timeoutMs,
  ifAborted,
  ifTimedOut,
  ask,
}: DecisionWaitOptions<Decision>): Promise<Decision> {
  return new Promise((resolve) => {
    let withdraw: () => void = () => undefined
    const finish = (decision: Decision): void => {
      clearTimeout(timer)
      signal.removeEventListener('abort', onAbort)
      resolve(decision)
    }
    const onAbort = (): void => {
      withdraw()
      finish(ifAborted)
    }
    const timer = setTimeout(
      () => {
        withdraw()
        finish(ifTimedOut)
      },
      Math.max(0, timeoutMs),
    )
    signal.addEventListener('abort', onAbort, { once: true })
    withdraw = ask(finish)
  })
}
