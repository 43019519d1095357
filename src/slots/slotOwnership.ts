/** Assigns slots to owners by rendezvous hashing over the live gateways of the region. */
import { combineHashes, hashText } from '../common/hashing.js'
import type { WorkerRecord } from '../configuration/document.js'
import type { Member, MembershipView } from '../membership/memberRecord.js'
import { MemberRole, MemberState } from '../membership/memberRecord.js'

/** Granularity of the assignment to owners. */
export enum OwnershipUnit {
  /** Each slot is assigned separately. */
  Slot = 'slot',
  /** All slots of a worker have one owner, which then sees all work of the worker. */
  Worker = 'worker',
}

/** One slot of a worker. */
export interface SlotIdentity {
  readonly worker: WorkerRecord
  /** 0 to `worker.slots - 1`. */
  readonly index: number
}

/** Returns an identifier that is unique within a service. */
export function slotIdOf(slot: SlotIdentity): string {
  return `${slot.worker.workerId}/${slot.worker.generation}/${slot.index}`
}

/** Live gateways of the region, which own its slots. A leaving gateway owns none and borrows. */
export function owningGateways(membership: MembershipView, region: string): readonly Member[] {
  return membership
    .members()
    .filter(
      (member) =>
        member.role === MemberRole.Gateway &&
        member.state === MemberState.Live &&
        member.region === region,
    )
}

/**
 * Assigns each slot to one gateway. When a gateway joins, slots move only to it; when one leaves,
 * only its slots move, and they are spread over the others.
 */
export class SlotOwnership {
  readonly #gateways: readonly { readonly id: string; readonly hash: number }[]
  readonly #unit: OwnershipUnit

  constructor(gatewayIds: readonly string[], unit: OwnershipUnit) {
    this.#gateways = [...new Set(gatewayIds)].sort().map((id) => ({ id, hash: hashText(id) }))
    this.#unit = unit
  }

  /** Returns the member identifier of the owner, or `undefined` without live gateways. */
  ownerOf(service: string, slot: SlotIdentity): string | undefined {
    const key = this.#unit === OwnershipUnit.Slot ? slotIdOf(slot) : slot.worker.workerId
    const keyHash = hashText(`${service}\n${key}`)
    let best: string | undefined
    let bestScore = -1
    for (const gateway of this.#gateways) {
      const score = combineHashes(keyHash, gateway.hash)
      if (score > bestScore) {
        best = gateway.id
        bestScore = score
      }
    }
    return best
  }
}
