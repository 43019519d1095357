import { expect } from 'chai'
import fastCheck from 'fast-check'
import { GATEWAY_COUNT_WINDOW_MS } from '../gatewayCountHistory.js'
import type { MemberRecord } from '../memberRecord.js'
import { MemberHealth, MemberRole, MemberState } from '../memberRecord.js'
import { MEMBER_RETENTION_MS, MemberTable, SUSPICION_TIMEOUT_MS } from '../memberTable.js'
import { recordOf } from './memberFixtures.js'

const SELF = recordOf('self', { role: MemberRole.Lookup })
const RESTARTED = { incarnation: '00000000000000bb', startedAtMs: 2000 }

function tableWith(...records: MemberRecord[]): MemberTable {
  const table = new MemberTable(SELF)
  table.merge(records, 0)
  return table
}

/** Calls `tick` once a second, as the exchange does. */
function tickUntil(table: MemberTable, fromMs: number, untilMs: number): void {
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += 1000) table.tick(nowMs)
}

describe('MemberTable', () => {
  describe('merge', () => {
    const cases: readonly {
      title: string
      existing: Partial<MemberRecord>
      received: Partial<MemberRecord>
      expected: Partial<MemberRecord>
    }[] = [
      {
        title: 'an old live record does not revive a leaving member',
        existing: { state: MemberState.Leaving, version: 2 },
        received: { state: MemberState.Live, version: 1 },
        expected: { state: MemberState.Leaving, version: 2 },
      },
      {
        title: 'a refutation that was sent before the leave does not revive the member',
        existing: { state: MemberState.Leaving, version: 2 },
        received: { state: MemberState.Live, version: 3 },
        expected: { state: MemberState.Leaving, version: 3 },
      },
      {
        title: 'a restarted member replaces its predecessor that was leaving',
        existing: { state: MemberState.Leaving, version: 7 },
        received: { ...RESTARTED, version: 1 },
        expected: { ...RESTARTED, version: 1, state: MemberState.Live },
      },
      {
        title: 'a late record of the predecessor does not replace the restarted member',
        existing: { ...RESTARTED, version: 1 },
        received: { state: MemberState.Left, version: 9 },
        expected: { ...RESTARTED, version: 1, state: MemberState.Live },
      },
    ]
    for (const { title, existing, received, expected } of cases) {
      it(title, () => {
        const table = tableWith(recordOf('g1', existing))
        table.merge([recordOf('g1', received)], 1)
        expect(table.find('g1')).to.include(expected)
      })
    }

    it('converges to the same digests in whatever order records arrive', () => {
      const record = fastCheck.record({
        memberId: fastCheck.constantFrom('g1', 'g2'),
        incarnation: fastCheck.constantFrom('00000000000000aa', '00000000000000bb'),
        startedAtMs: fastCheck.constantFrom(1000, 2000),
        version: fastCheck.integer({ min: 1, max: 3 }),
        state: fastCheck.constantFrom(...Object.values(MemberState)),
      })
      const shuffled = fastCheck
        .array(record, { maxLength: 12 })
        .chain((records) =>
          fastCheck.tuple(
            fastCheck.constant(records),
            fastCheck.shuffledSubarray(records, { minLength: records.length }),
          ),
        )
      fastCheck.assert(
        fastCheck.property(shuffled, ([first, second]) => {
          const [left, right] = [first, second].map((records) =>
            tableWith(...records.map((changes) => recordOf(changes.memberId, changes))),
          )
          expect(left?.digests()).to.deep.equal(right?.digests())
        }),
        { seed: 17, numRuns: 300 },
      )
    })
  })

  describe('suspicion', () => {
    it('fails a suspected member only after the suspicion timeout', () => {
      const table = tableWith(recordOf('g1'))
      table.tick(0)
      table.suspect('g1', 0)
      tickUntil(table, 1000, SUSPICION_TIMEOUT_MS - 1)
      expect(table.find('g1')?.health).to.equal(MemberHealth.Suspected)
      table.tick(SUSPICION_TIMEOUT_MS)
      expect(table.find('g1')?.health).to.equal(MemberHealth.Failed)
      expect(table.members().map(({ memberId }) => memberId)).to.deep.equal(['self'])
    })

    it('accepts the refutation of a paused member even after its failure', () => {
      const table = tableWith(recordOf('g1'))
      table.tick(0)
      table.suspect('g1', 0)
      tickUntil(table, 1000, 5000)
      table.merge([recordOf('g1', { version: 2 })], 5500)
      expect(table.find('g1')?.health).to.equal(MemberHealth.Alive)
    })

    it('ignores an old suspicion after its refutation', () => {
      const table = tableWith(recordOf('g1', { version: 2 }))
      const old = { memberId: 'g1', incarnation: '00000000000000aa', version: 1 }
      expect(table.mergeSuspicions([old], 0)).to.deep.equal([])
      expect(table.find('g1')?.health).to.equal(MemberHealth.Alive)
    })

    it('refutes a suspicion of its own current incarnation, but not of another, by a newer record', () => {
      const table = tableWith()
      table.mergeSuspicions(
        [{ memberId: 'self', incarnation: RESTARTED.incarnation, version: 9 }],
        1,
      )
      expect(table.self().version).to.equal(SELF.version)
      table.mergeSuspicions([{ memberId: 'self', incarnation: SELF.incarnation, version: 1 }], 1)
      expect(table.self().version).to.equal(2)
    })

    it('fails no member right after a pause of this process, since refutations may be unprocessed', () => {
      const table = tableWith(recordOf('g1'))
      table.tick(0)
      table.suspect('g1', 500)
      table.tick(60_000)
      expect(table.find('g1')?.health).to.equal(MemberHealth.Suspected)
      tickUntil(table, 61_000, 63_000)
      expect(table.find('g1')?.health).to.equal(MemberHealth.Failed)
    })
  })

  describe('own record', () => {
    it('is newer than that of a predecessor whose clock was ahead, which would override it', () => {
      const table = tableWith()
      table.merge([recordOf('self', { ...RESTARTED, startedAtMs: 9000 })], 1)
      expect(table.self()).to.include({ startedAtMs: 9001, incarnation: SELF.incarnation })
    })

    it('never moves back from leaving to live', () => {
      const table = tableWith()
      table.declareState(MemberState.Leaving, 1)
      table.declareState(MemberState.Live, 2)
      expect(table.self().state).to.equal(MemberState.Leaving)
    })
  })

  describe('removal', () => {
    it('removes failed members, so that the table stays bounded over restarts', () => {
      const table = tableWith(recordOf('g1'))
      table.tick(0)
      table.suspect('g1', 0)
      tickUntil(table, 1000, MEMBER_RETENTION_MS + 5000)
      expect(table.find('g1')).to.equal(undefined)
    })

    it('does not share failed members, which peers have removed already', () => {
      const table = tableWith(recordOf('g1'))
      const before = new MemberTable(SELF).digests()
      table.tick(0)
      table.suspect('g1', 0)
      tickUntil(table, 1000, 4000)
      expect(table.digests()).to.deep.equal(before)
    })
  })

  describe('largestGatewayCount', () => {
    it('keeps the largest count for the whole window, so that budgets do not grow at once', () => {
      const table = tableWith(recordOf('g1'), recordOf('g2'), recordOf('g3'))
      table.merge([recordOf('g3', { state: MemberState.Left })], 1000)
      expect(table.largestGatewayCount('r1', 1000 + GATEWAY_COUNT_WINDOW_MS)).to.equal(3)
      expect(table.largestGatewayCount('r1', 1001 + GATEWAY_COUNT_WINDOW_MS)).to.equal(2)
    })

    it('counts leaving gateways, which still serve requests', () => {
      const table = tableWith(recordOf('g1', { state: MemberState.Leaving }))
      expect(table.largestGatewayCount('r1', 500_000)).to.equal(1)
    })
  })
})
