/** Links to other entry instances: a full mesh within a region, links on demand between regions. */
import type { Server, Socket } from 'node:net'
import { connect, createServer } from 'node:net'
import type { Clock } from '../common/clock.js'
import { stackOf } from '../common/errors.js'
import { parseHostAndPort, listen } from '../common/listen.js'
import type { EntryLog } from './entryLog.js'
import type { InstanceRecord } from './instanceRecord.js'
import { parseInstanceRecord } from './instanceRecord.js'
import type { InstanceTable } from './instanceTable.js'
import { LinkState } from './instanceTable.js'
import { PeerLink } from './peerLink.js'
import type { HelloMessage, PeerMessage, StoreUpdateMessage } from './peerMessages.js'
import { PeerMessageKind } from './peerMessages.js'
import { packStoreUpdate } from './storeUpdatePacking.js'
import { LinkLoss } from './unconfirmedSlots.js'

/** Interval of link checks, and of heartbeats on links that carry work. */
const HEARTBEAT_INTERVAL_MS = 300
/**
 * Interval of heartbeats on an idle link. Most links of a large region are idle, and each
 * heartbeat wakes both processes.
 */
const IDLE_HEARTBEAT_INTERVAL_MS = 900
/** Time after the last message other than a heartbeat until a link counts as idle. */
const ACTIVE_LINK_PERIOD_MS = 3000
/** Heartbeats that may be lost before a link is closed. */
const MAX_LOST_HEARTBEATS = 3
/** Extra time before a link is closed, for network latency and late checks. */
const LINK_TIMEOUT_MARGIN_MS = 200
/** Allows several round trips between regions. */
const CONNECT_TIMEOUT_MS = 600
/** Minimum time between connection attempts to an instance of the same region. */
const RECONNECT_INTERVAL_MS = 400
/** Minimum time between connection attempts to an instance of another region. */
const REMOTE_RECONNECT_INTERVAL_MS = 2000
/** A link check that is this late means that this process was paused; no link is closed then. */
const PAUSE_THRESHOLD_MS = 600

/** Events of the mesh. */
export interface PeerMeshListener {
  /** Called with the first message of each link. */
  helloReceived(peer: InstanceRecord, hello: HelloMessage): void
  messageReceived(peer: string, message: PeerMessage): void
  /** Called when the link used for a peer closes. */
  linkLost(peer: string, loss: LinkLoss): void
}

export interface PeerMeshDependencies {
  readonly table: InstanceTable
  readonly clock: Clock
  readonly log: EntryLog
  readonly listener: PeerMeshListener
  /** Store revision up to which this instance's copy is complete. */
  readonly revision: () => number
  /** Revision of the latest change in this instance's copy of the store. */
  readonly latestChange: () => number
  /** Time since the store last answered this instance itself, in milliseconds; -1 if never. */
  readonly storeAgeMs: () => number
  /** Whether this instance reads the store for its region. */
  readonly isStoreReader: () => boolean
}

interface Connection {
  readonly link: PeerLink
  peer: string | undefined
  lastReceivedAtMs: number
  lastSentAtMs: number
  /** Time of the last message other than a heartbeat, in either direction. */
  lastActiveAtMs: number
  /** Heartbeat interval that the peer announced. */
  peerIntervalMs: number
  /** Whether this side has sent its hello; the accepting side waits for the peer's hello first. */
  isHelloSent: boolean
  /** Whether this side closes the connection because nothing was received for too long. */
  isSilent: boolean
  /** Whether the peer is of a release that unpacks store updates. */
  canUnpack: boolean
}

/** Opens, monitors and closes the links of this process to its peers. */
export class PeerMesh {
  readonly #dependencies: PeerMeshDependencies
  readonly #server: Server
  readonly #connections = new Set<Connection>()
  readonly #connectionByPeer = new Map<string, Connection>()
  readonly #lastConnectAtMs = new Map<string, number>()
  /** Serialized forms of store updates, which go to many peers. */
  readonly #packedLines = new WeakMap<StoreUpdateMessage, string>()
  #timer: NodeJS.Timeout | undefined
  #lastCheckAtMs = 0

