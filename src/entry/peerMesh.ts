/** Links to other entry instances: a full mesh within a region, links on demand between regions. */
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

/** Interval of link checks, and of heartbeats on links that carry work. */
const BEAT_MS = 300
/**
 * Interval of heartbeats on an idle link. Most links of a large region are idle, and each
 * heartbeat wakes both processes.
 */
const IDLE_BEAT_MS = 900
/** Time after the last message other than a heartbeat until a link counts as idle. */
const WORK_LIFE_MS = 3000
/** Heartbeats that may be lost before a link is closed. */
const LOST_BEATS = 3
/** Extra time before a link is closed, for network latency and late checks. */
const SILENCE_MARGIN_MS = 200
/** Allows several round trips between regions. */
const CONNECT_MS = 600
/** Minimum time between connection attempts to an instance of the same region. */
const REDIAL_MS = 400
/** Minimum time between connection attempts to an instance of another region. */
const REMOTE_REDIAL_MS = 2000
/** A link check later than this means that this process was paused; no link is closed then. */
const PAUSE_MS = 600

/** Events of the mesh. */
export interface PeerMeshListener {
  /** Called with the first message of each link. */
  greeted(peer: InstanceRecord, hello: HelloMessage): void
  received(peer: string, message: PeerMessage): void
  /** Called when the link used for a peer closes. */
  lost(peer: string): void
}

export interface PeerMeshParts {
  readonly table: InstanceTable
  readonly clock: Clock
  readonly log: EntryLog
  readonly listener: PeerMeshListener
  /** Store revision up to which this instance's copy is complete. */
  readonly revision: () => number
  /** Time since the store last answered this instance itself, in milliseconds; -1 if never. */
  readonly storeAgeMs: () => number
  /** Whether this instance reads the store for its region. */
  readonly isReader: () => boolean
}

interface Connection {
  readonly link: PeerLink
  peer: string | undefined
  heardAtMs: number
  sentAtMs: number
  /** Time of the last message other than a heartbeat, in either direction. */
  workedAtMs: number
  /** Heartbeat interval that the peer announced. */
  peerBeatMs: number
  /** Whether this side has sent its hello; the accepting side waits for the peer's hello first. */
  isGreeted: boolean
}

/** Opens, monitors and closes the links of this process to its peers. */
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

  /** Listens for peers and starts the periodic link check. */
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

  /** Connects to an instance whose record is not known yet. @param address `host:port` */
  dialSeed(address: string): void {
    this.#dial(address)
  }

  /** Whether there is an open link to the peer. */
  isUp(peer: string): boolean {
    return this.#byPeer.get(peer)?.link.isOpen === true
  }

  /** Sends over the open link to the peer. Without one, connects to the peer and returns false. */
  send(peer: string, message: PeerMessage): boolean {
    const connection = this.#byPeer.get(peer)
    if (connection?.link.isOpen === true) {
      this.#write(connection, message, this.#parts.clock())
      return true
    }
    const record = this.#parts.table.find(peer)
    if (record !== undefined) this.#redial(record, this.#parts.clock())
    return false
  }

  /** Sends to all linked peers, or to those of one region. */
  broadcast(message: PeerMessage, region?: string): void {
    const nowMs = this.#parts.clock()
    for (const [peer, connection] of this.#byPeer) {
      const isMeant = region === undefined || this.#parts.table.find(peer)?.region === region
      if (isMeant) this.#write(connection, message, nowMs)
    }
  }

  #write(connection: Connection, message: PeerMessage, nowMs: number): void {
    connection.sentAtMs = nowMs
    if (message.kind !== PeerMessageKind.Beat) connection.workedAtMs = nowMs
    connection.link.send(message)
  }

  #dial(address: string): void {
    const socket = connect(hostAndPort(address))
    const timer = setTimeout(() => {
      socket.destroy(new Error('connection timed out'))
    }, CONNECT_MS)
    socket.once('connect', () => {
      clearTimeout(timer)
    })
    socket.once('close', () => {
      clearTimeout(timer)
    })
    this.#greet(this.#open(socket), this.#parts.table.self.region)
  }

  #open(socket: Socket): Connection {
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
      sentAtMs: nowMs,
      workedAtMs: nowMs,
      peerBeatMs: BEAT_MS,
      isGreeted: false,
    }
    this.#connections.add(connection)
    return connection
  }

  /** @param region only records of this region's instances are sent along */
  #greet(connection: Connection, region: string): void {
    const { table, revision } = this.#parts
    connection.isGreeted = true
    connection.link.send({
      kind: PeerMessageKind.Hello,
      record: table.self,
      known: table.others().filter((other) => other.region === region),
      revision: revision(),
    })
  }

  #received(connection: Connection, message: PeerMessage): void {
    connection.heardAtMs = this.#parts.clock()
    // Two instances that connect to each other at the same time may send on different connections.
    const sending = connection.peer === undefined ? undefined : this.#byPeer.get(connection.peer)
    if (sending !== undefined) sending.heardAtMs = connection.heardAtMs
    if (message.kind === PeerMessageKind.Beat) {
      for (const each of [connection, sending]) if (each) each.peerBeatMs = message.nextInMs
    } else connection.workedAtMs = connection.heardAtMs
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
    if (!connection.isGreeted) this.#greet(connection, record.region)
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
      const silenceMs = connection.peerBeatMs * LOST_BEATS + SILENCE_MARGIN_MS
      if (wasPaused) connection.heardAtMs = nowMs
      else if (nowMs - connection.heardAtMs > silenceMs) connection.link.close()
    }
    for (const connection of this.#byPeer.values()) this.#beat(connection, nowMs)
    const { table } = this.#parts
    for (const record of table.others()) {
      if (record.region === table.self.region && !this.isUp(record.name)) {
        this.#redial(record, nowMs)
      }
    }
  }

  /** Sends a heartbeat unless another message was sent within the interval. */
  #beat(connection: Connection, nowMs: number): void {
    const { storeAgeMs, revision } = this.#parts
    // Peers in the region start to read the store themselves unless the reader keeps reporting
    // the age of its contact.
    const isReader = this.#parts.isReader()
    const hasWork = nowMs - connection.workedAtMs < WORK_LIFE_MS
    const nextInMs = isReader || hasWork ? BEAT_MS : IDLE_BEAT_MS
    // The next check is one interval away, so a heartbeat is due half an interval early.
    const isDue = nowMs - connection.sentAtMs >= nextInMs - BEAT_MS / 2
    if (!isDue && !isReader) return
    const message = { storeAgeMs: storeAgeMs(), revision: revision(), nextInMs }
    this.#write(connection, { kind: PeerMessageKind.Beat, ...message }, nowMs)
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
