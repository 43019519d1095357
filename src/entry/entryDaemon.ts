/** Entry instance: serves callers' requests, coordinates services, and follows the store. */
import type { Server } from 'node:http'
import type { Clock } from '../common/clock.js'
import { sleep } from '../common/clock.js'
import { BackendServerRegistry } from './backendServerRegistry.js'
import { CallerServer } from './callerServer.js'
import { ConnectionPool } from './connectionPool.js'
import { Coordination } from './coordination.js'
import type { EntryPlatform, EntrySettings } from './entryPlatform.js'
import { Departure } from './departure.js'
import { entriesFor } from './entryDirectory.js'
import type { EntryLog } from './entryLog.js'
import { EntryMetrics } from './entryMetrics.js'
import type { InstanceRecord } from './instanceRecord.js'
import { coordinatorOrder, InstanceTable } from './instanceTable.js'
import type { PeerMessage } from './peerMessages.js'
import { PeerMessageKind } from './peerMessages.js'
import { handlePeerMessage } from './peerMessageHandlers.js'
import { PeerMesh } from './peerMesh.js'
import { ProcessDelay } from './processDelay.js'
import { RequestRunner } from './requestRunner.js'
import { RosterBook, parseRoster } from './rosterBook.js'
import { ROSTER_PREFIX, RosterKeeper } from './rosterKeeper.js'
import type { RoutingConfiguration } from './routingConfiguration.js'
import { RoutingView } from './routingView.js'
import { SharedRetryBudget } from './sharedRetryBudget.js'
import { SlotClient } from './slotClient.js'
import type { SmallAnswer } from './smallAnswer.js'
import { startSmallServer } from './smallHttpServer.js'
import { StoreContact } from './storeContact.js'
import { StoreFollower } from './storeFollower.js'
import { StoreMirror } from './storeMirror.js'

/** Interval of coordination while requests are queued at this instance. */
const TICK_MS = 25
/** Interval of coordination while no request is queued; each tick wakes the process. */
const IDLE_TICK_MS = 200
const HOUSEKEEPING_MS = 500
/** Time for which a lost instance still counts towards the shares of retry budgets. */
const FORGET_LOST_MS = 30_000
/** Time after SIGTERM during which connections are accepted; callers cache directory answers. */
const TAKE_WHILE_LEAVING_MS = 4000
/** Time before the end of the grace period at which the process exits by itself. */
const END_BEFORE_KILL_MS = 350
/** Minimum duration of a shutdown, so that directories stop listing the instance before its end. */
const MIN_LEAVE_MS = 2500

/** Timeout of the last store call; shorter than the rest of the grace period. */
const LAST_CALL_MS = 150

/** Assembles, starts and stops the components of an entry instance. */
export class EntryDaemon {
  readonly #settings: EntrySettings
  readonly #platform: EntryPlatform
  readonly #clock: Clock
  readonly #log: EntryLog
  readonly #table: InstanceTable
  readonly #registry = new BackendServerRegistry()
  readonly #routing = new RoutingView()
  readonly #contact: StoreContact
  readonly #mirror: StoreMirror
  readonly #follower: StoreFollower
  readonly #keeper: RosterKeeper
  readonly #rosters = new RosterBook()
  readonly #delay = new ProcessDelay()
  readonly #mesh: PeerMesh
  readonly #coordination: Coordination
  readonly #slots: SlotClient
  readonly #pool: ConnectionPool
  readonly #callers: CallerServer
  readonly #metrics: EntryMetrics
  readonly #evacuatedZones = new Set<string>()
  readonly #smallServers: Server[] = []
  readonly #timers: NodeJS.Timeout[] = []
  #tickTimer: NodeJS.Timeout | undefined
  #departure: Departure | undefined
  #wasAway = false

