/** Entry instances with quotas on a simulated network with delays, cuts, pauses and restarts. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { rendezvousOrder } from '../../common/hashing.js'
import type { TenantQuota } from '../../tenants/tenant.js'
import { EventQueue } from '../../../testing/eventQueue.js'
import { QUOTA_MESSAGE_CHECKS } from '../quotaMessageFormat.js'
import type { QuotaMessage } from '../quotaMessages.js'
import { QuotaMessageKind, QuotaRefusal } from '../quotaMessages.js'
import { TenantQuotas } from '../tenantQuotas.js'

/** Bound that operators state for runs of a tenant in any window. */
export const WINDOW_MS = 5000
const OVERSHOOT = 0.1
const SLACK = 20
/** One-way delays inside a region and between regions, in milliseconds. */
const LOCAL_DELAY_MS = 0.3
/** Time until the end of a process, and a link that is silent, are noticed, in milliseconds. */
const CLOSED_AFTER_MS = 20
const SILENT_AFTER_MS = 1000
const RECONNECT_MS = 300

export interface QuotaNetworkOptions {
  /** Number of instances by region. */
  readonly sizes: Readonly<Record<string, number>>
  readonly quotas: ReadonlyMap<string, TenantQuota>
  readonly seed: number
  readonly tickMs: number
  readonly regionDelayMs: number
}

export interface SimulatedInstance {
  readonly name: string
  readonly region: string
  quotas: TenantQuotas
  incarnation: number
  isRunning: boolean
  isPaused: boolean
  /** Instances of different groups don't reach each other. */
  group: number
  changedAtMs: number
  /** Instances that this one doesn't know of. */
  unknownCount: number
  /** Peers that this one believes to have failed. */
  readonly distrusted: Set<string>
  readonly buffered: (() => void)[]
}

/** Requests of a tenant by outcome, with their times. */
export interface TenantOutcome {
  readonly asked: number[]
  readonly allowed: number[]
  readonly overLimit: number[]
  readonly undecided: number[]
  /** Allowed by the two baselines: one owner that knows all, and even parts. */
  readonly byOwner: number[]
  readonly byEvenParts: number[]
  longestRetryAfterMs: number
}

class Bucket {
  #tokens: number
  #atMs = 0
  constructor(tokens: number) {
    this.#tokens = tokens
  }

