/** Test harness: dispatchers of several gateways on an in-memory network with injected faults. */
import { Err, Ok } from '../../common/results.js'
import type { Result } from '../../common/results.js'
import type { RpcClient, RpcMethod, RpcMethodRegistry } from '../../common/rpc.js'
import { RpcError, RpcErrorKind } from '../../common/rpc.js'
import type { WorkerRecord } from '../../configuration/document.js'
import type { Configuration, ConfigurationView } from '../../configuration/view.js'
import { LeavingRegistry } from '../../drain/leavingRegistry.js'
import type { Member, MembershipView } from '../../membership/memberRecord.js'
import { MemberHealth, MemberRole, MemberState } from '../../membership/memberRecord.js'
import type { DispatchOptions } from '../dispatchOptions.js'
import { SlotDispatcher } from '../slotDispatcher.js'
import type { SlotRequest } from '../slotSource.js'

export const SERVICE = 'reveals'

/** Delivery of a call by the test network. */
export enum CallDelivery {
  Delivered = 'delivered',
  /** The connection is refused. */
  Refused = 'refused',
  /** The callee handles the call, but its answer is lost. */
  AnswerLost = 'answerLost',
  /** The call is lost before the callee receives it. */
  CallLost = 'callLost',
}

export function member(memberId: string, incarnation = `${memberId}-1`, startedAtMs = 1): Member {
  return {
    memberId,
    role: MemberRole.Gateway,
    incarnation,
    startedAtMs,
    version: 1,
    state: MemberState.Live,
    region: 'sicilia',
    zone: 'a',
    site: 'catania',
    callerAddress: `${memberId}:80`,
    internalAddress: `${memberId}:81`,
    health: MemberHealth.Alive,
  }
}

export function workers(count: number, slots: number): WorkerRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    workerId: `worker-${index}`,
    generation: 1,
    address: `worker-${index}:80`,
    region: 'sicilia',
    zone: 'a',
    slots,
  }))
}

/** Membership that all gateways of a test share, so that their views are consistent. */
export class SharedMembership {
  members: Member[] = []
  readonly #listeners = new Set<() => void>()

  set(members: Member[]): void {
    this.members = members
    for (const listener of this.#listeners) listener()
  }

  viewOf(memberId: string): MembershipView {
    const own = member(memberId)
    return {
      self: () => this.members.find((other) => other.memberId === memberId) ?? own,
      members: () => this.members,
      find: (other) => this.members.find((candidate) => candidate.memberId === other),
      largestGatewayCount: () => this.members.length,
      subscribe: (listener) => {
        this.#listeners.add(listener)
        return () => this.#listeners.delete(listener)
      },
    }
  }
}

export class GatewayNetwork {
  nowMs = 1_000_000
  delivery: (from: string, to: string) => CallDelivery = () => CallDelivery.Delivered
  readonly membership = new SharedMembership()
  readonly leaving = new LeavingRegistry()
  readonly gateways = new Map<string, SlotDispatcher>()
  readonly #methods = new Map<string, Map<string, RpcMethod>>()
  readonly #workers: readonly WorkerRecord[]

  constructor(ids: readonly string[], workerRecords: readonly WorkerRecord[], options = {}) {
    this.#workers = workerRecords
    this.membership.set(ids.map((id) => member(id)))
    for (const id of ids) this.#add(id, options)
  }

  gateway(id: string): SlotDispatcher {
    const found = this.gateways.get(id)
    if (found === undefined) throw new Error(`no gateway ${id}`)
    return found
  }

  stop(): void {
    for (const gateway of this.gateways.values()) gateway.stop()
  }

  /** Advances the clock in steps of 5 ms; ticks all gateways and delivers messages at each step. */
  async advance(durationMs: number): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += 5) {
      this.nowMs += 5
      for (const gateway of this.gateways.values()) gateway.tick(this.nowMs)
      await flushMessages()
    }
  }

  #add(id: string, options: Partial<DispatchOptions>): void {
    const methods = new Map<string, RpcMethod>()
    this.#methods.set(`${id}:81`, methods)
    const registry: RpcMethodRegistry = {
      addMethod: (name, schema, method) => {
        methods.set(name, (params, context) => {
          const checked = schema.validate(params)
          if (checked.error !== undefined) throw checked.error
          return method(params, context)
        })
      },
    }
    const dispatcher = new SlotDispatcher(
      this.#configuration(),
      this.membership.viewOf(id),
      this.leaving,
      this.#rpcOf(id),
      { clock: () => this.nowMs, tickMs: 60_000, idleTickMs: 60_000, ...options },
    )
    dispatcher.registerMethods(registry)
    dispatcher.start()
    this.gateways.set(id, dispatcher)
  }

  #rpcOf(from: string): RpcClient {
    return {
      call: async (address, method, params) => {
        const delivery = this.delivery(from, address.replace(':81', ''))
        if (delivery === CallDelivery.Refused) return rpcFailure(RpcErrorKind.NotSent)
        const handler = this.#methods.get(address)?.get(method)
        if (handler === undefined) return rpcFailure(RpcErrorKind.NotSent)
        if (delivery === CallDelivery.CallLost) return rpcFailure(RpcErrorKind.TimedOut)
        const sent: unknown = JSON.parse(JSON.stringify(params))
        const answer = await handler(sent as never, { signal: new AbortController().signal })
        await Promise.resolve()
        return delivery === CallDelivery.AnswerLost ? rpcFailure(RpcErrorKind.Broken) : Ok(answer)
      },
    }
  }

  #configuration(): ConfigurationView {
    const record = {
      name: SERVICE,
      priority: 1,
      idempotentMethods: ['GET'],
      workers: this.#workers,
      maxQueued: 100,
      defaultTimeoutMs: 1000,
      maxRequestBytes: 1000,
      maxResponseBytes: 1000,
      typicalResponseBytes: 100,
      linkWeight: 1,
    }
    const document = { services: new Map([[SERVICE, record]]) }
    const current = { revision: 1, document } as unknown as Configuration
    return { current: () => current, subscribe: () => () => undefined }
  }
}

function rpcFailure(kind: RpcErrorKind): Result<unknown, RpcError> {
  return Err(new RpcError(kind, 'injected fault of the test network', 'none'))
}

/** Runs enough event loop turns to deliver the pending messages of all gateways. */
export async function flushMessages(): Promise<void> {
  for (let turn = 0; turn < 8; turn += 1) await new Promise((resolve) => setImmediate(resolve))
}

let nextRequest = 0

export function request(deadlineMs: number, overrides: Partial<SlotRequest> = {}): SlotRequest {
  nextRequest += 1
  return {
    requestId: `request-${nextRequest}`,
    service: SERVICE,
    requestClass: `${SERVICE} GET /reveal`,
    deadlineMs,
    excludedWorkers: new Set(),
    signal: new AbortController().signal,
    ...overrides,
  }
}
