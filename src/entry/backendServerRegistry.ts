/** Usable backend servers, from the entries in the platform's store and the evacuated zones. */

/** Store entry of a backend server. */
export interface BackendServer {
  /** Identifier of the server process. */
  readonly id: string
  readonly service: string
  /** `host:port` */
  readonly address: string
  readonly zone: string
  readonly slots: number
  readonly isDraining: boolean
  /** Start time in milliseconds since the epoch; distinguishes restarts under one identifier. */
  readonly startedAtMs: number
  /** Remaining cold phase in milliseconds when the entry was written; 0: warm. */
  readonly coldForMs: number
}

/** A registered backend server. */
export interface RegisteredBackendServer extends BackendServer {
  /** Monotonic time until which the server is cold. */
  readonly coldUntilMs: number
}

/** A written entry with its store revision; `server` is `undefined` if it can't be decoded. */
export interface ServerUpdate {
  readonly id: string
  readonly revision: number
  readonly server: BackendServer | undefined
}

/**
 * Time after the end of a store outage in which an expired entry may be written again, in
 * milliseconds. The platform restores the entries of live servers within about two seconds.
 */
export const EXPIRED_ENTRY_GRACE_MS = 2200

/**
 * Time for which a server is believed to be leaving after it stated so, in ms; an entry without a
 * start time does not tell a restarted server from the one that left.
 */
const LEAVING_TTL_MS = 600_000

interface LeavingMark {
  readonly id: string
  readonly startedAtMs: number
  readonly untilMs: number
}

interface RegistryEntry {
  revision: number
  server: RegisteredBackendServer | undefined
  /** Set while the entry is missing and may be written again; then the server stays usable. */
  missingUntilMs: number | undefined
}

/** Registry of all backend servers and evacuated zones. */
export class BackendServerRegistry {
  readonly #entries = new Map<string, RegistryEntry>()
  /**
   * Servers that stated in an answer that they are leaving, by identifier and start; no entry of the
   * store revokes it.
   */
  readonly #leavingMarks = new Map<string, LeavingMark>()
  #evacuatedZones: ReadonlySet<string> = new Set()
  #removalsDeferredUntilMs = Number.NEGATIVE_INFINITY
  #generation = 0

  /** Incremented with each change of the usable servers. */
  get generation(): number {
    return this.#generation
  }

  /** Applies a written entry; returns false if a later revision was applied before. */
  apply(update: ServerUpdate, nowMs: number): boolean {
    const existing = this.#entries.get(update.id)
    if (existing !== undefined && existing.revision >= update.revision) return false
    const server = update.server
    this.#entries.set(update.id, {
      revision: update.revision,
      server:
        server === undefined ? undefined : { ...server, coldUntilMs: nowMs + server.coldForMs },
      missingUntilMs: undefined,
    })
    this.#generation += 1
    return true
  }

  /**
   * Applies a removal. During and shortly after a store outage, leases of live servers may
   * expire; then a server is removed only if its entry is not written again.
   * @returns whether the server was removed at once
   */
  remove(id: string, revision: number, nowMs: number): boolean {
    const entry = this.#entries.get(id)
    if (entry === undefined || entry.revision >= revision) return false
    entry.revision = revision
    if (nowMs < this.#removalsDeferredUntilMs && entry.server?.isDraining === false) {
      entry.missingUntilMs = this.#removalsDeferredUntilMs
      return false
    }
    this.#unregister(entry)
    return true
  }

  /**
   * Records that the store is or was just unreachable; defers removals for the grace period.
   * @param returnedAtMs latest time at which the store can have returned
   */
  deferRemovals(returnedAtMs: number): void {
    this.#removalsDeferredUntilMs = returnedAtMs + EXPIRED_ENTRY_GRACE_MS
    for (const entry of this.#entries.values()) {
      if (entry.missingUntilMs !== undefined) entry.missingUntilMs = this.#removalsDeferredUntilMs
    }
  }

  /** Removes servers whose entries were not written again in time. */
  removeMissing(nowMs: number): void {
    for (const entry of this.#entries.values()) {
      if (entry.missingUntilMs !== undefined && entry.missingUntilMs <= nowMs)
        this.#unregister(entry)
    }
  }

  /**
   * Records that a server stated that it is leaving.
   * @param startedAtMs start of the server process; another start under the identifier is not meant
   * @returns whether that was not known
   */
  markLeaving(id: string, startedAtMs: number, nowMs: number): boolean {
    const key = leavingKey(id, startedAtMs)
    if (this.#leavingMarks.has(key)) return false
    this.#leavingMarks.set(key, { id, startedAtMs, untilMs: nowMs + LEAVING_TTL_MS })
    this.#generation += 1
    return true
  }

  /** Servers that stated that they are leaving. */
  leavingServers(): { readonly id: string; readonly startedAtMs: number }[] {
    return [...this.#leavingMarks.values()].map(({ id, startedAtMs }) => ({ id, startedAtMs }))
  }

  /** Forgets statements that are too old. */
  expireLeavingMarks(nowMs: number): void {
    for (const [key, { untilMs }] of this.#leavingMarks) {
      if (untilMs > nowMs) continue
      this.#leavingMarks.delete(key)
      this.#generation += 1
    }
  }

  /** Replaces the zones whose backend servers get no new requests. */
  setEvacuatedZones(zones: ReadonlySet<string>): void {
    this.#evacuatedZones = zones
    this.#generation += 1
  }

  /** Finds a registered server, including draining ones. */
  find(id: string): RegisteredBackendServer | undefined {
    return this.#entries.get(id)?.server
  }

  /** Servers that may get new requests. */
  usable(): RegisteredBackendServer[] {
    const usable: RegisteredBackendServer[] = []
    for (const { server } of this.#entries.values()) {
      if (server === undefined || this.#isLeaving(server)) continue
      if (!this.#evacuatedZones.has(server.zone)) usable.push(server)
    }
    return usable
  }

  /** Whether the server may get new requests. */
  isUsable(id: string): boolean {
    const server = this.find(id)
    if (server === undefined || this.#isLeaving(server)) return false
    return !this.#evacuatedZones.has(server.zone)
  }

  #isLeaving({ id, isDraining, startedAtMs }: BackendServer): boolean {
    return isDraining || this.#leavingMarks.has(leavingKey(id, startedAtMs))
  }

  #unregister(entry: RegistryEntry): void {
    entry.server = undefined
    entry.missingUntilMs = undefined
    this.#generation += 1
  }
}

function leavingKey(id: string, startedAtMs: number): string {
  return `${id}#${startedAtMs}`
}
