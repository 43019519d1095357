/** Entry instance: serves callers' requests, coordinates services, and follows the store. */
import type { Server } from 'node:http'
import { ByteBudget } from '../common/byteBudget.js'
import type { Clock } from '../common/clock.js'
import { sleep, systemClock } from '../common/clock.js'
import { stackOf } from '../common/errors.js'
import { findUnsendableCharacter } from '../common/fieldValue.js'
import { BackendServerRegistry, EXPIRED_ENTRY_GRACE_MS } from './backendServerRegistry.js'
import { FailureKind } from './callerRequest.js'
import { CallerServer } from './callerServer.js'
import { ANSWER_MEMORY_BYTES, ConnectionPool } from './connectionPool.js'
import { Coordination } from './coordination.js'
import type { EntryPlatform, EntrySettings } from './entryPlatform.js'
import { Shutdown } from './shutdown.js'
import { selectEntryAddresses } from './entryDirectory.js'
import type { EntryLog } from './entryLog.js'
import { EntryMetrics } from './entryMetrics.js'
import type { InstanceRecord } from './instanceRecord.js'
import { InstanceTable, storeReaderOrder } from './instanceTable.js'
import type { HelloMessage, PeerMessage } from './peerMessages.js'
import { PeerMessageKind } from './peerMessages.js'
import { handlePeerMessage } from './peerMessageHandlers.js'
import { PeerMesh } from './peerMesh.js'
import { EventLoopActivity, readEventLoopCounters } from './eventLoopActivity.js'
import { EventLoopDelay } from './eventLoopDelay.js'
import { PauseDetector } from './pauseDetector.js'
import { RequestRunner } from './requestRunner.js'
import { RosterIndex, isOutdated, parseRoster, rosterOrder } from './rosterIndex.js'
import { ROSTER_PREFIX, RosterWriter } from './rosterWriter.js'
import type { RoutingConfiguration } from './routingConfiguration.js'
import { RoutingView } from './routingView.js'
import { ServerBeliefs } from './serverBeliefs.js'
import { SharedRetryBudget } from './sharedRetryBudget.js'
import { SlotClient } from './slotClient.js'
import { createTenantQuotas, quotaLogFields } from './quotaWiring.js'
import type { TenantQuotas } from '../quotas/tenantQuotas.js'
import type { SimpleAnswer } from './simpleAnswer.js'
import { startSimpleServer } from './simpleHttpServer.js'
import { StoreCatchUp } from './storeCatchUp.js'
import { StoreContact } from './storeContact.js'
import { StoreFollower } from './storeFollower.js'
import { StoreMirror } from './storeMirror.js'
import type { StoreRevision } from './storeRevision.js'
import { counterOf, eraOf, revisionFields } from './storeRevision.js'

/** Interval of coordination while requests are queued at this instance. */
const TICK_INTERVAL_MS = 25
/** Interval of coordination while no request is queued; each tick wakes the process. */
const IDLE_TICK_INTERVAL_MS = 200
const HOUSEKEEPING_INTERVAL_MS = 500
/** Utilization of the event loop from which it is logged. */
const LOGGED_UTILIZATION = 0.8
/** Time for which a lost instance still counts when retry budgets are divided. */
const LOST_INSTANCE_RETENTION_MS = 30_000
/** Time after SIGTERM during which connections are accepted; callers cache directory answers. */
const ACCEPT_WHILE_LEAVING_MS = 4000
/** Time before the end of the grace period at which the process exits by itself. */
const EXIT_BEFORE_KILL_MS = 350
/** Minimum duration of a shutdown, so that directories stop listing the instance before its end. */
const MIN_SHUTDOWN_MS = 2500

/**
 * Time after a restore of the store until an item that is older than what was known is believed, in
 * ms. By then the entry of a server that has ended is removed, after three intervals of silence.
 */
const OLDER_ITEM_REWRITE_MS = 10_000

