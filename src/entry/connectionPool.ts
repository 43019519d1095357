/** Kept connections to all backend servers. */
import type { Clock } from '../common/clock.js'
import { ServerConnection } from './serverConnection.js'
import type { SendOutcome, ServerHeaders, ServerRequest } from './serverExchange.js'
import { SendKind } from './serverExchange.js'

/** Time for a connection inside the region, in milliseconds; some lost packets fit in. */
const CONNECT_MS = 400
/** Time for a connection to another region, in milliseconds. */
const REMOTE_CONNECT_MS = 600
/** Idle connections kept per server; an instance rarely has more requests there at once. */
const MAX_IDLE_PER_SERVER = 12
/**
 * Idle time up to which a request that may run only once goes on a kept connection, in ms.
 * After it a server may have dropped the connection unseen, and a reset then proves nothing.
 */
const ONCE_IDLE_MS = 2500
/** The same while kept connections were found dead lately, in milliseconds. */
const DISTRUSTED_IDLE_MS = 150
/** Time for which a kept connection that was found dead lowers the trust in the others, in ms. */
const DISTRUST_MS = 15_000

/** Pool of one process. */
export class ConnectionPool {
  readonly #headers: ServerHeaders
  readonly #clock: Clock
  readonly #idle = new Map<string, ServerConnection[]>()
  #distrustUntilMs = Number.NEGATIVE_INFINITY
  #opened = 0

  constructor(headers: ServerHeaders, clock: Clock) {
    this.#headers = headers
    this.#clock = clock
  }

  /** Connections opened since the start. */
  get opened(): number {
    return this.#opened
  }

  /**
   * Sends a request to a server.
   * @param key identifies the server's start and address
   */
  send(
    key: string,
    address: string,
    isRemote: boolean,
    request: ServerRequest,
    onEnd: (outcome: SendOutcome) => void,
  ): (kind: SendKind.Abandoned | SendKind.TimedOut) => void {
    const connection = this.#take(key, request.isRepeatable) ?? this.#open(address, isRemote)
    return connection.send(request, (outcome) => {
      const isDeadKept = outcome.kind === SendKind.Broken && outcome.isReused
      if (isDeadKept && outcome.answer === undefined) {
        this.#distrustUntilMs = this.#clock() + DISTRUST_MS
      }
      if (connection.isUsable) this.#keep(key, connection)
      onEnd(outcome)
    })
  }

  /** Closes the idle connections to servers that are gone. */
  retain(keys: ReadonlySet<string>): void {
    for (const [key, connections] of this.#idle) {
      if (keys.has(key)) continue
      for (const connection of connections) connection.destroy()
      this.#idle.delete(key)
    }
  }

  /** Closes connections that were idle for too long. */
  sweep(nowMs: number): void {
    for (const [key, connections] of this.#idle) {
      const kept = connections.filter((connection) => {
        const isKept = connection.isUsable && connection.isFresh(nowMs)
        if (!isKept) connection.destroy()
        return isKept
      })
      if (kept.length === 0) this.#idle.delete(key)
      else this.#idle.set(key, kept)
    }
  }

  close(): void {
    this.retain(new Set())
  }

  #take(key: string, isRepeatable: boolean): ServerConnection | undefined {
    const connections = this.#idle.get(key)
    const nowMs = this.#clock()
    const onceLimitMs = nowMs < this.#distrustUntilMs ? DISTRUSTED_IDLE_MS : ONCE_IDLE_MS
    // The one used last is the least likely to be dead.
    for (let latest = connections?.pop(); latest !== undefined; latest = connections?.pop()) {
      if (!latest.isUsable || !latest.isFresh(nowMs)) {
        latest.destroy()
        continue
      }
      if (isRepeatable || latest.idleMs(nowMs) < onceLimitMs) return latest
      connections?.push(latest)
      return undefined
    }
    return undefined
  }

  #keep(key: string, connection: ServerConnection): void {
    const connections = this.#idle.get(key) ?? []
    connections.push(connection)
    if (connections.length > MAX_IDLE_PER_SERVER) connections.shift()?.destroy()
    this.#idle.set(key, connections)
  }

  #open(address: string, isRemote: boolean): ServerConnection {
    this.#opened += 1
    const connectMs = isRemote ? REMOTE_CONNECT_MS : CONNECT_MS
    return new ServerConnection(address, this.#headers, connectMs, this.#clock)
  }
}
