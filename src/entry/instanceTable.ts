/** Membership of entry instances: which exist, from the store, and which are alive, from links. */
import { hashText } from '../common/hashing.js'
import type { InstanceRecord } from './instanceRecord.js'

/** State of the link to an instance. */
export enum LinkState {
  /** No link was attempted yet, as to most instances of other regions. */
  None = 'none',
  /** A message was received within the link timeout. */
  Up = 'up',
  /** The link broke, or no message was received within the link timeout. */
  Down = 'down',
}

/**
 * Time for which an instance without a link counts as alive although its store entry expired,
 * in milliseconds. A link inside a region takes some round trips; a process starts in a second.
 */
const FIRST_CONTACT_GRACE_MS = 1500
/** Time for a broken link to reconnect before the instance counts as failed, in milliseconds. */
const RECONNECT_GRACE_MS = 300
/**
 * Time after which an instance whose link broke is taken off the region's roster, in ms. Each roster
 * goes to all instances of all regions, and a link that breaks is usually back within a second.
 */
const ROSTER_GRACE_MS = 1500
/**
 * Time after which an instance without a link whose store entry expired counts as failed, in
 * milliseconds. Its lease was not renewed for longer than that already.
 */
const EXPIRED_RECORD_GRACE_MS = 1000

/**
 * Time for which an instance that was removed without having announced its end counts where limits
 * are divided, in milliseconds. It may still run, cut off from this one.
 */
const REMOVED_RETENTION_MS = 600_000

interface RegisteredInstance {
  record: InstanceRecord
  registeredAtMs: number
  link: LinkState
  linkChangedAtMs: number
  isLeaving: boolean
  /** Set when the store entry has expired. */
  expiredAtMs: number | undefined
  /** Whether a roster or the instance itself told of it, rather than only another instance. */
  isConfirmed: boolean
}

/** Table of all registered instances, including this one. */
export class InstanceTable {
  readonly self: InstanceRecord
  readonly #instances = new Map<string, RegisteredInstance>()
  /** Time of the removal of instances that may still run, by name. */
  readonly #removedAtMs = new Map<string, number>()
  #isSelfLeaving = false

  constructor(self: InstanceRecord) {
    this.self = self
  }

  /** Adds an instance, or replaces the record of an earlier start of it. */
  register(record: InstanceRecord, nowMs: number): void {
    if (record.name === this.self.name) return
    const existing = this.#instances.get(record.name)
    if (existing?.record.incarnation === record.incarnation) {
      existing.expiredAtMs = undefined
      existing.isConfirmed = true
      return
    }
    this.#add(record, nowMs, true)
  }

  /**
   * Adds an instance that another one named, unless it is known. A link to it is attempted, but it
   * may have left: it is not used unless the link opens or a roster lists it.
   */
  registerNamed(record: InstanceRecord, nowMs: number): void {
    if (this.find(record.name) !== undefined) return
    this.#add(record, nowMs, false)
    this.markExpired(record.name, nowMs)
  }

  /** Marks the store entry of the instance as expired. */
  markExpired(name: string, nowMs: number): void {
    const instance = this.#instances.get(name)
    if (instance !== undefined) instance.expiredAtMs ??= nowMs
  }

  /** Marks the instance as leaving, unless the announcement is from an earlier start. */
  markLeaving(name: string, incarnation: string): void {
    const instance = this.#instances.get(name)
    if (instance?.record.incarnation !== incarnation) return
    instance.isLeaving = true
  }

  /** Sets the state of the link to an instance. */
  setLinkState(name: string, link: LinkState, nowMs: number): void {
    const instance = this.#instances.get(name)
    if (instance === undefined || instance.link === link) return
    instance.link = link
    instance.linkChangedAtMs = nowMs
  }

  markSelfLeaving(): void {
    this.#isSelfLeaving = true
  }

  find(name: string): InstanceRecord | undefined {
    return name === this.self.name ? this.self : this.#instances.get(name)?.record
  }

