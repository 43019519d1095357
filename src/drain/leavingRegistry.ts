/** Registry of leaving backend servers, merged from all sources. Marks are never removed. */
import type { ConfigurationDocument } from '../configuration/document.js'
import type { ListedInstance } from '../platform/instanceList.js'
import { InstanceKind, InstanceState } from '../platform/instanceList.js'

/** Source of the information that a backend server is leaving. */
export enum LeavingSource {
  /** Instance list of the platform. */
  Platform = 'platform',
  /** Answer or health report of the backend server itself. */
  BackendServer = 'backendServer',
  /** Record of an operator in the configuration. */
  Operator = 'operator',
}

/** Marks this generation of a worker and all earlier ones as leaving: they get no new work. */
export interface LeavingMark {
  readonly workerId: string
  readonly generation: number
  readonly source: LeavingSource
}

/** Called with marks that are new to this process. */
export type LeavingListener = (marks: readonly LeavingMark[], isFromPeer: boolean) => void

/**
 * Grow-only set of leaving marks. Only the highest marked generation of a worker is kept, because
 * it supersedes all earlier ones. Merging is commutative and idempotent, so marks may arrive
 * late, repeatedly or in any order.
 */
export class LeavingRegistry {
  readonly #marks = new Map<string, LeavingMark>()
  readonly #listeners = new Set<LeavingListener>()

  /** True if this generation of the worker, or a later one, is marked as leaving. */
  isLeaving(workerId: string, generation: number): boolean {
    const mark = this.#marks.get(workerId)
    return mark !== undefined && generation <= mark.generation
  }

  /** All marks, in the order in which their workers were first marked. */
  marks(): readonly LeavingMark[] {
    return [...this.#marks.values()]
  }

  /** Adds marks received from a peer; returns those that are new. */
  merge(marks: readonly LeavingMark[]): readonly LeavingMark[] {
    return this.#add(marks, true)
  }

  /** Records that a backend server reported itself as leaving. */
  observeAnswer(workerId: string, generation: number): void {
    this.#add([{ workerId, generation, source: LeavingSource.BackendServer }], false)
  }

  /** Records the leaving backend servers of the platform's instance list. */
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

  /** Records the backend servers that operators marked as leaving in the configuration. */
  observeConfiguration(document: ConfigurationDocument): void {
    const marks = [...document.leaving.values()].map((record) => ({
      workerId: record.workerId,
      generation: record.generation,
      source: LeavingSource.Operator,
    }))
    this.#add(marks, false)
  }

  /** Calls `listener` with each set of new marks; returns a function that unsubscribes. */
  subscribe(listener: LeavingListener): () => void {
    this.#listeners.add(listener)
    return () => {
      this.#listeners.delete(listener)
    }
  }

  #add(marks: readonly LeavingMark[], isFromPeer: boolean): readonly LeavingMark[] {
    const added = marks.filter((mark) => {
      if (this.isLeaving(mark.workerId, mark.generation)) return false
      this.#marks.set(mark.workerId, mark)
      return true
    })
    if (added.length > 0) {
      for (const listener of [...this.#listeners]) listener(added, isFromPeer)
    }
    return added
  }
}
