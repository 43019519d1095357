/** Typed calls to the membership modules of other processes. */
import type { RpcClient } from '../common/rpc.js'
import type {
  ExchangeAnswer,
  ExchangeRequest,
  PingAnswer,
  ProbeAnswer,
  PushRequest,
  RecordsAnswer,
  RecordsRequest,
} from './membershipMessages.js'
import { ANSWER_SCHEMAS, MembershipMethod } from './membershipMessages.js'

/** A direct probe without an answer within this time fails, in milliseconds. */
export const DIRECT_PROBE_TIMEOUT_MS = 500
/** Includes the direct probe that the helping peer makes, in milliseconds. */
export const INDIRECT_PROBE_TIMEOUT_MS = 900
const TRANSFER_TIMEOUT_MS = 2000

/** Outcome of a direct probe. */
export enum PingOutcome {
  Answered = 'answered',
  /** The host is up, but no process listens at the address. */
  Refused = 'refused',
  /** No valid answer; the process may be paused or disconnected. */
  Unresponsive = 'silent',
}

/** Result of {@link MembershipPeers.ping}. */
export type PingResult =
  | { readonly outcome: PingOutcome.Answered; readonly answer: PingAnswer }
  | { readonly outcome: PingOutcome.Refused | PingOutcome.Unresponsive }

/** Client for the membership methods; failed calls and malformed answers yield `undefined`. */
export class MembershipPeers {
  readonly #rpc: RpcClient

  constructor(rpc: RpcClient) {
    this.#rpc = rpc
  }

  exchange(address: string, request: ExchangeRequest): Promise<ExchangeAnswer | undefined> {
    return this.#call(address, MembershipMethod.Exchange, request, DIRECT_PROBE_TIMEOUT_MS)
  }

  records(address: string, request: RecordsRequest): Promise<RecordsAnswer | undefined> {
    return this.#call(address, MembershipMethod.Records, request, TRANSFER_TIMEOUT_MS)
  }

  async ping(address: string): Promise<PingResult> {
    const method = MembershipMethod.Ping
    const answer = await this.#rpc.call(address, method, {}, { timeoutMs: DIRECT_PROBE_TIMEOUT_MS })
    if (answer.err) {
      return { outcome: answer.val.isRefused ? PingOutcome.Refused : PingOutcome.Unresponsive }
    }
    const checked = ANSWER_SCHEMAS[method].validate(answer.val)
    return checked.error === undefined
      ? { outcome: PingOutcome.Answered, answer: checked.value as PingAnswer }
      : { outcome: PingOutcome.Unresponsive }
  }

  probe(address: string, memberId: string): Promise<ProbeAnswer | undefined> {
    return this.#call(address, MembershipMethod.Probe, { memberId }, INDIRECT_PROBE_TIMEOUT_MS)
  }

  async push(address: string, request: PushRequest): Promise<void> {
    await this.#rpc.call(address, MembershipMethod.Push, request, {
      timeoutMs: DIRECT_PROBE_TIMEOUT_MS,
    })
  }

  async #call<Answer>(
    address: string,
    method: keyof typeof ANSWER_SCHEMAS,
    params: unknown,
    timeoutMs: number,
  ): Promise<Answer | undefined> {
    const answer = await this.#rpc.call(address, method, params, { timeoutMs })
    if (answer.err) return undefined
    const checked = ANSWER_SCHEMAS[method].validate(answer.val)
    return checked.error === undefined ? (checked.value as Answer) : undefined
  }
}
