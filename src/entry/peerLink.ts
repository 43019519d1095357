/** Connection to another entry instance. Messages sent in the same tick share one write. */
import type { Socket } from 'node:net'
import { parsePeerMessage } from './peerMessageFormat.js'
import type { PeerMessage } from './peerMessages.js'

/**
 * Send buffer at which a peer that reads too slowly is disconnected. A full copy of the store,
 * with a configuration of 1 MB in base64, fits.
 */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024
/** Longest line accepted from a peer; several times the size of a base64 configuration. */
const MAX_LINE_BYTES = 16 * 1024 * 1024

export interface PeerLinkListener {
  received(message: PeerMessage): void
  closed(reason: string): void
}

/** Sends and receives messages as JSON lines over a socket. */
export class PeerLink {
  readonly #socket: Socket
  #unsentLines: string[] = []
  #isFlushScheduled = false
  #incompleteLine = ''
  #isClosed = false

  constructor(socket: Socket, listener: PeerLinkListener) {
    this.#socket = socket
    socket.setNoDelay(true)
    socket.setEncoding('utf8')
    socket.on('data', (text: string | Buffer) => {
      this.#handleData(text.toString(), listener)
    })
    const close = (reason: string): void => {
      if (this.#isClosed) return
      this.#isClosed = true
      socket.destroy()
      listener.closed(reason)
    }
    socket.on('error', (error) => {
      close(error.message)
    })
    socket.on('close', () => {
      close('closed')
    })
    socket.on('end', () => {
      close('closed by the peer')
    })
  }

  get isOpen(): boolean {
    return !this.#isClosed
  }

  send(message: PeerMessage): void {
    this.sendLine(JSON.stringify(message))
  }

  /** Sends a message that was serialized before, for several links. */
  sendLine(line: string): void {
    if (this.#isClosed) return
    this.#unsentLines.push(line)
    if (this.#isFlushScheduled) return
    this.#isFlushScheduled = true
    // `setImmediate` would cost an extra turn of the event loop, and thus a wake-up, per message.
    process.nextTick(() => {
      this.#flush()
    })
  }

  close(): void {
    this.#socket.destroy()
  }

  #flush(): void {
    this.#isFlushScheduled = false
    if (this.#isClosed) return
    if (this.#socket.writableLength > MAX_UNSENT_BYTES) {
      this.#socket.destroy(new Error('peer reads too slowly: send buffer is full'))
      return
    }
    this.#socket.write(`${this.#unsentLines.join('\n')}\n`)
    this.#unsentLines = []
  }

  #handleData(text: string, listener: PeerLinkListener): void {
    const lines = (this.#incompleteLine + text).split('\n')
    this.#incompleteLine = lines.pop() ?? ''
    if (this.#incompleteLine.length > MAX_LINE_BYTES) {
      this.#socket.destroy(new Error('line from peer exceeds the maximum length'))
      return
    }
    for (const line of lines) {
      if (line === '') continue
      if (this.#socket.destroyed) return
      const message = parsePeerMessage(line)
      if (message === undefined) {
        this.#socket.destroy(new Error('line from peer is not a valid message'))
        return
      }
      listener.received(message)
    }
  }
}
