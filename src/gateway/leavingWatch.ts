/**
 * Feeds the leaving registry from the platform's instance list, the configuration
 * and the status endpoints of backend servers. The request path reports separately
 * which backend servers announce in their answers that they are leaving.
 */
import type { Clock } from '../common/clock.js'
import { sleep } from '../common/clock.js'
import { rendezvousOrder } from '../common/hashing.js'
import type { WorkerRecord } from '../configuration/document.js'
import type { ConfigurationView } from '../configuration/view.js'
import type { LeavingRegistry } from '../drain/leavingRegistry.js'
import type { MembershipView } from '../membership/memberRecord.js'
import { MemberHealth, MemberRole, MemberState } from '../membership/memberRecord.js'
import type { BackendStatusSource } from '../platform/backendStatus.js'
import { BackendHealth } from '../platform/backendStatus.js'
import type { InstanceList } from '../platform/instanceList.js'

/** Dependencies of {@link LeavingWatch}. */
export interface LeavingWatchDependencies {
  readonly clock: Clock
  readonly configuration: ConfigurationView
  readonly membership: MembershipView
  readonly leaving: LeavingRegistry
  readonly instances: InstanceList
  readonly status: BackendStatusSource
}

/** A leaving backend server that gets no requests has to be detected within 1 s. */
const STATUS_POLL_MS = 500
const READ_TIMEOUT_MS = 400
/** Number of gateways that poll one source; the second one covers the failure of the first. */
const POLLING_GATEWAYS = 2
const MIN_LIST_POLL_MS = 250
/**
 * Poll interval per listed instance, in ms. An entry is about 150 bytes, so polling takes at
 * most 10 KB/s of a process's bandwidth of 21 KB/s, whatever the length of the list.
 */
const LIST_POLL_MS_PER_ENTRY = 15
/**
 * Fraction by which an interval is shortened at random, so that the gateways don't poll in step
 * and see a change sooner.
 */
const JITTER_FRACTION = 0.3

/** Polls the instance list and the status of backend servers. */
export class LeavingWatch {
  readonly #dependencies: LeavingWatchDependencies
  readonly #stopping = new AbortController()
  /** Worker identifier -> time of its last answer to this gateway, ms since the epoch. */
  readonly #lastAnswerAtMs = new Map<string, number>()
  #unsubscribe: (() => void) | undefined
  #running: Promise<unknown> | undefined

  constructor(dependencies: LeavingWatchDependencies) {
    this.#dependencies = dependencies
  }

  start(): void {
    const { configuration, leaving } = this.#dependencies
    const current = configuration.current()
    if (current !== undefined) leaving.observeConfiguration(current.document)
    this.#unsubscribe = configuration.subscribe((next) => {
      leaving.observeConfiguration(next.document)
    })
    this.#running = Promise.all([
      this.#repeat(() => this.#readInstances()),
      this.#repeat(async () => {
        await this.#readStatuses()
        return STATUS_POLL_MS
      }),
    ])
  }

  /**
   * Records an answer; a worker that answers requests is not polled, since its answers tell
   * whether it is leaving.
   */
  recordAnswer(workerId: string, nowMs: number): void {
    this.#lastAnswerAtMs.set(workerId, nowMs)
  }

  async stop(): Promise<void> {
    this.#unsubscribe?.()
    this.#stopping.abort()
    await this.#running
  }

  /** @param read polls once and returns the interval until the next poll, in ms */
  async #repeat(read: () => Promise<number>): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      const jitterFactor = 1 - JITTER_FRACTION * Math.random()
      await sleep((await read()) * jitterFactor, this.#stopping.signal)
    }
  }

  async #readInstances(): Promise<number> {
    if (!this.#polls('instances', this.#gatewayIds())) return MIN_LIST_POLL_MS
    const listed = await this.#dependencies.instances.read(READ_TIMEOUT_MS)
    if (listed.err) return MIN_LIST_POLL_MS
    this.#dependencies.leaving.observeInstances(listed.val)
    return Math.max(MIN_LIST_POLL_MS, listed.val.length * LIST_POLL_MS_PER_ENTRY)
  }

  async #readStatuses(): Promise<void> {
    await Promise.all(this.#workersToPoll().map((worker) => this.#readStatus(worker)))
  }

  async #readStatus(worker: WorkerRecord): Promise<void> {
    const status = await this.#dependencies.status.read(worker.address, READ_TIMEOUT_MS)
    if (status.ok && status.val.health === BackendHealth.Draining) {
      this.#dependencies.leaving.observeAnswer(worker.workerId, worker.generation)
    }
  }

  /**
   * Workers of this region that this gateway polls: those without recent answers that are not
   * known to leave.
   */
  #workersToPoll(): WorkerRecord[] {
    const noAnswerSinceMs = this.#dependencies.clock() - STATUS_POLL_MS
    const { membership, configuration, leaving } = this.#dependencies
    const { region } = membership.self()
    const gateways = this.#gatewayIds()
    const services = [...(configuration.current()?.document.services.values() ?? [])]
    return services
      .flatMap((service) => service.workers)
      .filter(
        (worker) =>
          worker.region === region &&
          !leaving.isLeaving(worker.workerId, worker.generation) &&
          (this.#lastAnswerAtMs.get(worker.workerId) ?? 0) < noAnswerSinceMs &&
          this.#polls(worker.workerId, gateways),
      )
  }

  /** Rendezvous hashing distributes the sources over the gateways of the region. */
  #polls(source: string, gateways: readonly string[]): boolean {
    const ownId = this.#dependencies.membership.self().memberId
    const order = rendezvousOrder(source, gateways, (memberId) => memberId)
    return order.slice(0, POLLING_GATEWAYS).includes(ownId)
  }

  #gatewayIds(): string[] {
    const { region } = this.#dependencies.membership.self()
    return this.#dependencies.membership
      .members()
      .filter(
        (member) =>
          member.role === MemberRole.Gateway &&
          member.region === region &&
          member.state === MemberState.Live &&
          member.health !== MemberHealth.Failed,
      )
      .map((member) => member.memberId)
  }
}
