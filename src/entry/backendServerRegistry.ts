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

interface RegistryEntry {
  revision: number
  server: RegisteredBackendServer | undefined
  /** Set while the entry is missing and may be written again; then the server stays usable. */
  missingUntilMs: number | undefined
}

/** Registry of all backend servers and evacuated zones. */
export class BackendServerRegistry {
  readonly #entries = new Map<string, RegistryEntry>()
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
      if (server === undefined || server.isDraining) continue
      if (!this.#evacuatedZones.has(server.zone)) usable.push(server)
    }
    return usable
  }

  /** Whether the server may get new requests. */
  isUsable(id: string): boolean {
    const server = this.find(id)
    return server?.isDraining === false && !this.#evacuatedZones.has(server.zone)
  }

  #unregister(entry: RegistryEntry): void {
    entry.server = undefined
    entry.missingUntilMs = undefined
    this.#generation += 1
  }
}