  take(perSecond: number, capacity: number, nowMs: number): boolean {
    const accrued = (perSecond * (nowMs - this.#atMs)) / 1000
    this.#tokens = Math.min(capacity, this.#tokens + accrued)
    this.#atMs = nowMs
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}

export class QuotaNetwork {
  readonly instances = new Map<string, SimulatedInstance>()
  readonly quotas: Map<string, TenantQuota>
  readonly outcomes = new Map<string, TenantOutcome>()
  readonly events = new EventQueue()
  /** Bytes and messages sent, by kind. */
  readonly sent = new Map<QuotaMessageKind, { bytes: number; messages: number }>()
  /** Fraction of messages that are lost although their link is open. */
  lossRate = 0
  /** Further delay of messages, in milliseconds. */
  extraDelayMs = 0
  /** Fractions of requests that are cancelled at once, and that give their token back unused. */
  cancelRate = 0
  giveBackRate = 0
  readonly #options: QuotaNetworkOptions
  readonly #regions: readonly string[]
  readonly #order = new Map<string, readonly SimulatedInstance[]>()
  readonly #owners = new Map<string, Bucket>()
  readonly #evenParts = new Map<string, Bucket>()
  readonly #generator

  constructor(options: QuotaNetworkOptions) {
    this.#options = options
    this.quotas = new Map(options.quotas)
    this.#generator = xoroshiro128plus(options.seed)
    this.#regions = Object.keys(options.sizes)
    for (const [region, size] of Object.entries(options.sizes)) {
      const names = Array.from({ length: size }, (_, index) => `${region}-${index}`)
      for (const name of names) this.#addInstance(name, region)
      const inRegion = rendezvousOrder('quotas', names, (name) => name)
      this.#order.set(
        region,
        inRegion.map((name) => this.instance(name)),
      )
    }
  }

  get nowMs(): number {
    return this.events.nowMs
  }

  instance(name: string): SimulatedInstance {
    const found = this.instances.get(name)
    if (found === undefined) throw new Error(`no instance ${name}`)
    return found
  }

  /** Keeper of a region as an observer that reaches all instances sees it. */
  keeperName(region: string): string {
    const isActive = (peer: SimulatedInstance): boolean => peer.isRunning && !peer.isPaused
    return this.#order.get(region)?.find(isActive)?.name ?? ''
  }

  /** Uniform number in 0..1. */
  random(): number {
    return (this.#generator.next() >>> 0) / 2 ** 32
  }

  runFor(durationMs: number): void {
    this.events.runUntil(this.nowMs + durationMs)
  }

  /** One request of a tenant at an instance. */
  request(name: string, tenant: string): void {
    const instance = this.instance(name)
    if (!instance.isRunning || instance.isPaused || !this.quotas.has(tenant)) return
    const { quotas } = instance
    const outcome = this.outcomeOf(tenant)
    const { nowMs } = this
    outcome.asked.push(nowMs)
    this.#askBaselines(instance, tenant, outcome)
    const cancel = quotas.request(
      tenant,
      {
        onAllowed: () => {
          if (this.giveBackRate > 0 && this.random() < this.giveBackRate) {
            quotas.giveBack(tenant, this.nowMs)
          } else outcome.allowed.push(this.nowMs)
        },
        onRefused: (reason, retryAfterMs) => {
          const times = reason === QuotaRefusal.OverLimit ? outcome.overLimit : outcome.undecided
          times.push(nowMs)
          outcome.longestRetryAfterMs = Math.max(outcome.longestRetryAfterMs, retryAfterMs)
        },
      },
      nowMs,
    )
    if (this.cancelRate > 0 && this.random() < this.cancelRate) cancel()
  }

  /** Random requests at a rate per second, each at an instance that `pick` names, for some time. */
  load(
    tenant: string,
    rateAt: (second: number) => number,
    pick: () => string,
    untilMs: number,
  ): void {
    const next = (): void => {
      const rate = rateAt(this.nowMs / 1000)
      const waitMs = rate > 0 ? (-Math.log(1 - this.random()) * 1000) / rate : 100
      const atMs = this.nowMs + Math.min(waitMs, 100)
      if (atMs >= untilMs) return
      this.events.schedule(atMs, () => {
        if (waitMs <= 100) this.request(pick(), tenant)
        next()
      })
    }
    next()
  }

  outcomeOf(tenant: string): TenantOutcome {
    const existing = this.outcomes.get(tenant)
    if (existing !== undefined) return existing
    const created: TenantOutcome = {
      asked: [],
      allowed: [],
      overLimit: [],
      undecided: [],
      byOwner: [],
      byEvenParts: [],
      longestRetryAfterMs: 0,
    }
    this.outcomes.set(tenant, created)
    return created
  }

  cut(names: readonly string[], group: number): void {
    for (const name of names) {
      const instance = this.instance(name)
      if (instance.group === group) continue
      instance.group = group
      instance.changedAtMs = this.nowMs
    }
    this.#reportLossAfter(SILENT_AFTER_MS)
  }

  kill(name: string): void {
    const instance = this.instance(name)
    instance.isRunning = false
    instance.changedAtMs = this.nowMs
    instance.buffered.length = 0
    this.#reportLossAfter(CLOSED_AFTER_MS)
  }

  restart(name: string): void {
    const instance = this.instance(name)
    if (instance.isRunning) this.kill(name)
    instance.incarnation += 1
    instance.isRunning = true
    instance.isPaused = false
    instance.changedAtMs = this.nowMs
    instance.quotas = this.#createQuotas(instance)
    this.#scheduleTick(instance)
  }

  pause(name: string): void {
    const instance = this.instance(name)
    instance.isPaused = true
    instance.changedAtMs = this.nowMs
    this.#reportLossAfter(SILENT_AFTER_MS)
  }

  resume(name: string): void {
    const instance = this.instance(name)
    if (!instance.isPaused) return
    instance.isPaused = false
    instance.changedAtMs = this.nowMs
    for (const run of instance.buffered.splice(0)) run()
  }

  /**
   * Largest ratio of runs of a tenant in a window to what may run in it.
   * @param quotaAt quota that binds a window that ends at a time
   */
  peakUse(tenant: string, quotaAt: (endMs: number) => TenantQuota): number {
    const { allowed } = this.outcomeOf(tenant)
    let peak = 0
    let first = 0
    for (const [index, atMs] of allowed.entries()) {
      const { requestsPerSecond, burst } = quotaAt(atMs)
      const bound = ((requestsPerSecond * WINDOW_MS) / 1000 + burst) * (1 + OVERSHOOT) + SLACK
      while ((allowed[first] ?? atMs) <= atMs - WINDOW_MS) first += 1
      peak = Math.max(peak, (index + 1 - first) / bound)
    }
    return peak
  }

  #addInstance(name: string, region: string): void {
    const instance = {
      name,
      region,
      incarnation: 0,
      isRunning: true,
      isPaused: false,
      group: 0,
      changedAtMs: Number.NEGATIVE_INFINITY,
      unknownCount: 0,
      distrusted: new Set<string>(),
      buffered: [],
    } as unknown as SimulatedInstance
    instance.quotas = this.#createQuotas(instance)
    this.instances.set(name, instance)
    this.#scheduleTick(instance)
  }

  #createQuotas(instance: SimulatedInstance): TenantQuotas {
    return new TenantQuotas(
      {
        selfName: instance.name,
        slack: SLACK,
        region: instance.region,
        regions: () => this.#regions,
        keeperOf: (region, _nowMs, excluded) => this.#keeperSeenBy(instance, region, excluded),
        instanceCount: () => this.countSeenBy(instance),
        hasQuotas: () => true,
        quotaOf: (tenant) => this.quotas.get(tenant),
        send: (peer, message) => this.send(instance, peer, message),
      },
      this.nowMs,
    )
  }

  /** Instances that may be running, as one of them knows; a test may replace it. */
  countSeenBy(observer: SimulatedInstance): number {
    return this.instances.size - observer.unknownCount
  }

  #scheduleTick(instance: SimulatedInstance): void {
    const { incarnation } = instance
    const { tickMs } = this.#options
    const tick = (): void => {
      if (instance.incarnation !== incarnation || !instance.isRunning) return
      if (!instance.isPaused) instance.quotas.tick(this.nowMs)
      this.events.schedule(this.nowMs + tickMs, tick)
    }
    this.events.schedule(this.nowMs + this.random() * tickMs, tick)
  }