  constructor(dependencies: PeerMeshDependencies) {
    this.#dependencies = dependencies
    this.#server = createServer((socket) => {
      this.#open(socket)
    })
  }

  /** Listens for peers and starts the periodic link check. */
  async start(host: string, port: number): Promise<void> {
    await listen(this.#server, host, port)
    this.#lastCheckAtMs = this.#dependencies.clock()
    this.#timer = setInterval(() => {
      this.#checkLinks(this.#dependencies.clock())
    }, HEARTBEAT_INTERVAL_MS)
  }

  stop(): void {
    clearInterval(this.#timer)
    this.#server.close()
    for (const { link } of this.#connections) link.close()
  }

  /** Connects to an instance whose record is not known yet. @param address `host:port` */
  connectToSeed(address: string): void {
    this.#connect(address, 0)
  }

  /** Whether there is an open link to the peer. */
  isUp(peer: string): boolean {
    return this.#connectionByPeer.get(peer)?.link.isOpen === true
  }

  /** Sends over the open link to the peer. Without one, connects to the peer and returns false. */
  send(peer: string, message: PeerMessage): boolean {
    const connection = this.#connectionByPeer.get(peer)
    if (connection?.link.isOpen === true) {
      this.#write(connection, message, this.#dependencies.clock())
      return true
    }
    const record = this.#dependencies.table.find(peer)
    if (record !== undefined) this.#reconnect(record, this.#dependencies.clock())
    return false
  }

  /** Sends to all linked peers, or to those of one region. */
  broadcast(message: PeerMessage, region?: string): void {
    const nowMs = this.#dependencies.clock()
    for (const [peer, connection] of this.#connectionByPeer) {
      const isRecipient =
        region === undefined || this.#dependencies.table.find(peer)?.region === region
      if (isRecipient) this.#write(connection, message, nowMs)
    }
  }

  #write(connection: Connection, message: PeerMessage, nowMs: number): void {
    connection.lastSentAtMs = nowMs
    if (message.kind !== PeerMessageKind.Heartbeat) connection.lastActiveAtMs = nowMs
    if (message.kind === PeerMessageKind.StoreUpdate && connection.canUnpack) {
      connection.link.sendLine(this.#packedLine(message))
    } else connection.link.send(message)
  }

  #packedLine(update: StoreUpdateMessage): string {
    const existing = this.#packedLines.get(update)
    if (existing !== undefined) return existing
    const line = JSON.stringify(packStoreUpdate(update))
    this.#packedLines.set(update, line)
    return line
  }

  /** @param peerKnownCount number of instances that the peer is assumed to know */
  #connect(address: string, peerKnownCount: number): void {
    const socket = connect(parseHostAndPort(address))
    const timer = setTimeout(() => {
      socket.destroy(new Error('connection timed out'))
    }, CONNECT_TIMEOUT_MS)
    socket.once('connect', () => {
      clearTimeout(timer)
    })
    socket.once('close', () => {
      clearTimeout(timer)
    })
    this.#sendHello(this.#open(socket), this.#dependencies.table.self.region, peerKnownCount)
  }

  #open(socket: Socket): Connection {
    const nowMs = this.#dependencies.clock()
    const connection: Connection = {
      link: new PeerLink(socket, {
        received: (message) => {
          this.#receive(connection, message)
        },
        closed: (reason) => {
          this.#handleClose(connection, reason)
        },
      }),
      peer: undefined,
      lastReceivedAtMs: nowMs,
      lastSentAtMs: nowMs,
      lastActiveAtMs: nowMs,
      peerIntervalMs: HEARTBEAT_INTERVAL_MS,
      isHelloSent: false,
      isSilent: false,
      canUnpack: false,
    }
    this.#connections.add(connection)
    return connection
  }

  /**
   * Records of all instances in each greeting would be n³ records when a region of n starts.
   * @param region only records of this region's instances are sent along
   * @param peerKnownCount number of instances of the region that the peer knows already
   */
  #sendHello(connection: Connection, region: string, peerKnownCount = 0): void {
    const { table, revision, latestChange } = this.#dependencies
    connection.isHelloSent = true
    const others = table.confirmedOthers()
    const known = others.filter((other) => other.region === region)
    connection.link.send({
      kind: PeerMessageKind.Hello,
      record: table.self,
      known: known.length > peerKnownCount ? known : [],
      knownCount: others.filter((other) => other.region === table.self.region).length,
      revision: revision(),
      latestChange: latestChange(),
    })
  }

  /** A message that can't be handled must not end more than its link. */
  #receive(connection: Connection, message: PeerMessage): void {
    try {
      this.#handleMessage(connection, message)
    } catch (error) {
      this.#dependencies.log.event('peerMessageFailed', {
        peer: connection.peer,
        kind: message.kind,
        error: stackOf(error),
      })
      connection.link.close()
    }
  }

  #handleMessage(connection: Connection, message: PeerMessage): void {
    connection.lastReceivedAtMs = this.#dependencies.clock()
    // Two instances that connect to each other at the same time may send on different connections.
    const outgoing =
      connection.peer === undefined ? undefined : this.#connectionByPeer.get(connection.peer)
    if (outgoing !== undefined) outgoing.lastReceivedAtMs = connection.lastReceivedAtMs
    if (message.kind === PeerMessageKind.Heartbeat) {
      for (const each of [connection, outgoing]) if (each) each.peerIntervalMs = message.nextInMs
    } else connection.lastActiveAtMs = connection.lastReceivedAtMs
    if (message.kind === PeerMessageKind.Hello) this.#handleHello(connection, message)
    else if (connection.peer !== undefined) {
      this.#dependencies.listener.messageReceived(connection.peer, message)
    }
  }

  #handleHello(connection: Connection, hello: HelloMessage): void {
    const record = parseInstanceRecord(hello.record)
    const { table, listener, log, clock } = this.#dependencies
    if (record === undefined || record.name === table.self.name) {
      connection.link.close()
      return
    }
    const nowMs = clock()
    if (!connection.isHelloSent) this.#sendHello(connection, record.region, hello.knownCount)
    connection.peer = record.name
    connection.canUnpack = hello.latestChange !== undefined
    const previous = this.#connectionByPeer.get(record.name)
    this.#connectionByPeer.set(record.name, connection)
    table.register(record, nowMs)
    for (const other of hello.known) {
      const member = parseInstanceRecord(other)
      if (member !== undefined) table.registerNamed(member, nowMs)
    }
    table.setLinkState(record.name, LinkState.Up, nowMs)
    if (previous === undefined) log.event('peerUp', { peer: record.name, region: record.region })
    listener.helloReceived(record, hello)
  }

  #handleClose(connection: Connection, reason: string): void {
    this.#connections.delete(connection)
    const { peer } = connection
    if (peer === undefined || this.#connectionByPeer.get(peer) !== connection) return
    this.#connectionByPeer.delete(peer)
    const { table, log, listener, clock } = this.#dependencies
    table.setLinkState(peer, LinkState.Down, clock())
    log.event('peerDown', { peer, reason })
    listener.linkLost(peer, connection.isSilent ? LinkLoss.Silent : LinkLoss.Closed)
  }

  #checkLinks(nowMs: number): void {
    const wasPaused = nowMs - this.#lastCheckAtMs > HEARTBEAT_INTERVAL_MS + PAUSE_THRESHOLD_MS
    this.#lastCheckAtMs = nowMs
    for (const connection of [...this.#connections]) {
      const timeoutMs = connection.peerIntervalMs * MAX_LOST_HEARTBEATS + LINK_TIMEOUT_MARGIN_MS
      if (wasPaused) connection.lastReceivedAtMs = nowMs
      else if (nowMs - connection.lastReceivedAtMs > timeoutMs) {
        connection.isSilent = true
        connection.link.close()
      }
    }
    for (const connection of this.#connectionByPeer.values()) this.#sendHeartbeat(connection, nowMs)
    const { table } = this.#dependencies
    for (const record of table.others()) {
      if (record.region === table.self.region && !this.isUp(record.name)) {
        this.#reconnect(record, nowMs)
      }
    }
  }

  /** Sends a heartbeat unless another message was just sent; the store reader always sends one. */
  #sendHeartbeat(connection: Connection, nowMs: number): void {
    const { storeAgeMs, revision, latestChange } = this.#dependencies
    // Peers in the region start to read the store themselves unless the reader keeps reporting
    // the age of its contact.
    const isReader = this.#dependencies.isStoreReader()
    const isActive = nowMs - connection.lastActiveAtMs < ACTIVE_LINK_PERIOD_MS
    const nextInMs = isReader || isActive ? HEARTBEAT_INTERVAL_MS : IDLE_HEARTBEAT_INTERVAL_MS
    // The next check is one interval away, so a heartbeat is due half an interval early.
    const isDue = nowMs - connection.lastSentAtMs >= nextInMs - HEARTBEAT_INTERVAL_MS / 2
    if (!isDue && !isReader) return
    const message = {
      storeAgeMs: storeAgeMs(),
      revision: revision(),
      latestChange: latestChange(),
      nextInMs,
    }
    this.#write(connection, { kind: PeerMessageKind.Heartbeat, ...message }, nowMs)
  }

  #reconnect(record: InstanceRecord, nowMs: number): void {
    const isSameRegion = record.region === this.#dependencies.table.self.region
    const intervalMs = isSameRegion ? RECONNECT_INTERVAL_MS : REMOTE_RECONNECT_INTERVAL_MS
    const lastConnectAtMs = this.#lastConnectAtMs.get(record.name) ?? Number.NEGATIVE_INFINITY
    if (nowMs - lastConnectAtMs < intervalMs) return
    this.#lastConnectAtMs.set(record.name, nowMs)
    // An instance that is known from the roster or a seed can learn of others the same way.
    this.#connect(record.peerAddress, Number.POSITIVE_INFINITY)
  }
}
