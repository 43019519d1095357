/** Links to other entry instances: a full mesh inside the region, single links between regions. */
import type { Server, Socket } from 'node:net'
import { connect, createServer } from 'node:net'
import type { Clock } from '../common/clock.js'
import { hostAndPort, listen } from '../common/listen.js'
import type { EntryLog } from './entryLog.js'
import type { InstanceRecord } from './instanceRecord.js'
import { parseInstanceRecord } from './instanceRecord.js'
import type { InstanceTable } from './instanceTable.js'
import { LinkState } from './instanceTable.js'
import { PeerLink } from './peerLink.js'
import type { HelloMessage, PeerMessage } from './peerMessages.js'
import { PeerMessageKind } from './peerMessages.js'

/** Interval of signs of life and of the check of all links, in milliseconds. */
const BEAT_MS = 300
/** A link without any message for this long is closed, in ms; three lost signs of life. */
const SILENCE_MS = 1100
/** Time for a connection to be set up, in ms; several round trips between regions. */
const CONNECT_MS = 600
/** Pause between attempts to reach the same instance, in milliseconds. */
const REDIAL_MS = 400
/** Pause before an instance of another region is tried again, in milliseconds. */
const REMOTE_REDIAL_MS = 2000
/** A check that comes this much late means that this process was paused; nothing is judged then. */
const PAUSE_MS = 600

/** What the mesh tells its owner. */
export interface PeerMeshListener {
  /** First message of a link. */
  greeted(peer: InstanceRecord, hello: HelloMessage): void
  received(peer: string, message: PeerMessage): void
  lost(peer: string): void
}

/** What the mesh needs. */
export interface PeerMeshParts {
  readonly table: InstanceTable
  readonly clock: Clock
  readonly log: EntryLog
  readonly listener: PeerMeshListener
  /** Revision up to which this instance knows the store. */
  readonly revision: () => number
  /** Time since this instance itself heard from the store, in ms; -1: never. */
  readonly storeAgeMs: () => number
}

interface Connection {
  readonly link: PeerLink
  peer: string | undefined
  heardAtMs: number
}

/** Owner of all links of this process. */
export class PeerMesh {
  readonly #parts: PeerMeshParts
  readonly #server: Server
  readonly #connections = new Set<Connection>()
  readonly #byPeer = new Map<string, Connection>()
  readonly #dialedAtMs = new Map<string, number>()
  #timer: NodeJS.Timeout | undefined
  #checkedAtMs = 0

