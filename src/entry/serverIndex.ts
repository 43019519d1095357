/**
 * Index of the servers of a coordinator: which may be free, which hold a request, and which are
 * worth comparing for an object.
 *
 * Answers the load of a large service: comparing all servers for each request, and for each
 * queued request at each release, costs more than a small instance has once a service has
 * hundreds of servers.
 */
import { combineHashes } from '../common/hashing.js'
import type { ServerState } from './serverState.js'

/** Up to this number of servers, all are compared; it costs less than looking candidates up. */
const MAX_COMPARED_SERVERS = 16
/** Servers by hash-based preference that are compared for an object. */
const PREFERRED_SERVERS = 8
/** Free servers that are compared beside the others, so that no slot stays unused. */
const MAX_FREE_CANDIDATES = 8
/** Free servers to which the instance has a connection that are compared beside the others. */
const MAX_CONNECTED_CANDIDATES = 8
/** Objects whose preferred servers are remembered. */
const MAX_REMEMBERED_OBJECTS = 4096

/** Servers that track an object, by object. */
export class ObjectHolders {
  readonly #holders = new Map<string, Set<ServerState>>()

  add(object: string, state: ServerState): void {
    const holders = this.#holders.get(object)
    if (holders === undefined) this.#holders.set(object, new Set([state]))
    else holders.add(state)
  }

  remove(object: string, state: ServerState): void {
    const holders = this.#holders.get(object)
    holders?.delete(state)
    if (holders?.size === 0) this.#holders.delete(object)
  }

  of(object: string): Iterable<ServerState> {
    return this.#holders.get(object) ?? NO_SERVERS
  }
}

const NO_SERVERS: readonly ServerState[] = []

/** Servers of one coordinator. */
export class ServerIndex {
  readonly holders = new ObjectHolders()
  readonly #region: string
  readonly #states = new Map<string, ServerState>()
  readonly #stateByRequest = new Map<string, ServerState>()
  /** Servers with fewer requests than slots; some of them may not get requests for a time. */
  readonly #open = new Set<ServerState>()
  /** Preferred servers in this region, and in others, by object. */
  readonly #preferredLocal = new Map<string, readonly ServerState[]>()
  readonly #preferredRemote = new Map<string, readonly ServerState[]>()
  /** Candidates of the latest call, reused because each request compares some dozens of times. */
  readonly #selected: ServerState[] = []
  #selection = 0

  constructor(region: string) {
    this.#region = region
  }

  find(id: string): ServerState | undefined {
    return this.#states.get(id)
  }

  all(): IterableIterator<ServerState> {
    return this.#states.values()
  }

  add(state: ServerState): void {
    this.#states.set(state.server.id, state)
    this.#clearPreferred()
    this.refresh(state)
  }

  remove(state: ServerState): void {
    this.#states.delete(state.server.id)
    this.#open.delete(state)
    for (const object of state.trackedObjects()) this.holders.remove(object, state)
    this.#clearPreferred()
  }

  /** Must be called after the slots or the requests of a server changed. */
  refresh(state: ServerState): void {
    if (state.running.size < state.server.slots) this.#open.add(state)
    else this.#open.delete(state)
  }

  /** Records that a request runs at a server. */
  setRequest(key: string, state: ServerState): void {
    this.#stateByRequest.set(key, state)
    this.refresh(state)
  }

  /** Server at which a request runs. */
  ofRequest(key: string): ServerState | undefined {
    return this.#stateByRequest.get(key)
  }

  /** Forgets a request that has ended; returns its server. */
  takeRequest(key: string): ServerState | undefined {
    const state = this.#stateByRequest.get(key)
    this.#stateByRequest.delete(key)
    return state
  }

  hasFree(nowMs: number): boolean {
    for (const state of this.#open) if (state.freeSlots(nowMs) > 0) return true
    return false
  }

  /**
   * Servers to compare for an object: all of a small service; else those that hold the object,
   * those that its hash prefers, and some that are free. Valid until the next call.
   * @param connected servers to which the instance has a connection, the best choice first
   */
  candidates(
    object: string,
    objectHash: number,
    isLocal: boolean,
    nowMs: number,
    connected: Iterable<ServerState> = NO_SERVERS,
  ): Iterable<ServerState> {
    if (this.#states.size <= MAX_COMPARED_SERVERS) return this.#states.values()
    this.#selection += 1
    this.#selected.length = 0
    for (const state of this.holders.of(object)) this.#select(state)
    for (const state of this.#preferredOf(object, objectHash, isLocal)) this.#select(state)
    this.#selectFree(connected, MAX_CONNECTED_CANDIDATES, isLocal, nowMs)
    this.#selectFree(this.#open, MAX_FREE_CANDIDATES, isLocal, nowMs)
    return this.#selected
  }

  #selectFree(
    states: Iterable<ServerState>,
    maxCount: number,
    isLocal: boolean,
    nowMs: number,
  ): void {
    let count = 0
    for (const state of states) {
      if (this.#isLocal(state) !== isLocal || state.freeSlots(nowMs) <= 0) continue
      this.#select(state)
      count += 1
      if (count >= maxCount) break
    }
  }

  #select(state: ServerState): void {
    if (state.selection === this.#selection) return
    state.selection = this.#selection
    this.#selected.push(state)
  }

  #isLocal(state: ServerState): boolean {
    return state.server.region === this.#region
  }

  #preferredOf(object: string, objectHash: number, isLocal: boolean): readonly ServerState[] {
    if (object === '') return NO_SERVERS
    const remembered = isLocal ? this.#preferredLocal : this.#preferredRemote
    const known = remembered.get(object)
    if (known !== undefined) return known
    const preferred = [...this.#states.values()]
      .filter((state) => this.#isLocal(state) === isLocal)
      .map((state) => ({ state, preference: combineHashes(objectHash, state.hash) }))
      .sort((left, right) => left.preference - right.preference)
      .slice(0, PREFERRED_SERVERS)
      .map(({ state }) => state)
    if (remembered.size >= MAX_REMEMBERED_OBJECTS) remembered.clear()
    remembered.set(object, preferred)
    return preferred
  }

  #clearPreferred(): void {
    this.#preferredLocal.clear()
    this.#preferredRemote.clear()
  }
}
