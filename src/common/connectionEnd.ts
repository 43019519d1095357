/** How the peer of a socket has ended its direction of the connection. */
import type { Socket } from 'node:net'

export enum ConnectionEnd {
  /** All bytes that the peer has sent have arrived. */
  Regular = 'regular',
  /** Bytes may be missing. */
  Reset = 'reset',
  /** The socket's own direction had ended before, after which it can't be told. */
  Unknown = 'unknown',
}

const NO_BYTES = Buffer.alloc(0)
/** On Linux, a write fails with this code if the connection was reset only after a regular end. */
const RESET_AFTER_END_CODE = 'EPIPE'

/**
 * Calls back once after the socket has emitted `end`. Node.js emits it for a reset too, without an
 * error, if the reset arrives together with the last bytes. A write of no bytes sends nothing, but
 * fails after a reset; the socket then emits `error` as well.
 * @returns a function that stops waiting for the end
 */
export function onConnectionEnd(socket: Socket, onEnd: (end: ConnectionEnd) => void): () => void {
  const check = (): void => {
    if (socket.writableEnded) {
      onEnd(ConnectionEnd.Unknown)
      return
    }
    socket.write(NO_BYTES, (error) => {
      onEnd(isRegular(error) ? ConnectionEnd.Regular : ConnectionEnd.Reset)
    })
  }
  // Without `allowHalfOpen`, a listener of Node.js prevents writes from then on.
  socket.prependOnceListener('end', check)
  return () => {
    socket.off('end', check)
  }
}

function isRegular(error: NodeJS.ErrnoException | null | undefined): boolean {
  return error === null || error === undefined || error.code === RESET_AFTER_END_CODE
}
