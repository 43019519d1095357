/**
 * Membership of entry instances: store entries tell which exist, peer links tell which are alive.
 */
import { hashText } from '../common/hashing.js'
import type { InstanceRecord } from './instanceRecord.js'

/** State of the link to an instance. */
export enum LinkState {
  /** No link was attempted yet, as to most instances of other regions. */
  None = 'none',
  /** A message was received within the silence limit. */
  Up = 'up',
  /** The link broke, or no message was received within the silence limit. */
  Down = 'down',
}

/**
 * Time for which an instance without a link counts as alive although its store entry expired,
 * in milliseconds. A link inside a region takes some round trips; a process starts in a second.
 */
const FIRST_CONTACT_GRACE_MS = 1500
/** Time for a broken link to reconnect before the instance counts as failed, in milliseconds. */
const LINK_RETRY_GRACE_MS = 300
/**
 * Time after which an instance without a link whose store entry expired counts as failed, in
 * milliseconds. Its lease was not renewed for longer than that already.
 */
const LAPSED_RECORD_GRACE_MS = 1000

interface Known {
  record: InstanceRecord
  knownSinceMs: number
  link: LinkState
  linkChangedAtMs: number
  isLeaving: boolean
  /** Set when the store entry has expired. */
  lapsedAtMs: number | undefined
}

/** Table of all registered instances, including this one. */
export class InstanceTable {
  readonly self: InstanceRecord
  readonly #known = new Map<string, Known>()
  #isSelfLeaving = false

  constructor(self: InstanceRecord) {
    this.self = self
  }

  /** Adds an instance, or replaces the record of an earlier start of it. */
  learn(record: InstanceRecord, nowMs: number): void {
    if (record.name === this.self.name) return
    const known = this.#known.get(record.name)
    if (known?.record.incarnation === record.incarnation) {
      known.lapsedAtMs = undefined
      return
    }
    this.#known.set(record.name, {
      record,
      knownSinceMs: nowMs,
      link: LinkState.None,
      linkChangedAtMs: nowMs,
      isLeaving: false,
      lapsedAtMs: undefined,
    })
  }

  /** Marks the store entry of the instance as expired. */
  noteLapsed(name: string, nowMs: number): void {
    const known = this.#known.get(name)
    if (known !== undefined) known.lapsedAtMs ??= nowMs
  }

  /** Marks the instance as leaving, unless the announcement is from an earlier start. */
  noteLeaving(name: string, incarnation: string): void {
    const known = this.#known.get(name)
    if (known?.record.incarnation !== incarnation) return
    known.isLeaving = true
  }

  /** Sets the state of the link to an instance. */
  noteLink(name: string, link: LinkState, nowMs: number): void {
    const known = this.#known.get(name)
    if (known === undefined || known.link === link) return
    known.link = link
    known.linkChangedAtMs = nowMs
  }

  leaveSelf(): void {
    this.#isSelfLeaving = true
  }

  find(name: string): InstanceRecord | undefined {
    return name === this.self.name ? this.self : this.#known.get(name)?.record
  }

  /** Records of all other instances. */
  others(): InstanceRecord[] {
    return [...this.#known.values()].map(({ record }) => record)
  }

  /** Removes instances without a link whose store entry expired more than `afterMs` ago. */
  forgetLost(nowMs: number, afterMs: number): void {
    for (const [name, known] of this.#known) {
      const isLapsed = known.lapsedAtMs !== undefined && nowMs - known.lapsedAtMs > afterMs
      if (isLapsed && known.link !== LinkState.Up) {
        this.#known.delete(name)
      }
    }
  }

  /** Live instances of a region that are not leaving; may include this one. */
  live(region: string, nowMs: number): InstanceRecord[] {
    const live: InstanceRecord[] = []
    if (region === this.self.region && !this.#isSelfLeaving) live.push(this.self)
    for (const known of this.#known.values()) {
      if (known.record.region === region && this.#isLive(known, nowMs)) live.push(known.record)
    }
    return live
  }

  /** Instances of the own region with a working link that are not leaving; may include this one. */
  linked(): InstanceRecord[] {
    const linked = this.#isSelfLeaving ? [] : [this.self]
    for (const { record, link, isLeaving } of this.#known.values()) {
      const isHeard = link === LinkState.Up && !isLeaving
      if (isHeard && record.region === this.self.region) linked.push(record)
    }
    return linked
  }

  /** Upper estimate of the number of running instances, by which shared budgets are divided. */
  countForBudgets(): number {
    return 1 + this.#known.size
  }

  #isLive(known: Known, nowMs: number): boolean {
    if (known.isLeaving) return false
    return LIVE_BY_LINK[known.link](known, nowMs)
  }
}

const LIVE_BY_LINK: Readonly<Record<LinkState, (known: Known, nowMs: number) => boolean>> = {
  [LinkState.Up]: () => true,
  [LinkState.Down]: (known, nowMs) => nowMs - known.linkChangedAtMs < LINK_RETRY_GRACE_MS,
  [LinkState.None]: (known, nowMs) =>
    known.lapsedAtMs === undefined
      ? true
      : nowMs - known.lapsedAtMs < LAPSED_RECORD_GRACE_MS &&
        nowMs - known.knownSinceMs < FIRST_CONTACT_GRACE_MS,
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