  #keeperSeenBy(
    observer: SimulatedInstance,
    region: string,
    excluded: string | undefined,
  ): string | undefined {
    const found = this.#order
      .get(region)
      ?.find((peer) => peer.name !== excluded && this.isSeen(observer, peer))
    return found?.name ?? (region === observer.region ? observer.name : undefined)
  }

  #isReachable(left: SimulatedInstance, right: SimulatedInstance): boolean {
    return left.group === right.group && left.isRunning && right.isRunning
  }

  /** Whether the link to a peer counts as open, which lags behind its state. */
  isSeen(observer: SimulatedInstance, peer: SimulatedInstance): boolean {
    if (observer === peer) return true
    if (observer.distrusted.has(peer.name)) return false
    const sinceMs = this.nowMs - Math.max(observer.changedAtMs, peer.changedAtMs)
    if (!peer.isRunning) return sinceMs < CLOSED_AFTER_MS
    if (peer.isPaused || !this.#isReachable(observer, peer)) return sinceMs < SILENT_AFTER_MS
    return sinceMs >= RECONNECT_MS
  }

  /** Sends a message; a test may replace it. */
  send(from: SimulatedInstance, peerName: string, message: QuotaMessage): boolean {
    const peer = this.instance(peerName)
    if (!this.isSeen(from, peer)) return false
    const line = JSON.stringify(message)
    const sent = this.sent.get(message.kind) ?? { bytes: 0, messages: 0 }
    this.sent.set(message.kind, {
      bytes: sent.bytes + line.length + 1,
      messages: sent.messages + 1,
    })
    if (!this.#isReachable(from, peer) || this.random() < this.lossRate) return true
    const delayMs = from.region === peer.region ? LOCAL_DELAY_MS : this.#options.regionDelayMs
    const { incarnation } = peer
    const deliver = (): void => {
      if (peer.incarnation !== incarnation || !peer.isRunning) return
      if (peer.isPaused) {
        peer.buffered.push(deliver)
        return
      }
      const received = JSON.parse(line) as QuotaMessage
      if (QUOTA_MESSAGE_CHECKS.get(received.kind)?.(received) !== true) {
        throw new Error(`invalid message ${line}`)
      }
      peer.quotas.handleMessage(from.name, received, this.nowMs)
    }
    this.events.schedule(this.nowMs + delayMs + this.extraDelayMs, deliver)
    return true
  }

  #reportLossAfter(delayMs: number): void {
    this.events.schedule(this.nowMs + delayMs + 1, () => {
      for (const observer of this.instances.values()) {
        if (!observer.isRunning || observer.isPaused) continue
        for (const peer of this.instances.values()) {
          if (!this.isSeen(observer, peer)) {
            observer.quotas.handlePeerLoss(peer.name, this.nowMs)
          }
        }
      }
    })
  }

  #askBaselines(instance: SimulatedInstance, tenant: string, outcome: TenantOutcome): void {
    const { requestsPerSecond = 0, burst = 0 } = this.quotas.get(tenant) ?? {}
    const { nowMs } = this
    const owner = this.#owners.get(tenant) ?? new Bucket(burst)
    this.#owners.set(tenant, owner)
    if (owner.take(requestsPerSecond, Math.max(1, burst), nowMs)) outcome.byOwner.push(nowMs)
    const key = `${tenant}\n${instance.name}`
    const count = this.instances.size
    const capacity = Math.max(1, burst / count)
    const part = this.#evenParts.get(key) ?? new Bucket(capacity)
    this.#evenParts.set(key, part)
    if (part.take(requestsPerSecond / count, capacity, nowMs)) outcome.byEvenParts.push(nowMs)
  }
}
