/** Member records and an in-memory network for tests. */
import { Err, Ok } from '../../common/results.js'
import type { Result } from '../../common/results.js'
import type { CallOptions, RpcClient, RpcMethod, RpcMethodRegistry } from '../../common/rpc.js'
import { RpcError, RpcErrorKind } from '../../common/rpc.js'
import type { InstanceList, ListedInstance } from '../../platform/instanceList.js'
import { InstanceKind, InstanceState } from '../../platform/instanceList.js'
import type { MemberRecord } from '../memberRecord.js'
import { MemberRole, MemberState } from '../memberRecord.js'

/** Returns the record of a live gateway in region `r1`, with the identifier as its address. */
export function recordOf(memberId: string, changes: Partial<MemberRecord> = {}): MemberRecord {
  return {
    memberId,
    role: MemberRole.Gateway,
    incarnation: '00000000000000aa',
    startedAtMs: 1000,
    version: 1,
    state: MemberState.Live,
    region: 'r1',
    zone: 'z1',
    site: 's1',
    callerAddress: `${memberId}:80`,
    internalAddress: memberId,
    ...changes,
  }
}

/** Returns an instance list that contains the records as live entry instances. */
export function instanceListOf(records: readonly MemberRecord[]): InstanceList {
  const listed = records.map((record): ListedInstance => ({
    instanceId: record.memberId,
    kind: InstanceKind.Entry,
    state: InstanceState.Live,
    generation: 1,
    region: record.region,
    zone: record.zone,
    address: record.internalAddress,
  }))
  return { read: () => Promise.resolve(Ok(listed)) }
}

/** Delivers calls between registries; calls to or from paused processes and over cut links time out. */
export class FakeNetwork {
  readonly paused = new Set<string>()
  /** Cut links as `<from>><to>`; a cut stops the calls of both sides. */
  readonly cuts = new Set<string>()
  /** Bytes of parameters and answers by process, in both directions. */
  readonly bytes = new Map<string, number>()
  readonly calls = new Map<string, number>()
  readonly #methods = new Map<string, Map<string, RpcMethod>>()
  readonly #timeScale: number

  /** @param timeScale simulated milliseconds per real millisecond */
  constructor(timeScale: number) {
    this.#timeScale = timeScale
  }

  registry(address: string): RpcMethodRegistry {
    const methods = new Map<string, RpcMethod>()
    this.#methods.set(address, methods)
    return { addMethod: (name, _schema, method) => methods.set(name, method) }
  }

  remove(address: string): void {
    this.#methods.delete(address)
  }

  client(from: string): RpcClient {
    return { call: (to, method, params, options) => this.#call(from, to, method, params, options) }
  }

  async #call(
    from: string,
    to: string,
    method: string,
    params: unknown,
    options: CallOptions,
  ): Promise<Result<unknown, RpcError>> {
    const handler = this.#methods.get(to)?.get(method)
    if (handler === undefined || !this.#methods.has(from))
      return Err(new RpcError(RpcErrorKind.NotSent, 'refused', 'none', { isRefused: true }))
    const isPaused = [from, to].some((address) => this.paused.has(address))
    if (isPaused || this.cuts.has(`${from}>${to}`) || this.cuts.has(`${to}>${from}`)) {
      await new Promise((resolve) => setTimeout(resolve, options.timeoutMs / this.#timeScale))
      return Err(new RpcError(RpcErrorKind.TimedOut, 'timed out', 'none'))
    }
    const request = JSON.stringify(params)
    const context = { signal: new AbortController().signal }
    const answer = JSON.stringify(await handler(JSON.parse(request) as never, context))
    for (const address of [from, to]) {
      this.calls.set(address, (this.calls.get(address) ?? 0) + 1)
      this.bytes.set(address, (this.bytes.get(address) ?? 0) + request.length + answer.length)
    }
    return Ok(JSON.parse(answer))
  }
}
