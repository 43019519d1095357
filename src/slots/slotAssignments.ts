/** Derives workers and slot owners per service from configuration, membership and drain state. */
import type { ConfigurationView } from '../configuration/view.js'
import type { ServiceRecord } from '../configuration/document.js'
import type { LeavingRegistry } from '../drain/leavingRegistry.js'
import type { MembershipView } from '../membership/memberRecord.js'
import type { ServiceAssignment } from './serviceSlots.js'
import type { OwnershipUnit, SlotIdentity } from './slotOwnership.js'
import { SlotOwnership, owningGateways } from './slotOwnership.js'

/** Computes the slot assignments as seen by the gateway of this process. */
export class SlotAssignments {
  readonly #configuration: ConfigurationView
  readonly #membership: MembershipView
  readonly #leaving: LeavingRegistry
  readonly #unit: OwnershipUnit

  constructor(
    configuration: ConfigurationView,
    membership: MembershipView,
    leaving: LeavingRegistry,
    unit: OwnershipUnit,
  ) {
    this.#configuration = configuration
    this.#membership = membership
    this.#leaving = leaving
    this.#unit = unit
  }

  /** Changes if and only if the set of owning gateways changes. */
  gatewayFingerprint(): string {
    return this.#gatewayIds().sort().join('\n')
  }

  /** Assignments of all services, in the order of the configuration. */
  all(): readonly ServiceAssignment[] {
    const services = this.#configuration.current()?.document.services
    if (services === undefined) return []
    const ownership = new SlotOwnership(this.#gatewayIds(), this.#unit)
    return [...services.values()].map((record) => this.#assignmentOf(record, ownership))
  }

  #gatewayIds(): string[] {
    const self = this.#membership.self()
    return owningGateways(this.#membership, self.region).map((member) => member.memberId)
  }

  #assignmentOf(record: ServiceRecord, ownership: SlotOwnership): ServiceAssignment {
    const self = this.#membership.self()
    const workers = record.workers.filter(
      (worker) =>
        worker.region === self.region &&
        !this.#leaving.isLeaving(worker.workerId, worker.generation),
    )
    const owned: SlotIdentity[] = []
    const slotsByOwner = new Map<string, number>()
    for (const worker of workers) {
      for (let index = 0; index < worker.slots; index += 1) {
        const owner = ownership.ownerOf(record.name, { worker, index })
        if (owner === undefined) continue
        slotsByOwner.set(owner, (slotsByOwner.get(owner) ?? 0) + 1)
        if (owner === self.memberId) owned.push({ worker, index })
      }
    }
    return { record, workers, owned, slotsByOwner }
  }
}
