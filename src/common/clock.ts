/**
 * Returns the current time in milliseconds: since the epoch, or since the start of the process
 * for {@link monotonicClock}. Only programs read a clock; domain code gets the time as an argument.
 */
export type Clock = () => number

/** Wall clock of the machine, in milliseconds since the epoch. */
export const systemClock: Clock = () => Date.now()

/**
 * Returns a clock that never goes back, so that an adjustment of the wall clock
 * can't make an expired identifier valid again.
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
 * Monotonic clock, in milliseconds since the start of the process. Adjustments of the wall clock
 * don't affect it, so entry instances measure every duration and deadline with it. Its values are
 * meaningless to other processes.
 */
export const monotonicClock: Clock = () => performance.now()
