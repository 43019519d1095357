import type { Socket } from 'node:net'

/**
 * Bytes that were handed to the system and that it has not taken. Node.js has no public figure
 * that shrinks while a large write is under way.
 */
export function queuedBytesOf(socket: Socket): number {
  if (socket.writableLength === 0) return 0
  const { _handle: handle } = socket as {
    readonly _handle?: { readonly writeQueueSize?: number } | null
  }
  return handle?.writeQueueSize ?? 0
}
