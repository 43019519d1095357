/** Closing of an HTTP listener that cuts no request which has reached this process. */
import type { Server } from 'node:http'

/**
 * Stops accepting, then waits until all connections are closed, or for `graceMs`.
 *
 * hapi ends connections that have not sent their request yet, and closing a listener
 * resets connections that wait to be accepted. So the listener is closed right after a
 * round of accepting, and new connections get time to send.
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
