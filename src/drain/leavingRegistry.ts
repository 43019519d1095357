/** Which backend servers are leaving, merged from all sources. Marks are never taken back. */
import type { ConfigurationDocument } from '../configuration/document.js'
import type { ListedInstance } from '../platform/instanceList.js'
import { InstanceKind, InstanceState } from '../platform/instanceList.js'

/** Who said that a backend server is leaving. */
export enum LeavingSource {
  /** The platform's list of instances. */
  Platform = 'platform',
  /** The backend server's own answer or health report. */
  BackendServer = 'backendServer',
  /** An operator's record in the configuration. */
  Operator = 'operator',
}

/** States that this generation of a worker, and every earlier one, gets no new work. */
export interface LeavingMark {
  readonly workerId: string
  readonly generation: number
  readonly source: LeavingSource
}

/** Receives marks that this process did not hold before. */
export type LeavingListener = (marks: readonly LeavingMark[], learnedFromPeer: boolean) => void

/**
 * Grow-only set of leaving marks. Only the highest marked generation of a
 * worker is kept, because a generation ends all earlier ones. Merging is
 * commutative and idempotent, so marks may arrive late, twice or in any order.
 */
export class LeavingRegistry {
  readonly #marks = new Map<string, LeavingMark>()
  readonly #listeners = new Set<LeavingListener>()

  /** Tells whether this generation of the worker is leaving. */
  isLeaving(workerId: string, generation: number): boolean {
    const mark = this.#marks.get(workerId)
    return mark !== undefined && generation <= mark.generation
  }

  /** All marks, for the exchange between members. */
  marks(): readonly LeavingMark[] {
    return [...this.#marks.values()]
  }

  /** Adds marks that a peer sent. Returns those that were new. */
  merge(marks: readonly LeavingMark[]): readonly LeavingMark[] {
    return this.#add(marks, true)
  }

  /** Records what a backend server said of itself. */
  observeAnswer(workerId: string, generation: number): void {
    this.#add([{ workerId, generation, source: LeavingSource.BackendServer }], false)
  }

  /** Records the leaving backend servers of the platform's list. */
  observeInstances(instances: readonly ListedInstance[]): void {
    const marks = instances
      .filter(
        (instance) =>
          instance.kind === InstanceKind.Backend && instance.state === InstanceState.Leaving,
      )
      .map((instance) => ({
        workerId: instance.instanceId,
        generation: instance.generation,
        source: LeavingSource.Platform,
      }))
    this.#add(marks, false)
  }

  /** Records the operators' intents of a configuration revision. */
  observeConfiguration(document: ConfigurationDocument): void {
    const marks = [...document.leaving.values()].map((record) => ({
      workerId: record.workerId,
      generation: record.generation,
      source: LeavingSource.Operator,
    }))
    this.#add(marks, false)
  }

  /** Calls `listener` with each set of new marks; returns a function that ends the subscription. */
  subscribe(listener: LeavingListener): () => void {
    this.#listeners.add(listener)
    return () => {
      this.#listeners.delete(listener)
    }
  }

  #add(marks: readonly LeavingMark[], learnedFromPeer: boolean): readonly LeavingMark[] {
    const added = marks.filter((mark) => {
      if (this.isLeaving(mark.workerId, mark.generation)) return false
      this.#marks.set(mark.workerId, mark)
      return true
    })
    if (added.length > 0) {
      for (const listener of [...this.#listeners]) listener(added, learnedFromPeer)
    }
    return added
  }
}
