/** One connection to another entry instance; messages that one event causes share a write. */
import type { Socket } from 'node:net'
import type { PeerMessage } from './peerMessages.js'

/**
 * Largest number of bytes that may wait to be written to a peer. A full configuration
 * of a megabyte is sent once in base64; a peer that reads slower than that is given up.
 */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024
/** Longest line accepted from a peer, in bytes; a base64 configuration fits several times. */
const MAX_LINE_BYTES = 16 * 1024 * 1024

/** What the owner of a link is told. */
export interface PeerLinkListener {
  received(message: PeerMessage): void
  closed(reason: string): void
}

/** Framing of JSON lines over a socket. */
export class PeerLink {
  readonly #socket: Socket
  #unsent: string[] = []
  #isFlushScheduled = false
  #partial = ''
  #isClosed = false

  constructor(socket: Socket, listener: PeerLinkListener) {
    this.#socket = socket
    socket.setNoDelay(true)
    socket.setEncoding('utf8')
    socket.on('data', (text: string | Buffer) => {
      this.#read(text.toString(), listener)
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
      close('ended by the peer')
    })
  }

  get isOpen(): boolean {
    return !this.#isClosed
  }

  send(message: PeerMessage): void {
    if (this.#isClosed) return
    this.#unsent.push(JSON.stringify(message))
    if (this.#isFlushScheduled) return
    this.#isFlushScheduled = true
    // Not with the next turn of the event loop: a turn of its own for each message costs a wake-up.
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
      this.#socket.destroy(new Error('the peer does not read'))
      return
    }
    this.#socket.write(`${this.#unsent.join('\n')}\n`)
    this.#unsent = []
  }

  #read(text: string, listener: PeerLinkListener): void {
    const lines = (this.#partial + text).split('\n')
    this.#partial = lines.pop() ?? ''
    if (this.#partial.length > MAX_LINE_BYTES) {
      this.#socket.destroy(new Error('a line of the peer is too long'))
      return
    }
    for (const line of lines) {
      if (line === '') continue
      const message = parse(line)
      if (message === undefined) {
        this.#socket.destroy(new Error('a line of the peer is not a message'))
        return
      }
      listener.received(message)
    }
  }
}

function parse(line: string): PeerMessage | undefined {
  try {
    const value: unknown = JSON.parse(line)
    if (typeof value !== 'object' || value === null || !('kind' in value)) return undefined
    return value as PeerMessage
  } catch {
    return undefined
  }
}
