/** Configuration components of several daemons in one process, with a simulated network. */
import { createExampleMember } from '../../../playground/fixedMembership.js'
import { InProcessStore } from '../../../playground/inProcessStore.js'
import type { Result } from '../../common/results.js'
import { Err, Ok } from '../../common/results.js'
import type { CallOptions, RpcClient, RpcMethod, RpcMethodRegistry } from '../../common/rpc.js'
import { RpcError, RpcErrorKind } from '../../common/rpc.js'
import type { Member, MemberRecord, MembershipView } from '../../membership/memberRecord.js'
import { MemberHealth } from '../../membership/memberRecord.js'
import type { DistributorOptions } from '../configurationDistributor.js'
import { ConfigurationDistributor } from '../configurationDistributor.js'
import { ConfigurationReplica } from '../configurationReplica.js'
import { ConfigurationRepository } from '../configurationRepository.js'

/** Delivers RPC calls between the nodes of a test. */
export class TestNetwork {
  readonly methods = new Map<string, Map<string, RpcMethod>>()
  /** Addresses that can neither send nor receive calls. */
  readonly isolatedAddresses = new Set<string>()
  /** Called after each answer, so that tests can inspect calls or inject faults. */
  onCall: (method: string, params: unknown, answer: unknown, address: string) => void = () =>
    undefined

  registry(address: string): RpcMethodRegistry {
    const methods = new Map<string, RpcMethod>()
    this.methods.set(address, methods)
    return {
      addMethod: (name, schema, method) => {
        methods.set(name, (params, context) => {
          const checked = schema.validate(params)
          if (checked.error !== undefined) throw checked.error
          return method(params, context)
        })
      },
    }
  }

  rpcClient(from: string): RpcClient {
    return {
      call: (address, method, params, options) =>
        this.#call(from, address, method, params, options),
    }
  }

  async #call(
    from: string,
    address: string,
    name: string,
    params: unknown,
    options: CallOptions,
  ): Promise<Result<unknown, RpcError>> {
    const method = this.methods.get(address)?.get(name)
    const isIsolated =
      this.isolatedAddresses.has(from) ||
      this.isolatedAddresses.has(address) ||
      options.signal?.aborted === true
    if (method === undefined || isIsolated) return Err(rpcError(RpcErrorKind.NotSent, address))
    try {
      const copy = structuredClone(params) as never
      const answer = await method(copy, { signal: new AbortController().signal })
      this.onCall(name, params, answer, address)
      return Ok(structuredClone(answer))
    } catch (error) {
      return Err(rpcError(RpcErrorKind.Remote, `${address}: ${String(error)}`))
    }
  }
}

function rpcError(kind: RpcErrorKind, address: string): RpcError {
  return new RpcError(kind, `No answer from ${address}`, 'see the test')
}

/** Configuration components of one daemon. */
export interface TestNode {
  readonly record: MemberRecord
  readonly replica: ConfigurationReplica
  readonly repository: ConfigurationRepository
  readonly distributor: ConfigurationDistributor
}

/** Nodes that share a store and see each other as members. */
export class TestCluster {
  readonly network = new TestNetwork()
  readonly store: InProcessStore
  readonly nodes: TestNode[] = []
  readonly #listeners = new Set<() => void>()

  constructor(store = new InProcessStore()) {
    this.store = store
  }

  /** Adds a node without starting it. */
  add(region: string, options: DistributorOptions = {}, store = this.store): TestNode {
    const memberId = `${region}-${String(this.nodes.length)}`
    const address = `${memberId}:1`
    const record = createExampleMember(memberId, region, address)
    const replica = new ConfigurationReplica()
    const repository = new ConfigurationRepository(store, { view: replica })
    const distributor = new ConfigurationDistributor(
      replica,
      repository,
      this.viewOf(record),
      this.network.rpcClient(address),
      options,
    )
    distributor.registerMethods(this.network.registry(address))
    const node = { record, replica, repository, distributor }
    this.nodes.push(node)
    this.notifyMembership()
    return node
  }

  /** Notifies all nodes of a membership change. */
  notifyMembership(): void {
    for (const listener of [...this.#listeners]) listener()
  }

  async stop(): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.distributor.stop()))
  }

  /** Returns the membership as seen by the node with this record. */
  viewOf(self: MemberRecord): MembershipView {
    const members = (): Member[] =>
      this.nodes
        .filter(({ record }) => !this.network.isolatedAddresses.has(record.internalAddress))
        .map(({ record }) => ({ ...record, health: MemberHealth.Alive }))
    return {
      self: () => self,
      members,
      find: (memberId) => members().find((member) => member.memberId === memberId),
      largestGatewayCount: () => 1,
      subscribe: (listener) => {
        this.#listeners.add(listener)
        return () => {
          this.#listeners.delete(listener)
        }
      },
    }
  }
}

/** Polls until `condition` is true. Fails after `timeoutMs`. */
export async function eventually(
  description: string,
  condition: () => boolean,
  timeoutMs = 4000,
): Promise<void> {
  const deadlineMs = Date.now() + timeoutMs
  while (!condition()) {
    if (Date.now() > deadlineMs)
      throw new Error(`Timed out after ${String(timeoutMs)} ms: ${description}`)
    await new Promise((resolve) => setTimeout(resolve, 5))
  }
}
