/** Pool of keep-alive connections to backend servers. */
import { ByteBudget } from '../common/byteBudget.js'
import type { Clock } from '../common/clock.js'
import { ReadTurns } from './readTurns.js'
import type { SharedConnectionResources } from './serverConnection.js'
import { ServerConnection } from './serverConnection.js'
import type { SendOutcome, ServerHeaders, ServerRequest } from './serverExchange.js'
import { OutcomeKind } from './serverExchange.js'

/** Connect timeout within the region; tolerates some lost packets. */
const CONNECT_TIMEOUT_MS = 400
/** Connect timeout to another region. */
const REMOTE_CONNECT_TIMEOUT_MS = 600
/** An instance rarely has more concurrent requests at one server. */
const MAX_IDLE_CONNECTIONS_PER_SERVER = 12
/**
 * Idle time up to which a connection is reused for a non-idempotent request. Later the server
 * may have dropped the connection unnoticed, and a reset does not show whether the request ran.
 */
const MAX_NON_IDEMPOTENT_IDLE_MS = 2500
/** Replaces {@link MAX_NON_IDEMPOTENT_IDLE_MS} after a reused connection broke. */
const REDUCED_NON_IDEMPOTENT_IDLE_MS = 150
/** Time after a reused connection broke during which the shorter idle limit applies. */
const REDUCED_IDLE_PERIOD_MS = 15_000

/** Memory for answers that are being read, or not fetched yet; several of the largest ones fit. */
export const ANSWER_MEMORY_BYTES = 48 * 1024 * 1024

export class ConnectionPool {
  readonly #shared: SharedConnectionResources
  readonly #headers: ServerHeaders
  readonly #clock: Clock
  readonly #idle = new Map<string, ServerConnection[]>()
  #reducedIdleUntilMs = Number.NEGATIVE_INFINITY
  #openedCount = 0

  /** @param answerBudget memory for answers, shared with those that callers have not fetched */
  constructor(
    headers: ServerHeaders,
    clock: Clock,
    answerBudget = new ByteBudget(ANSWER_MEMORY_BYTES),
  ) {
    this.#headers = headers
    this.#shared = { answerBudget, readTurns: new ReadTurns() }
    this.#clock = clock
  }

  /** Number of connections opened since the start. */
  get openedCount(): number {
    return this.#openedCount
  }

  /**
   * Sends a request to a server on an idle or a new connection.
   * @param key identifies the server process and its address
   */
  send(
    key: string,
    address: string,
    isRemote: boolean,
    request: ServerRequest,
    onEnd: (outcome: SendOutcome) => void,
  ): (kind: OutcomeKind.Abandoned | OutcomeKind.TimedOut) => void {
    const connection = this.#takeIdle(key, request) ?? this.#open(address, isRemote)
    return connection.send(request, (outcome) => {
      const isBrokenReuse = outcome.kind === OutcomeKind.Broken && outcome.isReused
      if (isBrokenReuse && outcome.answer === undefined) {
        this.#reducedIdleUntilMs = this.#clock() + REDUCED_IDLE_PERIOD_MS
      }
      if (connection.isUsable) this.#addIdle(key, connection)
      onEnd(outcome)
    })
  }

  /** Closes idle connections of all servers except `keys`. */
  retain(keys: ReadonlySet<string>): void {
    for (const [key, connections] of this.#idle) {
      if (keys.has(key)) continue
      for (const connection of connections) connection.destroy()
      this.#idle.delete(key)
    }
  }

  /** Closes idle connections that broke or that the server may close soon. */
  closeExpired(nowMs: number): void {
    for (const [key, connections] of this.#idle) {
      const kept = connections.filter((connection) => {
        const isKept = connection.isUsable && connection.isWithinIdleTimeout(nowMs)
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

  #takeIdle(key: string, request: ServerRequest): ServerConnection | undefined {
    const connections = this.#idle.get(key)
    const nowMs = this.#clock()
    const maxIdleMs =
      nowMs < this.#reducedIdleUntilMs ? REDUCED_NON_IDEMPOTENT_IDLE_MS : MAX_NON_IDEMPOTENT_IDLE_MS
    // The most recently used connection is the least likely to be closed by the server.
    for (let latest = connections?.pop(); latest !== undefined; latest = connections?.pop()) {
      if (!latest.isUsable || !latest.isWithinIdleTimeout(nowMs)) {
        latest.destroy()
        continue
      }
      const isFresh = request.isIdempotent || latest.idleMs(nowMs) < maxIdleMs
      if (isFresh && !latest.hasRefused(request.requestId)) return latest
      connections?.push(latest)
      return undefined
    }
    return undefined
  }

  #addIdle(key: string, connection: ServerConnection): void {
    const connections = this.#idle.get(key) ?? []
    connections.push(connection)
    if (connections.length > MAX_IDLE_CONNECTIONS_PER_SERVER) connections.shift()?.destroy()
    this.#idle.set(key, connections)
  }

  #open(address: string, isRemote: boolean): ServerConnection {
    this.#openedCount += 1
    const connectTimeoutMs = isRemote ? REMOTE_CONNECT_TIMEOUT_MS : CONNECT_TIMEOUT_MS
    return new ServerConnection(address, this.#headers, connectTimeoutMs, this.#shared, this.#clock)
  }
}
