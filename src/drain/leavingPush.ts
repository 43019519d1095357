/** Pushes new leaving marks to the gateways of the region, which is faster than gossip. */
import Joi from 'joi'
import type { RpcClient, RpcMethodRegistry } from '../common/rpc.js'
import type { MembershipView } from '../membership/memberRecord.js'
import { MemberRole } from '../membership/memberRecord.js'
import type { LeavingMark, LeavingRegistry } from './leavingRegistry.js'
import { LeavingSource } from './leavingRegistry.js'

/** RPC method that accepts marks; parameters are `{ marks: LeavingMark[] }`. */
export const PUSH_LEAVING_METHOD = 'drain.pushLeaving'

const PUSH_TIMEOUT_MS = 1000
const MAX_MARKS = 10_000

/** Schema of a {@link LeavingMark} received from a peer. */
export const LEAVING_MARK_SCHEMA = Joi.object({
  workerId: Joi.string().max(128).required(),
  generation: Joi.number().integer().min(0).required(),
  source: Joi.string()
    .valid(...Object.values(LeavingSource))
    .required(),
})

const PUSH_SCHEMA = Joi.object({
  marks: Joi.array().items(LEAVING_MARK_SCHEMA).max(MAX_MARKS).required(),
})

/**
 * Sends marks that this process did not receive from a peer to each gateway of its region, once.
 * If a push is lost, the membership exchange delivers the mark.
 */
export class LeavingPush {
  readonly #leaving: LeavingRegistry
  readonly #membership: MembershipView
  readonly #rpc: RpcClient
  #unsubscribe: (() => void) | undefined

  constructor(leaving: LeavingRegistry, membership: MembershipView, rpc: RpcClient) {
    this.#leaving = leaving
    this.#membership = membership
    this.#rpc = rpc
  }

  /** Registers the RPC method that accepts marks of peers. */
  registerMethods(registry: RpcMethodRegistry): void {
    registry.addMethod(
      PUSH_LEAVING_METHOD,
      PUSH_SCHEMA,
      (params: { marks: readonly LeavingMark[] }) => {
        this.#leaving.merge(params.marks)
        return Promise.resolve(null)
      },
    )
  }

  start(): void {
    this.#unsubscribe ??= this.#leaving.subscribe((marks, isFromPeer) => {
      if (!isFromPeer) this.#push(marks)
    })
  }

  stop(): void {
    this.#unsubscribe?.()
    this.#unsubscribe = undefined
  }

  #push(marks: readonly LeavingMark[]): void {
    const self = this.#membership.self()
    for (const member of this.#membership.members()) {
      const isPeer =
        member.role === MemberRole.Gateway &&
        member.region === self.region &&
        member.memberId !== self.memberId
      if (!isPeer) continue
      void this.#rpc.call(
        member.internalAddress,
        PUSH_LEAVING_METHOD,
        { marks },
        { timeoutMs: PUSH_TIMEOUT_MS },
      )
    }
  }
}