/** Timeout of the last store call; shorter than the rest of the grace period. */
const LAST_STORE_CALL_TIMEOUT_MS = 150

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
  readonly #catchUp = new StoreCatchUp()
  readonly #follower: StoreFollower
  readonly #rosterWriter: RosterWriter
  readonly #rosters = new RosterIndex()
  readonly #eventLoopDelay = new EventLoopDelay()
  readonly #eventLoopActivity: EventLoopActivity
  readonly #pauses: PauseDetector
  readonly #mesh: PeerMesh
  readonly #coordination: Coordination
  readonly #slots: SlotClient
  readonly #quotas: TenantQuotas
  readonly #beliefs: ServerBeliefs
  readonly #pool: ConnectionPool
  readonly #bodyBudget: ByteBudget
  /** Memory for answers that are being read, or that callers have not fetched. */
  readonly #answerBudget = new ByteBudget(ANSWER_MEMORY_BYTES)
  readonly #callers: CallerServer
  readonly #metrics: EntryMetrics
  /** All regions of the deployment. */
  readonly #regions: readonly string[]
  readonly #evacuatedZones = new Set<string>()
  readonly #simpleServers: Server[] = []
  readonly #timers: NodeJS.Timeout[] = []
  #tickTimer: NodeJS.Timeout | undefined
  #shutdown: Shutdown | undefined
  #stopped: Promise<void> | undefined
  #wasStoreUnreachable = false
  #storeRestoredAtMs = Number.NEGATIVE_INFINITY

  constructor(
    settings: EntrySettings,
    platform: EntryPlatform,
    clock: Clock,
    log: EntryLog,
    droppedLogLines: () => number,
  ) {
    this.#settings = settings
    this.#regions = [...new Set(settings.regionOfZone.values())]
    this.#platform = platform
    this.#clock = clock
    this.#log = log
    this.#table = new InstanceTable(settings.record)
    this.#contact = new StoreContact(settings.applyMs, clock())
    this.#pauses = new PauseDetector(clock(), systemClock())
    this.#eventLoopActivity = new EventLoopActivity(readEventLoopCounters(), clock())
    this.#mirror = new StoreMirror(
      (key, value, revision) => {
        const bytes = value === undefined ? undefined : Buffer.from(value, 'base64')
        this.#applyItem(key, bytes, revision)
      },
      {
        writers: {
          contentOrder: (key, value) => {
            const bytes = Buffer.from(value, 'base64')
            return key.startsWith(ROSTER_PREFIX)
              ? rosterOrder(bytes)
              : platform.contentOrder(key, bytes)
          },
          rewriteMs: (key, isMissing) =>
            isMissing || key.startsWith(ROSTER_PREFIX)
              ? EXPIRED_ENTRY_GRACE_MS
              : OLDER_ITEM_REWRITE_MS,
        },
        onRestored: (nowMs) => {
          this.#storeRestoredAtMs = nowMs
          this.#registry.deferRemovals(nowMs)
        },
      },
    )
    this.#mesh = new PeerMesh({
      table: this.#table,
      clock,
      log,
      revision: () => this.#mirror.revision,
      latestChange: () => this.#mirror.latestChange,
      storeAgeMs: () => this.#contact.ownAgeMs(clock()),
      isStoreReader: () => this.#contact.isReader(clock()),
      listener: {
        helloReceived: (peer, hello) => {
          this.#handleHello(peer, hello)
        },
        messageReceived: (peer, message) => {
          this.#handleMessage(peer, message)
        },
        linkLost: (peer, loss) => {
          this.#coordination.handlePeerLoss(peer, loss, clock())
          this.#slots.handlePeerLoss(peer)
          this.#quotas.handlePeerLoss(peer, clock())
          this.#catchUp.removePeer(peer)
        },
      },
    })
    this.#coordination = new Coordination({
      table: this.#table,
      registry: this.#registry,
      peers: this.#mesh,
      random: Math.random,
      regionOfZone: (zone) => settings.regionOfZone.get(zone),
      serviceSettings: (name) => this.#routing.current?.services.get(name),
      serviceNames: () => this.#routing.current?.services.keys() ?? [],
      targetLatencyMs: (route) => this.#routing.targetLatencyMs(route),
      hasTenants: () => this.#routing.current?.tenants !== undefined,
    })
    this.#slots = new SlotClient(this.#table, this.#mesh, this.#coordination, clock)
    this.#quotas = createTenantQuotas(
      {
        table: this.#table,
        routing: this.#routing,
        peers: this.#mesh,
        regions: this.#regions,
        slack: settings.quotaSlack,
      },
      clock(),
    )
    this.#pool = new ConnectionPool(platform.serverHeaders, clock, this.#answerBudget)
    this.#bodyBudget = new ByteBudget(settings.requestBodyBytes)
    this.#metrics = new EntryMetrics(
      () => ({
        ...this.#slots.stats,
        storeAgeMs: this.#contact.ageMs(clock()),
        droppedLogLines: droppedLogLines(),
        openedConnections: this.#pool.openedCount,
        version: this.#routing.current?.version ?? 0,
        bufferedBodyBytes: this.#bodyBudget.usedBytes,
        acceptedConnections: this.#callers.acceptedConnections,
        eventLoopTurns: readEventLoopCounters().turns,
        restrictedRoutes: this.#routing.restrictedRoutes.length,
      }),
      () => this.#quotas.stats(clock()),
    )
    this.#beliefs = new ServerBeliefs({
      registry: this.#registry,
      log,
      count: (kind) => {
        this.#metrics.stated(kind)
      },
      publishLeaving: (servers) => {
        this.#mesh.broadcast({ kind: PeerMessageKind.ServersLeaving, servers })
      },
    })
    const runner = new RequestRunner({
      clock,
      log,
      metrics: this.#metrics,
      routing: this.#routing,
      registry: this.#registry,
      beliefs: this.#beliefs,
      table: this.#table,
      slots: this.#slots,
      pool: this.#pool,
      budget: new SharedRetryBudget(settings.retryBounds),
      headers: platform.serverHeaders,
      credentials: platform.credentialHeaders,
      quotas: this.#quotas,
      storeAgeMs: () => Math.round(this.#contact.ageMs(clock())),
      regionOfZone: (zone) => settings.regionOfZone.get(zone),
    })
    this.#callers = new CallerServer({
      headers: platform.callerHeaders,
      clock,
      limits: () => this.#routing.current?.limits,
      bodyBudget: this.#bodyBudget,
      answerBudget: this.#answerBudget,
      run: (request) => runner.run(request, this.#shutdown),
      onError: (requestId, error) => {
        this.#metrics.failed(FailureKind.AnswerLost)
        log.decision(requestId, 'requestError', { error: stackOf(error) })
      },
      isEventLoopDelayed: () => this.#eventLoopDelay.isDelayed(clock()),
      bounds: settings.callerBounds?.callers,
    })
    this.#follower = new StoreFollower({
      store: platform.store,
      prefixes: [...platform.prefixes, ROSTER_PREFIX],
      mirror: this.#mirror,
      contact: this.#contact,
      clock,
      log,
      readerPosition: () => this.#storeReaderPosition(),
      hasSeeds: settings.seeds.length > 0 && !settings.seeds.includes(settings.record.peerAddress),
      publish: (storeUpdate) => {
        this.#mesh.broadcast(storeUpdate, settings.record.region)
      },
    })
    const { record } = settings
    this.#rosterWriter = new RosterWriter({
      store: platform.store,
      self: record,
      clock,
      log,
      storeEra: () => eraOf(this.#mirror.revision),
      isReader: () => this.#follower.isReading,
      onAnswer: () => {
        this.#contact.recordAnswer(clock())
      },
      members: () => this.#table.rosterInstances(clock()),
      isListedElsewhere: () =>
        this.#rosters.isListedElsewhere(record.name, RosterWriter.keyOf(record)),
    })
  }

  /** Resolves once all servers listen; the instance is ready once it has a configuration. */
  async start(): Promise<void> {
    const { peers, callers, readiness, directory, metrics, seeds, record, callerBounds } =
      this.#settings
    await this.#mesh.start(peers.host, peers.port)
    for (const seed of seeds) if (seed !== record.peerAddress) this.#mesh.connectToSeed(seed)
    void this.#follower.run()
    void this.#rosterWriter.run()
    await this.#callers.start(callers.host, callers.port)
    const onError = (target: string, error: unknown): void => {
      this.#log.event('requestError', { target, error: stackOf(error) })
    }
    this.#simpleServers.push(
      await startSimpleServer({
        ...readiness,
        onError,
        bounds: callerBounds?.readiness,
        handle: (url) => this.#readiness(url),
      }),
      await startSimpleServer({
        ...directory,
        onError,
        bounds: callerBounds?.directory,
        handle: (url, request) => this.#directory(url, request.socket.remoteAddress ?? ''),
      }),
      await startSimpleServer({
        ...metrics,
        onError,
        bounds: callerBounds?.metrics,
        handle: (url) => this.#metricsPage(url),
      }),
    )
    this.#timers.push(
      setInterval(() => {
        this.#housekeeping(this.#clock())
      }, HOUSEKEEPING_INTERVAL_MS),
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
    this.#checkPause(nowMs)
    this.#coordination.tick(nowMs)
    this.#quotas.tick(nowMs)
    this.#slots.refuseUnsent(nowMs)
    this.#requestMissingChanges(nowMs)
    const hasWaiters = this.#coordination.hasWaiters || this.#quotas.hasWaiters
    const intervalMs = hasWaiters ? TICK_INTERVAL_MS : IDLE_TICK_INTERVAL_MS
    this.#eventLoopDelay.expectTick(nowMs + intervalMs)
    this.#tickTimer = setTimeout(() => {
      this.#eventLoopDelay.recordTick(this.#clock())
      this.#tick()
    }, intervalMs)
  }

  /**
   * Gives up permissions that may have run out while the process was paused. Called before
   * messages as well, because they can be read before a timer fires.
   */
  #checkPause(nowMs: number): void {
    const pausedMs = this.#pauses.observe(nowMs, systemClock())
    if (pausedMs === 0) return
    this.#log.event('paused', { pausedMs: Math.round(pausedMs) })
    this.#coordination.handlePause(nowMs)
    this.#pool.handlePause(nowMs)
    this.#slots.renewPending()
  }

  /**
   * Shuts down without dropping requests: leaves the directory, waits for open requests until
   * shortly before the end of the grace period, and then closes everything. Further calls wait for
   * the same shutdown, because the program exits once it is done.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop()
    return this.#stopped
  }

  async #stop(): Promise<void> {
    const startedAtMs = this.#clock()
    const endAtMs = startedAtMs + this.#settings.graceMs - EXIT_BEFORE_KILL_MS
    this.#shutdown = new Shutdown(startedAtMs, endAtMs)
    this.#log.event('leaving', { openRequests: this.#callers.openRequests })
    this.#table.markSelfLeaving()
    const { incarnation } = this.#settings.record
    this.#mesh.broadcast({ kind: PeerMessageKind.Leaving, incarnation })
    this.#callers.startLeaving()
    for (;;) {
      await sleep(TICK_INTERVAL_MS)
      const nowMs = this.#clock()
      const elapsedMs = nowMs - startedAtMs
      if (elapsedMs >= ACCEPT_WHILE_LEAVING_MS) this.#callers.stop(nowMs)
      const isDone = !this.#hasOpenAnswers(nowMs) && elapsedMs >= MIN_SHUTDOWN_MS
      if (isDone || nowMs >= endAtMs) break
    }
    this.#callers.stop(this.#clock())
    this.#follower.stop()
    await Promise.race([this.#rosterWriter.stop(), sleep(LAST_STORE_CALL_TIMEOUT_MS)])
    // Requests that were under way when the listener closed were read since.
    while (this.#hasOpenAnswers(this.#clock()) && this.#clock() < endAtMs) {
      await sleep(TICK_INTERVAL_MS)
    }
    for (const timer of this.#timers) clearInterval(timer)
    clearTimeout(this.#tickTimer)
    this.#mesh.stop()
    this.#pool.close()
    for (const server of this.#simpleServers) server.close()
    this.#log.event('stopped', { openRequests: this.#callers.openRequests })
  }

  /** Whether a caller may still wait for an answer, or for the rest of one. */
  #hasOpenAnswers(nowMs: number): boolean {
    return this.#callers.openRequests > 0 || this.#callers.deliveringConnections(nowMs) > 0
  }

  /** Position of this instance in its region's order of store readers, from 0. */
  #storeReaderPosition(): number {
    const { region, name } = this.#settings.record
    const order = storeReaderOrder(this.#table.liveInstances(region, this.#clock()))
    return Math.max(
      0,
      order.findIndex((instance) => instance.name === name),
    )
  }

  #handleHello(peer: InstanceRecord, hello: HelloMessage): void {
    const nowMs = this.#clock()
    this.#checkPause(nowMs)
    this.#coordination.handlePeerUp(peer, nowMs)
    this.#slots.handlePeerUp(peer.name)
    // A peer that has just started may be the coordinator of a service at once.
    this.#coordination.handOver(nowMs)
    const leaving = this.#registry.leavingServers()
    if (leaving.length > 0) {
      this.#mesh.send(peer.name, { kind: PeerMessageKind.ServersLeaving, servers: leaving })
    }
    const isSameRegion = peer.region === this.#settings.record.region
    const { latestChange } = hello
    if (latestChange !== undefined) {
      // Other regions send no further changes, so they only serve for a first copy.
      if (!isSameRegion && this.#mirror.revision > 0) return
      this.#catchUp.recordPeer(peer.name, latestChange, this.#mirror.revision, nowMs)
      this.#requestMissingChanges(nowMs)
      return
    }
    if (this.#mirror.revision <= hello.revision) return
    if (isSameRegion || hello.revision === 0) this.#sendChanges(peer.name, 0)
  }

  #requestMissingChanges(nowMs: number): void {
    const since = this.#mirror.revision
    const peer = this.#catchUp.nextPeer(since, nowMs)
    if (peer !== undefined) this.#mesh.send(peer, { kind: PeerMessageKind.StoreRequest, since })
  }

  /** Sends the changes after a revision, or a full copy if removals since are not known. */
  #sendChanges(peer: string, since: number): void {
    const { revision } = this.#mirror
    if (revision <= since) return
    const changes = since === 0 ? undefined : this.#mirror.changesSince(since)
    const isComplete = changes === undefined
    const items = changes ?? this.#mirror.items()
    this.#log.event('changesSent', {
      peer,
      since: counterOf(since),
      ...revisionFields(revision),
      items: items.length,
      isComplete,
    })
    this.#mesh.send(peer, {
      kind: PeerMessageKind.StoreUpdate,
      items,
      revision,
      isComplete,
      ...(isComplete ? {} : { since }),
    })
  }

  #handleMessage(peer: string, message: PeerMessage): void {
    const nowMs = this.#clock()
    this.#checkPause(nowMs)
    handlePeerMessage(
      {
        peer,
        nowMs,
        log: this.#log,
        table: this.#table,
        slots: this.#slots,
        coordination: this.#coordination,
        contact: this.#contact,
        mirror: this.#mirror,
        catchUp: this.#catchUp,
        beliefs: this.#beliefs,
        quotas: this.#quotas,
        sendChanges: (to, since) => {
          this.#sendChanges(to, since)
        },
      },
      message,
    )
  }

  #applyItem(key: string, value: Buffer | undefined, revision: StoreRevision): void {
    const nowMs = this.#clock()
    if (key.startsWith(ROSTER_PREFIX)) {
      this.#applyRoster(key, value, revision, nowMs)
      return
    }
    const item = this.#platform.decode(key, value, revision)
    switch (item.kind) {
      case 'configuration':
        this.#applyConfiguration(item.configuration, revision)
        break
      case 'server':
        this.#registry.apply(item.update, nowMs)
        this.#log.event('server', {
          id: item.update.id,
          ...revisionFields(revision),
          isDraining: item.update.server?.isDraining,
          zone: item.update.server?.zone,
          coldForMs: item.update.server?.coldForMs,
          isReadable: item.update.server !== undefined,
        })
        break
      case 'serverRemoved': {
        const isGone = this.#registry.remove(item.id, revision, nowMs)
        this.#log.event('serverRemoved', {
          id: item.id,
          ...revisionFields(revision),
          isGone,
        })
        break
      }
      case 'evacuation':
        if (item.isOn) this.#evacuatedZones.add(item.zone)
        else this.#evacuatedZones.delete(item.zone)
        this.#registry.setEvacuatedZones(new Set(this.#evacuatedZones))
        this.#log.event('evacuation', {
          zone: item.zone,
          isOn: item.isOn,
          ...revisionFields(revision),
        })
        break
      case 'other':
        break
    }
  }

  #applyConfiguration(
    configuration: RoutingConfiguration | undefined,
    revision: StoreRevision,
  ): void {
    if (configuration === undefined) return
    const isAccepted = this.#routing.accept(configuration)
    this.#log.event('configuration', {
      version: configuration.version,
      ...revisionFields(revision),
      isAccepted,
    })
    if (!isAccepted) return
    this.#callers.applyLimits(configuration.limits)
    const { version, tenants } = configuration
    for (const { name, restriction } of this.#routing.restrictedRoutes) {
      this.#log.event('routeRestricted', { route: name, version, ...restriction })
    }
    for (const { name } of tenants?.tenants ?? []) {
      const character = findUnsendableCharacter(name)
      if (character === undefined) continue
      this.#log.event('tenantNotServed', { tenant: name, version, character })
    }
  }

  #applyRoster(
    key: string,
    value: Buffer | undefined,
    revision: StoreRevision,
    nowMs: number,
  ): void {
    const roster = value === undefined ? undefined : parseRoster(value)
    if (value !== undefined && roster === undefined) {
      this.#log.event('unreadableRoster', { key, ...revisionFields(revision) })
    }
    const isBelieved = roster !== undefined && !isOutdated(roster, revision)
    if (roster !== undefined && !isBelieved) {
      const { storeEra } = roster
      this.#log.event('outdatedRoster', { key, storeEra, ...revisionFields(revision) })
    }
    const records = isBelieved ? roster.records : undefined
    const { listed, expired } = this.#rosters.apply(key, records, revision)
    for (const record of listed) {
      // The hello of a linked peer is more recent than a roster in the store.
      if (!this.#mesh.isUp(record.name)) this.#table.register(record, nowMs)
    }
    for (const name of expired) {
      this.#table.markExpired(name, nowMs)
      this.#log.event('instanceLapsed', { name, ...revisionFields(revision) })
    }
  }

  #housekeeping(nowMs: number): void {
    const isStoreUnreachable = this.#contact.isStoreUnreachable(nowMs)
    if (isStoreUnreachable || this.#wasStoreUnreachable) {
      this.#registry.deferRemovals(
        Math.max(this.#contact.returnedAtMs(nowMs), this.#storeRestoredAtMs),
      )
    }
    if (isStoreUnreachable !== this.#wasStoreUnreachable) {
      this.#log.event(isStoreUnreachable ? 'storeAway' : 'storeBack', {
        ageMs: this.#contact.ageMs(nowMs),
      })
    }
    this.#wasStoreUnreachable = isStoreUnreachable
    const released = this.#mirror.releaseHeld(nowMs)
    if (released.length > 0) this.#log.event('storeItemsReleased', { keys: released })
    this.#table.removeExpired(nowMs, LOST_INSTANCE_RETENTION_MS)
    this.#pool.closeExpired(nowMs)
    this.#beliefs.expire(nowMs)
    this.#registry.expireLeavingMarks(nowMs)
    this.#logEventLoop(nowMs)
    const quotas = quotaLogFields(this.#quotas.stats(nowMs))
    if (quotas !== undefined) this.#log.event('quotas', quotas)
    for (const stats of this.#coordination.stats(nowMs)) {
      if (stats.arrivalsPerSecond < 0.5) continue
      this.#log.event('coordinating', {
        ...stats,
        arrivalsPerSecond: Math.round(stats.arrivalsPerSecond),
        remoteShare: Math.round(stats.remoteShare * 1000) / 1000,
        completionsPerSecond: Math.round(stats.completionsPerSecond),
      })
    }
  }

  #logEventLoop(nowMs: number): void {
    const { turns, turnMs, utilization, accepted } = this.#eventLoopActivity.measure(
      readEventLoopCounters(),
      this.#callers.acceptedConnections,
      nowMs,
    )
    if (utilization < LOGGED_UTILIZATION) return
    this.#log.event('eventLoop', {
      turns,
      turnMs: Math.round(turnMs * 10) / 10,
      utilization: Math.round(utilization * 100) / 100,
      accepted,
    })
  }

  #readiness(url: URL): SimpleAnswer | undefined {
    if (url.pathname !== this.#platform.readinessPath) return undefined
    const isReady = this.#shutdown === undefined && this.#routing.current !== undefined
    return { status: isReady ? 200 : 503, contentType: 'text/plain', body: `${isReady}\n` }
  }

  #directory(url: URL, caller: string): SimpleAnswer | undefined {
    if (url.pathname !== this.#platform.directoryPath) return undefined
    const { host, region, zone } = this.#platform.directoryQuestion(url)
    const routes = this.#routing.current?.index.routesOfHost(host) ?? []
    const question = { region, zone, caller, routes }
    return this.#platform.directoryAnswer(
      selectEntryAddresses(this.#table, question, this.#regions, this.#clock()),
    )
  }

  async #metricsPage(url: URL): Promise<SimpleAnswer | undefined> {
    if (url.pathname !== '/metrics') return undefined
    return { status: 200, contentType: 'text/plain', body: await this.#metrics.text() }
  }
}
