/** What this instance believes of backend servers, from their statements in answers. */
import type { BackendServerRegistry, RegisteredBackendServer } from './backendServerRegistry.js'
import type { EntryLog } from './entryLog.js'
import type { ServerStatement } from './serverStatement.js'

/** Kinds of statements, as they appear in log lines and metrics. */
export enum StatementKind {
  Limit = 'limit',
  Leaving = 'leaving',
  TurnedAway = 'turnedAway',
  Unreadable = 'unreadable',
  /** Not stated: the server sent bytes without end. */
  Endless = 'endless',
}

/** Start of a backend server that states that it is leaving. */
export interface LeavingServer {
  readonly id: string
  readonly startedAtMs: number
}

export interface ServerBeliefsDependencies {
  readonly registry: BackendServerRegistry
  readonly log: EntryLog
  /** Counts a statement. */
  readonly count: (kind: StatementKind) => void
  /** Tells other instances of servers that are leaving. */
  readonly publishLeaving: (servers: readonly LeavingServer[]) => void
}

/** Time until which a server wants no request of this instance. */
interface TurnedAway {
  readonly startedAtMs: number
  readonly untilMs: number
}

/** Records statements, and logs each change of what is believed. */
export class ServerBeliefs {
  readonly #dependencies: ServerBeliefsDependencies
  readonly #turnedAway = new Map<string, TurnedAway>()
  /** Last limit that each server stated to this instance. */
  readonly #limits = new Map<string, number>()
  /** Last headers of each server that could not be read. */
  readonly #unreadable = new Map<string, string>()

  constructor(dependencies: ServerBeliefsDependencies) {
    this.#dependencies = dependencies
  }

  /** Records the statement in an answer; `undefined`: the server stated nothing. */
  record(
    server: RegisteredBackendServer,
    statement: ServerStatement | undefined,
    nowMs: number,
  ): void {
    const { limitPerSecond, isLeaving, retryAfterMs, avoidForMs, unreadable } = statement ?? {}
    if (avoidForMs !== undefined) {
      // What was read is no answer, so it states nothing and takes nothing back.
      this.#recordTurnedAway(server, StatementKind.Endless, avoidForMs, nowMs)
      return
    }
    // An unreadable header may be the limit, which then stays as it was.
    if (limitPerSecond !== undefined || unreadable === undefined)
      this.#recordLimit(server.id, limitPerSecond)
    if (isLeaving === true) this.#recordLeaving(server, nowMs)
    if (retryAfterMs !== undefined)
      this.#recordTurnedAway(server, StatementKind.TurnedAway, retryAfterMs, nowMs)
    if (unreadable !== undefined) this.#recordUnreadable(server.id, unreadable)
  }

  /** Records servers that told another instance that they are leaving. */
  acceptLeaving(servers: readonly LeavingServer[], source: string, nowMs: number): void {
    for (const { id, startedAtMs } of servers) {
      if (!this.#dependencies.registry.markLeaving(id, startedAtMs, nowMs)) continue
      this.#log(id, StatementKind.Leaving, { source })
    }
  }

  /** Time for which a server still wants no request of this instance, in ms; 0 if it takes them. */
  turnedAwayForMs({ id, startedAtMs }: RegisteredBackendServer, nowMs: number): number {
    const turnedAway = this.#turnedAway.get(id)
    if (turnedAway?.startedAtMs !== startedAtMs) return 0
    return Math.max(0, turnedAway.untilMs - nowMs)
  }

  /** Forgets statements that have run out. */
  expire(nowMs: number): void {
    for (const [id, { untilMs }] of this.#turnedAway) {
      if (untilMs <= nowMs) this.#turnedAway.delete(id)
    }
    for (const known of [this.#limits, this.#unreadable]) {
      for (const id of known.keys()) {
        if (this.#dependencies.registry.find(id) === undefined) known.delete(id)
      }
    }
  }

  #recordLimit(id: string, limitPerSecond: number | undefined): void {
    if (limitPerSecond !== undefined) this.#dependencies.count(StatementKind.Limit)
    if (this.#limits.get(id) === limitPerSecond) return
    if (limitPerSecond === undefined) this.#limits.delete(id)
    else this.#limits.set(id, limitPerSecond)
    this.#log(id, StatementKind.Limit, { limitPerSecond: limitPerSecond ?? null })
  }

  #recordLeaving({ id, startedAtMs }: RegisteredBackendServer, nowMs: number): void {
    this.#dependencies.count(StatementKind.Leaving)
    if (!this.#dependencies.registry.markLeaving(id, startedAtMs, nowMs)) return
    this.#log(id, StatementKind.Leaving, {})
    this.#dependencies.publishLeaving([{ id, startedAtMs }])
  }

  #recordTurnedAway(
    server: RegisteredBackendServer,
    kind: StatementKind.TurnedAway | StatementKind.Endless,
    forMs: number,
    nowMs: number,
  ): void {
    const { id, startedAtMs } = server
    this.#dependencies.count(kind)
    const leftMs = this.turnedAwayForMs(server, nowMs)
    if (forMs <= leftMs) return
    this.#turnedAway.set(id, { startedAtMs, untilMs: nowMs + forMs })
    if (leftMs === 0) this.#log(id, kind, { forMs: Math.round(forMs) })
  }

  #recordUnreadable(id: string, headers: readonly string[]): void {
    this.#dependencies.count(StatementKind.Unreadable)
    const names = headers.join(', ')
    if (this.#unreadable.get(id) === names) return
    this.#unreadable.set(id, names)
    this.#log(id, StatementKind.Unreadable, { headers })
  }

  #log(
    id: string,
    kind: StatementKind,
    fields: Readonly<Record<string, string | number | null | readonly string[]>>,
  ): void {
    this.#dependencies.log.event('serverStated', { id, kind, source: 'answer', ...fields })
  }
}
