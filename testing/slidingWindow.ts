/** Counts of events in sliding windows, as users judge rates. */

/** Largest number of times within any window of the given length. */
export function peakInWindow(timesMs: readonly number[], windowMs: number): number {
  const counts = timesMs.map(
    (startMs) => timesMs.filter((atMs) => atMs >= startMs && atMs < startMs + windowMs).length,
  )
  return Math.max(0, ...counts)
}
