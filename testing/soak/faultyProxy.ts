/** TCP proxy on the loopback interface that delays, resets or black-holes connections. */
import type { Server, Socket } from 'node:net'
import { connect, createServer } from 'node:net'
import { ConnectionEnd, onConnectionEnd } from '../../src/common/connectionEnd.js'
import { parseHostAndPort, listenOnLoopback } from '../../src/common/listen.js'

export enum LinkFault {
  None = 'none',
  /** Resets open and new connections. */
  Resets = 'resets',
  /** Discards bytes and ends of connections in both directions, on open and on new ones. */
  Unresponsive = 'silent',
  /** Discards only what the target sends. */
  AnswersLost = 'answersLost',
  /** Delays bytes in both directions. */
  Delayed = 'delayed',
}

/** One-way delay of {@link LinkFault.Delayed}, as between distant regions. */
const DELAY_MS = 120

export class FaultyProxy {
  readonly #target: string
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  #fault = LinkFault.None

  /** @param target `host:port` */
  constructor(target: string) {
    this.#target = target
    this.#server = createServer({ allowHalfOpen: true }, (socket) => {
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

  /** Sets the fault of open and new connections. */
  setFault(fault: LinkFault): void {
    // Connections whose bytes were discarded can't continue, so they are reset after the fault.
    const hasDiscardedBytes = [LinkFault.Unresponsive, LinkFault.AnswersLost].includes(this.#fault)
    this.#fault = fault
    if (fault === LinkFault.Resets || hasDiscardedBytes) this.#resetAll()
  }

  #accept(socket: Socket): void {
    if (this.#fault === LinkFault.Resets) {
      socket.resetAndDestroy()
      return
    }
    const upstream = connect({ ...parseHostAndPort(this.#target), allowHalfOpen: true })
    this.#forward(socket, upstream, LinkFault.Unresponsive)
    this.#forward(upstream, socket, LinkFault.AnswersLost)
  }

  /**
   * Forwards bytes, and how the connection ends, unless `ownFault` or
   * {@link LinkFault.Unresponsive} discards them. A connection of which something was discarded
   * stays as it is until the fault ends.
   */
  #forward(from: Socket, to: Socket, ownFault: LinkFault): void {
    this.#sockets.add(from)
    const deliver = this.#createDelivery()
    let hasEnded = false
    let hasDiscarded = false
    const isDiscarded = (): boolean => {
      hasDiscarded ||= this.#fault === LinkFault.Unresponsive || this.#fault === ownFault
      return hasDiscarded
    }
    from.on('data', (bytes: Buffer) => {
      if (!isDiscarded()) deliver(() => to.write(bytes))
    })
    onConnectionEnd(from, (end) => {
      if (end === ConnectionEnd.Reset || isDiscarded()) return
      hasEnded = true
      deliver(() => to.end())
    })
    from.on('error', () => {
      if (!hasEnded && !isDiscarded()) to.resetAndDestroy()
    })
    from.on('close', () => {
      this.#sockets.delete(from)
      if (isDiscarded()) return
      deliver(() => {
        if (!to.destroyed) to.destroySoon()
      })
    })
  }

  /** Returns a function that runs steps in order, delayed while the link or a step before is. */
  #createDelivery(): (step: () => void) => void {
    let delayedSteps = 0
    return (step) => {
      if (this.#fault !== LinkFault.Delayed && delayedSteps === 0) {
        step()
        return
      }
      delayedSteps += 1
      // Timers of one length fire in the order in which they were set.
      setTimeout(() => {
        delayedSteps -= 1
        step()
      }, DELAY_MS)
    }
  }

  #resetAll(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }
}
