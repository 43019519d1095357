/**
 * Tracks when a region loses a gateway or slots of backend servers; shifts pause after such a loss.
 */
import type { Member } from '../membership/memberRecord.js'
import { MemberHealth, MemberRole, MemberState } from '../membership/memberRecord.js'
import type { ServiceLoad } from '../shift/regionLoad.js'

/** Losses that this process observed; they are not persisted. */
export class RegionLossTracker {
  readonly #gateways = new Map<string, string>()
  readonly #slots = new Map<string, number>()
  readonly #lostAtMs = new Map<string, number>()

  /**
   * Detects losses since the previous call. A gateway that restarted or is leaving counts as lost.
   */
  observe(members: readonly Member[], loads: readonly ServiceLoad[], nowMs: number): void {
    const serving = new Map(
      members.filter(isServing).map((member) => [incarnationKey(member), member]),
    )
    for (const [incarnation, region] of [...this.#gateways]) {
      if (serving.has(incarnation)) continue
      this.#gateways.delete(incarnation)
      this.#lostAtMs.set(region, nowMs)
    }
    for (const [incarnation, member] of serving) this.#gateways.set(incarnation, member.region)
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
  lastLossAtMs(region: string, service: string): number | undefined {
    const times = [this.#lostAtMs.get(region), this.#lostAtMs.get(`${service}@${region}`)]
    const observedTimes = times.filter((time) => time !== undefined)
    return observedTimes.length === 0 ? undefined : Math.max(...observedTimes)
  }
}

function isServing(member: Member): boolean {
  return (
    member.role === MemberRole.Gateway &&
    member.state === MemberState.Live &&
    member.health !== MemberHealth.Failed
  )
}

function incarnationKey(member: Member): string {
  return `${member.memberId} ${member.incarnation}`
}
