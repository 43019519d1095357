/** Present time in milliseconds since the epoch. Only programs read it; decisions get it as an argument. */
export type Clock = () => number

/** The machine's clock. */
export const systemClock: Clock = () => Date.now()

/**
 * Returns a clock that never goes back, so that a correction of the machine's
 * clock can't make an expired identifier valid again.
 */
export function nonDecreasingClock(source: Clock): Clock {
  let latest = Number.NEGATIVE_INFINITY
  return () => {
    latest = Math.max(latest, source())
    return latest
  }
}

/** Resolves after `delayMs` milliseconds, or at once when `signal` aborts. Never rejects. */
export function sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve()
      return
    }
    const finish = (): void => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const timer = setTimeout(finish, delayMs)
    signal?.addEventListener('abort', finish, { once: true })
  })
}

/**
 * Milliseconds of the steady clock. It never steps, so every duration and
 * deadline of an entry instance is measured with it; it means nothing to other processes.
 */
export const steadyClock: Clock = () => performance.now()