  constructor(
    settings: EntrySettings,
    platform: EntryPlatform,
    clock: Clock,
    log: EntryLog,
    droppedLogLines: () => number,
  ) {
    this.#settings = settings
    this.#platform = platform
    this.#clock = clock
    this.#log = log
    this.#table = new InstanceTable(settings.record)
    this.#contact = new StoreContact(settings.applyMs, clock())
    this.#mirror = new StoreMirror((key, value, revision) => {
      this.#learn(key, value === undefined ? undefined : Buffer.from(value, 'base64'), revision)
    })
    this.#mesh = new PeerMesh({
      table: this.#table,
      clock,
      log,
      revision: () => this.#mirror.revision,
      storeAgeMs: () => this.#contact.ownAgeMs(clock()),
      isReader: () => this.#contact.isReader(clock()),
      listener: {
        greeted: (peer, hello) => {
          this.#greeted(peer, hello.revision)
        },
        received: (peer, message) => {
          this.#received(peer, message)
        },
        lost: (peer) => {
          this.#coordination.peerLost(peer, clock())
          this.#slots.peerLost(peer)
        },
      },
    })
    this.#coordination = new Coordination({
      table: this.#table,
      registry: this.#registry,
      peers: this.#mesh,
      random: Math.random,
      regionOfZone: (zone) => settings.regionOfZone.get(zone),
      service: (name) => this.#routing.current?.services.get(name),
      services: () => this.#routing.current?.services.keys() ?? [],
      targetLatencyMs: (route) => this.#routing.targetLatencyMs(route),
    })
    this.#slots = new SlotClient(this.#table, this.#mesh, this.#coordination, clock)
    this.#pool = new ConnectionPool(platform.serverHeaders, clock)
    this.#metrics = new EntryMetrics(() => ({
      ...this.#slots.figures,
      storeAgeMs: this.#contact.ageMs(clock()),
      droppedLogLines: droppedLogLines(),
      openedConnections: this.#pool.opened,
      version: this.#routing.current?.version ?? 0,
    }))
    const runner = new RequestRunner({
      clock,
      log,
      metrics: this.#metrics,
      routing: this.#routing,
      registry: this.#registry,
      table: this.#table,
      slots: this.#slots,
      pool: this.#pool,
      budget: new SharedRetryBudget(settings.retryBounds),
      headers: platform.serverHeaders,
      storeAgeMs: () => Math.round(this.#contact.ageMs(clock())),
      regionOfZone: (zone) => settings.regionOfZone.get(zone),
    })
    this.#callers = new CallerServer({
      headers: platform.callerHeaders,
      clock,
      limits: () => this.#routing.current?.limits,
      run: (request) => runner.run(request, this.#departure),
      isBehind: () => this.#delay.isBehind(clock()),
    })
    this.#follower = new StoreFollower({
      store: platform.store,
      prefixes: [...platform.prefixes, ROSTER_PREFIX],
      mirror: this.#mirror,
      contact: this.#contact,
      clock,
      log,
      place: () => this.#readingPlace(),
      mayHearFromSeeds:
        settings.seeds.length > 0 && !settings.seeds.includes(settings.record.peerAddress),
      publish: (news) => {
        this.#mesh.broadcast(news, settings.record.region)
      },
    })
    const { record } = settings
    this.#keeper = new RosterKeeper({
      store: platform.store,
      self: record,
      clock,
      log,
      isReader: () => this.#follower.isReading,
      members: () => this.#table.linked(),
      isNamedElsewhere: () => this.#rosters.namesElsewhere(record.name, RosterKeeper.keyOf(record)),
    })
  }

  /** Resolves once all servers listen; the instance is ready once it has a configuration. */
  async start(): Promise<void> {
    const { peers, callers, readiness, directory, metrics, seeds, record } = this.#settings
    await this.#mesh.start(peers.host, peers.port)
    for (const seed of seeds) if (seed !== record.peerAddress) this.#mesh.dialSeed(seed)
    void this.#follower.run()
    void this.#keeper.run()
    await this.#callers.start(callers.host, callers.port)
    this.#smallServers.push(
      await startSmallServer(readiness.host, readiness.port, (url) => this.#readiness(url)),
      await startSmallServer(directory.host, directory.port, (url, request) =>
        this.#directory(url, request.socket.remoteAddress ?? ''),
      ),
      await startSmallServer(metrics.host, metrics.port, (url) => this.#metricsPage(url)),
    )
    this.#timers.push(
      setInterval(() => {
        this.#housekeeping(this.#clock())
      }, HOUSEKEEPING_MS),
    )
    this.#tick()
    this.#log.event('started', {
      region: record.region,
      zone: record.zone,
      incarnation: record.incarnation,
    })
  }

  #tick(): void {
    const nowMs = this.#clock()
    this.#coordination.tick(nowMs)
    const pauseMs = this.#coordination.hasWaiters ? TICK_MS : IDLE_TICK_MS
    this.#tickTimer = setTimeout(() => {
      this.#delay.note(nowMs + pauseMs, this.#clock())
      this.#tick()
    }, pauseMs)
  }

  /**
   * Shuts down without dropping requests: leaves the directory, waits for open requests until
   * shortly before the end of the grace period, and then closes everything.
   */
  async stop(): Promise<void> {
    if (this.#departure !== undefined) return
    const startedAtMs = this.#clock()
    const endAtMs = startedAtMs + this.#settings.graceMs - END_BEFORE_KILL_MS
    this.#departure = new Departure(startedAtMs, endAtMs)
    this.#log.event('leaving', { openRequests: this.#callers.openRequests })
    this.#table.leaveSelf()
    const { incarnation } = this.#settings.record
    this.#mesh.broadcast({ kind: PeerMessageKind.Leaving, incarnation })
    this.#callers.startLeaving()
    for (;;) {
      await sleep(TICK_MS)
      const nowMs = this.#clock()
      const elapsedMs = nowMs - startedAtMs
      if (elapsedMs >= TAKE_WHILE_LEAVING_MS) this.#callers.stop()
      const isDone = this.#callers.openRequests === 0 && elapsedMs >= MIN_LEAVE_MS
      if (isDone || nowMs >= endAtMs) break
    }
    this.#callers.stop()
    this.#follower.stop()
    await Promise.race([this.#keeper.stop(), sleep(LAST_CALL_MS)])
    for (const timer of this.#timers) clearInterval(timer)
    clearTimeout(this.#tickTimer)
    this.#mesh.stop()
    this.#pool.close()
    for (const server of this.#smallServers) server.close()
    this.#log.event('stopped', { openRequests: this.#callers.openRequests })
  }

  /** Position of this instance in its region's order of store readers, from 0. */
  #readingPlace(): number {
    const { region, name } = this.#settings.record
    const line = coordinatorOrder('store reader', this.#table.live(region, this.#clock()))
    return Math.max(
      0,
      line.findIndex((instance) => instance.name === name),
    )
  }

  /**
   * Sends a full copy of the store to a peer whose hello states an older revision. The peer's
   * current revision can't be used: store updates received since its hello may have advanced it
   * past changes that it missed.
   */
  #greeted(peer: InstanceRecord, peerRevision: number): void {
    // A peer that has just started may be the coordinator of a service at once.
    this.#coordination.handOver(this.#clock())
    if (this.#mirror.revision <= peerRevision) return
    const isNear = peer.region === this.#settings.record.region
    if (isNear || peerRevision === 0) this.#sendAll(peer.name)
  }

  #sendAll(peer: string): void {
    this.#log.event('copySent', { peer, revision: this.#mirror.revision })
    this.#mesh.send(peer, {
      kind: PeerMessageKind.News,
      items: this.#mirror.items(),
      revision: this.#mirror.revision,
      isComplete: true,
    })
  }

  #received(peer: string, message: PeerMessage): void {
    const nowMs = this.#clock()
    handlePeerMessage(
      {
        peer,
        nowMs,
        table: this.#table,
        slots: this.#slots,
        coordination: this.#coordination,
        contact: this.#contact,
        mirror: this.#mirror,
      },
      message,
    )
  }

  #learn(key: string, value: Buffer | undefined, revision: number): void {
    const nowMs = this.#clock()
    if (key.startsWith(ROSTER_PREFIX)) {
      this.#learnRoster(key, value, revision, nowMs)
      return
    }
    const fact = this.#platform.decode(key, value, revision)
    switch (fact.kind) {
      case 'configuration':
        this.#learnConfiguration(fact.configuration, revision)
        break
      case 'server':
        this.#registry.apply(fact.update, nowMs)
        this.#log.event('server', {
          id: fact.update.id,
          revision,
          isDraining: fact.update.server?.isDraining,
          zone: fact.update.server?.zone,
          coldForMs: fact.update.server?.coldForMs,
          isReadable: fact.update.server !== undefined,
        })
        break
      case 'serverRemoved': {
        const isGone = this.#registry.remove(fact.id, revision, nowMs)
        this.#log.event('serverRemoved', { id: fact.id, revision, isGone })
        break
      }
      case 'evacuation':
        if (fact.isOn) this.#evacuatedZones.add(fact.zone)
        else this.#evacuatedZones.delete(fact.zone)
        this.#registry.evacuate(new Set(this.#evacuatedZones))
        this.#log.event('evacuation', { zone: fact.zone, isOn: fact.isOn, revision })
        break
      case 'other':
        break
    }
  }

  #learnConfiguration(configuration: RoutingConfiguration | undefined, revision: number): void {
    if (configuration === undefined) return
    const isAccepted = this.#routing.accept(configuration)
    this.#log.event('configuration', { version: configuration.version, revision, isAccepted })
    if (isAccepted) this.#callers.applyLimits(configuration.limits)
  }

  #learnRoster(key: string, value: Buffer | undefined, revision: number, nowMs: number): void {
    const records = value === undefined ? undefined : parseRoster(value)
    if (value !== undefined && records === undefined) {
      this.#log.event('unreadableRoster', { key, revision })
    }
    const { present, lapsed } = this.#rosters.apply(key, records, revision)
    for (const record of present) {
      // The hello of a linked peer is more recent than a roster in the store.
      if (!this.#mesh.isUp(record.name)) this.#table.learn(record, nowMs)
    }
    for (const name of lapsed) {
      this.#table.noteLapsed(name, nowMs)
      this.#log.event('instanceLapsed', { name, revision })
    }
  }

  #housekeeping(nowMs: number): void {
    const isAway = this.#contact.isAway(nowMs)
    if (isAway || this.#wasAway) this.#registry.noteStoreTrouble(nowMs)
    if (isAway !== this.#wasAway) {
      this.#log.event(isAway ? 'storeAway' : 'storeBack', { ageMs: this.#contact.ageMs(nowMs) })
    }
    this.#wasAway = isAway
    this.#table.forgetLost(nowMs, FORGET_LOST_MS)
    this.#pool.sweep(nowMs)
    for (const figures of this.#coordination.figures(nowMs)) {
      if (figures.arrivalsPerSecond < 0.5) continue
      this.#log.event('coordinating', {
        ...figures,
        arrivalsPerSecond: Math.round(figures.arrivalsPerSecond),
        remoteShare: Math.round(figures.remoteShare * 1000) / 1000,
      })
    }
  }

  #readiness(url: URL): SmallAnswer | undefined {
    if (url.pathname !== this.#platform.readinessPath) return undefined
    const isReady = this.#departure === undefined && this.#routing.current !== undefined
    return { status: isReady ? 200 : 503, contentType: 'text/plain', body: `${isReady}\n` }
  }

  #directory(url: URL, caller: string): SmallAnswer | undefined {
    if (url.pathname !== this.#platform.directoryPath) return undefined
    const { host, region, zone } = this.#platform.directoryQuestion(url)
    const routes = this.#routing.current?.index.ofHost(host) ?? []
    const regions = [...new Set(this.#settings.regionOfZone.values())]
    const question = { region, zone, caller, routes }
    return this.#platform.directoryAnswer(entriesFor(this.#table, question, regions, this.#clock()))
  }

  async #metricsPage(url: URL): Promise<SmallAnswer | undefined> {
    if (url.pathname !== '/metrics') return undefined
    return { status: 200, contentType: 'text/plain', body: await this.#metrics.text() }
  }
}
