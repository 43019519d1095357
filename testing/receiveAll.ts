/** Client side of tests that judge how a connection ends. */
import type { Socket } from 'node:net'
import { ConnectionEnd, onConnectionEnd } from '../src/common/connectionEnd.js'

export interface ReceivedBytes {
  /** As Latin-1. */
  readonly text: string
  readonly end: ConnectionEnd
}

/**
 * Receives until the connection has ended, and closes it.
 * @param onText called with all that was received so far
 */
export function receiveAll(
  socket: Socket,
  onText: (text: string) => void = () => undefined,
): Promise<ReceivedBytes> {
  let text = ''
  socket.setEncoding('latin1')
  socket.on('data', (bytes) => {
    text += bytes.toString()
    onText(text)
  })
  return new Promise((resolve) => {
    const finish = (end: ConnectionEnd): void => {
      resolve({ text, end })
      socket.destroy()
    }
    onConnectionEnd(socket, finish)
    socket.on('error', () => {
      finish(ConnectionEnd.Reset)
    })
  })
}
