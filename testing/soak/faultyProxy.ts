/** TCP proxy on the loopback interface that delays, cuts or silences connections. */
import type { Server, Socket } from 'node:net'
import { connect, createServer } from 'node:net'
import { hostAndPort, listenOnLoopback } from '../../src/common/listen.js'

/** What the proxy does to bytes. */
export enum LinkFault {
  None = 'none',
  /** Resets what is open and refuses what is new. */
  Resets = 'resets',
  /** Swallows bytes in both directions, on open and on new connections. */
  Silent = 'silent',
  /** Swallows only the answers. */
  AnswersLost = 'answersLost',
  /** Delivers late. */
  Delayed = 'delayed',
}

/** Delay of {@link LinkFault.Delayed}, in milliseconds: a way between distant regions. */
const DELAY_MS = 120

/** Proxy to one address. */
export class FaultyProxy {
  readonly #target: string
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  #fault = LinkFault.None

  /** @param target `host:port` */
  constructor(target: string) {
    this.#target = target
    this.#server = createServer((socket) => {
      this.#accept(socket)
    })
  }

  /** @returns `host:port` of the proxy */
  start(): Promise<string> {
    return listenOnLoopback(this.#server)
  }

  stop(): void {
    this.#server.close()
    this.#resetAll()
  }

  get fault(): LinkFault {
    return this.#fault
  }

  /** Changes what happens to open and to new connections. */
  setFault(fault: LinkFault): void {
    // Bytes that were swallowed are lost, so their connections end with the fault.
    const loses = [LinkFault.Silent, LinkFault.AnswersLost].includes(this.#fault)
    this.#fault = fault
    if (fault === LinkFault.Resets || loses) this.#resetAll()
  }

  #accept(socket: Socket): void {
    if (this.#fault === LinkFault.Resets) {
      socket.resetAndDestroy()
      return
    }
    const upstream = connect(hostAndPort(this.#target))
    this.#join(socket, upstream, LinkFault.Silent)
    this.#join(upstream, socket, LinkFault.AnswersLost)
  }

  /** Passes bytes on from one socket to the other unless `ownFault` or silence swallows them. */
  #join(from: Socket, to: Socket, ownFault: LinkFault): void {
    this.#sockets.add(from)
    from.on('data', (bytes: Buffer) => {
      if (this.#fault === LinkFault.Silent || this.#fault === ownFault) return
      if (this.#fault === LinkFault.Delayed) setTimeout(() => to.write(bytes), DELAY_MS)
      else to.write(bytes)
    })
    from.on('end', () => {
      to.end()
    })
    from.on('error', () => {
      to.resetAndDestroy()
    })
    from.on('close', () => {
      this.#sockets.delete(from)
      if (!to.destroyed) to.destroySoon()
    })
  }

  #resetAll(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }
}
