/**
 * Status for operators: the accepted revision, how many members have it in force, shifts and loads.
 */
import type { RpcClient } from '../common/rpc.js'
import type { LeavingRecord, ShiftRecord } from '../configuration/document.js'
import type { ConfigurationView } from '../configuration/view.js'
import type { Member, MemberRole, MembershipView } from '../membership/memberRecord.js'
import { MemberHealth, MemberState } from '../membership/memberRecord.js'
import type { RegionLoadView, ServiceLoad } from '../shift/regionLoad.js'
import type { ChangeLog } from './changeLog.js'

/** A live member that holds an older revision than the accepted one, or that did not answer. */
export interface LaggingMember {
  readonly memberId: string
  readonly role: MemberRole
  readonly region: string
  /** Revision that the member holds; `null` if it did not answer. */
  readonly revision: number | null
}

/** Status as it is returned to operators. */
export interface StatusReport {
  /** Head revision in the store; `null` while the key-value service does not answer. */
  readonly acceptedRevision: number | null
  /** Revision that this control daemon holds; -1 if none. */
  readonly heldRevision: number
  /** Number of live members, including this one. */
  readonly liveMembers: number
  /**
   * Number of live members that hold at least the accepted revision; `null` if they were not
   * queried.
   */
  readonly membersInForce: number | null
  readonly behind: readonly LaggingMember[]
  readonly shifts: readonly ShiftRecord[]
  readonly leaving: readonly LeavingRecord[]
  readonly loads: readonly ServiceLoad[]
  /** Milliseconds since the epoch, by the clock of this control daemon. */
  readonly reportedAtMs: number
}

export interface OperatorStatusDependencies {
  readonly changeLog: ChangeLog
  readonly configuration: ConfigurationView
  readonly members: MembershipView
  readonly loads: RegionLoadView
  readonly rpc: RpcClient
  /** RPC method of the members that returns `{ revision }`. */
  readonly revisionMethod: string
  readonly timeoutMs: number
  readonly clock: () => number
}

/** Limit of concurrent calls, because a status of the whole system calls 460 members. */
const MAX_CONCURRENT_CALLS = 32

export class OperatorStatus {
  readonly #dependencies: OperatorStatusDependencies

  constructor(dependencies: OperatorStatusDependencies) {
    this.#dependencies = dependencies
  }

  /**
   * Collects the status.
   *
   * @param askMembers whether to query the revision of each live member
   */
  async report(askMembers: boolean): Promise<StatusReport> {
    const { changeLog, configuration, members, loads, clock } = this.#dependencies
    const head = await changeLog.head()
    const held = configuration.current()
    const acceptedRevision = head.ok ? head.val.revision : null
    const live = members.members().filter(isLive)
    const revisions = askMembers ? await this.#queryMembers(live) : undefined
    const expected = acceptedRevision ?? held?.revision ?? 0
    const behind = (revisions ?? []).filter(({ revision }) => (revision ?? -1) < expected)
    return {
      acceptedRevision,
      heldRevision: held?.revision ?? -1,
      liveMembers: live.length,
      membersInForce: revisions === undefined ? null : live.length - behind.length,
      behind,
      shifts: [...(held?.document.shifts.values() ?? [])],
      leaving: [...(held?.document.leaving.values() ?? [])],
      loads: loads.all(),
      reportedAtMs: clock(),
    }
  }

  async #queryMembers(live: readonly Member[]): Promise<LaggingMember[]> {
    const answers: LaggingMember[] = []
    for (let start = 0; start < live.length; start += MAX_CONCURRENT_CALLS) {
      const batch = live.slice(start, start + MAX_CONCURRENT_CALLS)
      answers.push(...(await Promise.all(batch.map((member) => this.#queryMember(member)))))
    }
    return answers
  }

  async #queryMember(member: Member): Promise<LaggingMember> {
    const { memberId, role, region } = member
    return { memberId, role, region, revision: await this.#queryRevision(member) }
  }

  async #queryRevision(member: Member): Promise<number | null> {
    const { rpc, revisionMethod, timeoutMs, members, configuration } = this.#dependencies
    if (member.memberId === members.self().memberId) return configuration.current()?.revision ?? -1
    const answer = await rpc.call(member.internalAddress, revisionMethod, {}, { timeoutMs })
    const revision = answer.ok ? (answer.val as { revision?: unknown } | null)?.revision : undefined
    return typeof revision === 'number' ? revision : null
  }
}

function isLive(member: Member): boolean {
  return member.state === MemberState.Live && member.health !== MemberHealth.Failed
}