  constructor(parts: PeerMeshParts) {
    this.#parts = parts
    this.#server = createServer((socket) => {
      this.#open(socket)
    })
  }

  /** Listens for peers and starts to reach those that are known. */
  async start(host: string, port: number): Promise<void> {
    await listen(this.#server, host, port)
    this.#checkedAtMs = this.#parts.clock()
    this.#timer = setInterval(() => {
      this.#check(this.#parts.clock())
    }, BEAT_MS)
  }

  stop(): void {
    clearInterval(this.#timer)
    this.#server.close()
    for (const { link } of this.#connections) link.close()
  }

  /** Reaches an address of which no record is known yet. */
  dialSeed(address: string): void {
    this.#dial(address)
  }

  /** Whether messages to the peer are being delivered. */
  isUp(peer: string): boolean {
    return this.#byPeer.get(peer)?.link.isOpen === true
  }

  /** Sends if there is a link; otherwise tries to set one up and returns false. */
  send(peer: string, message: PeerMessage): boolean {
    const connection = this.#byPeer.get(peer)
    if (connection?.link.isOpen === true) {
      connection.link.send(message)
      return true
    }
    const record = this.#parts.table.find(peer)
    if (record !== undefined) this.#redial(record, this.#parts.clock())
    return false
  }

  /** Sends to all linked peers, or to those of one region. */
  broadcast(message: PeerMessage, region?: string): void {
    for (const [peer, { link }] of this.#byPeer) {
      const isMeant = region === undefined || this.#parts.table.find(peer)?.region === region
      if (isMeant) link.send(message)
    }
  }

  #dial(address: string): void {
    const socket = connect(hostAndPort(address))
    const timer = setTimeout(() => {
      socket.destroy(new Error('no connection in time'))
    }, CONNECT_MS)
    socket.once('connect', () => {
      clearTimeout(timer)
    })
    socket.once('close', () => {
      clearTimeout(timer)
    })
    this.#open(socket)
  }

  #open(socket: Socket): void {
    const nowMs = this.#parts.clock()
    const connection: Connection = {
      link: new PeerLink(socket, {
        received: (message) => {
          this.#received(connection, message)
        },
        closed: (reason) => {
          this.#closed(connection, reason)
        },
      }),
      peer: undefined,
      heardAtMs: nowMs,
    }
    this.#connections.add(connection)
    const { table, revision } = this.#parts
    connection.link.send({
      kind: PeerMessageKind.Hello,
      record: table.self,
      known: table.others().filter((other) => other.region === table.self.region),
      revision: revision(),
    })
  }

  #received(connection: Connection, message: PeerMessage): void {
    connection.heardAtMs = this.#parts.clock()
    // Two instances may have reached each other at once and send on different connections.
    const sending = connection.peer === undefined ? undefined : this.#byPeer.get(connection.peer)
    if (sending !== undefined) sending.heardAtMs = connection.heardAtMs
    if (message.kind === PeerMessageKind.Hello) this.#greeted(connection, message)
    else if (connection.peer !== undefined) {
      this.#parts.listener.received(connection.peer, message)
    }
  }

  #greeted(connection: Connection, hello: HelloMessage): void {
    const record = parseInstanceRecord(hello.record)
    const { table, listener, log, clock } = this.#parts
    if (record === undefined || record.name === table.self.name) {
      connection.link.close()
      return
    }
    const nowMs = clock()
    connection.peer = record.name
    const previous = this.#byPeer.get(record.name)
    this.#byPeer.set(record.name, connection)
    table.learn(record, nowMs)
    for (const other of hello.known) {
      const known = parseInstanceRecord(other)
      if (known !== undefined && table.find(known.name) === undefined) table.learn(known, nowMs)
    }
    table.noteLink(record.name, LinkState.Up, nowMs)
    if (previous === undefined) log.event('peerUp', { peer: record.name, region: record.region })
    listener.greeted(record, hello)
  }

  #closed(connection: Connection, reason: string): void {
    this.#connections.delete(connection)
    const { peer } = connection
    if (peer === undefined || this.#byPeer.get(peer) !== connection) return
    this.#byPeer.delete(peer)
    const { table, log, listener, clock } = this.#parts
    table.noteLink(peer, LinkState.Down, clock())
    log.event('peerDown', { peer, reason })
    listener.lost(peer)
  }

  #check(nowMs: number): void {
    const wasPaused = nowMs - this.#checkedAtMs > BEAT_MS + PAUSE_MS
    this.#checkedAtMs = nowMs
    for (const connection of [...this.#connections]) {
      if (wasPaused) connection.heardAtMs = nowMs
      else if (nowMs - connection.heardAtMs > SILENCE_MS) connection.link.close()
    }
    this.broadcast({
      kind: PeerMessageKind.Beat,
      storeAgeMs: this.#parts.storeAgeMs(),
      revision: this.#parts.revision(),
    })
    const { table } = this.#parts
    for (const record of table.others()) {
      if (record.region === table.self.region && !this.isUp(record.name)) {
        this.#redial(record, nowMs)
      }
    }
  }

  #redial(record: InstanceRecord, nowMs: number): void {
    const isNear = record.region === this.#parts.table.self.region
    const pauseMs = isNear ? REDIAL_MS : REMOTE_REDIAL_MS
    const dialedAtMs = this.#dialedAtMs.get(record.name) ?? Number.NEGATIVE_INFINITY
    if (nowMs - dialedAtMs < pauseMs) return
    this.#dialedAtMs.set(record.name, nowMs)
    this.#dial(record.peerAddress)
  }
}
