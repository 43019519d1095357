/** Which backend servers may be used: entries of the platform's store, evacuations, and doubt about both. */

/** Entry of a backend server. */
export interface BackendServer {
  /** Identifier of one start of the process. */
  readonly id: string
  readonly service: string
  /** `host:port` */
  readonly address: string
  readonly zone: string
  readonly slots: number
  readonly isDraining: boolean
  /** Time of its start in milliseconds since the epoch; tells starts under one identifier apart. */
  readonly startedAtMs: number
  /** Rest of its cold phase in milliseconds when the entry was written; 0: warm. */
  readonly coldForMs: number
}

/** A backend server with what this process knows of it. */
export interface KnownBackendServer extends BackendServer {
  /** Steady time until which the server is cold. */
  readonly coldUntilMs: number
}

/** Store revision and decoded entry; `undefined` when the entry can't be used. */
export interface ServerUpdate {
  readonly id: string
  readonly revision: number
  readonly server: BackendServer | undefined
}

/**
 * Time after contact with the store is back during which an entry that lapsed
 * meanwhile may return, in milliseconds. The platform restores live entries in about two seconds.
 */
export const LAPSED_ENTRY_GRACE_MS = 2200

interface Entry {
  revision: number
  server: KnownBackendServer | undefined
  /** Set while the entry is missing and may still return. */
  missingUntilMs: number | undefined
}

/** Aggregate over the entries of all backend servers and the evacuated zones. */
export class BackendServerRegistry {
  readonly #entries = new Map<string, Entry>()
  #evacuatedZones: ReadonlySet<string> = new Set()
  #doubtfulUntilMs = Number.NEGATIVE_INFINITY
  #generation = 0

  /** Grows with each change of what is usable. */
  get generation(): number {
    return this.#generation
  }

  /** Applies a written entry unless a later revision is known. */
  apply(update: ServerUpdate, nowMs: number): boolean {
    const known = this.#entries.get(update.id)
    if (known !== undefined && known.revision >= update.revision) return false
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
   * Applies a removal. While the store is or was just away, removals may be
   * lapsed leases of live servers, so they count only if the entry stays away.
   */
  remove(id: string, revision: number, nowMs: number): boolean {
    const entry = this.#entries.get(id)
    if (entry === undefined || entry.revision >= revision) return false
    entry.revision = revision
    if (nowMs < this.#doubtfulUntilMs && entry.server?.isDraining === false) {
      entry.missingUntilMs = this.#doubtfulUntilMs
      return false
    }
    this.#forget(entry)
    return true
  }

  /** States that the store is away, or came back just now. */
  noteStoreTrouble(nowMs: number): void {
    this.#doubtfulUntilMs = nowMs + LAPSED_ENTRY_GRACE_MS
    for (const entry of this.#entries.values()) {
      if (entry.missingUntilMs !== undefined) entry.missingUntilMs = this.#doubtfulUntilMs
    }
  }

  /** Drops missing entries whose time to return is over. */
  expire(nowMs: number): void {
    for (const entry of this.#entries.values()) {
      if (entry.missingUntilMs !== undefined && entry.missingUntilMs <= nowMs) this.#forget(entry)
    }
  }

  /** Replaces the zones whose backend servers get nothing. */
  evacuate(zones: ReadonlySet<string>): void {
    this.#evacuatedZones = zones
    this.#generation += 1
  }

  /** Finds a server that has an entry, also a draining one. */
  find(id: string): KnownBackendServer | undefined {
    return this.#entries.get(id)?.server
  }

  /** Servers that may get new requests. */
  usable(): KnownBackendServer[] {
    const usable: KnownBackendServer[] = []
    for (const { server } of this.#entries.values()) {
      if (server === undefined || server.isDraining) continue
      if (!this.#evacuatedZones.has(server.zone)) usable.push(server)
    }
    return usable
  }

  /** Tells whether the server may get a new request. */
  isUsable(id: string): boolean {
    const server = this.find(id)
    return server?.isDraining === false && !this.#evacuatedZones.has(server.zone)
  }

  #forget(entry: Entry): void {
    entry.server = undefined
    entry.missingUntilMs = undefined
    this.#generation += 1
  }
}
