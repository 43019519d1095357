/** Capacity of the servers of a coordinator, of which some state a limit. */
import { SlotOutcome } from './peerMessages.js'
import type { ServerIndex } from './serverIndex.js'
import type { LimitStatement, ServerLimit } from './serverLimits.js'
import { LimitSource, ServerLimits } from './serverLimits.js'
import type { CoordinatedServer, RunningRequest, ServerState } from './serverState.js'
import type { ServerStatement } from './serverStatement.js'

/** Applies the limits that servers state to their states, and sums up what they leave. */
export class LimitedCapacity {
  readonly #servers: ServerIndex
  readonly #limits = new ServerLimits()
  #unlimitedSlots = 0
  #limitedServers: readonly ServerState[] = []
  #takenAtMs = Number.NEGATIVE_INFINITY

  constructor(servers: ServerIndex) {
    this.#servers = servers
  }

  /** Number of servers with a limit. */
  get limitedServers(): number {
    return this.#limitedServers.length
  }

  /** Limit of a server; `undefined` if it states none. */
  limitOf(serverId: string): ServerLimit | undefined {
    return this.#limits.find(serverId)
  }

  /** Records what a server stated, or did not state, in the answer to a request. */
  recordAnswer(
    serverId: string,
    stated: ServerStatement | undefined,
    use: SlotOutcome,
    running: RunningRequest | undefined,
    nowMs: number,
  ): void {
    const { limitPerSecond } = stated ?? {}
    if (limitPerSecond !== undefined) {
      const statement = { serverId, limitPerSecond, statedAtMs: nowMs }
      if (this.#limits.record(statement, LimitSource.Answer, nowMs)) this.refresh()
    } else if (stated === undefined && use === SlotOutcome.Completed && running !== undefined) {
      if (this.#limits.recordAbsence(serverId, running.startedAtMs, nowMs)) this.refresh()
    }
  }

  /** Accepts statements that servers made to other coordinators. */
  accept(statements: readonly LimitStatement[], nowMs: number): void {
    const changes = statements.filter((statement) =>
      this.#limits.record(statement, LimitSource.Coordinator, nowMs),
    )
    if (changes.length > 0) this.refresh()
  }

  /** Forgets what a server stated before it started again. */
  forget(serverId: string): void {
    this.#limits.forget(serverId)
  }

  /** Forgets statements that are too old. */
  expire(nowMs: number): void {
    if (this.#limits.expire(nowMs)) this.refresh()
  }

  /** All statements that are known. */
  statements(): LimitStatement[] {
    return this.#limits.statements()
  }

  /** Statements in answers to this region since the last call. */
  takeNewStatements(nowMs: number): LimitStatement[] {
    const statements = this.#limits.answersSince(this.#takenAtMs)
    this.#takenAtMs = nowMs
    return statements
  }

  /** Must be called after servers, or their slots, changed. */
  refresh(): void {
    const limited: ServerState[] = []
    this.#unlimitedSlots = 0
    for (const state of this.#servers.all()) {
      state.limit = this.#limits.find(state.server.id)
      if (state.limit === undefined) this.#unlimitedSlots += state.server.slots
      else limited.push(state)
    }
    this.#limitedServers = limited
  }

  /**
   * Slots of all servers that can be in use on average.
   * @param holdTimeMs mean time for which a request holds a slot
   */
  usableSlots(holdTimeMs: number): number {
    let slots = this.#unlimitedSlots
    for (const state of this.#limitedServers) slots += state.usableSlots(holdTimeMs)
    return slots
  }

  /** Slots of one server that can be in use on average. */
  usableSlotsOf({ id, slots }: CoordinatedServer, holdTimeMs: number): number {
    return this.#limits.find(id)?.usableSlots(slots, holdTimeMs) ?? slots
  }
}
