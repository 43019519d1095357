/** Metrics sent over StatsD (UDP) with `hot-shots`. */
import { StatsD } from 'hot-shots'

/** Tags of a metric, for example `{ service: 'reveals' }`. */
export type MetricTags = Readonly<Record<string, string>>

/** Subset of a StatsD client that the daemons use. */
export interface Metrics {
  /** Adds `count` to a counter. */
  increment(name: string, count: number, tags: MetricTags): void
  /** Records the current value of a gauge. */
  gauge(name: string, value: number, tags: MetricTags): void
  /** Records a duration in milliseconds. */
  timing(name: string, durationMs: number, tags: MetricTags): void
  /** Sends buffered metrics and closes the socket. */
  close(): Promise<void>
}

/** Discards all metrics; for tests and for daemons without a metrics address. */
export const noMetrics: Metrics = {
  increment: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
  close: () => Promise.resolve(),
}

/** Creates a client that sends to `host:port`, with `globalTags` on each metric. */
export function createMetrics(host: string, port: number, globalTags: MetricTags): Metrics {
  const client = new StatsD({
    host,
    port,
    prefix: 'tamarackdrift.',
    globalTags: { ...globalTags },
    // Metrics are best effort: a datagram that cannot be sent must not end the daemon.
    errorHandler: () => undefined,
  })
  return {
    increment: (name, count, tags) => {
      client.increment(name, count, { ...tags })
    },
    gauge: (name, value, tags) => {
      client.gauge(name, value, { ...tags })
    },
    timing: (name, durationMs, tags) => {
      client.timing(name, durationMs, { ...tags })
    },
    close: () =>
      new Promise((resolve) => {
        client.close(() => {
          resolve()
        })
      }),
  }
}
