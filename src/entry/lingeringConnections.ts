/**
 * Closes connections whose caller may still be sending. The kernel resets a connection that is
 * closed in both directions when more bytes arrive, and drops what it has not sent yet: the answer.
 */
import type { Socket } from 'node:net'

/** Bytes that are read and discarded; the rest of a body that was rejected. */
const MAX_DISCARDED_BYTES = 16 * 1024 * 1024
/** Time for the caller to read the answer and to end its direction, in milliseconds. */
const LINGER_TIMEOUT_MS = 5000
/** Beyond it, the connections that linger for longest are closed, to keep descriptors free. */
const MAX_LINGERING_CONNECTIONS = 512

/** Connections that were ended by this side and are read until the caller ends its own. */
export class LingeringConnections {
  /** In the order in which they were ended. */
  readonly #sockets = new Set<Socket>()

  get size(): number {
    return this.#sockets.size
  }

  has(socket: Socket): boolean {
    return this.#sockets.has(socket)
  }

  /**
   * Makes Node.js close the connection this way after an answer with `Connection: close`.
   * @param onEnd called when it does
   */
  attach(socket: Socket, onEnd?: () => void): void {
    socket.destroySoon = () => {
      onEnd?.()
      this.add(socket)
    }
  }

  /** Ends the connection's sending direction, behind all that was written. */
  add(socket: Socket): void {
    if (socket.destroyed || this.#sockets.has(socket)) return
    this.#sockets.add(socket)
    this.#evict()
    const timer = setTimeout(() => socket.destroy(), LINGER_TIMEOUT_MS)
    socket.once('close', () => {
      clearTimeout(timer)
      this.#sockets.delete(socket)
    })
    socket.resume()
    // Node.js starts to read again in the next tick, as long as its HTTP parser is attached.
    process.nextTick(() => {
      discardInput(socket)
    })
    socket.end()
  }

  #evict(): void {
    if (this.#sockets.size <= MAX_LINGERING_CONNECTIONS) return
    const [oldest] = this.#sockets
    if (oldest === undefined) return
    this.#sockets.delete(oldest)
    oldest.destroy()
  }
}

/** Takes the input from the HTTP parser, which would keep each request. */
function discardInput(socket: Socket): void {
  let discardedBytes = 0
  socket.removeAllListeners('data')
  socket.on('data', (bytes: Buffer) => {
    discardedBytes += bytes.length
    if (discardedBytes > MAX_DISCARDED_BYTES) socket.destroy()
  })
}
