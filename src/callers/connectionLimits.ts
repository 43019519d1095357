/** Which connections of callers are closed when there are too many, or when nothing is fetched. */
import type { Socket } from 'node:net'
import { queuedBytesOf } from '../common/queuedBytes.js'

/** How much a connection is needed; those that are needed least are closed for new ones. */
export enum ConnectionUse {
  /** No request was read from it. */
  Unused,
  /** No request is open. */
  Idle,
  /** The body of its request is not complete, so the request has not run. */
  IncompleteRequest,
  /** All requests are answered, and the answers are not fetched. */
  Unfetched,
  /** Not closed for others. */
  Running,
}

/** Returns the first of the connections that are needed least, unless all are in use. */
export function leastNeeded<Connection>(
  connections: Iterable<Connection>,
  useOf: (connection: Connection) => ConnectionUse,
): Connection | undefined {
  let found: Connection | undefined
  let foundUse = ConnectionUse.Running
  for (const connection of connections) {
    const use = useOf(connection)
    if (use >= foundUse) continue
    found = connection
    foundUse = use
    if (use === ConnectionUse.Unused) break
  }
  return found
}

/** Checks within the timeout; a pause of the process counts as one of them. */
const CHECKS_PER_TIMEOUT = 6

interface FetchState {
  readonly queuedBytes: number
  readonly checks: number
}

/** Closes connections whose caller fetches nothing of what was sent. */
export class FetchTimeout {
  readonly #states = new WeakMap<Socket, FetchState>()
  readonly #timer: NodeJS.Timeout

  constructor(sockets: () => Iterable<Socket>, timeoutMs: number) {
    this.#timer = setInterval(() => {
      for (const socket of sockets()) this.#check(socket)
    }, timeoutMs / CHECKS_PER_TIMEOUT).unref()
  }

  stop(): void {
    clearInterval(this.#timer)
  }

  #check(socket: Socket): void {
    const queuedBytes = queuedBytesOf(socket)
    const state = this.#states.get(socket)
    if (queuedBytes === 0) {
      if (state !== undefined) this.#states.delete(socket)
      return
    }
    const checks = state?.queuedBytes === queuedBytes ? state.checks + 1 : 0
    this.#states.set(socket, { queuedBytes, checks })
    if (checks >= CHECKS_PER_TIMEOUT) socket.destroy()
  }
}
