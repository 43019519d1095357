/** How the peer of a socket has ended its direction of the connection. */
import type { Socket } from 'node:net'

export enum ConnectionEnd {
  /** All bytes that the peer has sent have arrived. */
  Regular = 'regular',
  /** Bytes may be missing. */
  Reset = 'reset',
  /** The socket can no longer be written to, so it can't be told. */
  Unknown = 'unknown',
}

const NO_BYTES = Buffer.alloc(0)
/** On Linux, a write fails with this code if the connection was reset only after a regular end. */
const RESET_AFTER_END_CODE = 'EPIPE'

/**
 * Calls back once after the socket has emitted `end`; see {@link checkConnectionEnd}.
 * @returns a function that stops waiting for the end
 */
export function onConnectionEnd(socket: Socket, onEnd: (end: ConnectionEnd) => void): () => void {
  const check = (): void => {
    checkConnectionEnd(socket, onEnd)
  }
  // Without `allowHalfOpen`, a listener of Node.js prevents writes from then on.
  socket.prependOnceListener('end', check)
  return () => {
    socket.off('end', check)
  }
}

/**
 * Finds out how a connection has ended; to be called while its socket emits `end`. Node.js emits it
 * for a reset too, without an error, if the reset arrives together with the last bytes. A write of
 * no bytes sends nothing, but fails after a reset; the socket then emits `error` as well, unless it
 * was destroyed meanwhile.
 */
export function checkConnectionEnd(socket: Socket, onEnd: (end: ConnectionEnd) => void): void {
  if (!socket.writable) {
    onEnd(ConnectionEnd.Unknown)
    return
  }
  let isSettled = false
  const settle = (error?: NodeJS.ErrnoException | null): void => {
    if (isSettled) return
    isSettled = true
    onEnd(isRegular(error) ? ConnectionEnd.Regular : ConnectionEnd.Reset)
  }
  // A peer that has not read all bytes may never do so. After a reset, writes that wait fail
  // before the next turn of the event loop.
  if (socket.writableLength > 0) setImmediate(settle)
  socket.write(NO_BYTES, settle)
}

/** Destroys a socket that emits `end` if its connection was reset. */
export function destroyIfReset(socket: Socket): void {
  checkConnectionEnd(socket, (end) => {
    if (end === ConnectionEnd.Reset) socket.destroy()
  })
}

function isRegular(error: NodeJS.ErrnoException | null | undefined): boolean {
  return error === undefined || error === null || error.code === RESET_AFTER_END_CODE
}
