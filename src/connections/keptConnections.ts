/**
 * Connections that the entry instances keep open to the servers of a coordinator, as far as it
 * knows them: an instance states with each released slot for how long it may reuse the connection.
 *
 * Answers the load of many instances that share many servers: each pair has few requests, so that
 * without a preference nearly every server is new to the instance, and connections end unused.
 * Only a preference follows from it. A new coordinator knows nothing, and all servers are alike to
 * it until slots have been released.
 */

import { CAUTION_MS } from './reuseLimits.js'
import type { ConnectionUse } from '../entry/serverExchange.js'

/**
 * Cost of a new connection, relative to the usual duration of a request: it decides between servers
 * that are nearly alike. With 0.5, requests run at servers that are too slow for them.
 */
const NEW_CONNECTION_WEIGHT = 0.2
/**
 * Requests up to which a server counts as one with a connection. Nobody has connections to a server
 * that has just joined, so that it would get no work while the others have room.
 */
const FIRST_REQUESTS = 8
/** Connections of one instance to one server that are remembered; it rarely has more. */
const MAX_CONNECTIONS = 12

/** @typeParam Server compared by identity */
export class KeptConnections<Server> {
  /**
   * Times until which connections may be reused, in the order of release, by instance and server.
   * The servers of an instance are in the order of the latest release.
   */
  readonly #untilMs = new Map<string, Map<Server, number[]>>()
  /** Requests until which servers that have joined count as connected. */
  readonly #firstRequestsLeft = new Map<Server, number>()
  #lossUntilMs = Number.NEGATIVE_INFINITY

  /** Records what became of the connection of a request that has ended. */
  recordUse(
    instance: string,
    server: Server,
    { keptForMs = 0, isLost = false }: ConnectionUse,
    nowMs: number,
  ): void {
    if (isLost) this.#lossUntilMs = nowMs + CAUTION_MS
    if (keptForMs > 0) this.#add(instance, server, nowMs + keptForMs)
  }

  /**
   * Whether an instance lost a connection a short time ago. Instances are told so with each grant,
   * so that not each of them has to lose one before it distrusts the others.
   */
  mayBeLost(nowMs: number): boolean {
    return nowMs < this.#lossUntilMs
  }

  #add(instance: string, server: Server, untilMs: number): void {
    const servers = this.#untilMs.get(instance) ?? new Map<Server, number[]>()
    this.#untilMs.set(instance, servers)
    const times = servers.get(server) ?? []
    times.push(untilMs)
    if (times.length > MAX_CONNECTIONS) times.shift()
    servers.delete(server)
    servers.set(server, times)
  }

  /** Records that an instance uses the connection that it used last, or opens one. */
  take(instance: string, server: Server): void {
    const firstRequestsLeft = this.#firstRequestsLeft.get(server) ?? 0
    if (firstRequestsLeft > 1) this.#firstRequestsLeft.set(server, firstRequestsLeft - 1)
    else this.#firstRequestsLeft.delete(server)
    const servers = this.#untilMs.get(instance)
    const times = servers?.get(server)
    times?.pop()
    if (times?.length === 0) servers?.delete(server)
  }

  /**
   * Time by which a server may be slower than others and still be preferred, because the instance
   * has a connection to it.
   * @param usualMs usual duration of the request at a server that has its object cached
   */
  savingMs(instance: string, server: Server, usualMs: number, nowMs: number): number {
    const untilMs = this.#untilMs.get(instance)?.get(server)?.at(-1) ?? 0
    return this.#firstRequestsLeft.has(server) || untilMs > nowMs
      ? usualMs * NEW_CONNECTION_WEIGHT
      : 0
  }

  /**
   * Servers to which an instance has connections that it may reuse, those first that it has not
   * used for longest: a request keeps their connections from being closed.
   */
  *serversOf(instance: string, nowMs: number): IterableIterator<Server> {
    const servers = this.#untilMs.get(instance)
    if (servers === undefined) return
    for (const [server, times] of servers) {
      if ((times.at(-1) ?? 0) > nowMs) yield server
      else servers.delete(server)
    }
  }

  /** Records a server that joins others to which instances have connections. */
  addServer(server: Server): void {
    this.#firstRequestsLeft.set(server, FIRST_REQUESTS)
  }

  /** Forgets the connections to a server that has ended or restarted. */
  removeServer(server: Server): void {
    this.#firstRequestsLeft.delete(server)
    for (const servers of this.#untilMs.values()) servers.delete(server)
  }

  /** Forgets the connections of an instance that may have ended. */
  removeInstance(instance: string): void {
    this.#untilMs.delete(instance)
  }
}
