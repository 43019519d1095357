/**
 * Tracks when a region loses a gateway or slots of backend servers; shifts pause after such a loss.
 */
import type { Member } from '../membership/memberRecord.js'
import { MemberHealth, MemberRole, MemberState } from '../membership/memberRecord.js'
import type { ServiceLoad } from '../shift/regionLoad.js'

/** Losses that this process observed; they are not persisted. */
export class RegionLosses {
  readonly #gateways = new Map<string, string>()
  readonly #slots = new Map<string, number>()
  readonly #lostAtMs = new Map<string, number>()

  /**
   * Detects losses since the previous call. A gateway that restarted or is leaving counts as lost.
   */
  observe(members: readonly Member[], loads: readonly ServiceLoad[], nowMs: number): void {
    const present = new Map(
      members.filter(isServing).map((member) => [incarnationOf(member), member]),
    )
    for (const [incarnation, region] of [...this.#gateways]) {
      if (present.has(incarnation)) continue
      this.#gateways.delete(incarnation)
      this.#lostAtMs.set(region, nowMs)
    }
    for (const [incarnation, member] of present) this.#gateways.set(incarnation, member.region)
    for (const { region, service, slots } of loads) {
      const key = `${service}@${region}`
      if (slots < (this.#slots.get(key) ?? 0)) this.#lostAtMs.set(key, nowMs)
      this.#slots.set(key, slots)
    }
  }

  /**
   * Returns when the region last lost a gateway or slots of the service, in milliseconds since the
   * epoch.
   */
  lastLossMs(region: string, service: string): number | undefined {
    const times = [this.#lostAtMs.get(region), this.#lostAtMs.get(`${service}@${region}`)]
    const known = times.filter((time) => time !== undefined)
    return known.length === 0 ? undefined : Math.max(...known)
  }
}

function isServing(member: Member): boolean {
  return (
    member.role === MemberRole.Gateway &&
    member.state === MemberState.Live &&
    member.health !== MemberHealth.Failed
  )
}

function incarnationOf(member: Member): string {
  return `${member.memberId} ${member.incarnation}`
}
