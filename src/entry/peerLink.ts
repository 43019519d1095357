/** Connection to another entry instance. Messages sent in the same tick share one write. */
import type { Socket } from 'node:net'
import { ByteBudget } from '../common/byteBudget.js'
import { GrowableBuffer } from '../common/growableBuffer.js'
import { parsePeerMessage } from './peerMessageFormat.js'
import type { PeerMessage } from './peerMessages.js'

/**
 * Send buffer at which a peer that reads too slowly is disconnected. A full copy of the store,
 * with a configuration of 1 MB in base64, fits.
 */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024
/** Memory for lines of a peer; several times the size of a base64 configuration. */
const MAX_LINE_BYTES = 32 * 1024 * 1024
const LINE_FEED = 0x0a

export interface PeerLinkListener {
  received(message: PeerMessage): void
  closed(reason: string): void
}

/** Sends and receives messages as JSON lines over a socket. */
export class PeerLink {
  readonly #socket: Socket
  #unsentLines: string[] = []
  #isFlushScheduled = false
  /** Start of a line whose end has not arrived. */
  readonly #incompleteLine = new GrowableBuffer(new ByteBudget(MAX_LINE_BYTES).open())
  #isClosed = false

  constructor(socket: Socket, listener: PeerLinkListener) {
    this.#socket = socket
    socket.setNoDelay(true)
    socket.on('data', (bytes: Buffer) => {
      this.#handleData(bytes, listener)
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

  #handleData(bytes: Buffer, listener: PeerLinkListener): void {
    const end = bytes.lastIndexOf(LINE_FEED)
    const text = end < 0 ? '' : this.#takeLines(bytes.subarray(0, end))
    if (!this.#incompleteLine.append(bytes, end + 1, bytes.length - end - 1)) {
      this.#socket.destroy(new Error('line from peer exceeds the maximum length'))
      return
    }
    const lines = text.split('\n')
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

  /** Text up to `bytes`, with the start of the first line that came before. */
  #takeLines(bytes: Buffer): string {
    const start = this.#incompleteLine
    if (start.size === 0) return bytes.toString('utf8')
    const text = Buffer.concat([start.view(), bytes]).toString('utf8')
    start.clear()
    return text
  }
}
