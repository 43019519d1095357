/** Closes HTTP listeners without dropping requests that have reached this process. */
import type { Server } from 'node:http'

/**
 * Stops accepting connections, then waits until all are closed, or for `graceMs` milliseconds.
 *
 * hapi ends connections that have not sent their request yet, and closing a listener
 * resets connections that are waiting to be accepted. So the listener is closed right after the
 * event loop has accepted connections, and these get time to send their requests.
 */
export function closeListener(listener: Server, graceMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, graceMs)
    setImmediate(() => {
      listener.close(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  })
}
