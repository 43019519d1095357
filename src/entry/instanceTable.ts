/** Membership of entry instances: store entries say who exists, peer links say who is alive. */
import { hashText } from '../common/hashing.js'
import type { InstanceRecord } from './instanceRecord.js'

/** What a link to an instance tells about it. */
export enum LinkState {
  /** No link was tried yet, as to most instances of other regions. */
  None = 'none',
  /** It was heard from within the silence limit. */
  Up = 'up',
  /** The link broke, or nothing was heard for longer than the silence limit. */
  Down = 'down',
}

/**
 * Time for which an instance without a link counts as alive, in milliseconds.
 * A link inside a region is set up in some round trips; a process needs a second to start.
 */
const FIRST_CONTACT_GRACE_MS = 1500
/** Time for which a broken link is given to come back before the instance counts as failed. */
const LINK_RETRY_GRACE_MS = 300
/**
 * Time after which an instance of another region whose store entry is gone counts as
 * failed, in milliseconds. Its lease was already silent for longer than that.
 */
const LAPSED_RECORD_GRACE_MS = 1000

interface Known {
  record: InstanceRecord
  knownSinceMs: number
  link: LinkState
  linkChangedAtMs: number
  isLeaving: boolean
  /** Set when the store entry is gone. */
  lapsedAtMs: number | undefined
}

/** Aggregate over all known instances, this one included. */
export class InstanceTable {
  readonly self: InstanceRecord
  readonly #known = new Map<string, Known>()
  #isSelfLeaving = false

  constructor(self: InstanceRecord) {
    this.self = self
  }

  /** Adds a record or replaces an earlier start of the same instance. */
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

  /** The store entry of the instance is gone. */
  noteLapsed(name: string, nowMs: number): void {
    const known = this.#known.get(name)
    if (known !== undefined) known.lapsedAtMs ??= nowMs
  }

  /** The instance said that it is leaving. */
  noteLeaving(name: string, incarnation: string): void {
    const known = this.#known.get(name)
    if (known?.record.incarnation !== incarnation) return
    known.isLeaving = true
  }

  /** Records the state of the link to an instance. */
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

  /** All records but the own one. */
  others(): InstanceRecord[] {
    return [...this.#known.values()].map(({ record }) => record)
  }

  /** Forgets instances whose entry has lapsed and that have been silent for long. */
  forgetLost(nowMs: number, afterMs: number): void {
    for (const [name, known] of this.#known) {
      const isLapsed = known.lapsedAtMs !== undefined && nowMs - known.lapsedAtMs > afterMs
      if (isLapsed && known.link !== LinkState.Up) {
        this.#known.delete(name)
      }
    }
  }

  /** Instances of a region that take part in its work, this one included unless it leaves. */
  live(region: string, nowMs: number): InstanceRecord[] {
    const live: InstanceRecord[] = []
    if (region === this.self.region && !this.#isSelfLeaving) live.push(this.self)
    for (const known of this.#known.values()) {
      if (known.record.region === region && this.#isLive(known, nowMs)) live.push(known.record)
    }
    return live
  }

  /** Instances of the own region that are heard from, this one included unless it leaves. */
  linked(): InstanceRecord[] {
    const linked = this.#isSelfLeaving ? [] : [this.self]
    for (const { record, link, isLeaving } of this.#known.values()) {
      const isHeard = link === LinkState.Up && !isLeaving
      if (isHeard && record.region === this.self.region) linked.push(record)
    }
    return linked
  }

  /** Number of instances that may be running, for shares of budgets that hold in any view. */
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
 * Order in which the instances of a region coordinate a service: the first live one does.
 * Capacity weighs, so that small instances coordinate less.
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