  /** Records of all other instances. */
  others(): InstanceRecord[] {
    return [...this.#instances.values()].map(({ record }) => record)
  }

  /**
   * Records of the other instances that are named to peers, also those that have expired of late: when
   * a whole region starts again, its instances learn of each other from them. What is only known
   * from another instance is not passed on.
   */
  confirmedOthers(): InstanceRecord[] {
    return [...this.#instances.values()]
      .filter(({ isConfirmed }) => isConfirmed)
      .map(({ record }) => record)
  }

  /** Removes instances without a link whose store entry expired more than `afterMs` ago. */
  removeExpired(nowMs: number, afterMs: number): void {
    for (const [name, instance] of this.#instances) {
      const isExpired = instance.expiredAtMs !== undefined && nowMs - instance.expiredAtMs > afterMs
      if (isExpired && instance.link !== LinkState.Up) {
        this.#instances.delete(name)
        if (!instance.isLeaving) this.#removedAtMs.set(name, nowMs)
      }
    }
    for (const [name, removedAtMs] of this.#removedAtMs) {
      if (nowMs - removedAtMs > REMOVED_RETENTION_MS) this.#removedAtMs.delete(name)
    }
  }

  /** Live instances of a region that are not leaving; may include this one. */
  liveInstances(region: string, nowMs: number): InstanceRecord[] {
    const instances: InstanceRecord[] = []
    if (region === this.self.region && !this.#isSelfLeaving) instances.push(this.self)
    for (const instance of this.#instances.values()) {
      if (instance.record.region === region && this.#isLive(instance, nowMs))
        instances.push(instance.record)
    }
    return instances
  }

  /**
   * Instances of the own region that are linked, or were until a moment ago, and are not leaving;
   * may include this one.
   */
  rosterInstances(nowMs: number): InstanceRecord[] {
    const instances = this.#isSelfLeaving ? [] : [this.self]
    for (const { record, link, linkChangedAtMs, isLeaving } of this.#instances.values()) {
      const wasLinked = link === LinkState.Down && nowMs - linkChangedAtMs < ROSTER_GRACE_MS
      const isMember = (link === LinkState.Up || wasLinked) && !isLeaving
      if (isMember && record.region === this.self.region) instances.push(record)
    }
    return instances
  }

  /** Upper estimate of the number of running instances, by which shared budgets are divided. */
  countForBudgets(): number {
    return 1 + this.#instances.size
  }

  /** As {@link countForBudgets}, with those that may run for long without a link to this one. */
  countForQuotas(): number {
    return this.countForBudgets() + this.#removedAtMs.size
  }

  #add(record: InstanceRecord, nowMs: number, isConfirmed: boolean): void {
    this.#removedAtMs.delete(record.name)
    this.#instances.set(record.name, {
      record,
      registeredAtMs: nowMs,
      link: LinkState.None,
      linkChangedAtMs: nowMs,
      isLeaving: false,
      expiredAtMs: undefined,
      isConfirmed,
    })
  }

  #isLive(instance: RegisteredInstance, nowMs: number): boolean {
    if (instance.isLeaving || !instance.isConfirmed) return false
    return LIVE_BY_LINK[instance.link](instance, nowMs)
  }
}

const LIVE_BY_LINK: Readonly<
  Record<LinkState, (instance: RegisteredInstance, nowMs: number) => boolean>
> = {
  [LinkState.Up]: () => true,
  [LinkState.Down]: (instance, nowMs) => nowMs - instance.linkChangedAtMs < RECONNECT_GRACE_MS,
  [LinkState.None]: (instance, nowMs) =>
    instance.expiredAtMs === undefined
      ? true
      : nowMs - instance.expiredAtMs < EXPIRED_RECORD_GRACE_MS &&
        nowMs - instance.registeredAtMs < FIRST_CONTACT_GRACE_MS,
}

/**
 * Order in which the instances of a region read the store for the others: those with the most
 * capacity first, because the reader sends each change to all others, which fills a small link.
 */
export function storeReaderOrder(instances: readonly InstanceRecord[]): InstanceRecord[] {
  return coordinatorOrder('store reader', instances).sort(
    (left, right) => right.capacity - left.capacity,
  )
}

/**
 * Coordinator order of the given instances for a service; the first live one is the
 * coordinator. Weighted rendezvous hashing, so that each instance coordinates services in
 * proportion to its capacity.
 */
export function coordinatorOrder(
  service: string,
  instances: readonly InstanceRecord[],
): InstanceRecord[] {
  return instances
    .map((instance) => {
      const uniform = (hashText(`${service}\n${instance.name}`) + 0.5) / 2 ** 32
      return { instance, score: -Math.log(uniform) / instance.capacity }
    })
    .sort((left, right) => left.score - right.score)
    .map(({ instance }) => instance)
}
