/** Pool of keep-alive connections to backend servers. */
import { ByteBudget } from '../common/byteBudget.js'
import type { Clock } from '../common/clock.js'
import { ReadTurns } from './readTurns.js'
import { ReuseLimits } from '../connections/reuseLimits.js'
import type { SharedConnectionResources } from './serverConnection.js'
import { ServerConnection } from './serverConnection.js'
import type { PooledOutcome, SendOutcome, ServerHeaders, ServerRequest } from './serverExchange.js'
import { OutcomeKind } from './serverExchange.js'

/** Connect timeout within the region; tolerates some lost packets. */
const CONNECT_TIMEOUT_MS = 400
/** Connect timeout to another region. */
const REMOTE_CONNECT_TIMEOUT_MS = 600
/** An instance rarely has more concurrent requests at one server. */
const MAX_IDLE_CONNECTIONS_PER_SERVER = 12

/** Memory for answers that are being read, or not fetched yet; several of the largest ones fit. */
export const ANSWER_MEMORY_BYTES = 48 * 1024 * 1024

type RequestSafety = Pick<ServerRequest, 'isIdempotent' | 'mayConnectionsBeLost'>
const ANY_IDEMPOTENT: RequestSafety = { isIdempotent: true }

export class ConnectionPool {
  readonly #shared: SharedConnectionResources
  readonly #headers: ServerHeaders
  readonly #clock: Clock
  readonly #idle = new Map<string, ServerConnection[]>()
  readonly #limits = new ReuseLimits()
  /** Connections that were idle at this time get no non-idempotent requests. */
  #pausedAtMs = Number.NEGATIVE_INFINITY
  #openedCount = 0
  #isClosed = false

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
    onEnd: (outcome: PooledOutcome) => void,
  ): (kind: OutcomeKind.Abandoned | OutcomeKind.TimedOut) => void {
    const connection = this.#takeIdle(key, request) ?? this.#open(address, isRemote)
    const { hasCarriedRequest, idleSinceMs } = connection
    const idleMs = this.#clock() - idleSinceMs
    return connection.send(
      request,
      (outcome) => {
        const isLost = this.#recordOutcome(outcome, idleMs, isRemote)
        const keptForMs = this.#keep(key, connection)
        onEnd({
          ...outcome,
          connection: { ...(keptForMs > 0 ? { keptForMs } : {}), ...(isLost ? { isLost } : {}) },
        })
      },
      (isSilent) => {
        if (isSilent && hasCarriedRequest) this.#limits.recordUnreachable(this.#clock())
        this.#keep(key, connection)
      },
    )
  }

  /** Connections from before a pause are not trusted, because clocks may not have counted it. */
  handlePause(nowMs: number): void {
    this.#pausedAtMs = nowMs
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
        const isKept = this.#isReusable(connection, ANY_IDEMPOTENT, nowMs)
        if (!isKept) connection.destroy()
        return isKept
      })
      if (kept.length === 0) this.#idle.delete(key)
      else this.#idle.set(key, kept)
    }
  }

  /** Closes idle connections, and each other one after its request. */
  close(): void {
    this.#isClosed = true
    this.retain(new Set())
  }

  /** Returns whether the server had dropped the connection before the send. */
  #recordOutcome(
    { kind, isReused, answer, durationMs }: SendOutcome,
    idleMs: number,
    isRemote: boolean,
  ): boolean {
    const nowMs = this.#clock()
    if (kind === OutcomeKind.Broken && isReused && answer === undefined) {
      return this.#limits.recordBrokenReuse(idleMs, durationMs, nowMs)
    }
    // A refused connection shows that the server is gone; silence, that connections may be lost.
    const isSilent = durationMs >= connectTimeoutMs(isRemote)
    if (kind === OutcomeKind.Unreachable && isSilent) this.#limits.recordUnreachable(nowMs)
    return false
  }

  #isReusable(
    connection: ServerConnection,
    { isIdempotent, mayConnectionsBeLost }: RequestSafety,
    nowMs: number,
  ): boolean {
    if (!connection.isUsable) return false
    const { idleSinceMs, statedIdleTimeoutMs } = connection
    const { idempotentMs, nonIdempotentMs } = this.#limits.limits(
      statedIdleTimeoutMs,
      nowMs,
      mayConnectionsBeLost,
    )
    const idleMs = nowMs - idleSinceMs
    if (isIdempotent) return idleMs < idempotentMs
    return idleMs < nonIdempotentMs && idleSinceMs > this.#pausedAtMs
  }

  /** The most recently used connection is the least likely to be closed by the server. */
  #takeIdle(key: string, request: ServerRequest): ServerConnection | undefined {
    const connections = this.#idle.get(key) ?? []
    const nowMs = this.#clock()
    const index = connections.findLastIndex(
      (connection) =>
        this.#isReusable(connection, request, nowMs) &&
        !connection.mayRepeatAnswerTo(request.requestId),
    )
    return index < 0 ? undefined : connections.splice(index, 1)[0]
  }

  /** Keeps a usable connection; returns for how long it may carry non-idempotent requests. */
  #keep(key: string, connection: ServerConnection): number {
    if (this.#isClosed) connection.destroy()
    if (!connection.isUsable) return 0
    this.#addIdle(key, connection)
    return this.#limits.limits(connection.statedIdleTimeoutMs, this.#clock()).nonIdempotentMs
  }

  #addIdle(key: string, connection: ServerConnection): void {
    const connections = this.#idle.get(key) ?? []
    connections.push(connection)
    if (connections.length > MAX_IDLE_CONNECTIONS_PER_SERVER) connections.shift()?.destroy()
    this.#idle.set(key, connections)
  }

  #open(address: string, isRemote: boolean): ServerConnection {
    this.#openedCount += 1
    const timeoutMs = connectTimeoutMs(isRemote)
    return new ServerConnection(address, this.#headers, timeoutMs, this.#shared, this.#clock)
  }
}

function connectTimeoutMs(isRemote: boolean): number {
  return isRemote ? REMOTE_CONNECT_TIMEOUT_MS : CONNECT_TIMEOUT_MS
}
