/** Test fixture: shift advancers that share one change log and a simulated clock. */
import type { ConfigurationRecord, ShiftRecord } from '../../configuration/document.js'
import { RecordKind, ShiftState } from '../../configuration/document.js'
import type { Configuration, ConfigurationView } from '../../configuration/view.js'
import type { Logger } from '../../common/logger.js'
import type { Member, MembershipView } from '../../membership/memberRecord.js'
import { MemberHealth, MemberRole, MemberState } from '../../membership/memberRecord.js'
import { ShiftAdvancer } from '../shiftAdvancer.js'
import type { FakeLoads } from './fakes.js'
import { FakeChangeLog, changeOf, uniformLoads, smallDeployment } from './fakes.js'

export const START_MS = 1_000_000
export const TICK_MS = 250
export const SHIFT_ID = 'shift-1'
export const SILENT_LOGGER: Logger = { decision: () => undefined, event: () => undefined }

/** Returns the member record of a gateway in the target region. */
export function gateway(memberId: string, changes: Partial<Member> = {}): Member {
  return {
    memberId,
    role: MemberRole.Gateway,
    incarnation: '0000000000000001',
    startedAtMs: 0,
    version: 1,
    state: MemberState.Live,
    region: 'nakuru',
    zone: 'nakuru-a',
    site: 'nakuru-a',
    callerAddress: '',
    internalAddress: '',
    health: MemberHealth.Alive,
    ...changes,
  }
}

/** Membership that a test controls. */
export class FakeMembers implements MembershipView {
  list: Member[] = [gateway('g1'), gateway('g2')]
  own = gateway('c1', { role: MemberRole.Control })

  self(): Member {
    return this.own
  }

  members(): readonly Member[] {
    return this.list
  }

  find(memberId: string): Member | undefined {
    return this.list.find((member) => member.memberId === memberId)
  }

  largestGatewayCount(): number {
    return this.list.length
  }

  subscribe(): () => void {
    return () => undefined
  }
}

/** A view that can be frozen at an old revision, like the replica of a paused process. */
export class FreezableView implements ConfigurationView {
  readonly #source: ConfigurationView
  #frozen: Configuration | undefined
  isFrozen = false

  constructor(source: ConfigurationView) {
    this.#source = source
  }

  current(): Configuration | undefined {
    if (!this.isFrozen) this.#frozen = this.#source.current()
    return this.#frozen
  }

  subscribe(): () => void {
    return () => undefined
  }
}

/** A change log with one running shift, and any number of advancers on it. */
export class AdvancerFixture {
  nowMs = START_MS
  readonly changeLog = new FakeChangeLog()
  readonly members = new FakeMembers()
  loads: FakeLoads = uniformLoads(30, START_MS)
  /** Whether each tick updates the measurements. */
  hasMeasurements = true

  constructor(changes: Partial<ShiftRecord> = {}) {
    const shift: ShiftRecord = {
      shiftId: SHIFT_ID,
      service: 'shelf-stock',
      from: 'nyeri',
      to: 'nakuru',
      capShare: 0.25,
      currentShare: 0,
      stepShare: 0.1,
      stepIntervalMs: 1000,
      state: ShiftState.Running,
      step: 0,
      plannedRate: 30,
      ...changes,
    }
    const records: ConfigurationRecord[] = [
      ...smallDeployment(),
      { kind: RecordKind.PutShift, shift },
    ]
    this.changeLog.append(changeOf('first', records))
  }

  createAdvancer(memberId: string, view: ConfigurationView = this.changeLog): ShiftAdvancer {
    return new ShiftAdvancer({
      changeLog: this.changeLog,
      configuration: view,
      loads: this.loads,
      members: this.members,
      logger: SILENT_LOGGER,
      memberId,
      incarnation: memberId,
    })
  }

  get shift(): ShiftRecord {
    const shift = this.changeLog.current()?.document.shifts.get(SHIFT_ID)
    if (shift === undefined) throw new Error('the shift was removed')
    return shift
  }

  /** All committed states of the shift, oldest first. */
  get shiftStates(): ShiftRecord[] {
    return this.changeLog.committed.flatMap(({ change }) =>
      change.records.flatMap((record) =>
        record.kind === RecordKind.PutShift ? [record.shift] : [],
      ),
    )
  }

  /** Times of the committed steps, oldest first. */
  get stepTimesMs(): number[] {
    return this.changeLog.committed
      .filter(({ change }) => change.summary.startsWith('step of'))
      .map(({ change }) => change.createdAtMs)
  }

  setTargetRate(requestsPerSecond: number): void {
    const load = this.loads.load('nakuru', 'shelf-stock')
    if (load !== undefined) this.loads.put({ ...load, requestsPerSecond })
  }

  /** Advances the clock in ticks, with one round of the advancer per tick. */
  async runFor(durationMs: number, advancer: ShiftAdvancer): Promise<void> {
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.tick()
      advancer.observe(this.nowMs)
      await advancer.advance(this.nowMs)
    }
  }

  /** Advances the clock by one tick and updates the measurements. */
  tick(): void {
    this.nowMs += TICK_MS
    if (!this.hasMeasurements) return
    for (const load of this.loads.all()) this.loads.put({ ...load, measuredAtMs: this.nowMs })
  }
}
